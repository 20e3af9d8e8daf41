"""HTTP side of a stand-in engine: the OpenAI-style API and the orders."""

import uuid
from abc import ABC, abstractmethod
from http import HTTPStatus
from typing import TYPE_CHECKING

from tornado.escape import json_encode
from tornado.web import HTTPError

from cactuspass_standins._assignment import Assignment, StaleFence
from cactuspass_standins._batch import EngineRequest, Outcome
from cactuspass_standins._events import EVENTS_PATH, EventsHandler
from cactuspass_standins._prompt import Prompt, requested_tokens
from cactuspass_standins._stand_in import Json, Route, StandInHandler, abort_connection
from cactuspass_standins._upstream import FellOver

if TYPE_CHECKING:
    from cactuspass_standins._engine import Engine


class AnswerFormat(ABC):
    """How the objects of one API look.

    :param model: name of the model, echoed from the request.
    """

    def __init__(self, request_id: str, model: str) -> None:
        self.request_id = request_id
        self.model = model

    @abstractmethod
    def chunk(self, text: str, finish_reason: str | None = None) -> Json:
        """Return one streamed object; the first has all the fields of a beginning."""

    @abstractmethod
    def whole(self, text: str) -> Json:
        """Return the object of an answer that isn't streamed."""

    def envelope(self, kind: str, choice: Json) -> Json:
        """Return the fields that all objects share."""
        return {
            "id": self.request_id,
            "object": kind,
            "created": 0,
            "model": self.model,
            "choices": [{"index": 0} | choice],
        }


class ChatFormat(AnswerFormat):
    """Objects of ``/v1/chat/completions``."""

    def chunk(self, text: str, finish_reason: str | None = None) -> Json:
        """Return one ``chat.completion.chunk``."""
        delta = {"role": "assistant", "content": text} if text else {}
        choice = {"delta": delta, "finish_reason": finish_reason}
        return self.envelope("chat.completion.chunk", choice)

    def whole(self, text: str) -> Json:
        """Return one ``chat.completion``."""
        message = {"role": "assistant", "content": text}
        choice = {"message": message, "finish_reason": "length"}
        return self.envelope("chat.completion", choice)


class TextFormat(AnswerFormat):
    """Objects of ``/v1/completions``."""

    def chunk(self, text: str, finish_reason: str | None = None) -> Json:
        """Return one streamed ``text_completion``."""
        choice = {"text": text, "logprobs": None, "finish_reason": finish_reason}
        return self.envelope("text_completion", choice)

    def whole(self, text: str) -> Json:
        """Return one ``text_completion``."""
        return self.chunk(text, "length")


def answer_format(request: EngineRequest) -> AnswerFormat:
    """Return the format of the API that the request came by."""
    format_class = ChatFormat if request.is_chat else TextFormat
    return format_class(request.request_id, request.model)


class EngineHandler(StandInHandler):
    """Base of the engine's handlers."""

    stand_in: "Engine"

    async def prepare(self) -> None:
        """Name the life of the engine that answers and the request."""
        await super().prepare()
        self.set_header("X-Boot-Id", self.stand_in.boot_id)
        if request_id := self.request.headers.get("X-Request-Id"):
            self.set_header("X-Request-Id", request_id)

    def refuse(self, status: HTTPStatus, message: str) -> None:
        """Answer with an error; the request hasn't run."""
        self.set_status(status)
        error = {"message": message, "type": status.phrase, "code": status.value}
        self.finish({"error": error})


class StreamingHandler(EngineHandler):
    """Base of handlers that send an answer token by token."""

    running: EngineRequest | None = None

    async def send_stream(self, request: EngineRequest, shape: AnswerFormat, first: int) -> None:
        """Send all chunks from a token on, then the end of the stream."""
        self.set_header("Content-Type", "text/event-stream")
        position, cut_at = first, self.stand_in.take_truncation(request)
        while position != cut_at and await self.wait_for_token(request, position):
            end = request.produced if cut_at is None else min(cut_at, request.produced)
            tokens = map(request.prompt.answer_token, range(position, end))
            if not await self.write_events(json_encode(shape.chunk(token)) for token in tokens):
                return
            position = end
        is_whole = request.outcome is Outcome.COMPLETED and position >= request.max_tokens
        if position == cut_at or not is_whole:
            abort_connection(self)
            return
        await self.write_events([json_encode(shape.chunk("", "length")), "[DONE]"])

    async def wait_for_token(self, request: EngineRequest, position: int) -> bool:
        """Wait for a token; False when no more comes on this connection."""
        while not self.is_closed:
            await self.stand_in.wait_until_thawed()
            if request.outcome is Outcome.BROKEN:
                return False
            if position < request.produced:
                return True
            if request.outcome is not Outcome.RUNNING:
                return False
            request.progress.clear()
            await request.progress.wait()
        return False

    def attach(self, request: EngineRequest) -> None:
        """Become the reader of a request's answer."""
        self.running = request
        request.readers += 1

    def leave(self) -> None:
        """Cancel what still runs for the caller, unless it may resume."""
        if self.running is not None:
            self.stand_in.detach(self.running)
            self.running.progress.set()
            self.running = None


