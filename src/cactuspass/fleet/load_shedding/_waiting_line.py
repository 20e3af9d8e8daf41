"""Requests that wait at this instance for one of its slots, the most urgent first."""

import itertools
from bisect import bisect_right, insort
from dataclasses import dataclass, field
from typing import Generic, TypeVar

ItemT = TypeVar("ItemT")

# A turn later than this part of the longest wait may come too late, since requests take longer or
# shorter than on average.
MAX_EXPECTED_SHARE = 0.8


@dataclass(order=True, slots=True)
class Place(Generic[ItemT]):
    """A place in the line."""

    priority: int
    number: int
    item: ItemT = field(compare=False)


class WaitingLine(Generic[ItemT]):
    """The requests for one model that wait."""

    def __init__(self) -> None:
        self._places: list[Place[ItemT]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._places)

    def __contains__(self, place: Place[ItemT]) -> bool:
        """Return whether a request still waits."""
        return any(other is place for other in self._places)

    def may_join(self, priority: int, slot_interval: float, max_wait: float) -> bool:
        """Return whether the turn of a request is expected in time.

        :param slot_interval: seconds between two slots that become free.
        :param max_wait: seconds after which its turn comes too late.
        """
        ahead = bisect_right(self._places, priority, key=lambda place: place.priority)
        return (ahead + 1) * slot_interval <= MAX_EXPECTED_SHARE * max_wait

    def join(self, priority: int, item: ItemT) -> Place[ItemT]:
        """Add a request behind those that are as urgent."""
        place = Place(priority, next(self._numbers), item)
        insort(self._places, place)
        return place

    def leave(self, place: Place[ItemT]) -> None:
        """Remove a request."""
        self._places.remove(place)

    @property
    def first(self) -> Place[ItemT] | None:
        """The request whose turn is next."""
        return self._places[0] if self._places else None
