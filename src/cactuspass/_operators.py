"""The operators' HTTP listener."""

import hmac
import json
from collections.abc import Mapping
from dataclasses import asdict
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from cactuspass._caller_connections import CallerHTTPServer
from cactuspass._component import Component
from cactuspass._operator_api import OperatorApi
from cactuspass._parser import parse
from cactuspass._problems import CONTENT_TYPE
from cactuspass._statements import Query
from cactuspass.exceptions import CactuspassError, CommandError, PlatformError

MAX_BODY_BYTES = 65_536
MAX_WAIT_SECONDS = 30.0
DEFAULT_WAIT_SECONDS = 5.0


class _Ask(BaseModel):
    model_config = ConfigDict(extra="forbid")

    query: str


class _Do(BaseModel):
    model_config = ConfigDict(extra="forbid")

    command: str
    wait_seconds: float = Field(default=DEFAULT_WAIT_SECONDS, ge=0, le=MAX_WAIT_SECONDS)


class OperatorServer(Component):
    """HTTP server for operators, who authenticate by a token.

    :param listen: ``host:port``; port 0 selects a free port.
    :param token: the token that every request must have.
    """

    def __init__(self, listen: str, token: str, api: OperatorApi) -> None:
        self._listen = listen
        context = {"token": token, "api": api}
        self._application = Application(
            [
                (r"/v1/ask", AskHandler, context),
                (r"/v1/do", DoHandler, context),
                (r"/v1/burn", BurnHandler, context),
                (r".*", UnknownHandler, context),
            ],
            log_function=lambda handler: None,
        )
        self._server: CallerHTTPServer | None = None
        self.port = 0

    async def start(self) -> None:
        """Open the listening sockets."""
        host, _, port = self._listen.rpartition(":")
        sockets = bind_sockets(int(port), host)
        self.port = sockets[0].getsockname()[1]
        self._server = CallerHTTPServer(self._application, max_body_bytes=MAX_BODY_BYTES)
        self._server.add_sockets(sockets)

    async def drain(self) -> None:
        """Wait until each command that has been received is answered, then stop listening."""
        if self._server is not None:
            await self._server.finish_requests()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()


class OperatorHandler(RequestHandler):
    """Base of the operators' handlers: checks the token and writes problem responses."""

    def initialize(self, token: str, api: OperatorApi) -> None:
        """Set the objects that the server shares with its handlers."""
        self.api = api
        self._token = token

    def prepare(self) -> None:
        """Reject requests without the right token."""
        received = self.request.headers.get("Authorization", "").removeprefix("Bearer ")
        if not hmac.compare_digest(received.encode(), self._token.encode()):
            self.write_problem(401, "unauthorized", "the operators' token is missing or wrong")

    def write_problem(self, status: int, code: str, detail: str, **members: Any) -> None:
        """Send a problem as the response."""
        self.set_status(status)
        self.set_header("Content-Type", CONTENT_TYPE)
        kind = f"urn:cactuspass:problem:{code}"
        self.finish(json.dumps({"type": kind, "status": status, "detail": detail, **members}))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send an error of the HTTP layer as a problem."""
        self.write_problem(status_code, "http", self._reason)

    def log_exception(self, *args: Any) -> None:
        """Suppress Tornado's log of errors; the counters report them."""

    def write_failure(self, error: CactuspassError) -> None:
        """Send the problem that corresponds to an error."""
        if isinstance(error, CommandError):
            self.write_problem(400, "command", str(error), line=error.line, column=error.column)
        elif isinstance(error, PlatformError):
            self.write_problem(503, "platform", str(error))
        else:
            self.write_problem(409, "conflict", str(error))

    def read_body(self, model: type[BaseModel]) -> Any:
        """Return the validated body, or None after sending a problem because it is malformed."""
        try:
            return model.model_validate_json(self.request.body)
        except ValidationError as error:
            places = "; ".join(
                f"{'.'.join(map(str, finding['loc'])) or 'body'}: {finding['msg']}"
                for finding in error.errors()
            )
            self.write_problem(400, "bad-request", places)
            return None


class AskHandler(OperatorHandler):
    """Handles queries."""

    async def post(self) -> None:
        """Send the rows of a query."""
        body = self.read_body(_Ask)
        if body is None:
            return
        try:
            query = parse(body.query)
            if not isinstance(query, Query):
                raise CommandError("this is a command; use do")
            answer = await self.api.ask(query)
        except CactuspassError as error:
            self.write_failure(error)
            return
        self.write(
            {
                "columns": answer.found.columns,
                "rows": answer.found.rows,
                "unreachable": answer.unreachable,
            }
        )


class DoHandler(OperatorHandler):
    """Handles commands."""

    async def post(self) -> None:
        """Carry out a command and send its result."""
        body = self.read_body(_Do)
        if body is None:
            return
        try:
            command = parse(body.command)
            if isinstance(command, Query):
                raise CommandError("this is a query; use ask")
            answer = await self.api.order(command, body.wait_seconds)
        except CactuspassError as error:
            self.write_failure(error)
            return
        self.write(asdict(answer))


class BurnHandler(OperatorHandler):
    """Handles requests for the burn report."""

    async def get(self) -> None:
        """Send the rows of the report."""
        answer = await self.api.burn()
        rows: list[Mapping[str, Any]] = [asdict(row) for row in answer.rows]
        self.write({"rows": rows, "unreachable": answer.unreachable})


class UnknownHandler(OperatorHandler):
    """Handles paths that do not exist."""

    def get(self) -> None:
        """Send a problem with status 404."""
        self.write_problem(404, "not-found", f"no such path: {self.request.path}")

    post = get
