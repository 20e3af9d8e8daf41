"""Logs a line for each change of this entry's state."""

import asyncio
from dataclasses import dataclass

from cactuspass._component import LoopComponent
from cactuspass._logs import StateLog
from cactuspass._tables import Tables
from cactuspass.models import GroupId

COMPARE_INTERVAL_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class _LoggedState:
    """The part of the state whose changes are logged."""

    configuration_revision: int
    placement_version: int
    may_hold: bool
    serving: frozenset[GroupId]
    held: frozenset[GroupId]
    peers: frozenset[str]


class StateChanges(LoopComponent):
    """Compares the tables with their previous state at an interval and logs the differences."""

    def __init__(self, tables: Tables, log: StateLog) -> None:
        super().__init__()
        self._tables = tables
        self._log = log

    async def run_loop(self) -> None:
        """Log changes until cancelled."""
        before = self._current_state()
        while True:
            await asyncio.sleep(COMPARE_INTERVAL_SECONDS)
            after = self._current_state()
            if after != before:
                self._log_changes(before, after)
            before = after

    def _current_state(self) -> _LoggedState:
        tables = self._tables
        held = tables.held_groups_by_id
        return _LoggedState(
            -1 if tables.configuration is None else tables.configuration.revision,
            0 if tables.placement is None else tables.placement.version,
            tables.local.may_hold,
            frozenset(name for name, row in held.items() if row.serving),
            frozenset(held),
            frozenset(name for name, row in tables.entries_by_id.items() if row.connected),
        )

    def _log_changes(self, before: _LoggedState, after: _LoggedState) -> None:
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
