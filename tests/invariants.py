"""Checks of invariants against the counters of the upstream stand-ins.

Each check returns all violations that it finds, each with its place.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

PEAK_RATIO = "peak_over_bearable"


@dataclass(frozen=True, slots=True)
class Violation:
    """Violation of one invariant.

    :param rule: invariant that is violated.
    :param place: upstream, instance, request id or key for which it is violated.
    """

    rule: str
    place: str
    detail: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.place}: {self.detail}"


@dataclass(frozen=True, slots=True)
class Counts:
    """Counters of upstream stand-ins, by the names of the stand-ins."""

    by_name: Mapping[str, Mapping[str, Any]]

    def total(self, counter: str, prefix: str = "") -> int:
        """Return the sum of a counter over the stand-ins whose name begins with a prefix."""
        return sum(
            int(counts.get(counter, 0))
            for name, counts in self.by_name.items()
            if name.startswith(prefix)
        )

    def merged(self, counter: str) -> Counter[str]:
        """Return the sum of a counter by key over all stand-ins."""
        return sum(
            (Counter(counts.get(counter, {})) for counts in self.by_name.values()), Counter()
        )


def no_partial_group(counts: Counts) -> list[Violation]:
    """Find complete answers of groups that had a member that was not ready."""
    return _where_above_zero(counts, "no partial group serves", "partial_completed")


def no_over_admission(counts: Counts) -> list[Violation]:
    """Find upstreams that failed because of more requests or tokens than they can run."""
    return _where_above_zero(counts, "no upstream gets more than it can run", "fell_over")


def within_concurrency_limit(counts: Counts) -> list[Violation]:
    """Find upstreams that held more requests than they can run concurrently when one arrived."""
    return [
        Violation("no upstream holds more than it can run", name, f"peak {found[PEAK_RATIO]:.2f}")
        for name, found in sorted(counts.by_name.items())
        if found.get(PEAK_RATIO, 0.0) > 1.0
    ]


def no_shared_instance(groups: Iterable[Mapping[str, Any]]) -> list[Violation]:
    """Find instances that are listed in more than one place of the operators' view of groups."""
    places = Counter(
        instance for row in groups for instance in f"{row['members']} {row['spares']}".split()
    )
    return [
        Violation("an instance is in one group", instance, f"in {number} places")
        for instance, number in places.items()
        if number > 1
    ]


def none_accepted(counts: Counts, request_ids: Iterable[str]) -> list[Violation]:
    """Find requests that an upstream accepted although they were refused as not run."""
    accepted = counts.merged("accepted_by_request_id")
    return [
        Violation(
            "a request refused as not run has not run", request_id, f"accepted {number} times"
        )
        for request_id in request_ids
        if (number := accepted[request_id])
    ]


def no_arrival_while_leaving(counts: Counts) -> list[Violation]:
    """Find upstreams that got requests after they had reported that they are leaving."""
    return _where_above_zero(counts, "a leaving upstream gets no requests", "arrived_while_leaving")


def at_most_once(counts: Counts, keys: Iterable[str] | None = None) -> list[Violation]:
    """Find idempotency keys that ran more than once."""
    runs = counts.merged("runs_by_idempotency_key")
    checked = runs if keys is None else {key: runs[key] for key in keys}
    return [
        Violation("at most once", key, f"ran {number} times")
        for key, number in checked.items()
        if number > 1
    ]


def not_run(counts: Counts, keys: Iterable[str]) -> list[Violation]:
    """Find requests that ran although they were refused as not run."""
    runs = counts.merged("runs_by_idempotency_key")
    return [
        Violation("a request refused as not run has not run", key, f"ran {runs[key]} times")
        for key in keys
        if runs[key]
    ]


def no_double_send(counts: Counts) -> list[Violation]:
    """Find requests that reached upstreams more than once."""
    accepted = counts.merged("accepted_by_request_id")
    return [
        Violation("a request is sent once", request_id, f"accepted {number} times")
        for request_id, number in accepted.items()
        if number > 1
    ]


def _where_above_zero(counts: Counts, rule: str, counter: str) -> list[Violation]:
    return [
        Violation(rule, name, f"{counter} = {found[counter]}")
        for name, found in sorted(counts.by_name.items())
        if found.get(counter, 0)
    ]
