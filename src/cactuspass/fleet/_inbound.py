"""Requests as they arrive from callers, and their form for upstreams."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from cactuspass._problems import Problem
from cactuspass.exceptions import RequestError
from cactuspass.fleet._answer_head import AnswerHead, Header
from cactuspass.fleet._pool import OutgoingRequest
from cactuspass.fleet._upstreams import Upstream
from cactuspass.fleet.load_shedding import RequestSize
from cactuspass.fleet.prompt_parts import PromptPartId
from cactuspass.models import CustomerId, ModelId, RequestId


class MalformedRequest(RequestError):
    """A request that cannot be parsed; it has not run.

    :param status: HTTP status of the response to the caller.
    """

    def __init__(self, detail: str, status: int = 400) -> None:
        super().__init__(detail)
        self.status = status


@dataclass(frozen=True, slots=True)
class InboundRequest:
    """A complete request of a caller.

    :param host: value of the Host header.
    :param headers: headers that may be forwarded.
    :param arrived_at: clock value at which the request head had arrived.
    :param caller_timeout: seconds that the caller waits; None when the request does not state it.
    :param key: API key of the caller; never forwarded.
    :param model: requested model; None for a plain service.
    :param prompt_tokens: number of tokens in the prompt.
    :param output_tokens: maximum number of tokens to generate.
    :param expected_output_tokens: the caller's estimate of that number; None without one.
    :param last_event_id: id of the last event of a stream that the caller already has.
    :param shared_parts: parts of the prompt that other prompts may have too, in order.
    """

    request_id: RequestId
    method: str
    target: str
    host: str
    headers: tuple[Header, ...]
    body: bytes
    arrived_at: float
    caller_timeout: float | None = None
    key: str | None = None
    model: ModelId | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_output_tokens: int | None = None
    last_event_id: str | None = None
    shared_parts: tuple[PromptPartId, ...] = ()

    @property
    def size(self) -> RequestSize:
        """What the caller states about the size of the request."""
        return RequestSize(self.prompt_tokens, self.output_tokens, self.expected_output_tokens)


@dataclass(frozen=True, slots=True)
class SendDetails:
    """Details that an attempt at one upstream adds to a request.

    :param seconds_left: seconds until the deadline of the request.
    :param priority: priority of the request, where 0 is the most urgent.
    :param customer: customer that the request's key belongs to.
    :param last_event_id: id of the last event that the caller has received so far.
    """

    upstream: Upstream
    seconds_left: float
    priority: int
    customer: CustomerId | None
    last_event_id: str | None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Numbers of requests and slots at an upstream, as reported in a response."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class RequestedBackoff:
    """The time for which an upstream that rejects a request asks for no further requests.

    :param seconds: None when the value cannot be parsed.
    :param text: the value as the upstream sent it.
    """

    seconds: float | None
    text: str


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """The requests that an upstream accepts from all instances together.

    :param rate: requests per second; None when the value cannot be parsed.
    :param text: the value as the upstream sent it.
    """

    rate: float | None
    text: str


@dataclass(frozen=True, slots=True)
class AnswerNotes:
    """Information in the head of an upstream's response besides its status.

    :param not_run: whether the upstream states that it has not run the request.
    :param from_application: whether the response comes from the upstream's application itself.
    :param leaving: whether the upstream announces that its process takes no new requests.
    :param backoff: the requested backoff; None when there is none.
    :param limit: the stated limit; None when there is none.
    :param from_another: whether the response comes from another upstream than the intended one, so
        that what it states about its upstream is not about that one.
    """

    not_run: bool
    from_application: bool
    load: LoadReport | None = None
    leaving: bool = False
    backoff: RequestedBackoff | None = None
    limit: StatedLimit | None = None
    from_another: bool = False


class RequestFormat(ABC):
    """Reads requests of callers and responses of upstreams, and writes requests to upstreams."""

    @abstractmethod
    def read_request(
        self, method: str, target: str, headers: tuple[Header, ...], body: bytes, arrived_at: float
    ) -> InboundRequest:
        """Return the parsed request of a caller.

        :raises MalformedRequest: when a header is missing or invalid.
        """

    @abstractmethod
    def write_request(self, request: InboundRequest, details: SendDetails) -> OutgoingRequest:
        """Return the request to send to an upstream."""

    @abstractmethod
    def read_answer(self, head: AnswerHead) -> AnswerNotes:
        """Return the information in the head of an upstream's response."""

    @abstractmethod
    def answer_headers(self, head: AnswerHead) -> list[Header]:
        """Return the headers of an upstream's response that are passed on to the caller."""

    @abstractmethod
    def problem_headers(self, problem: Problem, request_id: RequestId | None) -> list[Header]:
        """Return the headers of a problem response that this instance sends."""
