"""The configuration that this entry has in force, and where else a change is."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cactuspass._alarms import clear_alarm, raise_alarm
from cactuspass._core import System
from cactuspass._messages import (
    AlarmChanged,
    AlarmKind,
    ConfigurationRead,
    Input,
    Order,
    TakeOutsReceived,
)
from cactuspass._tables import EntryRow, Tables
from cactuspass.models import (
    Configuration,
    EntryId,
    InstanceRole,
    TakeOut,
    TakeOutKind,
    TakeOutTag,
)

ALARM_SUBJECT = "configuration"


@dataclass(frozen=True, slots=True)
class InForce:
    """Where a change is in force.

    :param confirmed: entries that said that they have it.
    :param unconfirmed: entries that have not, or were never heard.
    """

    confirmed: tuple[EntryId, ...]
    unconfirmed: tuple[EntryId, ...]


def is_ready(tables: Tables) -> bool:
    """Tell whether this entry has a configuration at all."""
    return tables.configuration is not None


def take_outs_in_force(tables: Tables) -> dict[TakeOutTag, TakeOut]:
    """Return the take-outs that this entry obeys, committed and pending ones."""
    committed = tables.configuration.take_outs_by_tag if tables.configuration else {}
    return {**tables.pending_take_outs_by_tag, **committed}


def is_taken_out(tables: Tables, kind: TakeOutKind, target: str) -> bool:
    """Tell whether a target must get no new work."""
    orders = take_outs_in_force(tables).values()
    return any((order.kind, order.target) == (kind, target) for order in orders)


def where_in_force(tables: Tables, revision: int, tags: Iterable[TakeOutTag] = ()) -> InForce:
    """Tell which entries have confirmed a revision and take-outs.

    :param revision: revision that must be reached.
    :param tags: take-outs that must be known besides.
    """
    wanted = frozenset(tags)
    listed = {
        EntryId(record.instance_id)
        for record in tables.records_by_id.values()
        if record.role is InstanceRole.ENTRY
    }
    everyone = sorted(listed | tables.entries_by_id.keys() | {tables.local.entry_id})
    confirmed = tuple(name for name in everyone if _has_confirmed(tables, name, revision, wanted))
    unconfirmed = tuple(name for name in everyone if name not in confirmed)
    return InForce(confirmed, unconfirmed)


def _has_confirmed(
    tables: Tables, entry_id: EntryId, revision: int, tags: frozenset[TakeOutTag]
) -> bool:
    if entry_id == tables.local.entry_id:
        return _own_revision(tables) >= revision and tags <= _known_tags(tables)
    row = tables.entries_by_id.get(entry_id)
    if row is None or row.configuration_revision < revision:
        return False
    return tags <= set(row.take_out_tags) | _tags_of_row(tables, row)


def _tags_of_row(tables: Tables, row: EntryRow) -> set[TakeOutTag]:
    """Return the tags that a peer knows because it has the configuration of this entry."""
    has_ours = row.configuration_revision >= _own_revision(tables)
    return _committed_tags(tables.configuration) if has_ours else set()


def _own_revision(tables: Tables) -> int:
    return tables.configuration.revision if tables.configuration else 0


def _committed_tags(configuration: Configuration | None) -> set[TakeOutTag]:
    if configuration is None:
        return set()
    return {*configuration.take_outs_by_tag, *configuration.cancelled}


def _known_tags(tables: Tables) -> set[TakeOutTag]:
    return _committed_tags(tables.configuration) | tables.pending_take_outs_by_tag.keys()


class ConfigurationSystem(System):
    """Applies higher revisions only, and keeps take-outs until the platform has them."""

    def run(self, tables: Tables, inputs: Sequence[Input], now: float) -> Iterable[Order]:
        """Apply what was read and heard, and raise the alarm of a store that went back."""
        orders: list[Order] = []
        for message in inputs:
            if isinstance(message, ConfigurationRead):
                orders += self._note_read(tables, message, now)
            elif isinstance(message, TakeOutsReceived):
                heard = {order.tag: order for order in message.take_outs}
                tables.pending_take_outs_by_tag = {**heard, **tables.pending_take_outs_by_tag}
        known = _committed_tags(tables.configuration)
        tables.pending_take_outs_by_tag = {
            tag: order for tag, order in tables.pending_take_outs_by_tag.items() if tag not in known
        }
        return orders

    def _note_read(
        self, tables: Tables, message: ConfigurationRead, now: float
    ) -> list[AlarmChanged]:
        read = message.configuration
        held = tables.configuration
        _keep_take_outs(tables, read)
        if held is None or read.revision > held.revision:
            tables.configuration = read
            held = read
        if not message.from_platform:
            return []
        if read == held:
            return clear_alarm(tables, AlarmKind.STORE_REVERTED, ALARM_SUBJECT)
        detail = f"the platform has revision {read.revision}, in force is {held.revision}"
        return raise_alarm(tables, AlarmKind.STORE_REVERTED, ALARM_SUBJECT, detail, now)


def base_for_write(tables: Tables, read: Configuration) -> Configuration:
    """Choose what a change starts from: the newer of the platform's copy and the own one.

    A write on top of the own copy repairs a store that was restored to an older state.
    """
    own = tables.configuration
    return own if own is not None and own.revision > read.revision else read


def _keep_take_outs(tables: Tables, read: Configuration) -> None:
    """Keep the take-outs of both copies, also when the store went back and lost some.

    Those that the copy in force has, or has cancelled, are dropped from the pending ones.
    """
    held = tables.configuration or Configuration()
    cancelled = {*held.cancelled, *read.cancelled}
    both = {**held.take_outs_by_tag, **read.take_outs_by_tag}
    kept = {tag: order for tag, order in both.items() if tag not in cancelled}
    tables.pending_take_outs_by_tag = {**kept, **tables.pending_take_outs_by_tag}
