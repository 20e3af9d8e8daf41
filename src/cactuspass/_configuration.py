"""Holds the newest configuration and the take-outs that are in force."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cactuspass._core import System
from cactuspass._messages import ConfigurationRead, Input, Order, TakeOutsHeard
from cactuspass._tables import Tables
from cactuspass.models import EntryId, InstanceRole, TakeOutKind, TakeOutTag


class ConfigurationSystem(System):
    """Keep the highest revision and every pending take-out."""

    def run(self, tables: Tables, inputs: Sequence[Input], now: float) -> Iterable[Order]:
        """Apply what arrived."""
        for item in inputs:
            if isinstance(item, ConfigurationRead):
                held = tables.configuration
                if held is None or item.configuration.revision > held.revision:
                    tables.configuration = item.configuration
            elif isinstance(item, TakeOutsHeard):
                for take_out in item.take_outs:
                    tables.pending_take_outs_by_tag[take_out.tag] = take_out
        return ()


def is_taken_out(tables: Tables, kind: TakeOutKind, target: str) -> bool:
    """Return whether a take-out of the target is in force."""
    takes = () if tables.configuration is None else tables.configuration.take_outs_by_tag.values()
    items = (*takes, *tables.pending_take_outs_by_tag.values())
    return any(t.kind is kind and t.target == target for t in items)


@dataclass(frozen=True, slots=True)
class InForce:
    """Entries that have confirmed a change and those that have not."""

    confirmed: tuple[str, ...]
    unconfirmed: tuple[str, ...]


def where_in_force(tables: Tables, revision: int, tags: tuple[TakeOutTag, ...]) -> InForce:
    """Return which listed entries have confirmed a revision."""
    confirmed = [str(tables.local.entry_id)]
    unconfirmed: list[str] = []
    for record in tables.records_by_id.values():
        entry_id = EntryId(record.instance_id)
        if record.role is not InstanceRole.ENTRY or entry_id == tables.local.entry_id:
            continue
        row = tables.entries_by_id.get(entry_id)
        ok = row is not None and row.configuration_revision >= revision
        (confirmed if ok else unconfirmed).append(str(record.instance_id))
    return InForce(tuple(sorted(confirmed)), tuple(sorted(unconfirmed)))
