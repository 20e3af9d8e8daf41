"""HTTP handlers of a stand-in engine: the OpenAI-style API and the orders."""

import uuid
from abc import ABC, abstractmethod
from http import HTTPStatus
from typing import TYPE_CHECKING

from tornado.escape import json_encode
from tornado.web import HTTPError

from cactuspass_standins._assignment import Assignment, StaleFence
from cactuspass_standins._batch import EngineRequest, RequestState
from cactuspass_standins._events import EVENTS_PATH, EventsHandler
from cactuspass_standins._prompt import Prompt, requested_tokens
from cactuspass_standins._stand_in import Json, Route, StandInHandler, abort_connection
from cactuspass_standins._upstream import UpstreamCrashed

if TYPE_CHECKING:
    from cactuspass_standins._engine import Engine


class CompletionFormat(ABC):
    """Builds the JSON objects of one completion API.

    :param request_id: id of the request, returned as the id of the completion.
    :param model: name of the model, echoed from the request.
    """

    def __init__(self, request_id: str, model: str) -> None:
        self.request_id = request_id
        self.model = model

    @abstractmethod
    def chunk(self, text: str, finish_reason: str | None = None) -> Json:
        """Return one object of a streamed completion.

        :param text: generated text; empty in the last object.
        :param finish_reason: set in the last object only.
        """

    @abstractmethod
    def full_response(self, text: str) -> Json:
        """Return the object of a completion that is not streamed."""

    def envelope(self, kind: str, choice: Json) -> Json:
        """Return an object with the fields that all objects share.

        :param kind: value of the ``object`` field.
        """
        return {
            "id": self.request_id,
            "object": kind,
            "created": 0,
            "model": self.model,
            "choices": [{"index": 0} | choice],
        }


class ChatFormat(CompletionFormat):
    """Format of ``/v1/chat/completions``."""

    def chunk(self, text: str, finish_reason: str | None = None) -> Json:
        """Return one ``chat.completion.chunk``."""
        delta = {"role": "assistant", "content": text} if text else {}
        choice = {"delta": delta, "finish_reason": finish_reason}
        return self.envelope("chat.completion.chunk", choice)

    def full_response(self, text: str) -> Json:
        """Return one ``chat.completion``."""
        message = {"role": "assistant", "content": text}
        choice = {"message": message, "finish_reason": "length"}
        return self.envelope("chat.completion", choice)


class TextFormat(CompletionFormat):
    """Format of ``/v1/completions``."""

    def chunk(self, text: str, finish_reason: str | None = None) -> Json:
        """Return one streamed ``text_completion``."""
        choice = {"text": text, "logprobs": None, "finish_reason": finish_reason}
        return self.envelope("text_completion", choice)

    def full_response(self, text: str) -> Json:
        """Return one ``text_completion``."""
        return self.chunk(text, "length")


def completion_format(request: EngineRequest) -> CompletionFormat:
    """Return the format of the API that the request was sent to."""
    format_class = ChatFormat if request.is_chat else TextFormat
    return format_class(request.request_id, request.model)


class EngineHandler(StandInHandler):
    """Base class of the engine's handlers."""

    stand_in: "Engine"

    async def prepare(self) -> None:
        """Add the boot id and the request id to the response headers."""
        await super().prepare()
        self.set_header("X-Boot-Id", self.stand_in.boot_id)
        if request_id := self.request.headers.get("X-Request-Id"):
            self.set_header("X-Request-Id", request_id)

    def refuse(self, status: HTTPStatus, message: str) -> None:
        """Respond with an OpenAI-style error; the request has not run."""
        self.set_status(status)
        error = {"message": message, "type": status.phrase, "code": status.value}
        self.finish({"error": error})


class StreamingHandler(EngineHandler):
    """Base class of handlers that stream a completion token by token."""

    engine_request: EngineRequest | None = None

    async def send_stream(
        self, request: EngineRequest, response_format: CompletionFormat, first: int
    ) -> None:
        """Send all chunks from a token position on, then the final events.

        :param first: position of the first token to send.
        """
        self.set_header("Content-Type", "text/event-stream")
        position, truncate_at = first, self.stand_in.pop_truncation(request)
        while position != truncate_at and await self.wait_for_token(request, position):
            end = (
                request.produced_tokens
                if truncate_at is None
                else min(truncate_at, request.produced_tokens)
            )
            tokens = map(request.prompt.completion_token, range(position, end))
            if not await self.write_events(
                json_encode(response_format.chunk(token)) for token in tokens
            ):
                return
            position = end
        is_complete = request.state is RequestState.COMPLETED and position >= request.max_tokens
        if position == truncate_at or not is_complete:
            abort_connection(self)
            return
        await self.write_events([json_encode(response_format.chunk("", "length")), "[DONE]"])

    async def wait_for_token(self, request: EngineRequest, position: int) -> bool:
        """Wait until the token at a position was generated.

        :return: False when no further token will be sent on this connection.
        """
        while not self.is_closed:
            await self.stand_in.wait_until_thawed()
            if request.state is RequestState.BROKEN:
                return False
            if position < request.produced_tokens:
                return True
            if request.state is not RequestState.RUNNING:
                return False
            request.progress.clear()
            await request.progress.wait()
        return False

    def attach(self, request: EngineRequest) -> None:
        """Register this handler as a reader of the completion."""
        self.engine_request = request
        request.reader_count += 1

    def release_resources(self) -> None:
        """Detach from the request, which is cancelled unless its stream can be resumed."""
        if self.engine_request is not None:
            self.stand_in.detach(self.engine_request)
            self.engine_request.progress.set()
            self.engine_request = None


