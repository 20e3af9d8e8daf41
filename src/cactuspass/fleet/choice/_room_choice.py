"""Chooses heads by free room, and refuses what would only wait, while all loads are known."""

import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from cactuspass.fleet._catalog import EngineSpec, Service
from cactuspass.fleet._choices import NoUpstream, NoUpstreamReason, Selection, SelectionRequest
from cactuspass.fleet._cluster_state import ClusterState, ServingUpstream
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._upstreams import UpstreamId
from cactuspass.fleet.choice._heads import Head, choose_by_room
from cactuspass.fleet.choice._slot_assignment import assign_slots
from cactuspass.fleet.load_exchange import DemandKey, FleetLoad, ModelDemand, ModelKey
from cactuspass.fleet.load_shedding import EnginePrediction, ModelArrivals, lending_share
from cactuspass.fleet.load_shedding._prediction import QUEUE_PER_SLOT
from cactuspass.models import DataCentreId, EntryId

# Requests above its slots that a head may seem to have when an assigned slot of it is used: others
# whose end is not known yet, or that use slots of other instances.
STALE_REQUESTS = 2.0
# Slots of a head that are left to the instances that they are assigned to.
SLOTS_NOT_LENT = 1.0
# Part of the slots that becomes free which is promised to callers that come back.
RETURN_SHARE = 0.5
RESUMPTION_QUEUE_SHARE = 0.8  # of the longest queue of an engine


@dataclass(frozen=True, slots=True)
class _Situation:
    """What one choice is made from."""

    request: SelectionRequest
    key: ModelKey
    engine: EngineSpec
    fleet_load: FleetLoad
    at: float
    serving: Sequence[ServingUpstream]
    slots_by_id: Counter[UpstreamId]
    prediction: EnginePrediction


