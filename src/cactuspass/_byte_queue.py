"""A bounded queue of bytes between the producer and the consumer of an answer."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import AsyncIterator, Callable

from cactuspass.exceptions import AnswerCut

PIECE_BYTES = 16 * 1024


class BytesAccount(ABC):
    """Counts the bytes held by one queue against a memory budget."""

    @abstractmethod
    async def reserve(self, count: int) -> None:
        """Wait until the budget allows ``count`` more bytes, then count them as held."""

    @abstractmethod
    def try_reserve(self, count: int) -> bool:
        """Count bytes as held if the budget allows them now.

        :return: whether they were counted.
        """

    @abstractmethod
    async def wait_while_paused(self) -> None:
        """Wait while reading from the upstream should be paused."""

    @abstractmethod
    def release(self, count: int) -> None:
        """Count bytes that the reader has read as no longer held."""

    def open(self, cut: Callable[[str], None]) -> None:
        """Start counting the queue.

        :param cut: called with a reason to cut the queue if its reader leaves too much unread.
        """
        return

    def close(self) -> None:
        """Stop counting the queue."""
        return


class UnboundedAccount(BytesAccount):
    """An account without a budget; only the queue's own limit applies."""

    async def reserve(self, count: int) -> None:
        """Return at once."""

    def try_reserve(self, count: int) -> bool:
        """Return True."""
        return True

    async def wait_while_paused(self) -> None:
        """Return at once."""

    def release(self, count: int) -> None:
        """Do nothing."""


class ByteQueue:
    """A queue of chunks whose producer waits while it is full.

    Bytes count as held until the consumer has passed them on and requests the next piece. The
    consumer reaches a normal end only after :meth:`finish`; after :meth:`fail` or :meth:`cancel`
    it gets the error.

    :param limit: held bytes from which on :meth:`put` waits.
    :param account: memory account that the held bytes count against; none by default.
    """

    def __init__(self, limit: int, account: BytesAccount | None = None) -> None:
        self._limit = limit
        self._account = account or UnboundedAccount()
        self._chunks: deque[bytes] = deque()
        self._held_bytes = 0
        self._error: BaseException | None = None
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._end_callbacks: list[Callable[[bool], None]] = []
        self._cancel_callbacks: list[Callable[[], None]] = []
        self.ended = False
        self.cancelled = False
        self._account.open(lambda reason: self.cancel(AnswerCut(reason)))

    @property
    def held_bytes(self) -> int:
        """Bytes that were added and that the consumer has not yet processed."""
        return self._held_bytes

    def on_end(self, callback: Callable[[bool], None]) -> None:
        """Call ``callback`` when the producer ends, with whether the answer is complete."""
        if self.ended:
            callback(self._error is None)
        else:
            self._end_callbacks.append(callback)

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when the answer is cancelled."""
        if self.cancelled:
            callback()
        else:
            self._cancel_callbacks.append(callback)

    async def put(self, chunk: bytes) -> None:
        """Wait for the budget, add a chunk, then wait while the queue is full or paused."""
        await self._account.reserve(len(chunk))
        if self.ended:
            self._account.release(len(chunk))
            return
        self._add(chunk)
        await self._writable.wait()
        await self._account.wait_while_paused()

    def put_nowait(self, chunk: bytes) -> None:
        """Add a chunk without waiting; cancel the queue if the budget does not allow it."""
        if self.ended or not chunk:
            return
        if self._account.try_reserve(len(chunk)):
            self._add(chunk)
        else:
            self.cancel(AnswerCut("no memory is left for the answer"))

    def finish(self) -> None:
        """Mark the answer as complete."""
        self._end(None)

    def fail(self, error: BaseException) -> None:
        """Mark the answer as broken; the consumer gets the error after the queued bytes."""
        self._end(error)

    def cancel(self, error: BaseException) -> None:
        """Drop the queued bytes, end the queue with an error and call the cancel callbacks."""
        if self.cancelled:
            return
        self.cancelled = True
        dropped = sum(len(chunk) for chunk in self._chunks)
        self._chunks.clear()
        self._release(dropped)
        self._account.close()
        was_ended = self.ended
        self._end(error)
        if was_ended and self._error is None:
            self._error = error
        callbacks, self._cancel_callbacks = self._cancel_callbacks, []
        for callback in callbacks:
            callback()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the bytes in pieces of at most ``PIECE_BYTES``, joining or splitting chunks.

        A piece is released once the consumer requests the next one; only then does the reader
        count as having made progress.

        :raises BaseException: the error passed to :meth:`fail` or :meth:`cancel`.
        """
        try:
            while True:
                if self._chunks:
                    data = self._pop_piece()
                    try:
                        yield data
                    finally:
                        self._release(len(data))
                elif self.ended:
                    if self._error is not None:
                        raise self._error
                    return
                else:
                    self._readable.clear()
                    await self._readable.wait()
        finally:
            self._account.close()

    def _pop_piece(self) -> bytes:
        """Remove and return the oldest bytes, at most ``PIECE_BYTES``."""
        piece = bytearray()
        while self._chunks and len(piece) < PIECE_BYTES:
            chunk = self._chunks.popleft()
            room = PIECE_BYTES - len(piece)
            if len(chunk) > room:
                self._chunks.appendleft(chunk[room:])
            piece += chunk[:room]
        return bytes(piece)

    def _add(self, chunk: bytes) -> None:
        self._chunks.append(chunk)
        self._held_bytes += len(chunk)
        if self._held_bytes >= self._limit:
            self._writable.clear()
        self._readable.set()

    def _release(self, count: int) -> None:
        self._account.release(count)
        self._held_bytes -= count
        if self._held_bytes < self._limit:
            self._writable.set()

    def _end(self, error: BaseException | None) -> None:
        if self.ended:
            return
        self.ended = True
        self._error = error
        self._readable.set()
        self._writable.set()
        callbacks, self._end_callbacks = self._end_callbacks, []
        for callback in callbacks:
            callback(error is None)
