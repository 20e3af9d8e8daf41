"""Logs one line for each change of this entry's own state."""

import asyncio
from dataclasses import dataclass

from cactuspass._component import LoopComponent
from cactuspass._logs import StateLog
from cactuspass._tables import Tables
from cactuspass.models import GroupId

LOOK_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class _Seen:
    """The states that are logged."""

    configuration_revision: int
    placement_version: int
    may_hold: bool
    serving: frozenset[GroupId]
    held: frozenset[GroupId]
    peers: frozenset[str]


class StateChanges(LoopComponent):
    """Compares the tables with what they were and logs the differences."""

    def __init__(self, tables: Tables, log: StateLog) -> None:
        super().__init__()
        self._tables = tables
        self._log = log

    async def run_loop(self) -> None:
        """Work until cancelled."""
        before = self._seen()
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            after = self._seen()
            if after != before:
                self._log_changes(before, after)
            before = after

    def _seen(self) -> _Seen:
        tables = self._tables
        held = tables.held_groups_by_id
        return _Seen(
            -1 if tables.configuration is None else tables.configuration.revision,
            0 if tables.placement is None else tables.placement.version,
            tables.local.may_hold,
            frozenset(name for name, row in held.items() if row.serving),
            frozenset(held),
            frozenset(name for name, row in tables.entries_by_id.items() if row.connected),
        )

    def _log_changes(self, before: _Seen, after: _Seen) -> None:
        if after.configuration_revision != before.configuration_revision:
            self._log.info("configuration in force", revision=after.configuration_revision)
        if after.placement_version != before.placement_version:
            self._log.info("placement adopted", version=after.placement_version)
        if after.may_hold != before.may_hold:
            self._log.info("may hold groups" if after.may_hold else "may not hold groups")
        for group_id in sorted(after.serving - before.serving):
            self._log.info("group serves", group=group_id)
        for group_id in sorted(before.serving - after.serving):
            self._log.warning("group stopped serving", group=group_id)
        for entry in sorted(after.peers - before.peers):
            self._log.info("peer connected", peer=entry)
        for entry in sorted(before.peers - after.peers):
            self._log.warning("peer lost", peer=entry)
