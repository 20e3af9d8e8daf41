"""A bounded queue of bytes between the reader of an answer and its writer."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import AsyncIterator, Callable


class BytesAccount(ABC):
    """Keeps count of the bytes that a queue holds."""

    @abstractmethod
    def add(self, count: int) -> None:
        """Count bytes that entered the queue."""

    @abstractmethod
    def remove(self, count: int) -> None:
        """Count bytes that left the queue."""


class ByteQueue:
    """Passes chunks on in order; a full queue makes its producer wait.

    The consumer sees a normal end only after :meth:`finish`; after :meth:`fail` it gets the error.

    :param limit: bytes held above which :meth:`put` waits.
    """

    def __init__(self, limit: int, account: BytesAccount | None = None) -> None:
        self._limit = limit
        self._account = account
        self._chunks: deque[bytes] = deque()
        self._held = 0
        self._ended = False
        self._error: BaseException | None = None
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._end_callbacks: list[Callable[[bool], None]] = []
        self._cancel_callbacks: list[Callable[[], None]] = []
        self._cancelled = False

    @property
    def held(self) -> int:
        """Bytes in the queue."""
        return self._held

    @property
    def ended(self) -> bool:
        """Whether the producer has finished or failed."""
        return self._ended

    def on_end(self, callback: Callable[[bool], None]) -> None:
        """Call back once the producer ends, with whether the answer is whole."""
        if self._ended:
            callback(self._error is None)
        else:
            self._end_callbacks.append(callback)

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Call back when the consumer gives up."""
        if self._cancelled:
            callback()
        else:
            self._cancel_callbacks.append(callback)

    async def put(self, chunk: bytes) -> None:
        """Add a chunk, then wait while the queue is over its limit."""
        if self._ended:
            return
        self.put_nowait(chunk)
        await self._writable.wait()

    def put_nowait(self, chunk: bytes) -> None:
        """Add a chunk without waiting; the caller keeps to a limit of its own."""
        if self._ended or not chunk:
            return
        self._chunks.append(chunk)
        self._held += len(chunk)
        if self._account is not None:
            self._account.add(len(chunk))
        if self._held >= self._limit:
            self._writable.clear()
        self._readable.set()

    def finish(self) -> None:
        """Mark the answer as whole."""
        self._end(None)

    def fail(self, error: BaseException) -> None:
        """Mark the answer as broken; the consumer gets the error after what is queued."""
        self._end(error)

    def cancel(self, error: BaseException) -> None:
        """Give up on the consumer's side: drop what is held and tell the producer."""
        if self._cancelled:
            return
        self._cancelled = True
        self._drop()
        callbacks, self._cancel_callbacks = self._cancel_callbacks, []
        for callback in callbacks:
            callback()
        self._end(error)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield what arrives, several queued chunks joined.

        :raises BaseException: the error given to :meth:`fail` or :meth:`cancel`.
        """
        while True:
            if self._chunks:
                yield self._take()
                continue
            if self._ended:
                if self._error is not None:
                    raise self._error
                return
            self._readable.clear()
            await self._readable.wait()

    def _take(self) -> bytes:
        data = b"".join(self._chunks)
        self._drop()
        return data

    def _drop(self) -> None:
        if self._account is not None and self._held:
            self._account.remove(self._held)
        self._chunks.clear()
        self._held = 0
        self._writable.set()

    def _end(self, error: BaseException | None) -> None:
        if self._ended:
            return
        self._ended = True
        self._error = error
        self._readable.set()
        self._writable.set()
        callbacks, self._end_callbacks = self._end_callbacks, []
        for callback in callbacks:
            callback(error is None)
