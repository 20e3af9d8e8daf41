"""The HTTP listener for callers."""

import asyncio
import contextlib
import json
import time
import uuid
from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler, stream_request_body

from cactuspass._caller_boundary import ReportRemoval
from cactuspass._caller_connections import FLUSH_SECONDS, STOPPING_PROBLEM, CallerHTTPServer
from cactuspass._caller_memory import CallerMemory
from cactuspass._caller_requests import MalformedRequest, RawRequest, RequestReader
from cactuspass._caller_stream import CallerStream, ends_at_close
from cactuspass._clock import now
from cactuspass._component import Component
from cactuspass._final_event import StreamTail
from cactuspass._problems import Problem, RunState, bad_request, problem_from_error
from cactuspass._request_body import RequestBody
from cactuspass._requests import SERVICE_PREFIX, Answer, CallerRequest
from cactuspass._running_requests import RunningRequests
from cactuspass.exceptions import AnswerCut, CactuspassError, RequestError
from cactuspass.models import CustomerId, RequestId

ANONYMOUS = CustomerId("anonymous")
IDEMPOTENCY_HEADER = "Idempotency-Key"
REQUEST_ID_HEADER = "X-Request-Id"
UNRELAYED_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "x-boot-id", "x-request-id", "server"}
)


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """Outcome of one caller's request.

    :param first_byte_seconds: time from arrival to the first byte; None if there was none.
    :param complete: whether the caller received the complete answer.
    """

    request: CallerRequest
    first_byte_seconds: float | None
    complete: bool


