"""HTTP/1.1 connections to upstreams and to the store."""

import asyncio
import select
from typing import cast

import httptools

from cactuspass._extra_responses import ExtraResponseScanner
from cactuspass._numbers import parse_number
from cactuspass._status_codes import check_status
from cactuspass._status_lines import has_status_line
from cactuspass.exceptions import (
    AnswerOversize,
    UpstreamNotReached,
)
from cactuspass.fleet._answer_bounds import AnswerBounds
from cactuspass.fleet._answer_head import AnswerHead, Header, IdCheck
from cactuspass.fleet._exchange import Exchange, ExchangeConnection

# Read from one connection before others have a turn; less when the read before had many chunks,
# each of which is work.
RECEIVE_BYTES = 16_384
LARGE_RECEIVE_BYTES = 65_536
MAX_CHUNKS_BEFORE_LARGE_READ = 16
DEFAULT_KEEP_ALIVE_SECONDS = 4.0
# Of a large body, passed on at once while the upstream reads; the transport copies what it keeps.
WRITE_BYTES = 65_536


class ResponseUnidentified(ConnectionError):
    """A response that may be a copy of an earlier one, since it does not identify its request."""


class ResponseMixed(ConnectionError):
    """A response whose head contains the start of another one."""


class ConnectionClosed(ConnectionError):
    """The other side has closed the connection, or it was lost."""


