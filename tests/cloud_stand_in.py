"""A stand-in on loopback for the platform's address of the calls of one instance at a time."""

import asyncio
import json
from dataclasses import dataclass
from typing import Any

ACCEPT = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
RATE_LIMIT = b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"
UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
REFUSE = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\n{}"
NONSENSE = b"\x16\x03\x01 nonsense\r\n\r\n"
SILENCE = b""


@dataclass(frozen=True)
class ReceivedCall:
    """A call as it arrived."""

    target: str
    holder: str
    fence: int
    body: bytes

    @property
    def json(self) -> Any:
        """The decoded body."""
        return json.loads(self.body)


class CloudStandIn:
    """Records the calls and answers each with the next answer, or with the last one."""

    def __init__(self) -> None:
        self.calls: list[ReceivedCall] = []
        self.answers: list[bytes] = [ACCEPT]
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def reports(self) -> list[ReceivedCall]:
        """Return the calls with usage reports."""
        return [call for call in self.calls if call.target == "/usage"]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            value_by_name = dict(line.lower().split(": ", 1) for line in head[1:] if line)
            body = await reader.readexactly(int(value_by_name["content-length"]))
            call = ReceivedCall(
                head[0].split(" ")[1],
                value_by_name["cactuspass-holder"],
                int(value_by_name["cactuspass-fence"]),
                body,
            )
            self.calls.append(call)
            answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
            writer.write(answer)
            await writer.drain()
            await reader.read()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
