"""Decides which orders make whole groups out of the upstreams of an engine service."""

from dataclasses import replace

from cactuspass.fleet._demand import Demand
from cactuspass.fleet._forming import form_groups, maintain_formations
from cactuspass.fleet._group_history import GroupHistory
from cactuspass.fleet._group_maintenance import maintain_groups
from cactuspass.fleet._inventory import describe_free_hosts
from cactuspass.fleet._orders import AddressedOrder, Close, Join, OrderOutcome, Stage
from cactuspass.fleet._planner_memory import AbandonedFormation, PlannerMemory
from cactuspass.fleet._planning_round import PlannerInput, PlanningRound
from cactuspass.fleet._releasing import release_hosts
from cactuspass.fleet._staging import stage_hosts
from cactuspass.fleet._upstreams import UpstreamId

UNREACHABLE_SECONDS = 2.0
REFUSED_OUTCOMES = frozenset(
    {OrderOutcome.CONFLICT, OrderOutcome.OUTDATED, OrderOutcome.NOT_REACHED}
)


class GroupPlanner:
    """Forms, opens, closes and re-forms groups; one controller at a time uses it.

    :param history: what was seen of the groups before this term.

    A host joins a group only out of no group: each order names how many orders the host has
    accepted, and a host refuses it when that has changed. So no belief about a head, however old
    or wrong, lets a host be a member of two groups, and neither does an order that comes late.
    """

    def __init__(self, demand: Demand, history: GroupHistory | None = None) -> None:
        self.demand = demand
        self._last_round: PlanningRound | None = None
        self._memory = PlannerMemory(demand, history or GroupHistory())

    def plan(self, planner_input: PlannerInput) -> list[AddressedOrder]:
        """Return the orders to give now."""
        memory = self._memory
        if self._last_round is None:
            memory.began_at = planner_input.at
        at, reports_by_id = planner_input.at, planner_input.reports_by_id
        upstreams_by_id = planner_input.view.upstreams_by_id
        memory.schedule.update(upstreams_by_id, reports_by_id, at)
        memory.host_states.update(upstreams_by_id, reports_by_id, at)
        self._review_refused_loads()
        planning_round = PlanningRound(
            replace(planner_input, view=memory.host_states.corrected(planner_input.view)), memory
        )
        orders = list(maintain_groups(planning_round))
        orders += maintain_formations(planning_round)
        orders += release_hosts(planning_round)
        orders += form_groups(planning_round)
        orders += stage_hosts(planning_round)
        self._last_round = planning_round
        return orders

    def pop_abandoned_formations(self) -> list[AbandonedFormation]:
        """Return the formations that were given up since the last call."""
        found, self._memory.abandoned_formations = self._memory.abandoned_formations, []
        return found

    def describe_free_hosts(self) -> str:
        """Return for a log line which hosts the last decision left without a group."""
        return describe_free_hosts(self._last_round) if self._last_round is not None else ""

    def record_outcome(self, addressed: AddressedOrder, outcome: OrderOutcome, at: float) -> None:
        """Draw the conclusions of an order's outcome."""
        memory, order = self._memory, addressed.order
        upstream_id = addressed.target.upstream_id
        if outcome is OrderOutcome.NOT_REACHED:
            memory.unreachable_until[upstream_id] = at + UNREACHABLE_SECONDS
        memory.host_states.record_outcome(addressed, outcome, at)
        if isinstance(order, Close):
            self._note_close(order, addressed.expected_sequence, outcome)
        refused = outcome in REFUSED_OUTCOMES
        if isinstance(order, Join) and refused:
            self._note_refused_join(order, upstream_id, outcome)
        if isinstance(order, Stage):
            memory.loads_refused_by_id.pop(upstream_id, None)
            if refused:
                self._note_refused_load(addressed, outcome, at)

    def _note_refused_load(
        self, addressed: AddressedOrder, outcome: OrderOutcome, at: float
    ) -> None:
        memory, upstream_id = self._memory, addressed.target.upstream_id
        memory.schedule.discard(upstream_id)
        if outcome is not OrderOutcome.CONFLICT:
            return
        memory.schedule.mark_busy(upstream_id, at)
        if addressed.expected_sequence is not None:
            memory.loads_refused_by_id[upstream_id] = addressed.expected_sequence

    def _review_refused_loads(self) -> None:
        """Take no host for a busy one that has refused a load only for the number of orders."""
        memory = self._memory
        for upstream_id, named in list(memory.loads_refused_by_id.items()):
            known = memory.host_states.states_by_id.get(upstream_id)
            if known is None or known.sequence != named:
                del memory.loads_refused_by_id[upstream_id]
                memory.schedule.discard(upstream_id)

    def _note_close(self, order: Close, expected: int | None, outcome: OrderOutcome) -> None:
        if outcome is OrderOutcome.CONFLICT and expected is not None:
            self._memory.closes_refused.add(order.key)
        else:
            self._memory.close_outcomes_by_key[order.key] = outcome

    def _note_refused_join(
        self, order: Join, upstream_id: UpstreamId, outcome: OrderOutcome
    ) -> None:
        """Give the formation up, unless the host may have refused since it has joined already."""
        formation = self._memory.formations_by_key.get(order.key)
        if formation is None:
            return
        if outcome is OrderOutcome.CONFLICT and upstream_id not in formation.refused_by:
            formation.refused_by.add(upstream_id)
            return
        self._memory.abandon(order.key, f"{upstream_id} refused to join: {outcome.value}")
