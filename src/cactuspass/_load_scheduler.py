"""Orders members to load, within the rate that the weight store bears."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace

from cactuspass._confirmation import has_recent_status, is_assigned
from cactuspass._messages import LoadState, OrderLoad
from cactuspass._repair import keeps_weights
from cactuspass._tables import HeldGroupRow, InstanceRow, Tables
from cactuspass.models import GroupId

LOADS_AT_ONCE = 8
ORDER_RETRY_SECONDS = 1.0
ORDER_LIFETIME_SECONDS = 2.0
STALL_SECONDS = 300.0


@dataclass(frozen=True, slots=True, order=True)
class LoadNeed:
    """Need of one group for weights; the least need is met first.

    :param unreachable: members that can't be loaded now, so that loading the rest helps little.
    :param missing: reachable members that lack the weights.
    """

    unreachable: int
    missing: int
    group_id: GroupId


class LoadScheduler:
    """Shares out the weight store's rate, shortest downtime first.

    :param at_once: members of the data centre that may load weights at the same time.
    """

    def __init__(self, at_once: int = LOADS_AT_ONCE) -> None:
        self._at_once = at_once

    def order(
        self, tables: Tables, rows: Sequence[HeldGroupRow], now: float
    ) -> Iterator[OrderLoad]:
        """Order every member that is not where its group wants it.

        :param rows: groups to which this entry may send orders at this moment.
        """
        needs = {row.group_id: _need(tables, row, now) for row in rows}
        for row in rows:
            row.members_without_weights = needs[row.group_id].missing
        slots = self._slots(tables, needs)
        free = self._at_once - sum(_in_flight(tables, row, now) for row in rows)
        for row in sorted(rows, key=lambda row: needs[row.group_id]):
            allowed = min(free, slots[row.group_id] - _in_flight(tables, row, now))
            for order in _orders(tables, row, allowed, now):
                free -= tables.instances_by_id[order.instance_id].needs_weights
                yield order

    def _slots(self, tables: Tables, needs: dict[GroupId, LoadNeed]) -> dict[GroupId, int]:
        """Return how many members of each group may load, counting the peers' groups."""
        merged = {
            summary.group_id: LoadNeed(0, summary.missing, summary.group_id)
            for entry in tables.entries_by_id.values()
            if entry.connected and entry.data_centre == tables.local.data_centre
            for summary in entry.groups_by_id.values()
        } | needs
        left = self._at_once
        slots: dict[GroupId, int] = {}
        for need in sorted(merged.values()):
            slots[need.group_id] = min(need.missing, left)
            left -= slots[need.group_id]
        return slots


def _need(tables: Tables, row: HeldGroupRow, now: float) -> LoadNeed:
    instances = [tables.instances_by_id.get(member) for member in row.members]
    reachable = [has_recent_status(instance, now) for instance in instances]
    missing = sum(
        is_reachable
        and instance is not None
        and not keeps_weights(row, rank, instance)
        and not _is_stalled(row, rank, instance, now)
        for rank, (instance, is_reachable) in enumerate(zip(instances, reachable, strict=True))
    )
    return LoadNeed(reachable.count(False), missing, row.group_id)


def _in_flight(tables: Tables, row: HeldGroupRow, now: float) -> int:
    instances = map(tables.instances_by_id.get, row.members)
    return sum(
        instance is not None and _is_loading(row, rank, instance, now)
        for rank, instance in enumerate(instances)
    )


def _is_loading(row: HeldGroupRow, rank: int, instance: InstanceRow, now: float) -> bool:
    """Return whether the member draws from the weight store, by its report or our order."""
    if instance.last_order is None or not instance.needs_weights:
        return False
    if instance.last_order.generation != row.generation or instance.last_order.rank != rank:
        return False
    if _is_stalled(row, rank, instance, now) or not has_recent_status(instance, now):
        return False
    if is_assigned(row, rank, instance):
        return instance.state is LoadState.LOADING
    return now - instance.last_order_at < ORDER_RETRY_SECONDS


def _is_stalled(row: HeldGroupRow, rank: int, instance: InstanceRow, now: float) -> bool:
    """Return whether the member has been loading for so long that others go first."""
    is_loading = is_assigned(row, rank, instance) and instance.state is LoadState.LOADING
    return is_loading and now - instance.order_unchanged_since >= STALL_SECONDS


def _orders(tables: Tables, row: HeldGroupRow, allowed: int, now: float) -> Iterator[OrderLoad]:
    for rank, member in enumerate(row.members):
        instance = tables.instances_by_id.get(member)
        if (
            instance is None
            or not has_recent_status(instance, now)
            or is_assigned(row, rank, instance)
        ):
            continue
        order = _load_order(tables, row, rank)
        if order is None or not _is_due(instance, order, now):
            continue
        needs_weights = not keeps_weights(row, rank, instance)
        if needs_weights and allowed <= 0:
            continue
        allowed -= needs_weights
        _note_order(instance, order, needs_weights, now)
        yield order


def _is_due(instance: InstanceRow, order: OrderLoad, now: float) -> bool:
    if instance.last_order is None or not _is_same(instance.last_order, order):
        return True
    return now - instance.last_order_at >= ORDER_RETRY_SECONDS


def _is_same(before: OrderLoad, order: OrderLoad) -> bool:
    return replace(before, fence=order.fence) == order


def _note_order(instance: InstanceRow, order: OrderLoad, needs_weights: bool, now: float) -> None:
    if instance.last_order is None or not _is_same(instance.last_order, order):
        instance.order_unchanged_since = now
    instance.last_order = order
    instance.last_order_at = now
    instance.needs_weights = needs_weights


def _load_order(tables: Tables, row: HeldGroupRow, rank: int) -> OrderLoad | None:
    """Return the order for the member at a rank; None while an address is unknown."""
    instances = [tables.instances_by_id.get(member) for member in row.members]
    addresses = tuple(instance.address for instance in instances if instance is not None)
    if row.placed is None or tables.placement is None or len(addresses) < len(row.members):
        return None
    declaration = row.placed.declaration
    return OrderLoad(
        row.members[rank],
        addresses[rank],
        row.group_id,
        row.generation,
        rank,
        addresses,
        declaration.model,
        declaration.version,
        declaration.adapters,
        tables.placement.version,
        ORDER_LIFETIME_SECONDS,
    )
