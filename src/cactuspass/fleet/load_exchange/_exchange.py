"""Exchanges the loads that instances cause, by datagrams to a coordinator in each data centre."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Mapping
from itertools import product

from cactuspass._clock import now
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._peers import Peer
from cactuspass.fleet._repeating import RepeatingComponent
from cactuspass.fleet.load_exchange._coordinator import Coordinator
from cactuspass.fleet.load_exchange._coordinator_choice import (
    SILENCE_SECONDS,
    CoordinatorChoice,
    order_coordinators,
)
from cactuspass.fleet.load_exchange._fleet_load import FleetLoad
from cactuspass.fleet.load_exchange._known_fleet import KnownFleet
from cactuspass.fleet.load_exchange._known_loads import ShareDecision, keep_shares
from cactuspass.fleet.load_exchange._known_sums import KnownSums
from cactuspass.fleet.load_exchange._messages import (
    FleetSums,
    InstanceState,
    LoadSums,
    add_number,
    decode,
    encode_bodies,
)
from cactuspass.fleet.load_exchange._own_states import OwnStates
from cactuspass.fleet.load_exchange._request_meter import RequestMeter
from cactuspass.fleet.load_exchange._rows import load_page
from cactuspass.models import DataCentreId, EntryId

INTERVAL_SECONDS = 0.25
MIN_STEP_SECONDS = 0.1
# Time between a state and the sums that include it; states of many instances come spread over it.
MIN_LEAD_SECONDS = 0.02
MAX_LEAD_SECONDS = 0.07
# For so long, ``latest`` is not computed again.
LATEST_VALID_SECONDS = 0.1
MAX_LIFETIME = 2**32
# After a pause of the process, datagrams wait in the kernel that are as old as the pause. They are
# dropped for a time in which all of them are read.
PAUSE_SECONDS = 0.75
BACKLOG_SECONDS = 0.2
# The number of parts of the sums falls only that often, since receivers wait for all of them.
PARTS_KEPT_SECONDS = 10.0
MIN_LOG_INTERVAL_SECONDS = 10.0  # of lines on dropped messages, for each reason


class LoadExchange(RepeatingComponent):
    """Exchanges loads while enough instances are registered.

    :param instance: id of this instance.
    :param min_instances: number of registered instances below which nothing is sent.
    :param send: sends a datagram to an address.
    :param decide: decides the shares of the data centre while this instance coordinates it.
    :param clock: returns the current clock value.
    :ivar next_step_at: clock value of the next step.
    """

    def __init__(
        self,
        instance: EntryId,
        data_centre: DataCentreId,
        min_instances: int,
        cluster_state: ClusterState,
        loads: LoadTable,
        meter: RequestMeter,
        send: Callable[[str, bytes], None],
        log: DecisionLog,
        metrics: Metrics,
        rng: random.Random,
        decide: ShareDecision = keep_shares,
        clock: Callable[[], float] = now,
    ) -> None:
        super().__init__(log)
        self._instance = instance
        self._data_centre = data_centre
        self._min_instances = min_instances
        self._cluster_state = cluster_state
        self._send = send
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._own = OwnStates(cluster_state, loads, meter, rng.randrange(MAX_LIFETIME), clock())
        self._choice = CoordinatorChoice(instance)
        self._known = KnownFleet(data_centre)
        self._known_sums = KnownSums()
        self._coordinator = Coordinator(
            instance, data_centre, self._known, self._known_sums, decide
        )
        # Plain counts, since a coordinator sends over a thousand datagrams per second.
        self._sent_by_kind: Counter[str] = Counter()
        self._received_by_kind: Counter[str] = Counter()
        self._dropped_by_reason: Counter[str] = Counter()
        self._fleet_parts = 1  # of the last sums sent to the instances
        self._parts_tried_at = clock()
        self._logged_at_by_reason: dict[str, float] = {}
        self._active_at = clock()
        self._backlog_until = float("-inf")
        self._chosen: EntryId | None = None
        self._chosen_at = clock()
        self._latest: FleetLoad | None = None
        self._latest_at = float("-inf")
        self._known_places: frozenset[DataCentreId] = frozenset()
        self._peers: tuple[Peer, ...] | None = None
        self._peers_by_address: Mapping[str, Peer] = {}
        self._local: list[Peer] = []
        self.next_step_at = clock() + INTERVAL_SECONDS * rng.random()
        self._lead_seconds = rng.uniform(MIN_LEAD_SECONDS, MAX_LEAD_SECONDS)
        self._sums_at: float | None = None  # last sums of the coordinator in use

    @property
    def is_on(self) -> bool:
        """Whether enough instances are registered."""
        return len(self._cluster_state.peers) >= self._min_instances

    @property
    def latest(self) -> FleetLoad | None:
        """The load of the fleet; None while nothing recent is known of the own data centre."""
        at = self._clock()
        if at - self._latest_at > LATEST_VALID_SECONDS:
            self._latest = self._known.fleet_load(at, self._own.requests_in)
            self._latest_at = at
        return self._latest

    @property
    def coordinator(self) -> EntryId | None:
        """The coordinator that this instance uses; None while nothing is exchanged."""
        return self._chosen

    async def step(self) -> None:
        """Exchange loads once."""
        await asyncio.sleep(self.next_step_at - self._clock())
        self.exchange()

    def exchange(self) -> None:
        """Send the own state to the coordinator or, if that is this instance, the sums to all."""
        at = self._clock()
        self.next_step_at = self._find_next_step(at)
        self._has_backlog(at)
        if not self.is_on:
            self._note_chosen(None)
            return
        self._update_peers()
        chosen = self._choice.choose(self._local, at)
        self._note_chosen(chosen.instance if chosen is not None else None)
        if chosen is None:
            return
        number, state = self._own.compose(at)
        if chosen.instance == self._instance:
            self._coordinate(number, state, at)
        # The first in order may be heard by others, and needs all states when it comes back.
        receivers = {peer.instance: peer for peer in (chosen, self._local[0])}
        receivers.pop(self._instance, None)
        if receivers:
            for peer, body in product(receivers.values(), encode_bodies(state)):
                self._send_to(peer, add_number(number, body), state.kind)
        self._note_places(at)

    def _find_next_step(self, at: float) -> float:
        """Return the clock value of the step after the present one.

        It is shortly before the next sums of the coordinator are expected, so that the state does
        not wait for them.
        """
        step = max(self.next_step_at + INTERVAL_SECONDS, at + MIN_STEP_SECONDS)
        if self._sums_at is None or at - self._sums_at > SILENCE_SECONDS:
            return step
        expected = self._sums_at + INTERVAL_SECONDS - self._lead_seconds
        while expected < at + MIN_STEP_SECONDS:
            expected += INTERVAL_SECONDS
        return expected

    def receive(self, datagram: bytes, address: str) -> None:
        """Process a datagram of another instance.

        :param address: ``host:port`` that it was sent from.
        """
        at = self._clock()
        if self._has_backlog(at):
            self._dropped_by_reason["backlog"] += 1
            return
        self._update_peers()
        sender = self._peers_by_address.get(address)
        if sender is None:
            self._drop("stranger", address)
            return
        decoded = decode(datagram)
        if decoded is None:
            self._drop_sender(sender, "invalid")
            return
        number, message = decoded
        self._received_by_kind[message.kind] += 1
        if isinstance(message, InstanceState):
            if not self._coordinator.record_state(sender, number, message, at):
                self._drop_sender(sender, "impossible")
        elif isinstance(message, LoadSums):
            self._receive_sums(sender, message, at)
        else:
            self._receive_fleet_sums(sender, number, message, at)

    def page(self) -> tuple[int, bytes]:
        """Return the status and body of the page that shows the loads."""
        at = self._clock()
        places = [part.sums.places for part in self._known.current(at)][:1]
        return 200, load_page(
            places[0] if places else (),
            self._known.ages_by_place(at),
            self._instance,
            self._chosen,
            at - self._chosen_at,
            self.latest,
        )

    def update_metrics(self) -> None:
        """Set the metrics of the exchange."""
        for outcome, counts in (
            ("sent", self._sent_by_kind),
            ("received", self._received_by_kind),
            ("dropped", self._dropped_by_reason),
        ):
            for name, count in counts.items():
                self._metrics.load_messages.labels(outcome, name).set(count)
        at = self._clock()
        self._metrics.coordinates_loads.set(self._chosen == self._instance)
        self._metrics.load_age.clear()
        for place, age in self._known.ages_by_place(at).items():
            self._metrics.load_age.labels(place).set(age)

    def _coordinate(self, number: int, state: InstanceState, at: float) -> None:
        self._coordinator.record_own_state(number, state, at)
        if at - self._chosen_at < INTERVAL_SECONDS / 2:
            return  # The other instances have not sent their states yet.
        sums = self._coordinator.sum_up(at, at - self._chosen_at)
        fleet_sums = self._coordinator.merge(sums, at)
        self._known.record(number, fleet_sums, at)
        if at - self._parts_tried_at > PARTS_KEPT_SECONDS:
            self._fleet_parts, self._parts_tried_at = 1, at
        bodies = encode_bodies(fleet_sums, self._fleet_parts)
        for peer in self._local:
            if peer.instance != self._instance:
                counted = self._coordinator.counted_number(peer.instance)
                for body in bodies:
                    self._send_to(peer, add_number(counted, body), fleet_sums.kind)
        self._fleet_parts = len(bodies)
        datagrams = [add_number(0, body) for body in encode_bodies(sums)]
        for peer, datagram in product(self._coordinator.other_coordinators(at), datagrams):
            self._send_to(peer, datagram, sums.kind)

    def _receive_sums(self, sender: Peer, sums: LoadSums, at: float) -> None:
        """Record the sums of another data centre, which the coordinator passes on."""
        is_of_sender = (sums.data_centre, sums.coordinator) == (
            sender.data_centre,
            sender.instance,
        )
        if not is_of_sender or sender.data_centre == self._data_centre:
            self._drop_sender(sender, "inconsistent")
            return
        self._known_sums.record(sums, at)
        self._coordinator.note_other(sender, at)

    def _receive_fleet_sums(self, sender: Peer, number: int, sums: FleetSums, at: float) -> None:
        """Record the sums of the fleet from a coordinator of the own data centre."""
        if sums.coordinator != sender.instance or sender.data_centre != self._data_centre:
            self._drop_sender(sender, "inconsistent")
            return
        self._known.record(number, sums, at)
        self._choice.note_heard(sender.instance, at)
        if sender.instance == self._chosen:
            self._sums_at = at

    def _send_to(self, peer: Peer, datagram: bytes, kind: str) -> None:
        if peer.address is not None:
            self._sent_by_kind[kind] += 1
            self._send(peer.address, datagram)

    def _drop_sender(self, sender: Peer, reason: str) -> None:
        """Drop a message that cannot be right, and what its sender has said before."""
        self._coordinator.remove(sender.instance)
        self._known.remove(sender.instance)
        self._known_sums.remove(sender.instance)
        self._drop(reason, sender.instance)

    def _drop(self, reason: str, peer: str) -> None:
        self._dropped_by_reason[reason] += 1
        at = self._clock()
        if at - self._logged_at_by_reason.get(reason, float("-inf")) >= MIN_LOG_INTERVAL_SECONDS:
            self._logged_at_by_reason[reason] = at
            count = self._dropped_by_reason[reason]
            self._log.state_change("load-message-dropped", peer=peer, reason=reason, count=count)

    def _has_backlog(self, at: float) -> bool:
        """Return whether what is received now may have waited for the end of a pause."""
        if at - self._active_at > PAUSE_SECONDS:
            self._backlog_until = at + BACKLOG_SECONDS
        self._active_at = at
        return at < self._backlog_until

    def _update_peers(self) -> None:
        """Find the peers by address, and the order of coordinators, when the peers change."""
        if self._cluster_state.peers is self._peers:
            return
        self._peers = self._cluster_state.peers
        self._peers_by_address = {peer.address: peer for peer in self._peers if peer.address}
        self._local = order_coordinators(self._peers, self._data_centre)
        self._coordinator.accept_peers(self._peers)

    def _note_chosen(self, chosen: EntryId | None) -> None:
        if chosen == self._chosen:
            return
        at = self._clock()
        self._log.state_change(
            "load-coordinator",
            coordinator=chosen or "none",
            before=self._chosen,
            before_for=at - self._chosen_at if self._chosen is not None else None,
            instances=len(self._cluster_state.peers),
        )
        self._chosen, self._chosen_at = chosen, at

    def _note_places(self, at: float) -> None:
        """Log the data centres whose sums have come or have become too old."""
        places = frozenset(self._known.ages_by_place(at))
        for place in places ^ self._known_places:
            self._log.state_change("load-sums", data_centre=place, known=place in places)
        self._known_places = places
