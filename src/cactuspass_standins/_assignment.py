"""Membership of an engine in a group, and rank 0's monitoring of the other members."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from cactuspass_standins._events import EventReader
from cactuspass_standins._stand_in import Json

MEMBER_RETRY_SECONDS = 0.1
MEMBER_TIMEOUT_SECONDS = 2.0


class StaleFence(Exception):
    """An order has a lower fencing number than an order accepted before."""


@dataclass(frozen=True, slots=True)
class Assignment:
    """Membership of one engine in one generation of a group.

    :param members: addresses of all members, in the order of their ranks.
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
        """Parse a load order.

        :raises KeyError: when a field is missing.
        :raises ValueError: when a field has an invalid value.
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

    def can_reuse_weights_of(self, other: "Assignment") -> bool:
        """Return whether the weights loaded for the other assignment fit this one too."""
        return self._shard() == other._shard()

    def is_same_group(self, other: "Assignment") -> bool:
        """Return whether both are for the same generation of the same group."""
        return (self.group, self.generation) == (other.group, other.generation)

    def _shard(self) -> tuple[object, ...]:
        return (self.model, self.version, self.adapters, self.rank, len(self.members))


class GroupMonitor:
    """Tracks for rank 0 which other members are ready, from their status events.

    :param on_change: called when a member becomes ready or stops being ready.
    """

    def __init__(self, assignment: Assignment, on_change: Callable[[], None]) -> None:
        self.assignment = assignment
        self._on_change = on_change
        self._last_status_at_by_address: dict[str, float] = {}
        others = [address for rank, address in enumerate(assignment.members) if rank > 0]
        self._ready_by_address = dict.fromkeys(others, False)
        loop = asyncio.get_running_loop()
        self._readers = [
            EventReader(address, partial(self._handle_event, address)) for address in others
        ]
        self._tasks = [loop.create_task(self._read_events(reader)) for reader in self._readers]
        self._tasks.append(loop.create_task(self._check_timeouts()))

    @property
    def all_members_ready(self) -> bool:
        """Return whether all other members are ready in this generation."""
        return all(self._ready_by_address.values())

    def stop(self) -> None:
        """Stop monitoring and close the connections to the members."""
        for task in self._tasks:
            task.cancel()
        for reader in self._readers:
            reader.close()

    async def _read_events(self, reader: EventReader) -> None:
        while True:
            await reader.read()
            self._set_ready(reader.address, False)
            await asyncio.sleep(MEMBER_RETRY_SECONDS)

    async def _check_timeouts(self) -> None:
        while True:
            await asyncio.sleep(MEMBER_RETRY_SECONDS)
            oldest = time.monotonic() - MEMBER_TIMEOUT_SECONDS
            for address, last_status_at in self._last_status_at_by_address.items():
                if last_status_at < oldest:
                    self._set_ready(address, False)

    def _handle_event(self, address: str, event: Json) -> None:
        if event["event"] != "status":
            return
        self._last_status_at_by_address[address] = time.monotonic()
        reported = (event["group"], tuple(event["generation"]), event["state"])
        expected = (self.assignment.group, self.assignment.generation, "ready")
        self._set_ready(address, reported == expected)

    def _set_ready(self, address: str, ready: bool) -> None:
        if self._ready_by_address[address] != ready:
            self._ready_by_address[address] = ready
            self._on_change()