class CompletionsHandler(StreamingHandler):
    """Answers ``/v1/chat/completions`` and ``/v1/completions``."""

    async def post(self, api: str | None) -> None:
        """Run the request unless it is for another group or generation."""
        body = self.json_body()
        if self.is_closed or self.is_refused():
            return
        request = self.read_request(body, is_chat=api is not None)
        self.attach(request)
        try:
            self.stand_in.accept(request)
        except FellOver:
            abort_connection(self)
            return
        shape = answer_format(request)
        if body.get("stream"):
            await self.send_stream(request, shape, 0)
        else:
            await self.send_whole(request, shape)

    def is_refused(self) -> bool:
        """Answer a request that this engine doesn't serve."""
        engine, headers = self.stand_in, self.request.headers
        assignment = engine.assignment
        group = assignment.group if assignment else ""
        major, minor = assignment.generation if assignment else (0, 0)
        own = (group, f"{major}.{minor}")
        asked = (headers.get("X-Group", own[0]), headers.get("X-Generation", own[1]))
        if asked != own or (assignment is not None and assignment.rank != 0):
            engine.counters.refused_generation += 1
            self.refuse(HTTPStatus.CONFLICT, f"this is {own}, not {asked}")
            return True
        if not engine.is_serving:
            engine.counters.refused_not_ready += 1
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, "the group is not ready")
            return True
        return False

    def read_request(self, body: Json, is_chat: bool) -> EngineRequest:
        """Return what the engine is to run.

        :raises HTTPError: 400 when the body or a header makes no sense.
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

    async def send_whole(self, request: EngineRequest, shape: AnswerFormat) -> None:
        """Answer once all tokens are there."""
        last, cut_at = request.max_tokens - 1, self.stand_in.take_truncation(request)
        is_whole = await self.wait_for_token(request, min(last, cut_at or last))
        if cut_at is not None or not is_whole:
            abort_connection(self)
            return
        prompt, tokens = request.prompt.tokens, request.max_tokens
        usage = {
            "prompt_tokens": prompt,
            "completion_tokens": tokens,
            "total_tokens": prompt + tokens,
        }
        self.finish(shape.whole(request.prompt.answer(tokens)) | {"usage": usage})


class ResumeHandler(StreamingHandler):
    """Goes on with a stream whose connection broke."""

    async def get(self, request_id: str) -> None:
        """Send the chunks from number ``from`` on."""
        request = self.stand_in.requests_by_id.get(request_id)
        if request is None or not request.resumable:
            self.refuse(HTTPStatus.NOT_FOUND, "no such stream")
            return
        self.set_header("X-Request-Id", request_id)
        self.attach(request)
        self.stand_in.counters.resumed += 1
        first = int(self.get_query_argument("from", "0"))
        await self.send_stream(request, answer_format(request), first)


class OrdersHandler(EngineHandler):
    """Takes orders to load a model as a member of a group, or to leave it."""

    def post(self) -> None:
        """Carry out the order, unless its fencing number is refused."""
        order = self.json_body()
        try:
            self.carry_out(order)
        except StaleFence as error:
            self.refuse(HTTPStatus.CONFLICT, str(error))
            return
        except (KeyError, TypeError, ValueError) as error:
            raise HTTPError(HTTPStatus.BAD_REQUEST, str(error)) from error
        self.write({"accepted": True})

    def carry_out(self, order: Json) -> None:
        """Load or unload."""
        if order["order"] == "load":
            self.stand_in.load_model(Assignment.from_order(order), int(order["fence"]))
        elif order["order"] == "unload":
            self.stand_in.unload(int(order["fence"]))
        else:
            raise ValueError(f"no such order: {order['order']}")


class CancelHandler(EngineHandler):
    """Cancels a request by its id."""

    def post(self) -> None:
        """Stop the request if it runs."""
        request = self.stand_in.requests_by_id.get(self.json_body().get("request_id", ""))
        if request is not None:
            self.stand_in.cancel(request)
        self.write({"cancelled": request is not None})


class ModelsHandler(EngineHandler):
    """Lists the loaded model and its adapters."""

    def get(self) -> None:
        """Answer the OpenAI-style list of models."""
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
