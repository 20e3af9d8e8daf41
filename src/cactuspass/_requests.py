"""Callers' requests and their answers, as the edges pass them on."""

from collections.abc import Callable
from dataclasses import dataclass

from cactuspass._byte_queue import ByteQueue
from cactuspass.models import CustomerId, Priority, RequestId

SERVICE_PREFIX = "service:"
Header = tuple[str, str]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request of a caller, read whole.

    :param model: model, or ``service:NAME`` for a plain service.
    :param tokens: prompt plus requested output tokens, estimated.
    :param deadline: time by which the first byte is wanted, by the local monotonic clock.
    :param repeatable: whether a second run would do no harm.
    :param prefixes: hashes of the prompt's leading blocks, longest last.
    :param returning: whether the caller comes back after a refusal.
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
        """Whether a plain service answers it."""
        return self.model.startswith(SERVICE_PREFIX)


@dataclass(slots=True)
class Answer:
    """An answer whose body may still be arriving.

    :param is_open: tells whether its connection is whole at this very moment.
    """

    status: int
    headers: tuple[Header, ...]
    body: ByteQueue
    is_open: Callable[[], bool] = lambda: True

    def header(self, name: str) -> str | None:
        """Return the first value of a header field, or None."""
        return next((value for key, value in self.headers if key.lower() == name.lower()), None)