class CallerApi(ABC):
    """Operations of the entry process that the callers' listener uses."""

    @abstractmethod
    async def serve(self, request: CallerRequest, idempotency_key: str | None) -> Answer:
        """Serve a request and return its answer.

        :raises RequestError: if the request gets no answer.
        """

    @abstractmethod
    def observe(self, outcome: CallOutcome) -> None:
        """Record the outcome of a request."""

    @abstractmethod
    def models(self) -> tuple[str, ...]:
        """Return the names of the models that operators have declared."""

    @abstractmethod
    def is_ready(self) -> bool:
        """Return whether a load balancer may send requests to this entry."""

    @abstractmethod
    def is_draining(self) -> bool:
        """Return whether the process is shutting down."""


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Settings of the callers' listener.

    :param listen: ``host:port`` to listen on.
    :param customers_by_key: customer of each API key; if empty, every caller is served as one
        anonymous customer.
    :param body_bytes: largest body of a request.
    :param header_bytes: largest head of a request.
    """

    listen: str
    customers_by_key: Mapping[str, CustomerId]
    body_bytes: int
    header_bytes: int


class CallerServer(Component):
    """HTTP server for callers.

    :param memory: bounds on what all callers hold; None for those by default.
    :param report: called with each caller that loses its place.
    """

    def __init__(
        self,
        settings: CallerSettings,
        api: CallerApi,
        reader: RequestReader,
        memory: CallerMemory | None = None,
        report: ReportRemoval | None = None,
    ) -> None:
        self._settings = settings
        self._memory = memory
        self._report = report
        self._running = RunningRequests()
        context = {"settings": settings, "api": api, "reader": reader, "running": self._running}
        self._application = Application(
            [
                (r"/livez", LiveHandler, context),
                (r"/readyz", ReadyHandler, context),
                (r"/v1/models", ModelsHandler, context),
                (r"/v1/(?:chat/)?completions", CompletionHandler, context),
                (r"/services/([^/]+)(/.*)?", ServiceHandler, context),
                (r".*", UnknownHandler, context),
            ],
            log_function=lambda handler: None,
        )
        self._server: CallerHTTPServer | None = None
        self.port = 0

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self._settings.listen.rpartition(":")
        sockets = bind_sockets(int(port), host)
        self.port = sockets[0].getsockname()[1]
        self._server = CallerHTTPServer(
            self._application,
            memory=self._memory,
            report=self._report,
            max_body_bytes=self._settings.body_bytes,
            max_header_size=self._settings.header_bytes,
        )
        self._server.add_sockets(sockets)

    async def drain(self) -> None:
        """Wait until each request that has been received is answered, then stop listening."""
        if self._server is not None:
            await self._server.finish_requests()

    async def stop(self) -> None:
        """Stop listening, answer each request as far as it has got, and close all connections."""
        if self._server is not None:
            self._server.drain()
            self._server.refuse_partial_requests(STOPPING_PROBLEM)
            self._running.end()
            await self._server.wait_until_drained(now() + FLUSH_SECONDS)
            await self._server.close_all_connections()


@stream_request_body
class CallerHandler(RequestHandler):
    """Base of the callers' handlers: authentication, error responses and relaying of answers.

    The body is received as a stream, so that small parts of it are held together.
    """

    def initialize(
        self,
        settings: CallerSettings,
        api: CallerApi,
        reader: RequestReader,
        running: RunningRequests,
    ) -> None:
        """Store the objects that the server shares with its handlers."""
        self.settings_ = settings
        self.running = running
        self.api = api
        self.reader = reader
        self.request_id = RequestId(uuid.uuid4().hex)
        self._serving: asyncio.Task[None] | None = None
        self._body = RequestBody()

    def data_received(self, chunk: bytes) -> None:
        """Add a part of the body."""
        self._body.add(chunk)

    def set_default_headers(self) -> None:
        """Remove the Server header, which names the software."""
        self.clear_header("Server")

    def compute_etag(self) -> None:
        """Compute no entity tag; upstreams send their own."""
        return

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that disconnected, and release what it sent."""
        self._body.clear()
        if self._serving is not None:
            self._serving.cancel()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer an error of the HTTP layer with a problem document."""
        self.write_problem(bad_request(self._reason, status_code))

    def log_exception(self, *args: Any) -> None:
        """Log nothing; outcomes are counted instead."""

    def write_problem(self, problem: Problem) -> None:
        """Answer with a problem document."""
        self.set_status(problem.status)
        for name, value in problem.headers().items():
            self.set_header(name, value)
        self.set_header(REQUEST_ID_HEADER, str(self.request_id))
        self._announce_close_if_draining()
        self.finish(problem.body())

    def _announce_close_if_draining(self) -> None:
        """State in the response that the connection will be closed, if the process shuts down."""
        if not self.api.is_draining():
            return
        self.set_header("Connection", "close")
        if self._stream is not None:
            self._stream.is_close_announced = True

    @property
    def _stream(self) -> CallerStream | None:
        """The connection of the caller; None after it was closed."""
        stream = getattr(self.request.connection, "stream", None)
        return stream if isinstance(stream, CallerStream) else None

    def on_finish(self) -> None:
        """Close the connection if the response ends with it."""
        if self._stream is not None:
            self._stream.end_response()

    def customer(self) -> CustomerId | None:
        """Return the customer of the request's API key, or None if the key is unknown."""
        keys = self.settings_.customers_by_key
        if not keys:
            return ANONYMOUS
        scheme, _, key = self.request.headers.get("Authorization", "").partition(" ")
        return keys.get(key.strip()) if scheme.lower() == "bearer" else None

    def raw_request(self, customer: CustomerId, path: str) -> RawRequest:
        """Return the request as it was received.

        :param path: path to send to the upstream, with its query if it has one.
        """
        return RawRequest(
            self.request_id,
            customer,
            self.request.method or "",
            path,
            tuple(self.request.headers.get_all()),
            self._body.take(),
        )

    async def run_and_relay(self, raw: RawRequest, model: str | None) -> None:
        """Read one request, serve it and relay its answer to the last byte.

        :param model: name of the plain service; None for a model request, whose body names it.
        """
        try:
            self._serving = asyncio.create_task(self._run(raw, model))
            await self._serving
        except asyncio.CancelledError:
            return

    async def _run(self, raw: RawRequest, model: str | None) -> None:
        try:
            if model is None:
                request = self.reader.read_completion(raw)
            else:
                request = self.reader.read_service(raw, model)
        except MalformedRequest as error:
            self.write_problem(bad_request(str(error)))
            return
        started_at = time.monotonic()
        first_byte_seconds: float | None = None
        complete = False
        try:
            async with self.running.until_shutdown():
                answer = await self.api.serve(request, raw.header(IDEMPOTENCY_HEADER))
                first_byte_seconds = time.monotonic() - started_at
                complete = await self._relay(answer, request)
        except RequestError as error:
            if self._headers_written:
                self._close()
            else:
                self.write_problem(problem_from_error(error))
        finally:
            self.api.observe(CallOutcome(request, first_byte_seconds, complete))

    async def _relay(self, answer: Answer, request: CallerRequest) -> bool:
        """Relay the answer to the caller; return whether it was relayed completely.

        An engine's stream counts as complete once its final event has been sent, even if the
        connection to the engine breaks afterwards.
        """
        complete = await self._send_answer(answer, request)
        if self._stream is not None:
            self._stream.is_answered = complete
        return complete

    async def _send_answer(self, answer: Answer, request: CallerRequest) -> bool:
        """Send the head and the body of the answer; return whether the body was complete."""
        tail = StreamTail()
        self.set_status(answer.status)
        self.clear_header("Content-Type")
        for name, value in answer.headers:
            if name.lower() not in UNRELAYED_HEADERS:
                self.add_header(name, value)
        self.set_header(REQUEST_ID_HEADER, str(self.request_id))
        self._announce_close_if_draining()
        answer.body.on_cancel(self._close)
        if self._stream is not None:
            self._stream.response_ends_at_close = ends_at_close(self.request.version, self._headers)
        try:
            await self.flush()
            async for chunk in answer.body.chunks():
                self.write(chunk)
                await self.flush()
                tail.add(chunk)
        except CactuspassError as error:
            if self._is_event_stream() and not request.is_service and tail.is_complete:
                return True
            await self._end_broken_answer(error, tail)
            return False
        except StreamClosedError:
            answer.body.cancel(AnswerCut("the caller disconnected"))
            return False
        except BaseException:
            answer.body.cancel(AnswerCut("the caller disconnected"))
            raise
        return True

    async def _end_broken_answer(self, error: CactuspassError, tail: StreamTail) -> None:
        """End a broken answer so that it cannot look complete.

        An error event is sent only between two events: after a part of an event, the client would
        read it as the rest of that event.
        """
        if self._is_event_stream() and tail.is_between_events:
            problem = problem_from_error(AnswerCut(str(error)))
            event = {"error": {"message": problem.detail, "type": problem.code}}
            self.write(b"data: " + json.dumps(event).encode() + b"\n\n")
            with contextlib.suppress(StreamClosedError):
                await self.flush()
        self._close()

    def _is_event_stream(self) -> bool:
        """Return whether the answer is a stream of server-sent events."""
        return str(self._headers.get("Content-Type", "")).startswith("text/event-stream")

    def _close(self) -> None:
        """Close the connection without the regular end of an answer."""
        connection = self.request.connection
        if connection is not None:
            connection.close()  # type: ignore[attr-defined]


