"""Data centres that decide shares on old sums, in virtual time, with requests as flows."""

import math
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from cactuspass.fleet.load_exchange import Shares
from cactuspass.fleet.spill import ModelState, PlaceState, decide_shares
from cactuspass.models import DataCentreId, ModelId, ServiceId

KEY = (ServiceId("chat"), ModelId("large"))
STEP_SECONDS = 0.05
DECISION_STEPS = 5
RATE_WINDOW_STEPS = 40
OLD_STEPS = 12  # 0.6 s
ENGINE_SECONDS = 2.0

Rate = Callable[[float], float]


@dataclass
class Place:
    """One data centre.

    :param capacity: requests that its groups run at the same time.
    :param demand: requests of its callers that would run at the same time, by time.
    :ivar present: requests at its groups.
    :ivar elsewhere: share of its requests that goes elsewhere, at each step.
    """

    capacity: float
    demand: Rate
    present: float = 0.0
    is_silent: bool = False
    shares: Shares = field(default_factory=dict)
    arrivals: deque[float] = field(default_factory=lambda: deque(maxlen=RATE_WINDOW_STEPS))
    published: deque[tuple[PlaceState, Shares]] = field(
        default_factory=lambda: deque(maxlen=OLD_STEPS + 1)
    )
    elsewhere: list[float] = field(default_factory=list)
    heard_steps_ago: int = 0


class SpillWorld:
    """Some data centres; each one decides every 0.25 s on sums of the others 0.6 s old.

    :ivar arrived: requests that arrived; the same holds for ``rejected`` and ``remote``.
    """

    def __init__(
        self,
        places_by_name: Mapping[str, Place],
        objective: float = 0.5,
        delay_by_pair: Mapping[frozenset[DataCentreId], float] | None = None,
    ) -> None:
        self.places = {DataCentreId(name): place for name, place in places_by_name.items()}
        self.objective = objective
        self.delay_by_pair = dict(delay_by_pair or {})
        self.step = 0
        self.reset()
        for name, place in self.places.items():
            place.shares = {name: 1.0}
            place.present = min(place.capacity, place.demand(0.0))

    def reset(self) -> None:
        """Forget what was counted so far."""
        self.arrived = self.rejected = self.remote = 0.0
        self.flows: dict[tuple[str, str], float] = {}
        for place in self.places.values():
            place.elsewhere.clear()

    @property
    def at(self) -> float:
        """Seconds since the start."""
        return self.step * STEP_SECONDS

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step += 1
            self._move_requests()
            for index, (name, place) in enumerate(self.places.items()):
                place.published.append((self._state_of(place), place.shares))
                place.heard_steps_ago = place.heard_steps_ago + 1 if place.is_silent else 0
                if (self.step + 2 * index) % DECISION_STEPS == 0:
                    state = self._known_to(name)
                    place.shares = decide_shares({KEY: state}, {KEY: place.shares})[KEY]
                assert math.isclose(sum(place.shares.values()), 1.0, abs_tol=1e-9)
                place.elsewhere.append(1.0 - place.shares.get(name, 0.0))

    def _move_requests(self) -> None:
        """Let requests arrive, go where the shares say, and end."""
        inflow = dict.fromkeys(self.places, 0.0)
        for name, place in self.places.items():
            arrivals = place.demand(self.at) / ENGINE_SECONDS * STEP_SECONDS
            place.arrivals.append(arrivals)
            self.arrived += arrivals
            for target, share in place.shares.items():
                inflow[target] += arrivals * share
                if target != name:
                    self.remote += arrivals * share
                    pair = (str(name), str(target))
                    self.flows[pair] = self.flows.get(pair, 0.0) + arrivals * share
        for name, place in self.places.items():
            place.present -= place.present / ENGINE_SECONDS * STEP_SECONDS
            accepted = min(inflow[name], max(0.0, place.capacity - place.present))
            place.present += accepted
            self.rejected += inflow[name] - accepted

    def _state_of(self, place: Place) -> PlaceState:
        seconds = len(place.arrivals) * STEP_SECONDS
        demand = sum(place.arrivals) / seconds * ENGINE_SECONDS
        return PlaceState(place.capacity, demand, place.present)

    def _known_to(self, here: DataCentreId) -> ModelState:
        states, shares = {}, {}
        for name, place in self.places.items():
            state, last = place.published[-1 if name == here else 0]
            # Capacities are known from the registry, without the delay of the sums.
            age = OLD_STEPS * STEP_SECONDS + place.heard_steps_ago * STEP_SECONDS
            trust = 1.0 if name == here else min(1.0, max(0.0, (1.5 - age) / 0.75))
            states[name] = PlaceState(place.capacity, state.demand, state.present, trust)
            if name != here:
                shares[name] = last
        return ModelState(here, states, self.objective, self.delay_by_pair, shares)


def constant(demand: float) -> Rate:
    """Return a demand that does not change."""
    return lambda _: demand


def wave(mean: float, swing: float, period: float, phase: float = 0.0) -> Rate:
    """Return a demand that swings around its mean.

    :param swing: share of the mean by which it rises and falls.
    :param phase: share of the period by which it comes later.
    """
    return lambda at: mean * (1 + swing * math.sin(2 * math.pi * (at / period - phase)))


def jump(before: float, after: float, when: float) -> Rate:
    """Return a demand that changes at once."""
    return lambda at: before if at < when else after
