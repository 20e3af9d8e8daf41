"""Callers' requests as they arrive, and how they are written for upstreams."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from cactuspass._problems import Problem
from cactuspass.exceptions import RequestError
from cactuspass.fleet._connections import AnswerHead, Header
from cactuspass.fleet._pool import OutgoingRequest
from cactuspass.fleet._upstreams import Upstream
from cactuspass.models import CustomerId, ModelId, RequestId


class MalformedRequest(RequestError):
    """A request that cannot be understood; it has not run.

    :param status: HTTP status for the caller.
    """

    def __init__(self, detail: str, status: int = 400) -> None:
        super().__init__(detail)
        self.status = status


@dataclass(frozen=True, slots=True)
class InboundRequest:
    """One attempt of a caller, read whole.

    :param host: value of the Host header.
    :param headers: headers that may be passed on.
    :param arrived_at: clock value at which its head had arrived.
    :param caller_timeout: seconds that the caller waits; None when it does not say.
    :param key: the caller's key; never passed on.
    :param model: model that is to answer; None for a plain service.
    :param prompt_tokens: tokens to read.
    :param output_tokens: most tokens to write.
    :param last_event_id: id of the last event of a stream that the caller already has.
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
    last_event_id: str | None = None


@dataclass(frozen=True, slots=True)
class SendDetails:
    """What an attempt at one upstream adds to a request.

    :param seconds_left: time after which nobody waits for the answer.
    :param customer: holder of the request's key.
    :param last_event_id: id of the last event that the caller has by now.
    """

    upstream: Upstream
    seconds_left: float
    priority: int
    customer: CustomerId | None
    last_event_id: str | None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Requests at an upstream, as an answer tells."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class RequestedBackoff:
    """The time for which an upstream that turns a request away wants no other.

    :param seconds: None when the time cannot be read.
    :param text: the time as it was written.
    """

    seconds: float | None
    text: str


@dataclass(frozen=True, slots=True)
class AnswerNotes:
    """What the head of an answer says besides its status.

    :param not_run: whether the upstream states that it has not run the request.
    :param from_application: whether the answer comes from the upstream's application.
    :param leaving: whether the upstream says that it takes no new work until its process ends.
    :param backoff: None when the upstream asks for none.
    """

    not_run: bool
    from_application: bool
    load: LoadReport | None = None
    leaving: bool = False
    backoff: RequestedBackoff | None = None


class RequestFormat(ABC):
    """Reads callers' requests and upstreams' answers, and writes requests for upstreams."""

    @abstractmethod
    def read_request(
        self, method: str, target: str, headers: tuple[Header, ...], body: bytes, arrived_at: float
    ) -> InboundRequest:
        """Return the request that a caller sent.

        :raises MalformedRequest: when a header is missing or cannot be read.
        """

    @abstractmethod
    def write_request(self, request: InboundRequest, details: SendDetails) -> OutgoingRequest:
        """Return the request as the upstream gets it."""

    @abstractmethod
    def read_answer(self, head: AnswerHead) -> AnswerNotes:
        """Return what the head of an upstream's answer says."""

    @abstractmethod
    def answer_headers(self, head: AnswerHead) -> list[Header]:
        """Return the headers of an upstream's answer that the caller gets."""

    @abstractmethod
    def problem_headers(self, problem: Problem, request_id: RequestId | None) -> list[Header]:
        """Return the headers of a problem that this instance answers."""
