"""Chooses heads by free room, and refuses what would only wait, while all loads are known."""

import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace

from cactuspass.fleet._catalog import Service
from cactuspass.fleet._choices import (
    ChoiceStage,
    NoUpstream,
    NoUpstreamReason,
    RoomOutlook,
    Selection,
    SelectionRequest,
)
from cactuspass.fleet._cluster_state import ClusterState, ServingUpstream
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._peers import Peer
from cactuspass.fleet._upstreams import UpstreamId
from cactuspass.fleet.choice._heads import Head, choose_by_room
from cactuspass.fleet.choice._room_view import RoomView
from cactuspass.fleet.choice._slot_assignment import SlotAssignment
from cactuspass.fleet.load_exchange import DemandKey, FleetLoad, ModelKey
from cactuspass.fleet.load_shedding import (
    QUEUE_PER_SLOT,
    DemandTrend,
    EnginePrediction,
    LearntTimes,
    ModelAdmission,
    Prediction,
    Shortage,
)
from cactuspass.models import DataCentreId, EntryId

# Slots of a head that are left to the instances that they are assigned to.
SLOTS_NOT_LENT = 1.0
# Mean age of the arrivals that a received rate consists of.
DEMAND_DELAY_SECONDS = 1.0
# Share of the requests that find a slot of their own instance, from which on another instance
# probably has one for a caller that comes back at once.
MIN_SHARE_TO_TRY_ELSEWHERE = 0.6
MIN_SECONDS_TO_TRY_ELSEWHERE = 0.05
RESUMPTION_QUEUE_SHARE = 0.8  # of the longest queue of an engine
# Of the requests of a data centre without a head, so that they do not starve.
MIN_SHARE_LENT_TO_HEADLESS = 0.1
# Free slots of a head to which a request is sent in addition to one that may still be answered.
MIN_FREE_SLOTS_FOR_HEDGE = 3.0


@dataclass(frozen=True, slots=True)
class _Assigned:
    """Slots that are assigned to this instance, for some heads and instances."""

    serving: Sequence[ServingUpstream]
    peers: tuple[Peer, ...] | None
    head_ids: frozenset[UpstreamId]
    assignment: SlotAssignment
    slots_by_id: Counter[UpstreamId]


