"""A loopback proxy whose connections can be delayed, reset, silenced, cut one way or flooded."""

import asyncio
import itertools
from enum import Enum

CHUNK_BYTES = 65_536
ENDLESS_BEGINS = (
    b"HTTP/1.1 200 OK\r\nX-Fill: ",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=",
    b"HTTP/1.1 500 Failed\r\nContent-Length: 1000000000000\r\n\r\n",
    b"",
)


class Trouble(Enum):
    """What a proxy does to its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    CUT_ANSWERS = "cut-answers"
    ENDLESS = "endless"


class Proxy:
    """Passes connections on to one target.

    :param target: ``host:port`` behind the proxy.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self.trouble = Trouble.NONE
        self.delay = 0.0
        self.address = ""
        self._begins = itertools.cycle(ENDLESS_BEGINS)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def set(self, trouble: Trouble, delay: float = 0.0) -> None:
        """Begin or end a trouble."""
        self.trouble = trouble
        self.delay = delay
        if trouble is Trouble.RESET:
            self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.trouble is Trouble.RESET:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        host, _, port = self._target.rpartition(":")
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            self._tasks.discard(task)
            return
        self._writers |= {writer, back}
        try:
            await asyncio.gather(
                self._pump(reader, back, is_answer=False), self._pump(there, writer, is_answer=True)
            )
        except (OSError, asyncio.CancelledError):
            # The trouble, or the end of the soak, has closed one side.
            pass
        finally:
            for each in (writer, back):
                each.transport.abort()
                self._writers.discard(each)
            self._tasks.discard(task)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_answer: bool
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            while self.trouble is Trouble.SILENCE:
                await asyncio.sleep(0.05)
            if self.trouble is Trouble.CUT_ANSWERS and is_answer:
                continue
            if self.trouble is Trouble.ENDLESS and is_answer:
                await self._send_without_end(writer)
            if self.trouble is Trouble.DELAY:
                await asyncio.sleep(self.delay)
            writer.write(data)
            await writer.drain()
        if not writer.transport.is_closing():
            writer.write_eof()

    async def _send_without_end(self, writer: asyncio.StreamWriter) -> None:
        """Send bytes in place of answers until the other side closes or the trouble ends."""
        writer.write(next(self._begins))
        while self.trouble is Trouble.ENDLESS:
            writer.write(b"x" * CHUNK_BYTES)
            await writer.drain()
            await asyncio.sleep(0)
        raise ConnectionAbortedError
