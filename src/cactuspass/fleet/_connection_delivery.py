"""Writing of a response to a caller's connection."""

from collections.abc import Callable

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPConnection, HTTPHeaders, RequestStartLine

from cactuspass._caller_stream import CallerStream, ends_at_close
from cactuspass.fleet._answer_head import Header
from cactuspass.fleet._delivery import Delivery
from cactuspass.fleet._pages import start_line

# Larger bodies are not copied to be sent with the head.
MAX_JOINED_BYTES = 65_536


class ConnectionDelivery(Delivery):
    """Writes a response to one caller's connection.

    :param line: first line of the request.
    :param request_headers: headers of the request, by which tornado sets those of the response.
    :param is_closing: called for each response; returns whether to close the connection after it.
    """

    def __init__(
        self,
        connection: HTTPConnection,
        line: RequestStartLine,
        request_headers: HTTPHeaders,
        is_closing: Callable[[], bool],
    ) -> None:
        assert isinstance(connection, HTTP1Connection)
        assert isinstance(connection.stream, CallerStream)
        self._connection = connection
        self._stream = connection.stream
        self._line = line
        self._request_headers = request_headers
        self._is_closing = is_closing
        self._begun = False

    @property
    def head_sent(self) -> bool:
        """Whether the head of the response has been sent."""
        return self._begun

    async def send_response(self, status: int, headers: list[Header], body: bytes) -> None:
        """Write a complete response."""
        self._stream.is_answered = True
        if self._line.method == "HEAD":
            await self._write_head(status, headers, None)
        else:
            framed = [*headers, ("Content-Length", str(len(body)))]
            is_large = len(body) > MAX_JOINED_BYTES
            await self._write_head(status, framed, None if is_large else body or None)
            if is_large:
                await self._connection.write(body)
        self._connection.finish()

    async def send_head(self, status: int, headers: list[Header]) -> None:
        """Write the head of a response of unknown length."""
        await self._write_head(status, headers, None)

    async def send_chunk(self, chunk: bytes) -> None:
        """Write a part of the body; wait while the caller reads slowly."""
        await self._connection.write(chunk)

    async def finish(self) -> None:
        """End the body."""
        self._stream.is_answered = True
        self._connection.finish()
        self._stream.end_response()

    def abort(self) -> None:
        """Close the connection, so that the response does not look complete."""
        self._stream.close()

    async def _write_head(self, status: int, headers: list[Header], chunk: bytes | None) -> None:
        fields = HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        has_body = self._line.method != "HEAD"
        self._stream.response_ends_at_close = has_body and ends_at_close(self._line.version, fields)
        if self._stream.response_ends_at_close or self._is_closing():
            self._announce_close(fields)
        self._begun = True
        await self._connection.write_headers(start_line(status), fields, chunk)

    def _announce_close(self, fields: HTTPHeaders) -> None:
        """State in the headers of a response that the connection will be closed."""
        fields["Connection"] = "close"
        self._stream.is_close_announced = True
        # Tornado would promise a caller that asks for it in HTTP/1.0 to keep the connection.
        self._request_headers.pop("Connection", None)
