"""Consistency checks across the sections of the settings file."""

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

WILDCARD = "*"
SectionT = TypeVar("SectionT", bound=Section)


@dataclass(frozen=True, slots=True)
class ParsedEntry(Generic[SectionT]):
    """A valid entry of a list in the settings file, with its place."""

    place: str
    section: SectionT


def check_sections(source: str, document: Mapping[str, Any]) -> tuple[Finding, ...]:
    """Check the consistency of the valid entries of a document.

    :param document: the parsed file, which may contain other mistakes.
    """
    kinds = _parse_entries(document, "upstream_kinds", UpstreamKindSettings)
    services = _parse_entries(document, "services", ServiceSettings)
    customers = _parse_entries(document, "customers", CustomerSettings)
    objectives = _parse_entries(document, "objectives", ObjectiveSettings)
    mistakes = (
        *_find_duplicate_names("kind", ((f"{e.place}.kind", e.section.kind) for e in kinds)),
        *_find_duplicate_names("service", ((f"{e.place}.name", e.section.name) for e in services)),
        *_find_duplicate_names("customer", ((f"{e.place}.id", e.section.id) for e in customers)),
        *_find_shared_api_keys(customers),
        *_find_invalid_ramps(kinds),
        *_find_invalid_service_kinds(
            services, kinds, _declared_names(document, "upstream_kinds", "kind")
        ),
        *_find_unknown_customers(objectives, _declared_names(document, "customers", "id")),
        *_find_invalid_deadlines(document),
    )
    return tuple(Finding(source, mistake.place, mistake.message) for mistake in mistakes)


@dataclass(frozen=True, slots=True)
class _Mistake:
    place: str
    message: str


def _parse_entries(
    document: Mapping[str, Any], key: str, section: type[SectionT]
) -> list[ParsedEntry[SectionT]]:
    values = document.get(key, [])
    if not isinstance(values, list):
        return []
    numbered = enumerate(values, start=1)
    parsed = ((number, _parse(section, value)) for number, value in numbered)
    return [ParsedEntry(f"{key}.{number}", entry) for number, entry in parsed if entry is not None]


def _declared_names(document: Mapping[str, Any], key: str, field: str) -> set[str]:
    values = document.get(key, [])
    entries = values if isinstance(values, list) else []
    named = (entry.get(field) for entry in entries if isinstance(entry, dict))
    return {name for name in named if isinstance(name, str)}


def _parse(section: type[SectionT], value: Any) -> SectionT | None:
    try:
        return section.model_validate(value)
    except ValidationError:
        return None


def _find_duplicate_names(noun: str, names: Iterable[tuple[str, str]]) -> Iterator[_Mistake]:
    seen: set[str] = set()
    for place, name in names:
        if name in seen:
            yield _Mistake(place, f"{noun} {name!r} is declared twice")
        seen.add(name)


def _find_shared_api_keys(customers: Iterable[ParsedEntry[CustomerSettings]]) -> Iterator[_Mistake]:
    customers_by_key: dict[str, CustomerId] = {}
    for entry in customers:
        customer_id = customers_by_key.setdefault(entry.section.api_key, entry.section.id)
        if customer_id != entry.section.id:
            yield _Mistake(f"{entry.place}.api_key", f"same key as customer {customer_id!r}")


def _find_invalid_ramps(kinds: Iterable[ParsedEntry[UpstreamKindSettings]]) -> Iterator[_Mistake]:
    return (
        _Mistake(f"{entry.place}.cold_requests", "must not exceed full_requests")
        for entry in kinds
        if entry.section.cold_requests > entry.section.full_requests
    )


def _find_invalid_service_kinds(
    services: Iterable[ParsedEntry[ServiceSettings]],
    kinds: Iterable[ParsedEntry[UpstreamKindSettings]],
    declared: set[str],
) -> Iterator[_Mistake]:
    engine_kinds = {entry.section.kind for entry in kinds if entry.section.is_engine}
    for entry in services:
        kind = entry.section.kind
        if kind not in declared:
            yield _Mistake(f"{entry.place}.kind", f"kind {kind!r} is not declared")
        elif kind in engine_kinds:
            yield _Mistake(f"{entry.place}.kind", f"kind {kind!r} is not a plain service")


def _find_unknown_customers(
    objectives: Iterable[ParsedEntry[ObjectiveSettings]], declared: set[str]
) -> Iterator[_Mistake]:
    return (
        _Mistake(f"{entry.place}.customer", f"customer {entry.section.customer!r} is not declared")
        for entry in objectives
        if entry.section.customer not in {WILDCARD, *declared}
    )


def _find_invalid_deadlines(document: Mapping[str, Any]) -> Iterator[_Mistake]:
    limits = _parse(LimitSettings, document.get("limits", {}))
    if limits is not None and limits.default_deadline_seconds > limits.max_deadline_seconds:
        yield _Mistake("limits.default_deadline_seconds", "must not exceed max_deadline_seconds")