class RoomChoice:
    """Chooses among the heads of a model by what all instances have sent to them.

    The slots of a data centre's heads are assigned to its instances. A request uses a slot of its
    own instance, or one of another instance while these are not expected to be needed.

    :param is_connected: whether an idle connection to an address is open.
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
        self._admission_by_key: dict[ModelKey, ModelAdmission] = {}
        self._assigned_by_key: dict[ModelKey, _Assigned] = {}
        self._peers: tuple[Peer, ...] | None = None
        self._instances_by_data_centre: Counter[DataCentreId] = Counter()
        self._trends_by_key: dict[DemandKey, DemandTrend] = {}
        self._fleet_load: FleetLoad | None = None
        self._shortage_by_key: dict[ModelKey, tuple[float, Shortage]] = {}
        self.learnt_times = LearntTimes()

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
        view = self._view(choices, service, key, fleet_load, at)
        spec = service.engine.model_spec(request.model)
        engine = view.engine_prediction(spec.pace)
        prediction = engine.predict(request.size)
        admission = self._admission_by_key.setdefault(key, ModelAdmission(self._rng))
        is_undecided = request.stage is ChoiceStage.NEW and not request.is_resumed
        shortage = view.local_shortage(engine.request_seconds)
        self._shortage_by_key[key] = (at, shortage)
        if is_undecided:
            self._note_arrival(request, prediction, admission, at)
        is_passed = (
            not is_undecided
            or not self._is_short_everywhere(view, engine, shortage)
            or self._may_ask(request, prediction, admission, view)
        )
        found = self._find(view, request, engine, admission, shortage) if is_passed else None
        if found is None:
            return self._refusal(view, request, engine, prediction, shortage, is_passed)
        if is_undecided or request.stage is ChoiceStage.WAITING:
            admission.arrivals.note_admitted(request.urgency, at)
        wait = engine.queue_seconds(found.requests)
        max_event_gap = service.engine.max_event_gap(spec.pace)
        return Selection(found.upstream, wait, max_event_gap, prediction)

    def _note_arrival(
        self,
        request: SelectionRequest,
        prediction: Prediction,
        admission: ModelAdmission,
        at: float,
    ) -> None:
        seconds = self._request_seconds(request, prediction)
        admission.note_arrival(request.urgency, request.customer, request.route, seconds, at)

    def shortages_since(self, since: float) -> dict[ModelKey, Shortage]:
        """Return how short the room was when it was last chosen, by model.

        :param since: clock value; what was found before is forgotten.
        """
        self._shortage_by_key = {
            key: (at, shortage)
            for key, (at, shortage) in self._shortage_by_key.items()
            if at >= since
        }
        return {key: shortage for key, (_, shortage) in self._shortage_by_key.items()}

    def _may_ask(
        self,
        request: SelectionRequest,
        prediction: Prediction,
        admission: ModelAdmission,
        view: RoomView,
    ) -> bool:
        """Return whether a request may ask for room by its customer and its size."""
        seconds = self._request_seconds(request, prediction)
        begun = view.fleet_load.begun_per_second_by_customer
        return admission.may_ask(request.customer, request.route, seconds, begun)

    def _request_seconds(self, request: SelectionRequest, prediction: Prediction) -> float:
        return self.learnt_times.request_seconds(
            request.service, request.route, request.customer, prediction
        )

    def _is_short_everywhere(
        self, view: RoomView, engine: EnginePrediction, here: Shortage
    ) -> bool:
        """Return whether neither this data centre nor another one has room for all."""
        return here.is_short and all(
            view.shortage(place, engine.request_seconds).is_short
            for place in view.other_data_centres
        )

    def _find(
        self,
        view: RoomView,
        request: SelectionRequest,
        engine: EnginePrediction,
        admission: ModelAdmission,
        shortage: Shortage,
    ) -> Head | None:
        """Return the head for a request; None without room."""
        if request.stage is ChoiceStage.HEDGE:
            return self._find_for_hedge(view, request, shortage)
        if request.is_resumed or request.stage is ChoiceStage.ADMITTED:
            return self._find_again(view, request)
        is_waiting = request.stage is ChoiceStage.WAITING
        target = view.target_data_centre(self._rng)
        if target != self._data_centre and not is_waiting:
            with_room = [head for head in view.heads_in(target) if head.free_slots >= 1]
            if with_room:
                return choose_by_room(with_room, self._rng)
        owned = self._usable_owned(view, request, engine, admission, shortage)
        with_room = [head for head in owned if head.free_slots > 0]
        if with_room:
            return choose_by_room(with_room, self._rng)
        if is_waiting:
            return choose_by_room(owned, self._rng) if owned else None
        found = self._borrow(view, self._data_centre, shortage.lent_share)
        found = found or self._borrow_elsewhere(view, engine)
        return found or (choose_by_room(owned, self._rng) if owned else None)

    def _usable_owned(
        self,
        view: RoomView,
        request: SelectionRequest,
        engine: EnginePrediction,
        admission: ModelAdmission,
        shortage: Shortage,
    ) -> list[Head]:
        """Return the heads with a free assigned slot that more urgent requests don't need."""
        owned = view.owned_heads()
        if not owned or not shortage.is_short:
            return owned
        interval = self._slot_interval(view, engine)
        free, lent_share = view.free_assigned_slots, shortage.lent_share
        is_left = admission.leaves_reserve(request.urgency, free, interval, lent_share)
        return owned if is_left else []

    def _find_again(self, view: RoomView, request: SelectionRequest) -> Head | None:
        """Return the head for a request that was admitted before; None without room.

        A stream of which a part was sent may also wait for room.
        """
        heads = view.heads()
        with_room = [head for head in heads if head.free_slots >= 1]
        if with_room:
            return self._choose_near(with_room)
        if owned := view.owned_heads():
            return choose_by_room(owned, self._rng)
        limit = view.engine.slots * QUEUE_PER_SLOT * RESUMPTION_QUEUE_SHARE
        queueing = [head for head in heads if -head.free_slots < limit]
        if not request.is_resumed or not queueing:
            return None
        return max(queueing, key=lambda head: head.free_slots)

    def _find_for_hedge(
        self, view: RoomView, request: SelectionRequest, shortage: Shortage
    ) -> Head | None:
        """Return a head for a second attempt; None while room is short.

        Before the first event, the first upstream may only be slow. Only a head with clearly free
        room is used then.
        """
        if shortage.is_short and not request.is_resumed:
            return None
        min_free = 1.0 if request.is_resumed else MIN_FREE_SLOTS_FOR_HEDGE
        with_room = [head for head in view.heads() if head.free_slots >= min_free]
        return self._choose_near(with_room) if with_room else None

    def _choose_near(self, heads: Sequence[Head]) -> Head:
        """Return one of some heads by room, of this data centre if any is."""
        local = [head for head in heads if head.upstream.data_centre == self._data_centre]
        return choose_by_room(local or heads, self._rng)

    def _borrow(self, view: RoomView, data_centre: DataCentreId, lent_share: float) -> Head | None:
        """Return a head with a slot that is assigned to another instance and not needed."""
        if lent_share < 1.0 and self._rng.random() >= lent_share:
            return None
        heads = view.heads_in(data_centre)
        with_room = [head for head in heads if head.free_slots > SLOTS_NOT_LENT]
        return choose_by_room(with_room, self._rng) if with_room else None

    def _borrow_elsewhere(self, view: RoomView, engine: EnginePrediction) -> Head | None:
        """Return a head in another data centre that has room for all of its own requests.

        Where room is short everywhere, data centres would otherwise lend several times as much as
        each of them can. Callers of a data centre without a head get what one of the others lends.
        """
        others = view.other_data_centres
        if others and not view.has_local_head:
            place = self._rng.choice(others)
            lent_share = view.shortage(place, engine.request_seconds).lent_share
            return self._borrow(view, place, max(MIN_SHARE_LENT_TO_HEADLESS, lent_share))
        for place in self._rng.sample(others, len(others)):
            shortage = view.shortage(place, engine.request_seconds)
            if not shortage.is_short and (found := self._borrow(view, place, 1.0)):
                return found
        return None

    def _refusal(
        self,
        view: RoomView,
        request: SelectionRequest,
        engine: EnginePrediction,
        prediction: Prediction,
        shortage: Shortage,
        is_passed: bool,
    ) -> NoUpstream:
        """Return when there is room; callers come back one after the other."""
        instances = max(1, self._cluster_state.instance_count)
        slots = view.engine.slots * max(1, len(view.serving))
        return_interval = engine.request_seconds * instances / slots
        interval = None
        if is_passed and view.slots_by_id and request.stage is not ChoiceStage.HEDGE:
            interval = self._slot_interval(view, engine)
        first_event = self.learnt_times.first_event(*view.key, prediction)
        max_wait = request.objective_left - first_event
        is_likely = is_passed and shortage.own_share >= MIN_SHARE_TO_TRY_ELSEWHERE
        may_try_elsewhere = is_likely and max_wait > MIN_SECONDS_TO_TRY_ELSEWHERE
        outlook = RoomOutlook(
            return_interval,
            interval,
            max_wait,
            shortage.lent_share,
            not is_passed,
            may_try_elsewhere,
        )
        return NoUpstream(NoUpstreamReason.ALL_BUSY, return_interval, room=outlook)

    @staticmethod
    def _slot_interval(view: RoomView, engine: EnginePrediction) -> float:
        """Return the seconds between two slots of this instance that become free."""
        return engine.request_seconds / max(1, view.slots_by_id.total())

    def _view(
        self,
        choices: Sequence[ServingUpstream],
        service: Service,
        key: ModelKey,
        fleet_load: FleetLoad,
        at: float,
    ) -> RoomView:
        assert service.engine is not None
        peers = self._cluster_state.peers
        if peers is not self._peers:
            self._peers = peers
            self._instances_by_data_centre = Counter(peer.data_centre for peer in peers)
        return RoomView(
            key,
            service.engine,
            fleet_load,
            self._loads,
            at,
            self._data_centre,
            choices,
            self._assigned_slots(service, key),
            self._instances_by_data_centre,
            self._expected_arrivals(key, fleet_load, at),
            self._is_connected,
        )

    def _expected_arrivals(
        self, key: ModelKey, fleet_load: FleetLoad, at: float
    ) -> Mapping[DataCentreId, float]:
        """Return the requests per second of each data centre, as they are expected to be now.

        They are known as of about a second ago. Where nothing is known of this data centre, all its
        instances are assumed to get as many as this one.
        """
        if fleet_load is not self._fleet_load:
            self._fleet_load = fleet_load
            for demand_key, demand in fleet_load.demand_by_key.items():
                trend = self._trends_by_key.setdefault(demand_key, DemandTrend())
                trend.note(demand.arrivals_per_second, fleet_load.at)
        arrivals = {
            demand_key.data_centre: self._trends_by_key[demand_key].extrapolate(
                at - fleet_load.at + DEMAND_DELAY_SECONDS
            )
            for demand_key in fleet_load.demand_by_key
            if (demand_key.service, demand_key.model) == key
        }
        if self._data_centre not in arrivals and key in self._admission_by_key:
            own_rate = self._admission_by_key[key].arrivals.rate
            arrivals[self._data_centre] = (
                own_rate * self._instances_by_data_centre[self._data_centre]
            )
        return arrivals

    def _assigned_slots(self, service: Service, key: ModelKey) -> Counter[UpstreamId]:
        """Return the slots of this instance, found once for each set of heads and instances."""
        if self._data_centre in self._cluster_state.evacuations.data_centres:
            return Counter()
        serving = self._cluster_state.serving_upstreams(service, key[1])
        known = self._assigned_by_key.get(key)
        if known is not None and known.serving is serving and known.peers is self._peers:
            return known.slots_by_id
        assert service.engine is not None
        head_ids = frozenset(
            s.upstream.upstream_id
            for s in serving
            if s.upstream.data_centre == self._data_centre and not s.upstream.draining
        )
        if known is None or known.peers is not self._peers:
            peers = self._peers or ()
            local = (peer.instance for peer in peers if peer.data_centre == self._data_centre)
            assignment = SlotAssignment(local)
        elif known.head_ids == head_ids:
            self._assigned_by_key[key] = replace(known, serving=serving)
            return known.slots_by_id
        else:
            assignment = known.assignment
        assigned = assignment.assign(head_ids, service.engine.slots)
        slots_by_id = assigned.get(self._instance, Counter()) if self._instance else Counter()
        self._assigned_by_key[key] = _Assigned(
            serving, self._peers, head_ids, assignment, slots_by_id
        )
        return slots_by_id
