"""What the leader knows of the orders that each host has accepted."""

import operator
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from cactuspass.fleet._orders import (
    AddressedOrder,
    Close,
    Join,
    Leave,
    OrderOutcome,
    UpstreamReport,
)
from cactuspass.fleet._upstreams import Membership, MemberState, Upstream, UpstreamId, UpstreamView

REPORT_LAG_SECONDS = 1.5  # until then a report may be older than an answered order
RETRY_SECONDS = 0.8  # until then a report should show what was accepted instead


@dataclass(frozen=True, slots=True)
class HostState:
    """A host's membership at a number of accepted orders.

    Both come from one report, or from an answered order that expected the number before. So an
    order that expects this number is carried out only in this membership.

    :param sequence: orders that the host had accepted in this lifetime.
    :param known_at: clock value of the report or answer.
    :param left_epoch: epoch of the last group that an answered order made it leave; 0 is none.
    :param refused_at: clock value at which it last refused an order, since it had accepted others.
    """

    born_ms: int
    sequence: int
    membership: Membership | None
    known_at: float
    from_order: bool = False
    left_epoch: int = 0
    refused_at: float = float("-inf")


@dataclass(slots=True)
class HostStateTable:
    """The last known state of each host."""

    states_by_id: dict[UpstreamId, HostState] = field(default_factory=dict)

    def update(
        self,
        upstreams_by_id: Mapping[UpstreamId, Upstream],
        reports_by_id: Mapping[UpstreamId, UpstreamReport],
        at: float,
    ) -> None:
        """Take in reports, and forget hosts that have gone."""
        for upstream_id in self.states_by_id.keys() - upstreams_by_id.keys():
            if upstream_id not in reports_by_id:
                del self.states_by_id[upstream_id]
        for upstream_id, report in reports_by_id.items():
            self._note_report(upstream_id, report, at)

    def _note_report(self, upstream_id: UpstreamId, report: UpstreamReport, at: float) -> None:
        known = self.states_by_id.get(upstream_id)
        state = HostState(report.born_ms, report.sequence, report.membership, at)
        if known is None or report.born_ms != known.born_ms:
            self.states_by_id[upstream_id] = state
            return
        lags = known.from_order and at - known.known_at < REPORT_LAG_SECONDS
        if report.sequence < known.sequence and lags:
            return
        state = replace(state, left_epoch=known.left_epoch)
        if report.sequence == known.sequence:
            state = replace(state, refused_at=known.refused_at)
        self.states_by_id[upstream_id] = state

    def record_outcome(self, addressed: AddressedOrder, outcome: OrderOutcome, at: float) -> None:
        """Draw what an answered order says of the host's state."""
        upstream_id = addressed.target.upstream_id
        known = self.states_by_id.get(upstream_id)
        if known is None or known.born_ms != addressed.target.born_ms:
            return
        if known.sequence != addressed.expected_sequence:
            return
        if outcome is OrderOutcome.CONFLICT:
            self.states_by_id[upstream_id] = replace(known, refused_at=at)
        elif _has_begun(addressed, outcome):
            self.states_by_id[upstream_id] = _after(known, addressed, at)

    def state_of(self, host: Upstream) -> HostState | None:
        """Return what is known of a host's present lifetime."""
        known = self.states_by_id.get(host.upstream_id)
        return known if known is not None and known.born_ms == host.born_ms else None

    def is_free(self, host: Upstream, at: float) -> bool:
        """Return whether a host is known to be in no group, and worth an order to join one."""
        known = self.state_of(host)
        return known is not None and known.membership is None and not self.refused_lately(host, at)

    def refused_lately(self, host: Upstream, at: float) -> bool:
        """Return whether a host has just shown that it has accepted other orders than known."""
        known = self.state_of(host)
        return known is not None and at - known.refused_at < RETRY_SECONDS

    def corrected(self, view: UpstreamView) -> UpstreamView:
        """Return the view with what the hosts themselves have said since.

        They have left groups that it shows them in, or opened some that it shows as ready.
        """
        hosts = list(map(self._corrected_host, view.upstreams_by_id.values()))
        unchanged = all(map(operator.is_, hosts, view.upstreams_by_id.values()))
        return view if unchanged else UpstreamView.of(hosts)

    def _corrected_host(self, host: Upstream) -> Upstream:
        known, shown = self.state_of(host), host.membership
        if known is None or shown is None:
            return host
        if shown.key.epoch <= known.left_epoch:
            return replace(host, membership=None)
        said = known.membership
        if said is None or said.key != shown.key or shown.state is not MemberState.READY:
            return host
        return replace(host, membership=said) if said.state is MemberState.OPEN else host


def _has_begun(addressed: AddressedOrder, outcome: OrderOutcome) -> bool:
    """Return whether an answer says that the host has counted one more order."""
    if outcome is OrderOutcome.HOLDS:
        return isinstance(addressed.order, Leave)  # It is done at once.
    return outcome is OrderOutcome.BEGUN


def _after(known: HostState, addressed: AddressedOrder, at: float) -> HostState:
    """Return the state of a host that has accepted an order."""
    order = addressed.order
    state = replace(known, sequence=known.sequence + 1, known_at=at, from_order=True)
    if isinstance(order, Leave):
        return replace(state, membership=None, left_epoch=order.key.epoch)
    if isinstance(order, Join):
        rank = order.members.index(addressed.target.upstream_id)
        return replace(state, membership=Membership(order.key, rank, MemberState.JOINING))
    if isinstance(order, Close) and known.membership is not None:
        return replace(state, membership=replace(known.membership, state=MemberState.CLOSING))
    return state
