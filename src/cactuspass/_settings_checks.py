"""Checks between the sections of the settings file."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from pydantic import ValidationError

from cactuspass._findings import Finding
from cactuspass._settings_sections import (
    CustomerSettings,
    LimitSettings,
    ObjectiveSettings,
    Section,
    ServiceSettings,
    UpstreamKindSettings,
)
from cactuspass.models import CustomerId

EVERY = "*"
SectionT = TypeVar("SectionT", bound=Section)


@dataclass(frozen=True, slots=True)
class Entry(Generic[SectionT]):
    """A valid entry of a list of the settings file, with its place."""

    place: str
    section: SectionT


def check_sections(source: str, document: Mapping[str, Any]) -> tuple[Finding, ...]:
    """Check the valid entries of a document against each other.

    :param document: the parsed file, which may have other mistakes.
    """
    kinds = _entries(document, "upstream_kinds", UpstreamKindSettings)
    services = _entries(document, "services", ServiceSettings)
    customers = _entries(document, "customers", CustomerSettings)
    objectives = _entries(document, "objectives", ObjectiveSettings)
    remarks = (
        *_duplicates("kind", ((f"{e.place}.kind", e.section.kind) for e in kinds)),
        *_duplicates("service", ((f"{e.place}.name", e.section.name) for e in services)),
        *_duplicates("customer", ((f"{e.place}.id", e.section.id) for e in customers)),
        *_repeated_keys(customers),
        *_ramps(kinds),
        *_unknown_kinds(services, kinds, _names(document, "upstream_kinds", "kind")),
        *_unknown_customers(objectives, _names(document, "customers", "id")),
        *_deadlines(document),
    )
    return tuple(Finding(source, remark.place, remark.message) for remark in remarks)


@dataclass(frozen=True, slots=True)
class _Remark:
    place: str
    message: str


def _entries(
    document: Mapping[str, Any], key: str, section: type[SectionT]
) -> list[Entry[SectionT]]:
    values = document.get(key, [])
    if not isinstance(values, list):
        return []
    numbered = enumerate(values, start=1)
    parsed = ((number, _parse(section, value)) for number, value in numbered)
    return [Entry(f"{key}.{number}", entry) for number, entry in parsed if entry is not None]


def _names(document: Mapping[str, Any], key: str, field: str) -> set[str]:
    values = document.get(key, [])
    entries = values if isinstance(values, list) else []
    named = (entry.get(field) for entry in entries if isinstance(entry, dict))
    return {name for name in named if isinstance(name, str)}


def _parse(section: type[SectionT], value: Any) -> SectionT | None:
    try:
        return section.model_validate(value)
    except ValidationError:
        return None


def _duplicates(noun: str, names: Iterable[tuple[str, str]]) -> Iterator[_Remark]:
    seen: set[str] = set()
    for place, name in names:
        if name in seen:
            yield _Remark(place, f"{noun} {name!r} is declared twice")
        seen.add(name)


def _repeated_keys(customers: Iterable[Entry[CustomerSettings]]) -> Iterator[_Remark]:
    owners_by_key: dict[str, CustomerId] = {}
    for entry in customers:
        owner = owners_by_key.setdefault(entry.section.api_key, entry.section.id)
        if owner != entry.section.id:
            yield _Remark(f"{entry.place}.api_key", f"same key as customer {owner!r}")


def _ramps(kinds: Iterable[Entry[UpstreamKindSettings]]) -> Iterator[_Remark]:
    return (
        _Remark(f"{entry.place}.cold_requests", "must not exceed full_requests")
        for entry in kinds
        if entry.section.cold_requests > entry.section.full_requests
    )


def _unknown_kinds(
    services: Iterable[Entry[ServiceSettings]],
    kinds: Iterable[Entry[UpstreamKindSettings]],
    declared: set[str],
) -> Iterator[_Remark]:
    engine_kinds = {entry.section.kind for entry in kinds if entry.section.is_engine}
    for entry in services:
        kind = entry.section.kind
        if kind not in declared:
            yield _Remark(f"{entry.place}.kind", f"kind {kind!r} is not declared")
        elif kind in engine_kinds:
            yield _Remark(f"{entry.place}.kind", f"kind {kind!r} is not a plain service")


def _unknown_customers(
    objectives: Iterable[Entry[ObjectiveSettings]], declared: set[str]
) -> Iterator[_Remark]:
    return (
        _Remark(f"{entry.place}.customer", f"customer {entry.section.customer!r} is not declared")
        for entry in objectives
        if entry.section.customer not in {EVERY, *declared}
    )


def _deadlines(document: Mapping[str, Any]) -> Iterator[_Remark]:
    limits = _parse(LimitSettings, document.get("limits", {}))
    if limits is not None and limits.default_deadline_seconds > limits.max_deadline_seconds:
        yield _Remark("limits.default_deadline_seconds", "must not exceed max_deadline_seconds")