class CompletionsHandler(StreamingHandler):
    """Handles ``/v1/chat/completions`` and ``/v1/completions``."""

    async def post(self, api: str | None) -> None:
        """Run the request, unless the engine does not serve the requested group and generation."""
        body = self.json_body()
        if self.is_closed or self.refuse_if_not_serving():
            return
        request = self.read_request(body, is_chat=api is not None)
        self.attach(request)
        try:
            self.stand_in.accept(request)
        except UpstreamCrashed:
            abort_connection(self)
            return
        response_format = completion_format(request)
        if body.get("stream"):
            await self.send_stream(request, response_format, 0)
        else:
            await self.send_response(request, response_format)

    def refuse_if_not_serving(self) -> bool:
        """Respond with an error when the engine does not serve the request.

        :return: whether the request was refused.
        """
        engine, headers = self.stand_in, self.request.headers
        assignment = engine.assignment
        group = assignment.group if assignment else ""
        major, minor = assignment.generation if assignment else (0, 0)
        own = (group, f"{major}.{minor}")
        requested = (headers.get("X-Group", own[0]), headers.get("X-Generation", own[1]))
        if requested != own or (assignment is not None and assignment.rank != 0):
            engine.counters.refused_generation += 1
            self.refuse(HTTPStatus.CONFLICT, f"this is {own}, not {requested}")
            return True
        if not engine.is_serving:
            engine.counters.refused_not_ready += 1
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, "the group is not ready")
            return True
        return False

    def read_request(self, body: Json, is_chat: bool) -> EngineRequest:
        """Build the engine request from the body and the headers.

        :raises HTTPError: status 400 when the body or a header is invalid.
        """
        headers = self.request.headers
        try:
            return EngineRequest(
                request_id=headers.get("X-Request-Id", uuid.uuid4().hex),
                model=str(body.get("model", "")),
                is_chat=is_chat,
                prompt=Prompt.from_body(body),
                max_tokens=requested_tokens(body),
                priority=int(headers.get("X-Priority", "1")),
                resumable=headers.get("X-Resumable") == "1" and bool(body.get("stream")),
            )
        except (TypeError, ValueError, AttributeError) as error:
            raise HTTPError(HTTPStatus.BAD_REQUEST, str(error)) from error

    async def send_response(
        self, request: EngineRequest, response_format: CompletionFormat
    ) -> None:
        """Send the complete response once all tokens were generated."""
        last, truncate_at = request.max_tokens - 1, self.stand_in.pop_truncation(request)
        is_complete = await self.wait_for_token(request, min(last, truncate_at or last))
        if truncate_at is not None or not is_complete:
            abort_connection(self)
            return
        prompt, tokens = request.prompt.tokens, request.max_tokens
        usage = {
            "prompt_tokens": prompt,
            "completion_tokens": tokens,
            "total_tokens": prompt + tokens,
        }
        self.finish(
            response_format.full_response(request.prompt.completion(tokens)) | {"usage": usage}
        )


class ResumeHandler(StreamingHandler):
    """Resumes a stream whose connection was lost."""

    async def get(self, request_id: str) -> None:
        """Send the chunks from position ``from`` on."""
        request = self.stand_in.requests_by_id.get(request_id)
        if request is None or not request.resumable:
            self.refuse(HTTPStatus.NOT_FOUND, "no such stream")
            return
        self.set_header("X-Request-Id", request_id)
        self.attach(request)
        self.stand_in.counters.resumed += 1
        first = int(self.get_query_argument("from", "0"))
        await self.send_stream(request, completion_format(request), first)


class OrdersHandler(EngineHandler):
    """Receives orders to load a model as a member of a group, or to unload it."""

    def post(self) -> None:
        """Execute the order, unless its fencing number is refused."""
        order = self.json_body()
        try:
            self.execute(order)
        except StaleFence as error:
            self.refuse(HTTPStatus.CONFLICT, str(error))
            return
        except (KeyError, TypeError, ValueError) as error:
            raise HTTPError(HTTPStatus.BAD_REQUEST, str(error)) from error
        self.write({"accepted": True})

    def execute(self, order: Json) -> None:
        """Execute a load or unload order.

        :raises StaleFence: when the fencing number is refused.
        :raises ValueError: when the order is unknown or invalid.
        """
        if order["order"] == "load":
            self.stand_in.load_model(Assignment.from_order(order), int(order["fence"]))
        elif order["order"] == "unload":
            self.stand_in.unload(int(order["fence"]))
        else:
            raise ValueError(f"unknown order: {order['order']}")


class CancelHandler(EngineHandler):
    """Cancels a request by its id."""

    def post(self) -> None:
        """Cancel the request if it is running."""
        request = self.stand_in.requests_by_id.get(self.json_body().get("request_id", ""))
        if request is not None:
            self.stand_in.cancel(request)
        self.write({"cancelled": request is not None})


class ModelsHandler(EngineHandler):
    """Lists the loaded model and its adapters."""

    def get(self) -> None:
        """Respond with an OpenAI-style list of models."""
        assignment = self.stand_in.assignment
        names = (assignment.model, *assignment.adapters) if assignment else ()
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "standin"} for name in names
        ]
        self.write({"object": "list", "data": data})


ENGINE_ROUTES: list[Route] = [
    (r"/v1/(chat/)?completions", CompletionsHandler),
    (r"/v1/models", ModelsHandler),
    (EVENTS_PATH, EventsHandler),
    (r"/cactuspass/orders", OrdersHandler),
    (r"/cactuspass/cancel", CancelHandler),
    (r"/cactuspass/streams/([^/]+)", ResumeHandler),
]
