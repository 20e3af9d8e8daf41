"""The bytes that a process holds for its callers, over requests and answers."""


class ByteBudget:
    """Counts the bytes that are held, whoever holds them.

    :param max_bytes: largest number of bytes that should be held at once.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0

    def has_room(self, count: int) -> bool:
        """Return whether so many bytes more may be held."""
        return self.held_bytes + count <= self.max_bytes

    def hold(self, count: int) -> None:
        """Count bytes as held; a negative number releases them."""
        self.held_bytes += count
