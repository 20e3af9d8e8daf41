"""The part of an engine in a group, and rank 0's watch over the other members."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from cactuspass_standins._events import EventReader
from cactuspass_standins._stand_in import Json

MEMBER_RETRY_SECONDS = 0.1
MEMBER_SILENCE_SECONDS = 2.0


class StaleFence(Exception):
    """An order has an older fencing number than one that was accepted."""


@dataclass(frozen=True, slots=True)
class Assignment:
    """One engine's part in one generation of a group.

    :param members: addresses of all members by rank.
    """

    group: str
    generation: tuple[int, int]
    rank: int
    members: tuple[str, ...]
    model: str
    version: str
    adapters: tuple[str, ...]

    @classmethod
    def from_order(cls, order: Json) -> "Assignment":
        """Read a load order.

        :raises KeyError: when a field is missing.
        :raises ValueError: when a field makes no sense.
        """
        major, minor = order["generation"]
        return cls(
            group=order["group"],
            generation=(int(major), int(minor)),
            rank=int(order["rank"]),
            members=tuple(order["members"]),
            model=order["model"],
            version=str(order["version"]),
            adapters=tuple(order["adapters"]),
        )

    def keeps_weights_of(self, other: "Assignment") -> bool:
        """Tell whether the weights loaded for the other serve this one too."""
        return self._shard() == other._shard()

    def is_same_group(self, other: "Assignment") -> bool:
        """Tell whether both are of one generation of one group."""
        return (self.group, self.generation) == (other.group, other.generation)

    def _shard(self) -> tuple[object, ...]:
        return (self.model, self.version, self.adapters, self.rank, len(self.members))


class GroupWatch:
    """Rank 0's knowledge of the other members, from their events.

    :param on_change: called when a member becomes ready or is lost.
    """

    def __init__(self, assignment: Assignment, on_change: Callable[[], None]) -> None:
        self.assignment = assignment
        self._on_change = on_change
        self._heard_at_by_address: dict[str, float] = {}
        others = [address for rank, address in enumerate(assignment.members) if rank > 0]
        self._ready_by_address = dict.fromkeys(others, False)
        loop = asyncio.get_running_loop()
        self._readers = [EventReader(address, partial(self._hear, address)) for address in others]
        self._tasks = [loop.create_task(self._follow(reader)) for reader in self._readers]
        self._tasks.append(loop.create_task(self._expire()))

    @property
    def is_whole(self) -> bool:
        """Tell whether all other members are ready in this generation."""
        return all(self._ready_by_address.values())

    def stop(self) -> None:
        """Close all connections to members."""
        for task in self._tasks:
            task.cancel()
        for reader in self._readers:
            reader.close()

    async def _follow(self, reader: EventReader) -> None:
        while True:
            await reader.read()
            self._set_ready(reader.address, False)
            await asyncio.sleep(MEMBER_RETRY_SECONDS)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(MEMBER_RETRY_SECONDS)
            oldest = time.monotonic() - MEMBER_SILENCE_SECONDS
            for address, heard_at in self._heard_at_by_address.items():
                if heard_at < oldest:
                    self._set_ready(address, False)

    def _hear(self, address: str, event: Json) -> None:
        if event["event"] != "status":
            return
        self._heard_at_by_address[address] = time.monotonic()
        reported = (event["group"], tuple(event["generation"]), event["state"])
        expected = (self.assignment.group, self.assignment.generation, "ready")
        self._set_ready(address, reported == expected)

    def _set_ready(self, address: str, ready: bool) -> None:
        if self._ready_by_address[address] != ready:
            self._ready_by_address[address] = ready
            self._on_change()
