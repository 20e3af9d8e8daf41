"""A bounded queue of bytes between the reader of an answer and its writer."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import AsyncIterator, Callable

from cactuspass.exceptions import AnswerCut

PIECE_BYTES = 16 * 1024


class BytesAccount(ABC):
    """Counts the bytes that a queue holds against a budget."""

    @abstractmethod
    async def reserve(self, count: int) -> None:
        """Wait until the budget allows to hold so many more bytes, then count them."""

    @abstractmethod
    def try_reserve(self, count: int) -> bool:
        """Count bytes if the budget allows it at once."""

    @abstractmethod
    async def wait_while_paused(self) -> None:
        """Wait while the upstream should be kept from sending more."""

    @abstractmethod
    def release(self, count: int) -> None:
        """Count bytes that the reader took."""

    def open(self, cut: Callable[[str], None]) -> None:
        """Begin to count a queue.

        :param cut: ends the queue with a reason, when its reader holds up too much.
        """
        return

    def close(self) -> None:
        """End the counting of a queue."""
        return


class UnboundedAccount(BytesAccount):
    """Counts nothing; the queue's own limit applies."""

    async def reserve(self, count: int) -> None:
        """Allow everything."""

    def try_reserve(self, count: int) -> bool:
        """Allow everything."""
        return True

    async def wait_while_paused(self) -> None:
        """Never wait."""

    def release(self, count: int) -> None:
        """Count nothing."""


class ByteQueue:
    """Passes chunks on in order; a full queue makes its producer wait.

    Bytes count as held until the consumer, having passed them on, asks for more. The consumer
    sees a normal end only after :meth:`finish`; after :meth:`fail` it gets the error.

    :param limit: bytes held above which :meth:`put` waits.
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
        """Bytes that were put in and not yet passed on."""
        return self._held_bytes

    def on_end(self, callback: Callable[[bool], None]) -> None:
        """Call back once the producer ends, with whether the answer is whole."""
        if self.ended:
            callback(self._error is None)
        else:
            self._end_callbacks.append(callback)

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Call back when the answer is given up before its end."""
        if self.cancelled:
            callback()
        else:
            self._cancel_callbacks.append(callback)

    async def put(self, chunk: bytes) -> None:
        """Add a chunk when the budget allows it, then wait while the queue is full."""
        await self._account.reserve(len(chunk))
        if self.ended:
            self._account.release(len(chunk))
            return
        self._add(chunk)
        await self._writable.wait()
        await self._account.wait_while_paused()

    def put_nowait(self, chunk: bytes) -> None:
        """Add a chunk without waiting; the queue is cut when the budget does not allow it."""
        if self.ended or not chunk:
            return
        if self._account.try_reserve(len(chunk)):
            self._add(chunk)
        else:
            self.cancel(AnswerCut("no memory is left for the answer"))

    def finish(self) -> None:
        """Mark the answer as whole."""
        self._end(None)

    def fail(self, error: BaseException) -> None:
        """Mark the answer as broken; the consumer gets the error after what is queued."""
        self._end(error)

    def cancel(self, error: BaseException) -> None:
        """Give up: drop what is held and tell both sides."""
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
        """Yield what arrives, with queued chunks joined or split into pieces of bounded size.

        A reader's progress counts once it has taken a whole piece.

        :raises BaseException: the error given to :meth:`fail` or :meth:`cancel`.
        """
        try:
            while True:
                if self._chunks:
                    data = self._take_piece()
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

    def _take_piece(self) -> bytes:
        """Remove the oldest bytes, at most ``PIECE_BYTES``."""
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
