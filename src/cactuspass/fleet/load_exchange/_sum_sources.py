"""The last sums of one data centre, by the coordinator that sent them."""

from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

from cactuspass.models import EntryId

SUMS_VALID_SECONDS = 1.5
# Of two coordinators that were heard lately, the one that counts more instances is used. A new
# coordinator begins only when the one before has been silent for that long.
RIVAL_SECONDS = 1.0
MILLI = 1000.0


class Sums(Protocol):
    """What the sums of all kinds have in common."""

    @property
    def coordinator(self) -> str:
        """The instance that has summed up."""

    @property
    def instances(self) -> int:
        """Number of instances of its data centre whose states are counted."""

    @property
    def age_ms(self) -> int:
        """Mean age of these states."""

    @property
    def part(self) -> int:
        """Number of this part."""

    @property
    def parts(self) -> int:
        """Number of parts."""


S = TypeVar("S", bound=Sums)


@dataclass(frozen=True, slots=True)
class ReceivedSums(Generic[S]):
    """One part of the sums of a data centre.

    :param number: number of this instance's own state that the sums include; 0 for none.
    :param at: clock value at which they were received.
    """

    sums: S
    number: int
    at: float

    def age(self, at: float) -> float:
        """Return the age of the content in seconds."""
        return at - self.at + self.sums.age_ms / MILLI


@dataclass(slots=True)
class _Source(Generic[S]):
    """The last sums of a coordinator, by part.

    When the number of parts changes, the new ones are used once all of them have come.
    """

    parts: int
    received_by_part: dict[int, ReceivedSums[S]] = field(default_factory=dict)
    next_parts: int = 0
    next_by_part: dict[int, ReceivedSums[S]] = field(default_factory=dict)

    def add(self, received: ReceivedSums[S]) -> None:
        """Add a part that was received."""
        sums = received.sums
        if sums.parts == self.parts:
            self.received_by_part[sums.part] = received
            return
        if sums.parts != self.next_parts:
            self.next_parts, self.next_by_part = sums.parts, {}
        self.next_by_part[sums.part] = received
        if len(self.next_by_part) == sums.parts:
            self.parts, self.received_by_part = self.next_parts, self.next_by_part
            self.next_parts, self.next_by_part = 0, {}

    def rank(self, at: float) -> tuple[bool, int, float]:
        """Return what to compare with rival coordinators."""
        newest = max(self.received_by_part.values(), key=lambda received: received.at)
        is_recent = at - newest.at <= RIVAL_SECONDS
        return is_recent, newest.sums.instances if is_recent else 0, newest.at


class SumSources(Generic[S]):
    """The last sums of one data centre."""

    def __init__(self) -> None:
        self._sources: dict[EntryId, _Source[S]] = {}

    def record(self, number: int, sums: S, at: float) -> None:
        """Record sums that were received."""
        coordinator = EntryId(sums.coordinator)
        source = self._sources.get(coordinator)
        if source is None:
            source = self._sources[coordinator] = _Source(sums.parts)
        source.add(ReceivedSums(sums, number, at))

    def remove(self, coordinator: EntryId) -> None:
        """Remove the sums of a coordinator."""
        self._sources.pop(coordinator, None)

    def current(self, at: float) -> list[ReceivedSums[S]]:
        """Return the parts of the sums to use, and remove those that are too old."""
        for coordinator, source in list(self._sources.items()):
            source.received_by_part = {
                part: received
                for part, received in source.received_by_part.items()
                if received.age(at) <= SUMS_VALID_SECONDS
            }
            if not source.received_by_part:
                del self._sources[coordinator]
        if not self._sources:
            return []
        best = max(self._sources.values(), key=lambda source: source.rank(at))
        return list(best.received_by_part.values())