class LiveHandler(CallerHandler):
    """Liveness probe."""

    def get(self) -> None:
        """Answer 200 as long as the process runs."""
        self.write({"live": True})


class ReadyHandler(CallerHandler):
    """Readiness probe for load balancers."""

    def get(self) -> None:
        """Answer 200 if ready, else 503."""
        ready = self.api.is_ready()
        self.set_status(200 if ready else 503)
        self.write({"ready": ready, "draining": self.api.is_draining()})


class ModelsHandler(CallerHandler):
    """Lists the declared models."""

    def get(self) -> None:
        """Answer in the format of the OpenAI models endpoint."""
        if self.customer() is None:
            self.write_problem(bad_request("unknown API key", 401, "unauthorized"))
            return
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "cactuspass"}
            for name in self.api.models()
        ]
        self.write({"object": "list", "data": models})


class CompletionHandler(CallerHandler):
    """Serves model requests."""

    async def post(self) -> None:
        """Serve one completion."""
        customer = self.customer()
        if customer is None:
            self.write_problem(bad_request("unknown API key", 401, "unauthorized"))
            return
        await self.run_and_relay(self.raw_request(customer, self.request.path), None)


class ServiceHandler(CallerHandler):
    """Serves requests to plain services, with any method."""

    SUPPORTED_METHODS = (*RequestHandler.SUPPORTED_METHODS, "TRACE")

    async def serve_request(self, service: str, rest: str | None = None) -> None:
        """Serve one request."""
        customer = self.customer()
        if customer is None:
            self.write_problem(bad_request("unknown API key", 401, "unauthorized"))
            return
        # The raw path is forwarded unchanged; decoding and encoding it again could alter it.
        raw_rest = self.request.uri.split("/", 3)[3:] if self.request.uri else []
        path = "/" + "".join(raw_rest)
        await self.run_and_relay(self.raw_request(customer, path), SERVICE_PREFIX + service)

    get = head = post = put = patch = delete = options = serve_request


class UnknownHandler(CallerHandler):
    """Answers requests for unknown paths."""

    def prepare(self) -> None:
        """Answer 404 to every method."""
        problem = Problem(
            404, "not-found", "No such path", self.request.path, RunState.NOT_RUN, None
        )
        self.write_problem(problem)
