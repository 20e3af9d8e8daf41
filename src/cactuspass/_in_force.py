"""The configuration that this entry has applied, and which entries have confirmed a change."""

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
class ConfirmationStatus:
    """The entries that have and have not confirmed a change.

    :param confirmed: entries that have reported the change.
    :param unconfirmed: entries that have not reported it, or from which no heartbeat has come.
    """

    confirmed: tuple[EntryId, ...]
    unconfirmed: tuple[EntryId, ...]


def has_configuration(tables: Tables) -> bool:
    """Return whether this entry has received a configuration."""
    return tables.configuration is not None


def take_outs_in_force(tables: Tables) -> dict[TakeOutTag, TakeOut]:
    """Return the take-outs that this entry applies, both committed and pending."""
    committed = tables.configuration.take_outs_by_tag if tables.configuration else {}
    return {**tables.pending_take_outs_by_tag, **committed}


def is_taken_out(tables: Tables, kind: TakeOutKind, target: str) -> bool:
    """Return whether a target is taken out and must receive no new work."""
    take_outs = take_outs_in_force(tables).values()
    return any((take_out.kind, take_out.target) == (kind, target) for take_out in take_outs)


def confirmation_status(
    tables: Tables, revision: int, tags: Iterable[TakeOutTag] = ()
) -> ConfirmationStatus:
    """Return which entries have confirmed a revision and take-outs.

    :param revision: lowest revision of the configuration that counts as confirmed.
    :param tags: take-outs that the entry must also have.
    """
    required_tags = frozenset(tags)
    listed = {
        EntryId(record.instance_id)
        for record in tables.records_by_id.values()
        if record.role is InstanceRole.ENTRY
    }
    entry_ids = sorted(listed | tables.entries_by_id.keys() | {tables.local.entry_id})
    confirmed = tuple(
        entry_id
        for entry_id in entry_ids
        if _has_confirmed(tables, entry_id, revision, required_tags)
    )
    unconfirmed = tuple(entry_id for entry_id in entry_ids if entry_id not in confirmed)
    return ConfirmationStatus(confirmed, unconfirmed)


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
    """Return the tags that a peer has because its revision is at least that of this entry."""
    is_current = row.configuration_revision >= _own_revision(tables)
    return _committed_tags(tables.configuration) if is_current else set()


def _own_revision(tables: Tables) -> int:
    return tables.configuration.revision if tables.configuration else 0


def _committed_tags(configuration: Configuration | None) -> set[TakeOutTag]:
    if configuration is None:
        return set()
    return {*configuration.take_outs_by_tag, *configuration.cancelled}


def _known_tags(tables: Tables) -> set[TakeOutTag]:
    return _committed_tags(tables.configuration) | tables.pending_take_outs_by_tag.keys()


class ConfigurationSystem(System):
    """Applies only higher revisions and keeps take-outs pending until they are committed."""

    def run(self, tables: Tables, inputs: Sequence[Input], now: float) -> Iterable[Order]:
        """Apply configurations and take-outs; raise an alarm when the store has reverted."""
        orders: list[Order] = []
        for message in inputs:
            if isinstance(message, ConfigurationRead):
                orders += self._apply_read(tables, message, now)
            elif isinstance(message, TakeOutsReceived):
                received = {take_out.tag: take_out for take_out in message.take_outs}
                tables.pending_take_outs_by_tag = {**received, **tables.pending_take_outs_by_tag}
        committed = _committed_tags(tables.configuration)
        tables.pending_take_outs_by_tag = {
            tag: take_out
            for tag, take_out in tables.pending_take_outs_by_tag.items()
            if tag not in committed
        }
        return orders

    def _apply_read(
        self, tables: Tables, message: ConfigurationRead, now: float
    ) -> list[AlarmChanged]:
        read = message.configuration
        current = tables.configuration
        _keep_take_outs(tables, read)
        if current is None or read.revision > current.revision:
            tables.configuration = read
            current = read
        if not message.from_platform:
            return []
        if read == current:
            return clear_alarm(tables, AlarmKind.STORE_REVERTED, ALARM_SUBJECT)
        detail = f"the platform has revision {read.revision}, in force is {current.revision}"
        return raise_alarm(tables, AlarmKind.STORE_REVERTED, ALARM_SUBJECT, detail, now)


def choose_write_base(tables: Tables, read: Configuration) -> Configuration:
    """Return the configuration that a change is based on.

    This is the newer of the platform's copy and this entry's copy. Writing on top of this entry's
    copy repairs a store that was restored to an older state.

    :param read: configuration read from the platform.
    """
    own = tables.configuration
    return own if own is not None and own.revision > read.revision else read


def _keep_take_outs(tables: Tables, read: Configuration) -> None:
    """Add the take-outs that neither copy has cancelled to the pending ones.

    Take-outs therefore survive a store that reverted to an older state and lost some. Afterwards
    :meth:`ConfigurationSystem.run` drops those that the current copy contains or has cancelled.
    """
    current = tables.configuration or Configuration()
    cancelled = {*current.cancelled, *read.cancelled}
    both = {**current.take_outs_by_tag, **read.take_outs_by_tag}
    kept = {tag: take_out for tag, take_out in both.items() if tag not in cancelled}
    tables.pending_take_outs_by_tag = {**kept, **tables.pending_take_outs_by_tag}
