"""Plans the orders that form complete groups out of the upstreams of an engine service."""

from dataclasses import replace

from cactuspass.fleet._demand import Demand
from cactuspass.fleet._forming import form_groups, maintain_formations
from cactuspass.fleet._group_history import GroupHistory
from cactuspass.fleet._group_maintenance import maintain_groups
from cactuspass.fleet._log_descriptions import describe_free_hosts
from cactuspass.fleet._orders import AddressedOrder, Close, Join, OrderOutcome, Stage
from cactuspass.fleet._planner_memory import AbandonedFormation, PlannerMemory
from cactuspass.fleet._planning_round import PlannerInput, PlanningRound
from cactuspass.fleet._reallocation import plan_reallocations
from cactuspass.fleet._rebalancing import plan_transfers
from cactuspass.fleet._releasing import release_hosts
from cactuspass.fleet._staging import stage_hosts
from cactuspass.fleet._upstreams import UpstreamId

UNREACHABLE_SECONDS = 2.0
NOT_ACCEPTED_OUTCOMES = frozenset(
    {OrderOutcome.CONFLICT, OrderOutcome.OUTDATED, OrderOutcome.NOT_REACHED}
)


class GroupPlanner:
    """Plans how groups are formed, opened, closed and formed again.

    Only one controller uses a planner at a time.

    A host joins a group only while it is in none: each order names the number of orders that the
    host has accepted, and the host refuses the order when that number has changed. So neither
    outdated or wrong information about a head nor a delayed order can make a host a member of two
    groups.

    :param demand: work for each model.
    :param history: groups that this instance has seen before its term as leader.
    """

    def __init__(self, demand: Demand, history: GroupHistory | None = None) -> None:
        self.demand = demand
        self._last_planning_round: PlanningRound | None = None
        self._memory = PlannerMemory(demand, history or GroupHistory())

    def plan(self, planner_input: PlannerInput) -> list[AddressedOrder]:
        """Return the orders to send now."""
        memory = self._memory
        if self._last_planning_round is None:
            memory.first_plan_at = planner_input.at
        at, reports_by_id = planner_input.at, planner_input.reports_by_id
        upstreams_by_id = planner_input.view.upstreams_by_id
        memory.load_schedule.update(upstreams_by_id, reports_by_id, at)
        memory.host_states.update(upstreams_by_id, reports_by_id, at)
        self._discard_stale_load_refusals()
        planning_round = PlanningRound(
            replace(planner_input, view=memory.host_states.correct_view(planner_input.view)), memory
        )
        orders = list(maintain_groups(planning_round))
        orders += maintain_formations(planning_round)
        orders += release_hosts(planning_round)
        orders += form_groups(planning_round)
        orders += stage_hosts(planning_round)
        if not planner_input.before_traffic:
            plan_transfers(planning_round)
            if planner_input.knows_demand:
                orders += plan_reallocations(planning_round)
        self._last_planning_round = planning_round
        return orders

    def pop_abandoned_formations(self) -> list[AbandonedFormation]:
        """Return the formations that were abandoned since the last call."""
        found, self._memory.abandoned_formations = self._memory.abandoned_formations, []
        return found

    def describe_free_hosts(self) -> str:
        """Return a text for the log on the hosts that the last round left without a group."""
        return (
            describe_free_hosts(self._last_planning_round)
            if self._last_planning_round is not None
            else ""
        )

    def record_outcome(self, addressed: AddressedOrder, outcome: OrderOutcome, at: float) -> None:
        """Update the planner's state with the outcome of an order."""
        memory, order = self._memory, addressed.order
        upstream_id = addressed.target.upstream_id
        if outcome is OrderOutcome.NOT_REACHED:
            memory.unreachable_until_by_id[upstream_id] = at + UNREACHABLE_SECONDS
        memory.host_states.record_outcome(addressed, outcome, at)
        if isinstance(order, Close):
            self._record_close_outcome(order, addressed.expected_sequence, outcome)
        refused = outcome in NOT_ACCEPTED_OUTCOMES
        if isinstance(order, Join) and refused:
            self._handle_refused_join(order, upstream_id, outcome)
        if isinstance(order, Stage):
            memory.refused_load_sequences_by_id.pop(upstream_id, None)
            if refused:
                self._record_refused_load(addressed, outcome, at)

    def _record_refused_load(
        self, addressed: AddressedOrder, outcome: OrderOutcome, at: float
    ) -> None:
        memory, upstream_id = self._memory, addressed.target.upstream_id
        memory.load_schedule.discard(upstream_id)
        if outcome is not OrderOutcome.CONFLICT:
            return
        memory.load_schedule.mark_busy(upstream_id, at)
        if addressed.expected_sequence is not None:
            memory.refused_load_sequences_by_id[upstream_id] = addressed.expected_sequence

    def _discard_stale_load_refusals(self) -> None:
        """Clear the busy mark of hosts that refused a load only for an outdated sequence number."""
        memory = self._memory
        for upstream_id, expected in list(memory.refused_load_sequences_by_id.items()):
            known = memory.host_states.states_by_id.get(upstream_id)
            if known is None or known.sequence != expected:
                del memory.refused_load_sequences_by_id[upstream_id]
                memory.load_schedule.discard(upstream_id)

    def _record_close_outcome(
        self, order: Close, expected: int | None, outcome: OrderOutcome
    ) -> None:
        if outcome is OrderOutcome.CONFLICT and expected is not None:
            self._memory.refused_close_keys.add(order.key)
        else:
            self._memory.close_outcomes_by_key[order.key] = outcome

    def _handle_refused_join(
        self, order: Join, upstream_id: UpstreamId, outcome: OrderOutcome
    ) -> None:
        """Abandon the formation, unless the host may have refused because it has joined already.

        The first conflict may be the answer to a repeated order, so only the second one counts.
        """
        formation = self._memory.formations_by_key.get(order.key)
        if formation is None:
            return
        if outcome is OrderOutcome.CONFLICT and upstream_id not in formation.refused_ids:
            formation.refused_ids.add(upstream_id)
            return
        self._memory.abandon(order.key, f"{upstream_id} refused to join: {outcome.value}")
