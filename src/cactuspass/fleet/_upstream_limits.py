"""The limits that upstreams state: what is known of them, and how instances share them."""

import random
from collections.abc import Callable

from cactuspass._clock import now
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._limit_loans import LimitLoans
from cactuspass.fleet._limit_messages import LimitDatagram, LimitMessage
from cactuspass.fleet._limit_notices import LimitNotices
from cactuspass.fleet._limit_rows import limits_page
from cactuspass.fleet._limit_shares import LimitShares
from cactuspass.fleet._limit_waits import LimitWaits
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._request_limits import RequestLimits
from cactuspass.models import EntryId


class UpstreamLimits:
    """The parts of one instance that keep to the limits of upstreams.

    :param instance: id of this instance.
    :param send_to_all: sends a message to all other instances.
    :param send_to: sends a message to the address of another instance.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        instance: EntryId,
        log: DecisionLog,
        metrics: Metrics,
        rng: random.Random,
        send_to_all: Callable[[LimitMessage], None],
        send_to: Callable[[str, LimitDatagram], None],
    ) -> None:
        self._cluster_state = cluster_state
        self._metrics = metrics
        shares = LimitShares(cluster_state, instance)
        self.limits = RequestLimits(shares)
        self.notices = LimitNotices(self.limits, cluster_state, log, metrics, send_to_all)
        self._loans = LimitLoans(
            self.limits, shares, cluster_state, instance, send_to, metrics, rng
        )
        self.waits = LimitWaits(self._loans)

    def receive(self, message: LimitDatagram) -> None:
        """Apply a message of another instance."""
        if isinstance(message, LimitMessage):
            self.notices.apply_hint(message)
        else:
            self._loans.receive(message)

    def remove_expired(self) -> None:
        """Remove the limits of upstreams that are gone."""
        registered = self._cluster_state.registered_by_id.values()
        self.limits.remove_expired({upstream.lifetime for upstream in registered}, now())

    def page(self) -> tuple[int, bytes]:
        """Return the status and body of the page that shows the limits."""
        services_by_id = {
            upstream_id: upstream.service
            for upstream_id, upstream in self._cluster_state.registered_by_id.items()
        }
        return 200, limits_page(self.limits.limits_by_lifetime, services_by_id, now())

    def update_metrics(self) -> None:
        """Set the gauge of limited upstreams."""
        self._metrics.limited_upstreams.set(len(self.limits.limits_by_lifetime))
