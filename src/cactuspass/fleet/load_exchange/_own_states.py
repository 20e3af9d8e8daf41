"""The states that one instance sends to its coordinator."""

from collections.abc import Mapping

from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._upstreams import UpstreamId
from cactuspass.fleet.load_exchange._messages import MAX_REQUESTS_OF_INSTANCE, InstanceState
from cactuspass.fleet.load_exchange._request_meter import RequestMeter

KEPT_STATES = 16
MILLISECONDS = 1000


class OwnStates:
    """Composes the states of one instance, and keeps the last ones to subtract them from sums.

    :param lifetime: random number of this run of the instance.
    :param started_at: clock value from which the time in states counts.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        loads: LoadTable,
        meter: RequestMeter,
        lifetime: int,
        started_at: float,
    ) -> None:
        self._cluster_state = cluster_state
        self._loads = loads
        self._meter = meter
        self._lifetime = lifetime
        self._started_at = started_at
        self._number = 0
        self._requests_by_number: dict[int, Mapping[UpstreamId, int]] = {}

    def compose(self, at: float) -> tuple[int, InstanceState]:
        """Return the next number, and the present state."""
        requests_by_head = self._requests_by_head()
        self._number += 1
        self._requests_by_number[self._number] = requests_by_head
        self._requests_by_number.pop(self._number - KEPT_STATES, None)
        state = InstanceState(
            self._lifetime,
            round((at - self._started_at) * MILLISECONDS),
            tuple(requests_by_head.items()),
            tuple(
                (
                    *key,
                    counters.arrivals,
                    counters.refused,
                    counters.begun_in_time,
                    counters.begun_late,
                    counters.ended,
                    round(counters.engine_seconds * MILLISECONDS),
                )
                for key, counters in self._meter.counters_by_key.items()
            ),
            tuple(self._meter.begun_by_customer.items()),
        )
        return self._number, state

    def requests_in(self, number: int) -> Mapping[UpstreamId, int]:
        """Return the requests at each head as a state of this instance has named them.

        :param number: 0 for none.
        """
        return self._requests_by_number.get(number, {})

    def _requests_by_head(self) -> dict[UpstreamId, int]:
        upstreams_by_id = self._cluster_state.view.upstreams_by_id
        return {
            upstream_id: min(load.in_flight, MAX_REQUESTS_OF_INSTANCE)
            for upstream_id, load in self._loads.loads_by_id.items()
            if load.in_flight > 0
            and (upstream := upstreams_by_id.get(upstream_id)) is not None
            and upstream.membership is not None
        }
