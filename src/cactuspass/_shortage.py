"""Alarms for groups that can't be placed and for accelerators that no group can use."""

from collections.abc import Iterable

from cactuspass._alarms import set_alarm
from cactuspass._messages import AlarmKind, Order
from cactuspass._plan import declared_groups
from cactuspass._stranded import StrandedReason, accelerators_by_domain, find_stranded_instances
from cactuspass._tables import Tables

SHORTAGE_SECONDS = 15.0


class ShortageAlarms:
    """Raises the shortage alarms of one data centre while this entry plans its placement."""

    def __init__(self) -> None:
        self._since_by_key: dict[tuple[AlarmKind, str], float] = {}
        self._raised: set[tuple[AlarmKind, str]] = set()

    def update(self, tables: Tables, is_planner: bool, now: float) -> Iterable[Order]:
        """Raise alarms for shortages that last ``SHORTAGE_SECONDS``, and clear those that ended.

        :param is_planner: whether this entry plans the placement of its data centre.
        """
        details = _shortages(tables) if is_planner else {}
        self._since_by_key = {key: self._since_by_key.get(key, now) for key in details}
        lasting = {
            key for key, since in self._since_by_key.items() if now - since >= SHORTAGE_SECONDS
        }
        ended = self._raised - lasting
        self._raised = lasting
        return [
            order
            for kind, subject in sorted(lasting | ended, key=lambda key: (key[0].value, key[1]))
            for order in set_alarm(tables, kind, subject, details.get((kind, subject), ""), now)
        ]


def _shortages(tables: Tables) -> dict[tuple[AlarmKind, str], str]:
    """Return the details of the present shortages, by kind and subject of the alarm."""
    if tables.configuration is None or tables.placement is None:
        return {}
    declared = declared_groups(tables.configuration, tables.local.data_centre)
    unplaced = {
        (AlarmKind.GROUP_DOWN, str(group_id)): f"no domain has {declaration.size} free instances"
        for group_id, declaration in declared.items()
        if group_id not in tables.placement.groups_by_id
    }
    counts = accelerators_by_domain(
        find_stranded_instances(tables), StrandedReason.DOMAIN_TOO_SMALL
    )
    unused = {
        (AlarmKind.STRANDED, str(domain)): f"{count} accelerators in a domain too small"
        for domain, count in counts.items()
        if count
    }
    return unplaced | unused
