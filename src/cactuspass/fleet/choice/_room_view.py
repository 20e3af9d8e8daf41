"""The room at the heads of one model, as one instance knows it."""

import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from cactuspass.fleet._catalog import EngineSpec
from cactuspass.fleet._cluster_state import ServingUpstream
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._upstreams import UpstreamId
from cactuspass.fleet.choice._heads import Head
from cactuspass.fleet.load_exchange import DemandKey, FleetLoad, ModelDemand, ModelKey
from cactuspass.fleet.load_shedding import QUEUE_PER_SLOT, EnginePrediction, Shortage, find_shortage
from cactuspass.models import DataCentreId

# Requests above its slots that a head may seem to have when an assigned slot of it is used: others
# whose end is not known yet, or that use slots of other instances.
STALE_REQUESTS = 2.0


@dataclass(frozen=True, slots=True)
class RoomView:
    """What one choice is made from.

    :param serving: the heads that may be chosen, whatever their load.
    :param slots_by_id: slots that are assigned to this instance.
    :param instances_by_data_centre: number of registered instances.
    :param arrivals_by_data_centre: requests per second that are expected now.
    :param is_connected: whether an idle connection to an address is open.
    """

    key: ModelKey
    engine: EngineSpec
    fleet_load: FleetLoad
    loads: LoadTable
    at: float
    data_centre: DataCentreId
    serving: Sequence[ServingUpstream]
    slots_by_id: Counter[UpstreamId]
    instances_by_data_centre: Mapping[DataCentreId, int]
    arrivals_by_data_centre: Mapping[DataCentreId, float]
    is_connected: Callable[[str], bool]

    def engine_prediction(self, pace: float) -> EnginePrediction:
        """Return the times of the groups.

        :param pace: factor applied to all times.
        """
        longest = self.engine.longest_mean_seconds(self.key[1])
        measured = min(self.demand_in(self.data_centre).mean_seconds, longest)
        return EnginePrediction.of(self.engine, pace, measured)

    def heads(self) -> list[Head]:
        """Return all heads."""
        return self._heads(self.serving)

    def heads_in(self, data_centre: DataCentreId) -> list[Head]:
        """Return the heads of a data centre."""
        return self._heads(s for s in self.serving if s.upstream.data_centre == data_centre)

    def owned_heads(self) -> list[Head]:
        """Return the heads of which an assigned slot is free.

        There is none when as many requests run as slots are assigned, at whichever heads: after a
        change of the heads, they run at those whose slots were assigned before.
        """
        if self.free_assigned_slots <= 0:
            return []
        slots_by_id = self.slots_by_id
        owned = (s for s in self.serving if s.upstream.upstream_id in slots_by_id)
        return [
            head
            for head in self._heads(owned)
            if head.own_requests < slots_by_id[head.upstream.upstream_id]
            and head.free_slots > -STALE_REQUESTS
        ]

    @property
    def free_assigned_slots(self) -> int:
        """Slots that are assigned to this instance, less its requests at all heads."""
        loads = (self.loads.load(s.upstream.upstream_id) for s in self.serving)
        return self.slots_by_id.total() - sum(load.in_flight for load in loads)

    def target_data_centre(self, rng: random.Random) -> DataCentreId:
        """Return the data centre for a request, by the shares of this one's requests."""
        shares = self.fleet_load.shares_by_model.get(self.key)
        if not shares or not any(share > 0 for share in shares.values()):
            return self.data_centre
        return rng.choices(list(shares), [max(0.0, share) for share in shares.values()])[0]

    @property
    def other_data_centres(self) -> list[DataCentreId]:
        """The other data centres that have heads of the model."""
        return sorted({s.upstream.data_centre for s in self.serving} - {self.data_centre})

    @property
    def has_local_head(self) -> bool:
        """Whether this data centre has a head of the model."""
        return any(s.upstream.data_centre == self.data_centre for s in self.serving)

    def local_shortage(self, request_seconds: float) -> Shortage:
        """Return how short the room is for this instance's requests.

        Without a head in its data centre, it is that of the other one that lends most.
        """
        places = {s.upstream.data_centre for s in self.serving}
        if self.has_local_head or not places:
            return self.shortage(self.data_centre, request_seconds)
        shortages = (self.shortage(place, request_seconds) for place in places)
        return max(shortages, key=lambda shortage: shortage.lent_share)

    def shortage(self, data_centre: DataCentreId, request_seconds: float) -> Shortage:
        """Return how short the room of a data centre is for its own callers.

        :param request_seconds: mean time that a request takes up a slot.
        """
        heads = sum(s.upstream.data_centre == data_centre for s in self.serving)
        slots = heads * self.engine.slots
        if not slots:
            return Shortage(0.0, 0.0)
        kept = 1.0
        if data_centre == self.data_centre:
            kept = self.fleet_load.shares_by_model.get(self.key, {}).get(data_centre, 1.0)
        arrivals = self.arrivals_by_data_centre.get(data_centre, 0.0) * kept
        instances = max(1, self.instances_by_data_centre.get(data_centre, 0))
        return find_shortage(arrivals * request_seconds / slots, slots / instances, self.age)

    def demand_in(self, data_centre: DataCentreId) -> ModelDemand:
        """Return the demand of a data centre's callers; none while it is not known."""
        found = self.fleet_load.demand_by_key.get(DemandKey(*self.key, data_centre))
        return found if found is not None else ModelDemand()

    @property
    def age(self) -> float:
        """Seconds since the known loads were true."""
        loads = self.fleet_load.requests_elsewhere_by_head.values()
        return self.at - self.fleet_load.at + max((load.age for load in loads), default=0.0)

    def _heads(self, serving: Iterable[ServingUpstream]) -> list[Head]:
        return [self._head(s) for s in serving]

    def _head(self, serving: ServingUpstream) -> Head:
        upstream, slots, at = serving.upstream, self.engine.slots, self.at
        load = self.loads.load(upstream.upstream_id)
        elsewhere = self.fleet_load.requests_elsewhere_by_head.get(upstream.upstream_id)
        requests = load.in_flight + (elsewhere.requests if elsewhere is not None else 0.0)
        age = at - self.fleet_load.at + (elsewhere.age if elsewhere is not None else 0.0)
        if at - load.reported_at < age:
            # What the head has stated itself is more recent.
            requests = load.estimate(at)
        if load.is_full(at):
            requests = max(requests, slots * (1 + QUEUE_PER_SLOT))
        return Head(
            upstream,
            requests,
            load.in_flight,
            slots,
            self.is_connected(upstream.address),
            serving.is_complete,
            load.failure_share,
        )
