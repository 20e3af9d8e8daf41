"""Decides which orders make whole groups out of the upstreams of an engine service."""

from cactuspass.fleet._demand import Demand
from cactuspass.fleet._forming import form_groups, tend_formations
from cactuspass.fleet._inventory import describe_free_hosts
from cactuspass.fleet._orders import AddressedOrder, Close, Join, Open, OrderOutcome, Stage
from cactuspass.fleet._round import Memory, Round, Situation
from cactuspass.fleet._staging import stage_hosts
from cactuspass.fleet._tending import OPENING_SECONDS, tend_groups
from cactuspass.fleet._upstreams import GroupKey

UNREACHABLE_SECONDS = 2.0
LATE_ORDER_SECONDS = 13.0  # an order without an answer may be carried out 12 s later
REFUSED_OUTCOMES = frozenset(
    {OrderOutcome.CONFLICT, OrderOutcome.OUTDATED, OrderOutcome.NOT_REACHED}
)


class GroupPlanner:
    """Forms, opens, closes and re-forms groups; one controller at a time uses it.

    A member is free for another group only when the head of its group was seen to serve no more.
    """

    def __init__(self, demand: Demand) -> None:
        self.demand = demand
        self._last_round: Round | None = None
        self._memory = Memory(demand)

    def plan(self, situation: Situation) -> list[AddressedOrder]:
        """Return the orders to give now."""
        memory = self._memory
        current = Round(situation, memory)
        upstreams_by_id = situation.view.upstreams_by_id
        memory.schedule.update(upstreams_by_id, situation.reports_by_id, situation.at)
        memory.next_epoch = max(memory.next_epoch, situation.first_epoch)
        orders = list(tend_groups(current))
        orders += tend_formations(current)
        orders += form_groups(current)
        orders += stage_hosts(current)
        self._last_round = current
        return orders

    def free_hosts(self) -> str:
        """Return for a log line which hosts the last decision left without a group."""
        return describe_free_hosts(self._last_round) if self._last_round is not None else ""

    def note_outcome(self, addressed: AddressedOrder, outcome: OrderOutcome, at: float) -> None:
        """Draw the conclusions of an order's outcome."""
        memory, order = self._memory, addressed.order
        upstream_id = addressed.target.upstream_id
        if outcome is OrderOutcome.NOT_REACHED:
            memory.unreachable_until[upstream_id] = at + UNREACHABLE_SECONDS
        if isinstance(order, Open):
            self._note_open(order.key, outcome, at)
        if isinstance(order, Close):
            memory.close_outcomes_by_key[order.key] = outcome
        refused = outcome in REFUSED_OUTCOMES
        if isinstance(order, Join) and refused:
            memory.formations_by_key.pop(order.key, None)
        if isinstance(order, Stage) and refused:
            memory.schedule.forget(upstream_id)
            if outcome is OrderOutcome.CONFLICT:
                memory.schedule.found_busy(upstream_id, at)

    def _note_open(self, key: GroupKey, outcome: OrderOutcome, at: float) -> None:
        if outcome in REFUSED_OUTCOMES:
            self._memory.may_open_until.pop(key, None)
            return
        wait = LATE_ORDER_SECONDS if outcome is OrderOutcome.UNKNOWN else OPENING_SECONDS
        self._memory.may_open_until[key] = at + wait
