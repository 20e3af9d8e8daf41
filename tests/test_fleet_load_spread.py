"""How requests spread over heads when each instance knows the load of only a few of them.

Answers the load of a large fleet at an ordinary hour: streams that last a second, heads that tell
their load only in answers, and instances that see only their own sends.
"""

import heapq
import random
import unittest
from collections import Counter, defaultdict
from dataclasses import replace
from enum import Enum, auto
from itertools import count

from cactuspass.fleet._catalog import Catalog, ModelSpec, Service
from cactuspass.fleet._choices import Selection, SelectionRequest
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._inbound import LoadReport
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._selection import Selector
from cactuspass.fleet._upstreams import GroupKey, Membership, MemberState, Upstream, UpstreamId
from cactuspass.models import DataCentreId, GroupId
from tests.fleet_path import SERVICE, recording_log, route
from tests.fleet_world import ENGINE, SMALL

SLOTS = 11
MODEL = ModelSpec(SMALL, 1, 0.6, 1.0, 12.0, 1.1)
MIN_STREAM_SECONDS = 0.3
MAX_STREAM_SECONDS = 1.7
HEAD_SECONDS = 0.05  # until the head of an answer tells the load
KEEP_ALIVE_SECONDS = 2.8
SIMULATED_SECONDS = 15.0
MAX_WAIT_SECONDS = 1.0
MAX_BUSIEST_SHARE = 2.0  # of the mean
MAX_REMOTE_SHARE = 0.1


class Step(Enum):
    """What happens to a request."""

    ARRIVES = auto()
    ANSWERED = auto()
    ENDS = auto()


class Simulation:
    """Instances that send streams to heads of one model, on a simulated clock.

    :param rate: requests a second that each instance receives.
    """

    def __init__(self, heads: int, instances: int, data_centres: int, rate: float) -> None:
        self.data_centres = data_centres
        self.rate = rate
        self.at = 0.0
        self.running: Counter[UpstreamId] = Counter()
        self.sent: Counter[UpstreamId] = Counter()
        self.remote = self.over_slots = self.refused = 0
        self._rng = random.Random(1)
        self._numbers = count()
        self._due: list[tuple[float, int, Step, int, Upstream | None]] = []
        self._idle_since = [defaultdict[str, list[float]](list) for _ in range(instances)]
        self._loads = [LoadTable() for _ in range(instances)]
        engine = replace(ENGINE, slots=SLOTS, models_by_id={SMALL: MODEL})
        self._cluster_state = ClusterState(recording_log()[0])
        self._cluster_state.accept_catalog(
            Catalog(1, (route(),), {SERVICE: Service(SERVICE, engine=engine)})
        )
        self._cluster_state.accept_upstreams(map(self._head, range(heads)), 1)
        self._selectors = list(map(self._selector, range(instances)))

    def _data_centre(self, number: int) -> DataCentreId:
        return DataCentreId(f"dc{number % self.data_centres}")

    def _head(self, number: int) -> Upstream:
        return Upstream(
            UpstreamId(f"h{number}"),
            SERVICE,
            f"h{number}:1",
            self._data_centre(number),
            slots=SLOTS,
            loaded=SMALL,
            membership=Membership(GroupKey(GroupId(f"g{number}"), 1), 0, MemberState.OPEN),
        )

    def _selector(self, number: int) -> Selector:
        return Selector(
            self._cluster_state,
            self._loads[number],
            self._data_centre(number),
            random.Random(number),
            is_connected=lambda address: self._is_connected(number, address),
        )

    def _is_connected(self, number: int, address: str) -> bool:
        oldest = self.at - KEEP_ALIVE_SECONDS
        return any(since >= oldest for since in self._idle_since[number][address])

    def _plan(self, seconds: float, step: Step, number: int, head: Upstream | None) -> None:
        heapq.heappush(self._due, (self.at + seconds, next(self._numbers), step, number, head))

    def _plan_arrival(self, number: int) -> None:
        self._plan(self._rng.expovariate(self.rate), Step.ARRIVES, number, None)

    def run(self) -> None:
        """Play ``SIMULATED_SECONDS``."""
        for number in range(len(self._selectors)):
            self._plan_arrival(number)
        while self.at < SIMULATED_SECONDS:
            self.at, _, step, number, head = heapq.heappop(self._due)
            if head is None:
                self._send(number)
                self._plan_arrival(number)
            elif step is Step.ANSWERED:
                report = LoadReport(self.running[head.upstream_id], 0, SLOTS)
                self._loads[number].record_report(head.upstream_id, report, self.at)
            else:
                self.running[head.upstream_id] -= 1
                self._loads[number].record_end(head.upstream_id)
                self._idle_since[number][head.address].append(self.at)

    def _send(self, number: int) -> None:
        request = SelectionRequest(SERVICE, SMALL, (), MAX_WAIT_SECONDS)
        found = self._selectors[number].choose(request, self.at)
        if not isinstance(found, Selection):
            self.refused += 1
            return
        head = found.upstream
        if self._is_connected(number, head.address):
            self._idle_since[number][head.address].pop()
        self.sent[head.upstream_id] += 1
        self.running[head.upstream_id] += 1
        self.remote += head.data_centre != self._data_centre(number)
        self.over_slots += self.running[head.upstream_id] > SLOTS
        self._loads[number].record_send(head.upstream_id, self.at)
        self._plan(HEAD_SECONDS, Step.ANSWERED, number, head)
        seconds = self._rng.uniform(MIN_STREAM_SECONDS, MAX_STREAM_SECONDS)
        self._plan(seconds, Step.ENDS, number, head)


class LoadSpreadTest(unittest.TestCase):
    """Fleets whose heads are half loaded at most, so that each stream can run at once nearby."""

    def check(self, simulation: Simulation) -> None:
        simulation.run()
        total = simulation.sent.total()
        mean = total / len(simulation.sent)
        self.assertEqual((simulation.refused, simulation.over_slots), (0, 0))
        self.assertLess(max(simulation.sent.values()), MAX_BUSIEST_SHARE * mean)
        self.assertLess(simulation.remote, MAX_REMOTE_SHARE * total)

    def test_hundred_instances_and_143_heads_in_five_data_centres(self) -> None:
        self.check(Simulation(heads=143, instances=100, data_centres=5, rate=6.0))

    def test_many_instances_and_few_heads(self) -> None:
        self.check(Simulation(heads=15, instances=25, data_centres=5, rate=2.6))

    def test_six_instances_with_much_load_each(self) -> None:
        self.check(Simulation(heads=15, instances=6, data_centres=3, rate=13.0))


if __name__ == "__main__":
    unittest.main()
