"""Orders members to load weights, and limits how many of them load concurrently."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace

from cactuspass._confirmation import has_recent_status, is_assigned
from cactuspass._messages import LoadState, OrderLoad
from cactuspass._repair import has_weights
from cactuspass._tables import HeldGroupRow, InstanceRow, Tables
from cactuspass.models import GroupId

LOADS_AT_ONCE = 8
ORDER_RETRY_SECONDS = 1.0
ORDER_LIFETIME_SECONDS = 2.0
# A member that has been loading for this long no longer counts against the limit.
STALL_SECONDS = 300.0


@dataclass(frozen=True, slots=True, order=True)
class LoadNeed:
    """Weights that one group lacks; the group with the smallest need loads first.

    :param unreachable: number of members that can't load now. The group can't serve without them,
        so loading the others helps little.
    :param missing: number of reachable members that lack the weights.
    """

    unreachable: int
    missing: int
    group_id: GroupId


class LoadScheduler:
    """Divides the concurrent loads of the weight store between groups.

    The groups that need the fewest loads come first, since they can serve again soonest.

    :param at_once: number of members of the data centre that may load weights concurrently.
    """

    def __init__(self, at_once: int = LOADS_AT_ONCE) -> None:
        self._at_once = at_once

    def order(
        self, tables: Tables, rows: Sequence[HeldGroupRow], now: float
    ) -> Iterator[OrderLoad]:
        """Order the members that do not report the assigned group, generation, rank and size.

        :param rows: groups to which this entry may send orders now.
        """
        needs = {row.group_id: _need(tables, row, now) for row in rows}
        for row in rows:
            row.members_without_weights = needs[row.group_id].missing
        slots_by_group = self._slots_by_group(tables, needs)
        free = self._at_once - sum(_in_flight(tables, row, now) for row in rows)
        for row in sorted(rows, key=lambda row: needs[row.group_id]):
            allowed = min(free, slots_by_group[row.group_id] - _in_flight(tables, row, now))
            for order in _orders(tables, row, allowed, now):
                free -= tables.instances_by_id[order.instance_id].needs_weights
                yield order

    def _slots_by_group(self, tables: Tables, needs: dict[GroupId, LoadNeed]) -> dict[GroupId, int]:
        """Return how many members of each group may load concurrently, including peers' groups."""
        needs_by_group = {
            summary.group_id: LoadNeed(0, summary.missing, summary.group_id)
            for entry in tables.entries_by_id.values()
            if entry.connected and entry.data_centre == tables.local.data_centre
            for summary in entry.groups_by_id.values()
        } | needs
        left = self._at_once
        slots_by_group: dict[GroupId, int] = {}
        for need in sorted(needs_by_group.values()):
            slots_by_group[need.group_id] = min(need.missing, left)
            left -= slots_by_group[need.group_id]
        return slots_by_group


def _need(tables: Tables, row: HeldGroupRow, now: float) -> LoadNeed:
    """Return the need of a held group; members whose load has stalled don't count as missing."""
    instances = [tables.instances_by_id.get(member) for member in row.members]
    reachable = [has_recent_status(instance, now) for instance in instances]
    missing = sum(
        is_reachable
        and instance is not None
        and not has_weights(row, rank, instance)
        and not _is_stalled(row, rank, instance, now)
        for rank, (instance, is_reachable) in enumerate(zip(instances, reachable, strict=True))
    )
    return LoadNeed(reachable.count(False), missing, row.group_id)


def _in_flight(tables: Tables, row: HeldGroupRow, now: float) -> int:
    """Return the number of members that are loading weights."""
    instances = map(tables.instances_by_id.get, row.members)
    return sum(
        instance is not None and _is_loading(row, rank, instance, now)
        for rank, instance in enumerate(instances)
    )


def _is_loading(row: HeldGroupRow, rank: int, instance: InstanceRow, now: float) -> bool:
    """Return whether the member loads weights from the store.

    That is so if it reports that it loads, or got the order less than ``ORDER_RETRY_SECONDS``
    ago and has not reported it yet.
    """
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
    """Return whether the member has been loading for so long that its slot is given to others."""
    is_loading = is_assigned(row, rank, instance) and instance.state is LoadState.LOADING
    return is_loading and now - instance.order_unchanged_since >= STALL_SECONDS


def _orders(tables: Tables, row: HeldGroupRow, allowed: int, now: float) -> Iterator[OrderLoad]:
    """Yield and record the orders that are due for the members of one group.

    :param allowed: number of orders that may require the member to load weights.
    """
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
        needs_weights = not has_weights(row, rank, instance)
        if needs_weights and allowed <= 0:
            continue
        allowed -= needs_weights
        _record_order(instance, order, needs_weights, now)
        yield order


def _is_due(instance: InstanceRow, order: OrderLoad, now: float) -> bool:
    """Return whether the order differs from the latest one, or is to be repeated."""
    if instance.last_order is None or not _is_same(instance.last_order, order):
        return True
    return now - instance.last_order_at >= ORDER_RETRY_SECONDS


def _is_same(before: OrderLoad, order: OrderLoad) -> bool:
    """Return whether two orders are equal apart from their fencing numbers."""
    return replace(before, fence=order.fence) == order


def _record_order(instance: InstanceRow, order: OrderLoad, needs_weights: bool, now: float) -> None:
    if instance.last_order is None or not _is_same(instance.last_order, order):
        instance.order_unchanged_since = now
    instance.last_order = order
    instance.last_order_at = now
    instance.needs_weights = needs_weights


def _load_order(tables: Tables, row: HeldGroupRow, rank: int) -> OrderLoad | None:
    """Return the order for the member at a rank.

    :return: None while a member's address is unknown, and for a plain service.
    """
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
