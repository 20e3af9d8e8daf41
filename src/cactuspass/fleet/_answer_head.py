"""Heads of HTTP responses, and how they are matched with requests."""

from dataclasses import dataclass

from cactuspass._status_codes import is_informational

NO_BODY_STATUSES = frozenset({204, 304})

Header = tuple[str, str]


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: tuple[Header, ...]

    @property
    def is_success(self) -> bool:
        """Whether the status is in the 2xx range."""
        return 200 <= self.status < 300

    @property
    def is_informational(self) -> bool:
        """Whether the status is in the 1xx range, so that another head follows."""
        return is_informational(self.status)

    @property
    def states_body(self) -> bool:
        """Whether a length that is not zero, or a coding such as chunks, is stated."""
        length = self.get("content-length")
        return length not in (None, "0") or self.get("transfer-encoding") is not None

    @property
    def body_ends_at_close(self) -> bool:
        """Whether the body has neither a length nor chunks, and ends with the connection."""
        return (
            not self.is_informational
            and self.status not in NO_BODY_STATUSES
            and self.get("content-length") is None
            and self.get("transfer-encoding") is None
        )

    @property
    def media_type(self) -> str:
        """Type of the body in lower case, without parameters; empty if it is not stated."""
        return (self.get("content-type") or "").partition(";")[0].strip().lower()

    def get(self, name: str) -> str | None:
        """Return the value of the first header with a name, which is given in lower case."""
        return next((value for key, value in self.headers if key == name), None)


@dataclass(frozen=True, slots=True)
class IdCheck:
    """A response header that identifies the request, and its expected value."""

    header: str
    value: str
