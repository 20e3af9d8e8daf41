"""Listeners that respond with a short text, and helpers that all listeners share."""

import socket
from collections.abc import Callable, Mapping
from http.client import responses

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.netutil import bind_sockets

BACKLOG = 512

Page = Callable[[], tuple[int, bytes]]


def start_line(status: int) -> ResponseStartLine:
    """Return the start line of a response."""
    return ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))


def open_listening_sockets(address: str) -> list[socket.socket]:
    """Return sockets that listen on ``host:port``."""
    host, _, port = address.rpartition(":")
    return bind_sockets(int(port), host, backlog=BACKLOG)


class TextPage(HTTPMessageDelegate):
    """Responds to a request with a status and a text.

    :param page: returns the status and the text for any path without a page of its own.
    :param pages_by_path: further pages.
    """

    def __init__(
        self, connection: HTTPConnection, page: Page, pages_by_path: Mapping[str, Page]
    ) -> None:
        self._connection = connection
        self._page = page
        self._pages_by_path = pages_by_path

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Choose the page by the path of the request."""
        if isinstance(start_line, RequestStartLine):
            path = start_line.path.partition("?")[0]
            self._page = self._pages_by_path.get(path, self._page)

    def finish(self) -> None:
        """Send the response."""
        status, body = self._page()
        fields = HTTPHeaders({"Content-Length": str(len(body)), "Content-Type": "text/plain"})
        self._connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown")), fields, body
        )
        self._connection.finish()


class PageServer(HTTPServerConnectionDelegate):
    """Serves a short text, such as readiness or metrics, on its own address.

    :param address: ``host:port`` to listen on.
    :param page: returns the status and the text for any path without a page of its own.
    :param pages_by_path: further pages.
    """

    def __init__(
        self, address: str, page: Page, pages_by_path: Mapping[str, Page] | None = None
    ) -> None:
        self._address = address
        self._page = page
        self._pages_by_path = pages_by_path or {}
        self._server = HTTPServer(self)
        self.addresses: list[tuple[str, int]] = []

    def open(self) -> None:
        """Start listening."""
        sockets = open_listening_sockets(self._address)
        self.addresses = [listening.getsockname()[:2] for listening in sockets]
        self._server.add_sockets(sockets)

    def close(self) -> None:
        """Stop accepting connections."""
        self._server.stop()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the handler of the next request on a connection."""
        return TextPage(request_conn, self._page, self._pages_by_path)
