"""Callers' requests and their answers, as they pass between the parts of a process."""

from collections.abc import Callable
from dataclasses import dataclass

from cactuspass._byte_queue import ByteQueue
from cactuspass.models import CustomerId, Priority, RequestId

SERVICE_PREFIX = "service:"
Header = tuple[str, str]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One complete request of a caller.

    :param model: model, or ``service:NAME`` for a plain service.
    :param tokens: estimate of the prompt tokens plus the requested output tokens.
    :param deadline: time by which the first byte is due, on the local monotonic clock.
    :param repeatable: whether running the request twice is harmless.
    :param prefixes: hashes of the leading parts of the prompt, longest part last.
    :param returning: whether the caller marked the request as a retry.
    """

    request_id: RequestId
    customer: CustomerId
    model: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    tokens: int
    priority: Priority
    deadline: float
    repeatable: bool
    prefixes: tuple[str, ...] = ()
    returning: bool = False

    @property
    def is_service(self) -> bool:
        """Whether the request goes to a plain service."""
        return self.model.startswith(SERVICE_PREFIX)


@dataclass(slots=True)
class Answer:
    """An answer whose body may still be arriving.

    :param is_open: returns whether the connection to the upstream is open now.
    """

    status: int
    headers: tuple[Header, ...]
    body: ByteQueue
    is_open: Callable[[], bool] = lambda: True

    def header(self, name: str) -> str | None:
        """Return the first value of a header field, or None if the field is missing."""
        return next((value for key, value in self.headers if key.lower() == name.lower()), None)
