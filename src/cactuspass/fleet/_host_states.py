"""Last known state of each host: its membership and the number of orders that it has accepted."""

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

REPORT_LAG_SECONDS = 1.5  # after an answered order, reports may be older than the answer
RETRY_SECONDS = 0.8  # pause after a refusal, for a report to show which orders were accepted


@dataclass(frozen=True, slots=True)
class HostState:
    """Membership and sequence number of a host.

    Both come from one report, or from the answer to an order that expected the previous sequence
    number. So an order that expects this sequence number is carried out only while the host has
    this membership.

    :param born_ms: start of the lifetime that the state belongs to, in Unix milliseconds.
    :param sequence: number of orders that the host had accepted in this lifetime.
    :param updated_at: clock value of the answer, or of the first report that said this.
    :param from_order: whether the state comes from an answered order, and not from a report.
    :param last_left_epoch: epoch of the last group that the host has left by order; 0 if none.
    :param refused_at: clock value at which the host last refused an order because it had accepted
        other orders.
    """

    born_ms: int
    sequence: int
    membership: Membership | None
    updated_at: float
    from_order: bool = False
    last_left_epoch: int = 0
    refused_at: float = float("-inf")

    def is_confirmed_by(self, report: UpstreamReport) -> bool:
        """Return whether this state comes from a report and a later one says the same."""
        return (
            not self.from_order
            and self.sequence == report.sequence
            and self.membership == report.membership
            and self.born_ms == report.born_ms
        )


@dataclass(slots=True)
class HostStateTable:
    """Last known state of each host."""

    states_by_id: dict[UpstreamId, HostState] = field(default_factory=dict)

    def update(
        self,
        upstreams_by_id: Mapping[UpstreamId, Upstream],
        reports_by_id: Mapping[UpstreamId, UpstreamReport],
        at: float,
    ) -> None:
        """Apply reports, and drop hosts that are neither registered nor report."""
        for upstream_id in self.states_by_id.keys() - upstreams_by_id.keys():
            if upstream_id not in reports_by_id:
                del self.states_by_id[upstream_id]
        for upstream_id, report in reports_by_id.items():
            self._apply_report(upstream_id, report, at)

    def _apply_report(self, upstream_id: UpstreamId, report: UpstreamReport, at: float) -> None:
        known = self.states_by_id.get(upstream_id)
        if known is not None and known.is_confirmed_by(report):
            return
        state = HostState(report.born_ms, report.sequence, report.membership, at)
        if known is None or report.born_ms != known.born_ms:
            self.states_by_id[upstream_id] = state
            return
        may_lag = known.from_order and at - known.updated_at < REPORT_LAG_SECONDS
        if report.sequence < known.sequence and may_lag:
            return
        state = replace(state, last_left_epoch=known.last_left_epoch)
        if report.sequence == known.sequence:
            state = replace(state, refused_at=known.refused_at)
        self.states_by_id[upstream_id] = state

    def record_outcome(self, addressed: AddressedOrder, outcome: OrderOutcome, at: float) -> None:
        """Update the state of a host from the outcome of an order that expected this state."""
        upstream_id = addressed.target.upstream_id
        known = self.states_by_id.get(upstream_id)
        if known is None or known.born_ms != addressed.target.born_ms:
            return
        if known.sequence != addressed.expected_sequence:
            return
        if outcome is OrderOutcome.CONFLICT:
            self.states_by_id[upstream_id] = replace(known, refused_at=at)
        elif _is_accepted(addressed, outcome):
            self.states_by_id[upstream_id] = _state_after_order(known, addressed, at)

    def state_of(self, host: Upstream) -> HostState | None:
        """Return the state of a host in its present lifetime, or None when it is not known."""
        known = self.states_by_id.get(host.upstream_id)
        return known if known is not None and known.born_ms == host.born_ms else None

    def is_free(self, host: Upstream, at: float) -> bool:
        """Return whether a host is known to be in no group and has not just refused an order."""
        known = self.state_of(host)
        return (
            known is not None and known.membership is None and not self.recently_refused(host, at)
        )

    def recently_refused(self, host: Upstream, at: float) -> bool:
        """Return whether a host has just refused an order because it had accepted others."""
        known = self.state_of(host)
        return known is not None and at - known.refused_at < RETRY_SECONDS

    def correct_view(self, view: UpstreamView) -> UpstreamView:
        """Return the registry's view, corrected by newer reports and answers of the hosts.

        Hosts may have left groups that the view shows them in, or opened groups that it shows as
        ready.
        """
        corrected = [
            host
            for shown in view.upstreams_by_id.values()
            if (host := self._correct_host(shown)) is not shown
        ]
        return view.with_changes(corrected) if corrected else view

    def _correct_host(self, host: Upstream) -> Upstream:
        known, shown = self.state_of(host), host.membership
        if known is None or shown is None:
            return host
        if shown.key.epoch <= known.last_left_epoch:
            return replace(host, membership=None)
        newer = known.membership
        if newer is None or newer.key != shown.key or shown.state is not MemberState.READY:
            return host
        return replace(host, membership=newer) if newer.state is MemberState.OPEN else host


def _is_accepted(addressed: AddressedOrder, outcome: OrderOutcome) -> bool:
    """Return whether the outcome means that the host's sequence number has grown by one."""
    if outcome is OrderOutcome.HOLDS:
        # An order to leave is done at once, so this answer means that it was carried out.
        return isinstance(addressed.order, Leave)
    return outcome is OrderOutcome.BEGUN


def _state_after_order(known: HostState, addressed: AddressedOrder, at: float) -> HostState:
    """Return the state of a host after it has accepted an order."""
    order = addressed.order
    state = replace(known, sequence=known.sequence + 1, updated_at=at, from_order=True)
    if isinstance(order, Leave):
        return replace(state, membership=None, last_left_epoch=order.key.epoch)
    if isinstance(order, Join):
        rank = order.members.index(addressed.target.upstream_id)
        return replace(state, membership=Membership(order.key, rank, MemberState.JOINING))
    if isinstance(order, Close) and known.membership is not None:
        return replace(state, membership=replace(known.membership, state=MemberState.CLOSING))
    return state
