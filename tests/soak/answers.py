"""Reading of answers from a caller's connection."""

import asyncio


class AnswerReader:
    """Reads one answer.

    :ivar status: None until the head has been read.
    :ivar body: what was read of the body.
    :ivar closes: whether the answer announces that its connection will be closed.
    """

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._reader = reader
        self.status: int | None = None
        self.body = b""
        self.closes = False

    async def read(self) -> None:
        """Read the whole answer."""
        head = (await self._reader.readuntil(b"\r\n\r\n")).lower()
        self.status = int(head.split(b" ", 2)[1])
        self.closes = b"connection: close" in head
        if b"transfer-encoding: chunked" in head:
            while size := int(await self._reader.readuntil(b"\r\n"), 16):
                self.body += (await self._reader.readexactly(size + 2))[:-2]
            await self._reader.readexactly(2)
        else:
            length = int(head.split(b"content-length:")[1].split(b"\r\n")[0])
            self.body = await self._reader.readexactly(length)