class RoomChoice:
    """Chooses among the heads of a model by what all instances have sent to them.

    The slots of a data centre's heads are assigned to its instances. A request uses a slot of its
    own instance, or one of another instance while these are not expected to be needed.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        loads: LoadTable,
        data_centre: DataCentreId,
        rng: random.Random,
        instance: EntryId | None,
        is_connected: Callable[[str], bool],
    ) -> None:
        self._cluster_state = cluster_state
        self._loads = loads
        self._data_centre = data_centre
        self._rng = rng
        self._instance = instance
        self._is_connected = is_connected
        self._arrivals_by_key: dict[ModelKey, ModelArrivals] = {}
        self._assigned_by_key: dict[ModelKey, tuple[object, object, Counter[UpstreamId]]] = {}

    def choose(
        self,
        choices: Sequence[ServingUpstream],
        request: SelectionRequest,
        service: Service,
        fleet_load: FleetLoad,
        at: float,
    ) -> Selection | NoUpstream:
        """Return the head for a request, or when there is room for it.

        :param choices: the heads that may be chosen, whatever their load.
        """
        assert service.engine is not None and request.model is not None
        key = (service.service, request.model)
        spec = service.engine.model_spec(request.model)
        demand = self._demand(key, self._data_centre, fleet_load)
        prediction = EnginePrediction.of(service.engine, spec.pace, demand.mean_seconds)
        slots_by_id = self._assigned_slots(service, key)
        situation = _Situation(
            request, key, service.engine, fleet_load, at, choices, slots_by_id, prediction
        )
        arrivals = self._arrivals_by_key.setdefault(key, ModelArrivals())
        is_decided = request.is_resumed or not request.is_new
        if is_decided:
            found = self._choose_again(situation)
        else:
            arrivals.note_arrival(request.priority, at)
            found = self._choose_new(situation, arrivals)
        if found is None:
            return self._refusal(situation)
        if not is_decided:
            arrivals.note_admitted(request.priority)
        wait = prediction.queue_seconds(found.requests)
        return Selection(found.upstream, wait, service.engine.max_event_gap(spec.pace))

    def _choose_new(self, situation: _Situation, arrivals: ModelArrivals) -> Head | None:
        """Return the head for a request that has not been sent yet; None to refuse it."""
        target = self._target_data_centre(situation)
        if target != self._data_centre:
            remote = self._heads_in(situation, target)
            with_room = [head for head in remote if head.free_slots >= 1]
            if with_room:
                return choose_by_room(with_room, self._rng)
        lending = self._lending_share(situation, self._data_centre)
        owned = self._owned_heads(situation)
        if owned and lending < 1.0 and not self._may_use_own(situation, arrivals):
            return None
        with_room = [head for head in owned if head.free_slots > 0]
        if with_room:
            return choose_by_room(with_room, self._rng)
        found = self._borrow(situation, self._data_centre, lending)
        if found is None and owned:
            return choose_by_room(owned, self._rng)
        return found or self._borrow_elsewhere(situation)

    def _choose_again(self, situation: _Situation) -> Head | None:
        """Return the head for a request that was admitted before; None without room.

        A stream of which a part was sent may also wait for room.
        """
        heads = self._heads(situation, situation.serving)
        with_room = [head for head in heads if head.free_slots >= 1]
        local = [head for head in with_room if head.upstream.data_centre == self._data_centre]
        if with_room:
            return choose_by_room(local or with_room, self._rng)
        if owned := self._owned_heads(situation):
            return choose_by_room(owned, self._rng)
        limit = situation.engine.slots * QUEUE_PER_SLOT * RESUMPTION_QUEUE_SHARE
        queueing = [head for head in heads if -head.free_slots < limit]
        if not situation.request.is_resumed or not queueing:
            return None
        return max(queueing, key=lambda head: head.free_slots)

    def _may_use_own(self, situation: _Situation, arrivals: ModelArrivals) -> bool:
        """Return whether enough assigned slots stay free for more urgent requests."""
        slots_by_id = situation.slots_by_id
        total = slots_by_id.total()
        free = total - sum(self._loads.load(head_id).in_flight for head_id in slots_by_id)
        slot_seconds = situation.prediction.request_seconds / max(1, total)
        reserve = arrivals.reserve(situation.request.priority, slot_seconds)
        return free - 1 >= reserve - self._rng.random()

    def _owned_heads(self, situation: _Situation) -> list[Head]:
        """Return the heads of which an assigned slot is free."""
        slots_by_id = situation.slots_by_id
        owned = (s for s in situation.serving if s.upstream.upstream_id in slots_by_id)
        return [
            head
            for head in self._heads(situation, owned)
            if head.own_requests < slots_by_id[head.upstream.upstream_id]
            and head.free_slots > -STALE_REQUESTS
        ]

    def _borrow(
        self, situation: _Situation, data_centre: DataCentreId, lending: float
    ) -> Head | None:
        """Return a head with a slot that is assigned to another instance and not needed."""
        if lending < 1.0 and self._rng.random() >= lending:
            return None
        heads = self._heads_in(situation, data_centre)
        with_room = [head for head in heads if head.free_slots > SLOTS_NOT_LENT]
        return choose_by_room(with_room, self._rng) if with_room else None

    def _borrow_elsewhere(self, situation: _Situation) -> Head | None:
        """Return a head with room in another data centre."""
        places = {serving.upstream.data_centre for serving in situation.serving}
        others = sorted(places - {self._data_centre})
        for place in self._rng.sample(others, len(others)):
            found = self._borrow(situation, place, self._lending_share(situation, place))
            if found is not None:
                return found
        return None

    def _target_data_centre(self, situation: _Situation) -> DataCentreId:
        shares = situation.fleet_load.shares_by_model.get(situation.key)
        if not shares or not any(share > 0 for share in shares.values()):
            return self._data_centre
        return self._rng.choices(list(shares), [max(0.0, s) for s in shares.values()])[0]

    def _lending_share(self, situation: _Situation, data_centre: DataCentreId) -> float:
        """Return the share of the requests that may use slots of a data centre's instances."""
        heads = sum(s.upstream.data_centre == data_centre for s in situation.serving)
        slots = heads * situation.engine.slots
        if not slots:
            return 0.0
        demand = self._demand(situation.key, data_centre, situation.fleet_load)
        seconds = situation.prediction.request_seconds
        shares = situation.fleet_load.shares_by_model.get(situation.key, {})
        kept = shares.get(data_centre, 1.0) if data_centre == self._data_centre else 1.0
        instances = sum(p.data_centre == data_centre for p in self._cluster_state.peers)
        offered = demand.arrivals_per_second * kept * seconds / slots
        return lending_share(offered, slots / max(1, instances), self._age(situation))

    def _age(self, situation: _Situation) -> float:
        """Return the seconds since the known loads were true."""
        loads = situation.fleet_load.requests_elsewhere_by_head.values()
        oldest = max((load.age for load in loads), default=0.0)
        return situation.at - situation.fleet_load.at + oldest

    def _demand(
        self, key: ModelKey, data_centre: DataCentreId, fleet_load: FleetLoad
    ) -> ModelDemand:
        found = fleet_load.demand_by_key.get(DemandKey(*key, data_centre))
        return found if found is not None else ModelDemand()

    def _assigned_slots(self, service: Service, key: ModelKey) -> Counter[UpstreamId]:
        """Return the slots of this instance, found once for each list of heads and instances."""
        serving = self._cluster_state.serving_upstreams(service, key[1])
        peers = self._cluster_state.peers
        known = self._assigned_by_key.get(key)
        if known is not None and known[0] is serving and known[1] is peers:
            return known[2]
        assert service.engine is not None
        head_ids = [
            s.upstream.upstream_id
            for s in serving
            if s.upstream.data_centre == self._data_centre and not s.upstream.draining
        ]
        instances = [p.instance for p in peers if p.data_centre == self._data_centre]
        assigned = assign_slots(head_ids, service.engine.slots, instances, self._instance)
        self._assigned_by_key[key] = (serving, peers, assigned)
        return assigned

    def _heads_in(self, situation: _Situation, data_centre: DataCentreId) -> list[Head]:
        serving = (s for s in situation.serving if s.upstream.data_centre == data_centre)
        return self._heads(situation, serving)

    def _heads(self, situation: _Situation, serving: Iterable[ServingUpstream]) -> list[Head]:
        return [self._head(situation, s) for s in serving]

    def _head(self, situation: _Situation, serving: ServingUpstream) -> Head:
        upstream, slots = serving.upstream, situation.engine.slots
        load = self._loads.load(upstream.upstream_id)
        fleet_load, at = situation.fleet_load, situation.at
        elsewhere = fleet_load.requests_elsewhere_by_head.get(upstream.upstream_id)
        requests = load.in_flight + (elsewhere.requests if elsewhere is not None else 0.0)
        age = at - fleet_load.at + (elsewhere.age if elsewhere is not None else 0.0)
        if at - load.reported_at < age:
            requests = load.estimate(at)
        if load.is_full(at):
            requests = max(requests, slots * (1 + QUEUE_PER_SLOT))
        return Head(
            upstream,
            requests,
            load.in_flight,
            slots,
            self._is_connected(upstream.address),
            serving.is_complete,
            load.failure_share,
        )

    def _refusal(self, situation: _Situation) -> NoUpstream:
        """Return when a caller should come back; they come one after the other."""
        instances = max(1, self._cluster_state.instance_count)
        slots = situation.engine.slots * max(1, len(situation.serving))
        slot_seconds = situation.prediction.request_seconds * instances / slots
        return NoUpstream(
            NoUpstreamReason.ALL_BUSY,
            slot_seconds,
            return_interval=slot_seconds / RETURN_SHARE,
        )
