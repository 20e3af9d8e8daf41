"""Changes of the operators' configuration, and the copy that this entry has in force."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from cactuspass._core import System
from cactuspass._messages import (
    AlarmChanged,
    AlarmKind,
    ConfigurationRead,
    Input,
    Order,
    TakeOutsHeard,
)
from cactuspass._tables import AlarmRow, EntryRow, Tables
from cactuspass.exceptions import ConfigurationConflict, ConfigurationError
from cactuspass.models import (
    Configuration,
    EntryId,
    GroupDeclaration,
    InstanceRole,
    OperationId,
    TakeOut,
    TakeOutKind,
    TakeOutTag,
)

KEPT_OPERATIONS = 64
KEPT_CANCELLED = 4096
ALARM_SUBJECT = "configuration"


def declare(
    configuration: Configuration,
    declaration: GroupDeclaration,
    operation_id: OperationId,
    seen_revision: int | None = None,
) -> Configuration:
    """Add a declaration or replace the one of the same name.

    :param seen_revision: revision that the operator saw; None to skip the check.
    :return: the next revision, or the same one when it has the operation already.
    :raises ConfigurationConflict: when another change was committed since.
    """
    if operation_id in configuration.operations:
        return configuration
    _check_seen(configuration, seen_revision)
    declarations = {**configuration.declarations_by_name, declaration.name: declaration}
    return _next(replace(configuration, declarations_by_name=declarations), operation_id)


def remove_declaration(
    configuration: Configuration,
    name: str,
    operation_id: OperationId,
    seen_revision: int | None = None,
) -> Configuration:
    """Remove a declaration.

    :raises ConfigurationConflict: when another change was committed since ``seen_revision``.
    :raises ConfigurationError: when there is no declaration of this name.
    """
    if operation_id in configuration.operations:
        return configuration
    _check_seen(configuration, seen_revision)
    if name not in configuration.declarations_by_name:
        raise ConfigurationError(f"no declaration is named {name!r}")
    kept = {
        key: declaration
        for key, declaration in configuration.declarations_by_name.items()
        if key != name
    }
    return _next(replace(configuration, declarations_by_name=kept), operation_id)


def take_out(
    configuration: Configuration, order: TakeOut, operation_id: OperationId
) -> Configuration:
    """Take a target out; take-outs commute, so no seen revision is needed."""
    if operation_id in configuration.operations:
        return configuration
    return _next(_add_take_outs(configuration, (order,)), operation_id)


def merge_take_outs(
    configuration: Configuration, pending: Iterable[TakeOut], operation_id: OperationId
) -> Configuration:
    """Add take-outs that were accepted while the platform was out.

    :return: the same configuration when it has, or has cancelled, all of them.
    """
    merged = _add_take_outs(configuration, pending)
    return configuration if merged == configuration else _next(merged, operation_id)


def return_target(
    configuration: Configuration,
    kind: TakeOutKind,
    target: str,
    seen_tags: Iterable[TakeOutTag],
    operation_id: OperationId,
) -> Configuration:
    """Cancel the take-outs of a target that the operator has seen, and no others.

    :param seen_tags: tags that the operator saw, also those not yet in the configuration.
    """
    if operation_id in configuration.operations:
        return configuration
    others = {
        tag
        for tag, order in configuration.take_outs_by_tag.items()
        if (order.kind, order.target) != (kind, target)
    }
    cancelled = set(seen_tags) - others
    new = sorted(cancelled - set(configuration.cancelled))
    kept = {
        tag: order for tag, order in configuration.take_outs_by_tag.items() if tag not in cancelled
    }
    all_cancelled = (*configuration.cancelled, *new)[-KEPT_CANCELLED:]
    changed = replace(configuration, take_outs_by_tag=kept, cancelled=all_cancelled)
    return _next(changed, operation_id)


def base_for_write(tables: Tables, read: Configuration) -> Configuration:
    """Choose what a change starts from: the newer of the platform's copy and the own one.

    A write on top of the own copy repairs a store that was restored to an older state.
    """
    own = tables.configuration
    return own if own is not None and own.revision > read.revision else read


def _check_seen(configuration: Configuration, seen_revision: int | None) -> None:
    if seen_revision is None or seen_revision == configuration.revision:
        return
    count = max(0, configuration.revision - seen_revision)
    since = configuration.operations[-count:] if count else ()
    raise ConfigurationConflict(seen_revision, configuration.revision, tuple(since))


def _add_take_outs(configuration: Configuration, orders: Iterable[TakeOut]) -> Configuration:
    cancelled = set(configuration.cancelled)
    added = {order.tag: order for order in orders if order.tag not in cancelled}
    merged = {**added, **configuration.take_outs_by_tag}
    return replace(configuration, take_outs_by_tag=merged)


def _next(changed: Configuration, operation_id: OperationId) -> Configuration:
    operations = (*changed.operations, operation_id)[-KEPT_OPERATIONS:]
    return replace(changed, revision=changed.revision + 1, operations=operations)


# The copy in force ------------------------------------------------------------------------


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
            elif isinstance(message, TakeOutsHeard):
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
            return _clear_alarm(tables)
        detail = f"the platform has revision {read.revision}, in force is {held.revision}"
        return _raise_alarm(tables, detail, now)


def _keep_take_outs(tables: Tables, read: Configuration) -> None:
    """Keep the take-outs of both copies, also when the store went back and lost some.

    Those that the copy in force has, or has cancelled, are dropped from the pending ones.
    """
    held = tables.configuration or Configuration()
    cancelled = {*held.cancelled, *read.cancelled}
    both = {**held.take_outs_by_tag, **read.take_outs_by_tag}
    kept = {tag: order for tag, order in both.items() if tag not in cancelled}
    tables.pending_take_outs_by_tag = {**kept, **tables.pending_take_outs_by_tag}


def _raise_alarm(tables: Tables, detail: str, now: float) -> list[AlarmChanged]:
    key = (AlarmKind.STORE_REVERTED, ALARM_SUBJECT)
    if key in tables.alarms_by_key:
        return []
    tables.alarms_by_key[key] = AlarmRow(*key, raised_at=now, detail=detail)
    return [AlarmChanged(*key, raised=True, detail=detail)]


def _clear_alarm(tables: Tables) -> list[AlarmChanged]:
    key = (AlarmKind.STORE_REVERTED, ALARM_SUBJECT)
    if tables.alarms_by_key.pop(key, None) is None:
        return []
    return [AlarmChanged(*key, raised=False)]
