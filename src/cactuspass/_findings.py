"""Mistakes in files and documents, each with its place, collected to be reported together."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import chain

from pydantic_core import ErrorDetails


@dataclass(frozen=True, slots=True)
class Finding:
    """One mistake in a file or document.

    :param source: file or document that holds the mistake.
    :param place: dotted path of keys, with list entries counted from 1; or line and column.
    :param message: description of the mistake.
    """

    source: str
    place: str
    message: str

    def __str__(self) -> str:
        return ": ".join(part for part in (self.source, self.place, self.message) if part)


def format_findings(findings: Iterable[Finding]) -> str:
    """Return the findings as text, one per line."""
    return "\n".join(map(str, findings))


def format_place(location: Iterable[int | str]) -> str:
    """Return a location as a dotted path, with list entries counted from 1."""
    return ".".join(str(part + 1) if isinstance(part, int) else part for part in location)


def findings_from_errors(
    source: str, errors: Sequence[ErrorDetails], prefix: Sequence[int | str] = ()
) -> tuple[Finding, ...]:
    """Convert validation errors to findings that do not contain the rejected values.

    :param prefix: location of the validated part within the source.
    """
    return tuple(
        Finding(source, format_place(chain(prefix, error["loc"])), _message(error))
        for error in errors
    )


def _message(error: ErrorDetails) -> str:
    if error["type"] == "extra_forbidden":
        return "unknown key"
    if error["type"] == "missing":
        return "required key is missing"
    return error["msg"].removeprefix("Value error, ")
