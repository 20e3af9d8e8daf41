"""A loopback TCP proxy that injects faults into its connections."""

import asyncio
import itertools
from enum import Enum

CHUNK_BYTES = 65_536
# Starts of responses that never end: in a header, in a chunk extension, in a body and at once.
ENDLESS_RESPONSE_PREFIXES = (
    b"HTTP/1.1 200 OK\r\nX-Fill: ",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=",
    b"HTTP/1.1 500 Failed\r\nContent-Length: 1000000000000\r\n\r\n",
    b"",
)


class Fault(Enum):
    """Fault that a proxy injects.

    NONE forwards all data, DELAY delays each chunk, RESET resets all connections, STALL stops
    forwarding, DROP_RESPONSES discards all data from the target, and ENDLESS_RESPONSE replaces
    responses by data without an end.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    STALL = "silence"
    DROP_RESPONSES = "cut-answers"
    ENDLESS_RESPONSE = "endless"


class Proxy:
    """Forwards connections to one target.

    :param target: ``host:port`` of the target.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self.fault = Fault.NONE
        self.delay = 0.0
        self.address = ""
        self._prefixes = itertools.cycle(ENDLESS_RESPONSE_PREFIXES)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
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

    def set_fault(self, fault: Fault, delay: float = 0.0) -> None:
        """Set the fault to inject, for open and new connections.

        :param delay: delay of each chunk under ``Fault.DELAY``, in seconds.
        """
        self.fault = fault
        self.delay = delay
        if fault is Fault.RESET:
            self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault is Fault.RESET:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            self._tasks.discard(task)
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, is_response=False),
                self._forward(target_reader, writer, is_response=True),
            )
        except (OSError, asyncio.CancelledError):
            # The fault or the end of the soak has closed one side.
            pass
        finally:
            for each in (writer, target_writer):
                each.transport.abort()
                self._writers.discard(each)
            self._tasks.discard(task)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_response: bool
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            while self.fault is Fault.STALL:
                await asyncio.sleep(0.05)
            if self.fault is Fault.DROP_RESPONSES and is_response:
                continue
            if self.fault is Fault.ENDLESS_RESPONSE and is_response:
                await self._send_endless_response(writer)
            if self.fault is Fault.DELAY:
                await asyncio.sleep(self.delay)
            writer.write(data)
            await writer.drain()
        if not writer.transport.is_closing():
            writer.write_eof()

    async def _send_endless_response(self, writer: asyncio.StreamWriter) -> None:
        """Send filler instead of the response until the client closes or the fault ends.

        :raises ConnectionAbortedError: when the fault has ended.
        """
        writer.write(next(self._prefixes))
        while self.fault is Fault.ENDLESS_RESPONSE:
            writer.write(b"x" * CHUNK_BYTES)
            await writer.drain()
            await asyncio.sleep(0)
        raise ConnectionAbortedError