class Connection(asyncio.BufferedProtocol, ExchangeConnection):
    """A connection that carries one exchange at a time."""

    # Bytes are parsed as soon as they are received, so all connections share one buffer.
    _received = memoryview(bytearray(LARGE_RECEIVE_BYTES))

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._requires_id = False
        self._unsent = memoryview(b"")
        self._is_writing_paused = False
        self._chunks_of_read = MAX_CHUNKS_BEFORE_LARGE_READ + 1
        self._reset_parser()
        self.is_reusable = True
        self.idle_since = 0.0
        self.keep_alive_seconds = DEFAULT_KEEP_ALIVE_SECONDS
        self.unused = True

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._bounds = AnswerBounds()
        self._reason = ""
        self._headers: list[Header] = []
        self._head: AnswerHead | None = None
        self._skips_response = False
        self._body_ends_at_close = False
        self._is_informational = False
        self._scanner: ExtraResponseScanner | None = None

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the open connection."""
        self._transport = cast(asyncio.Transport, transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes."""
        is_large = self._chunks_of_read <= MAX_CHUNKS_BEFORE_LARGE_READ
        return self._received[: LARGE_RECEIVE_BYTES if is_large else RECEIVE_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes that the buffer has received."""
        self._chunks_of_read = 0
        self.data_received(self._received[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse received bytes; close the connection if no exchange is in progress."""
        if self._exchange is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
            self._bounds.add_received(len(data))
        except httptools.HttpParserCallbackError as error:
            # The parser wraps exceptions that its callbacks raise.
            self._fail(error.__context__ if isinstance(error.__context__, Exception) else error)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(ConnectionError(f"invalid HTTP response: {error}"))
        except AnswerOversize as error:
            self._fail(error)

    def eof_received(self) -> bool:
        """End the exchange if its body has no length and ends with the connection."""
        is_own_body = self._exchange is not None and not self._skips_response
        if is_own_body and self._body_ends_at_close:
            self._finish_exchange()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self._fail(ConnectionClosed(str(exc) if exc else "the connection was closed"))

    def pause_writing(self) -> None:
        """Keep back the rest of a body, since the upstream reads slowly."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Send more of a body."""
        self._is_writing_paused = False
        self._send_body()

    def _send_body(self) -> None:
        while self._unsent and not self._is_writing_paused:
            assert self._transport is not None
            part, self._unsent = self._unsent[:WRITE_BYTES], self._unsent[WRITE_BYTES:]
            self._transport.write(part)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a response; an unsolicited one makes the connection unusable."""
        self._reason = ""
        self._headers = []
        self._head = None
        self._bounds.start_head()
        if self._exchange is None:
            self.is_reusable = False

    def on_status(self, reason: bytes) -> None:
        """Check the reason of the status line, of which each call passes the next part.

        :raises ResponseMixed: if it has taken up the status line of another response.
        """
        self._reason += reason.decode("latin-1")
        _check_unmixed(self._reason)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count one header, check it, and store it unless it is a trailer, which nothing uses.

        :raises ResponseMixed: if it has taken up the status line of another response.
        """
        self._bounds.add_header(name, value)
        text = value.decode("latin-1").strip(" \t")
        _check_unmixed(text)
        if self._head is None:
            self._headers.append((name.decode("latin-1").lower(), text))

    def on_headers_complete(self) -> None:
        """Pass the head to the exchange unless it is informational or for another request.

        :raises InvalidStatus: if the status is none, or that of an informational response that
            states a body.
        :raises ResponseUnidentified: if the response may be a copy of an earlier one.
        """
        exchange = self._exchange
        if exchange is None:
            return
        head = AnswerHead(self._parser.get_status_code(), tuple(self._headers))
        check_status(head.status, head.states_body)
        self._head = head
        self._is_informational = head.is_informational
        self._skips_response = not exchange.matches(head)
        self._body_ends_at_close = head.body_ends_at_close
        if self._is_informational:
            return
        if self._skips_response:
            self._requires_id = True
            return
        is_identified = exchange.is_identified_by(head)
        if self._requires_id and not is_identified:
            raise ResponseUnidentified("a response on a used connection identifies no request")
        # Without an id, a copy could not be told from the response to the next request.
        self.is_reusable = self.is_reusable and is_identified
        self._apply_keep_alive(head)
        if head.body_ends_at_close and exchange.id_header is not None:
            self._scanner = ExtraResponseScanner(exchange.id_header)
        exchange.receive_head(head)
        if exchange.has_no_body:
            self.is_reusable = False
            self._finish_exchange()

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body to the exchange, or count it if the response is skipped.

        :raises ResponseExtra: if another response follows a body that ends with the connection.
        """
        self._chunks_of_read += 1
        if self._skips_response:
            self._bounds.add_skipped(len(body))
        elif self._exchange is not None:
            self._bounds.add_body(len(body))
            if self._scanner is not None:
                self._scanner.feed(body)
            self._exchange.receive_chunk(body)

    def on_message_complete(self) -> None:
        """End the exchange; after a skipped response, only prevent reuse of the connection."""
        if self._exchange is None or self._is_informational:
            return
        if self._skips_response:
            self.is_reusable = False
            return
        self._finish_exchange()

    # Calls of the pool and of the exchange.

    def send_request(
        self, request: bytes, check: IdCheck | None, has_no_body: bool, body: bytes = b""
    ) -> Exchange:
        """Send a request.

        :param request: encoded head, with the body unless that is large.
        :param check: header by which the response identifies the request, if any.
        :param has_no_body: whether the response has no body, as for HEAD requests.
        :param body: large body, of which no more is passed on than the upstream reads.
        :raises UpstreamNotReached: if the connection is closed; no byte was sent.
        """
        if self._transport is None or self._transport.is_closing():
            raise UpstreamNotReached("the connection was closed before the request was sent")
        self._requires_id = not self.unused
        self.unused = False
        self._reset_parser()
        self._exchange = exchange = Exchange(self, check, has_no_body)
        self._transport.write(request)
        self._unsent = memoryview(body)
        self._send_body()
        exchange.started = True
        return exchange

    def pause_reading(self) -> None:
        """Stop reading, so that TCP flow control slows down the sender."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Continue reading."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def abort(self) -> None:
        """Close the connection immediately, without flushing buffered data."""
        self.is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    @property
    def is_available(self) -> bool:
        """Whether another request can be sent on this connection."""
        return (
            self.is_reusable
            and self._exchange is None
            and self._transport is not None
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
        )

    @property
    def is_waiting(self) -> bool:
        """Whether an answer is expected, and the other side has not closed the connection."""
        return self._exchange is not None and not self._poll(select.POLLRDHUP)

    @property
    def has_unread_input(self) -> bool:
        """Whether bytes, an error or the end of the connection have arrived and were not read."""
        return self._poll(select.POLLIN)

    def _poll(self, events: int) -> bool:
        """Return whether any of some events, an error or a hang-up is reported of the socket."""
        opened = self._transport.get_extra_info("socket") if self._transport is not None else None
        if opened is None or opened.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(opened, events)
        return bool(poll.poll(0))

    def _apply_keep_alive(self, head: AnswerHead) -> None:
        if not self._parser.should_keep_alive():
            self.is_reusable = False
        for part in (head.get("keep-alive") or "").split(","):
            name, _, value = part.strip().partition("=")
            seconds = parse_number(value)
            if name == "timeout" and seconds is not None:
                self.keep_alive_seconds = float(seconds)

    def _finish_exchange(self) -> None:
        exchange, self._exchange = self._exchange, None
        self.idle_since = asyncio.get_running_loop().time()
        if self._unsent:
            # The upstream has answered before it has read the whole body.
            self.is_reusable = False
            self._unsent = memoryview(b"")
        if not self.is_reusable and self._transport is not None:
            self._transport.close()
        if exchange is not None:
            exchange.receive_end()

    def _fail(self, error: Exception) -> None:
        self.is_reusable = False
        self._unsent = memoryview(b"")
        exchange, self._exchange = self._exchange, None
        if self._transport is not None:
            self._transport.abort()
        if exchange is not None:
            exchange.fail(error)


def _check_unmixed(text: str) -> None:
    """Check that a part of a response head contains no status line of another response.

    :raises ResponseMixed: if it does.
    """
    if has_status_line(text):
        raise ResponseMixed("a response head contains the start of another response")
