"""Mistakes in files and documents, each with its place, collected to be reported together."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import chain, islice

from pydantic import ValidationError
from pydantic_core import ErrorDetails

MAX_FINDINGS_OF_DOCUMENT = 50
MAX_MESSAGE_LENGTH = 200  # characters


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


def findings_from_error(
    source: str, error: ValidationError, prefix: Sequence[int | str] = ()
) -> tuple[Finding, ...]:
    """Convert a validation error to findings.

    At most ``MAX_FINDINGS_OF_DOCUMENT`` mistakes are converted; a last finding counts the others.

    :param prefix: location of the validated part within the source.
    """
    mistakes = error.errors(include_url=False, include_context=False, include_input=False)
    findings = [
        Finding(source, format_place(chain(prefix, mistake["loc"])), _message(mistake))
        for mistake in islice(mistakes, MAX_FINDINGS_OF_DOCUMENT)
    ]
    if len(mistakes) > len(findings):
        further = len(mistakes) - len(findings)
        findings.append(Finding(source, "", f"{further} further mistakes"))
    return tuple(findings)


def _message(mistake: ErrorDetails) -> str:
    """Return a message of bounded length; that of a check of this project may cite the value."""
    if mistake["type"] == "extra_forbidden":
        return "unknown key"
    if mistake["type"] == "missing":
        return "required key is missing"
    return mistake["msg"].removeprefix("Value error, ")[:MAX_MESSAGE_LENGTH]
