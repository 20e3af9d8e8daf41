"""The body of a request while it arrives."""

# Large enough to return to the system when it is freed, see _allocator.py.
BLOCK_BYTES = 131_072


class RequestBody:
    """Collects the parts of a body in blocks, so that many small parts take no more than one.

    :ivar received_bytes: number of bytes so far.
    """

    def __init__(self) -> None:
        self._blocks: list[bytes] = []
        self._tail = bytearray()
        self.received_bytes = 0

    def add(self, part: bytes) -> None:
        """Append a part."""
        self.received_bytes += len(part)
        if not self._tail and len(part) >= BLOCK_BYTES:
            self._blocks.append(part)
            return
        self._tail += part
        if len(self._tail) >= BLOCK_BYTES:
            self._blocks.append(bytes(self._tail))
            self._tail.clear()

    def clear(self) -> None:
        """Release all parts."""
        self._blocks.clear()
        self._tail = bytearray()

    def take(self) -> bytes:
        """Return the whole body and release its parts."""
        if self._tail:
            self._blocks.append(bytes(self._tail))
        body = b"".join(self._blocks)
        self.clear()
        return body
