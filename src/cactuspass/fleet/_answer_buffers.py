"""The bytes of answers that are held until they are complete, so that a failed one is retried."""

from cactuspass._byte_budget import ByteBudget

# A sixth of the memory of a small instance; an answer in progress takes up to twice its bytes.
MAX_HELD_BYTES = 33_554_432


class AnswerBuffers:
    """Bounds what all answers in progress hold together.

    :param max_bytes: largest number of bytes that are held at once.
    :param budget: budget that callers' requests are counted in, too; None for one of its own.
    """

    def __init__(self, max_bytes: int = MAX_HELD_BYTES, budget: ByteBudget | None = None) -> None:
        self._max_bytes = max_bytes
        self._budget = budget or ByteBudget(max_bytes)
        self.held_bytes = 0

    def try_hold(self, count: int) -> bool:
        """Count bytes as held; return whether there was room for them."""
        if self.held_bytes + count > self._max_bytes or not self._budget.has_room(count):
            return False
        self.held_bytes += count
        self._budget.hold(count)
        return True

    def release(self, count: int) -> None:
        """Stop counting bytes that are no longer held."""
        self.held_bytes -= count
        self._budget.hold(-count)


class HeldAnswer:
    """What one answer holds.

    :ivar parts: parts of its body.
    """

    def __init__(self, buffers: AnswerBuffers) -> None:
        self._buffers = buffers
        self._counted_bytes = 0
        self.parts: list[bytes] = []
        self.bytes = 0

    def add(self, part: bytes) -> bool:
        """Append a part; return whether there was room, so that further ones may be held."""
        self.parts.append(part)
        self.bytes += len(part)
        if not self._buffers.try_hold(len(part)):
            return False
        self._counted_bytes += len(part)
        return True

    def take(self) -> bytes:
        """Return the body as one piece; it stays counted until it has been passed on."""
        body = b"".join(self.parts)
        self.parts.clear()
        return body

    def release(self) -> None:
        """Stop holding the answer."""
        self.parts.clear()
        self._buffers.release(self._counted_bytes)
        self._counted_bytes = 0
