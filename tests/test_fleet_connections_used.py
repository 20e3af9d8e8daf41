"""How many upstreams an instance keeps connections to, at 143 heads and five requests a second.

Answers the load of a large fleet: an instance with few requests must not open a connection for
each of them, nor may all instances prefer the same heads.
"""

import random
import unittest
from collections import Counter
from unittest import mock

from cactuspass.fleet._catalog import Catalog, Service
from cactuspass.fleet._choices import Selection, SelectionRequest
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._inbound import LoadReport
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._selection import RECENT_UPSTREAMS, SAMPLE_SIZE, Selector
from cactuspass.fleet._upstreams import Upstream, UpstreamId
from tests.fleet_path import HERE, SERVICE, recording_log, route

HEADS = 143
INSTANCES = 20
REQUESTS = 100
REQUEST_SECONDS = 0.2
SLOTS = 22
REQUESTS_FOR_ALL = 500
KEEP_ALIVE_SECONDS = 4.0
MAX_OPENED_SHARE = 0.1
INSTANCES_AT_ONE_UPSTREAM = 4  # of 20, where few upstreams would be shared by all


class ConnectionsUsedTest(unittest.TestCase):
    """Instances that send the same load to the same heads, each with its own connections."""

    def setUp(self) -> None:
        self.at = 0.0
        self.upstreams = [
            Upstream(UpstreamId(f"h{number}"), SERVICE, f"h{number}:1", HERE, slots=SLOTS)
            for number in range(HEADS)
        ]
        self.opened: Counter[int] = Counter()
        self.sent: Counter[UpstreamId] = Counter()
        self.idle_until = [dict[str, float]() for _ in range(INSTANCES)]
        self.loads = [LoadTable() for _ in range(INSTANCES)]
        self.selectors = [self.selector(number) for number in range(INSTANCES)]

    def selector(self, number: int) -> Selector:
        cluster_state = ClusterState(recording_log()[0])
        cluster_state.accept_catalog(Catalog(1, (route(),), {SERVICE: Service(SERVICE)}))
        cluster_state.accept_upstreams(self.upstreams, 1)
        return Selector(
            cluster_state,
            self.loads[number],
            HERE,
            random.Random(number),
            is_connected=lambda address: self.is_connected(number, address),
        )

    def is_connected(self, number: int, address: str) -> bool:
        return self.idle_until[number].get(address, 0.0) >= self.at

    def send(self, number: int) -> UpstreamId:
        found = self.selectors[number].choose(SelectionRequest(SERVICE, None, (), 1.0), self.at)
        assert isinstance(found, Selection)
        upstream = found.upstream
        if not self.is_connected(number, upstream.address):
            self.opened[number] += 1
        self.idle_until[number][upstream.address] = self.at + KEEP_ALIVE_SECONDS
        self.sent[upstream.upstream_id] += 1
        self.loads[number].record_report(upstream.upstream_id, LoadReport(1, 0, SLOTS), self.at)
        return upstream.upstream_id

    def send_all(self) -> None:
        for _ in range(REQUESTS):
            for number in range(INSTANCES):
                self.send(number)
            self.at += REQUEST_SECONDS

    def test_connections_are_used_again_for_nine_of_ten_requests(self) -> None:
        self.send_all()
        self.assertLess(self.opened.total(), MAX_OPENED_SHARE * REQUESTS * INSTANCES)

    def test_instances_prefer_different_upstreams(self) -> None:
        self.send_all()
        self.assertLess(max(self.sent.values()), REQUESTS * INSTANCES_AT_ONE_UPSTREAM)

    # Guards against an instance with few requests that uses one of two idle upstreams for ever.
    def test_idle_upstream_without_a_connection_is_used_now_and_then(self) -> None:
        upstreams = self.upstreams[:2]
        self.selectors[0]._cluster_state.accept_upstreams(upstreams, 2)
        for _ in range(REQUESTS_FOR_ALL):
            self.send(0)
            self.loads[0].loads_by_id.clear()
            self.at += REQUEST_SECONDS
        self.assertEqual(set(self.sent), {upstream.upstream_id for upstream in upstreams})

    def test_choice_weighs_few_of_many_upstreams(self) -> None:
        with mock.patch.object(
            self.selectors[0], "_score", wraps=self.selectors[0]._score
        ) as score:
            self.send(0)
        self.assertLessEqual(score.call_count, SAMPLE_SIZE + RECENT_UPSTREAMS)

    def test_all_upstreams_are_tried_if_those_of_the_sample_take_nothing(self) -> None:
        for upstream in self.upstreams[1:]:
            self.selectors[0].backoff.extend(upstream.lifetime, 5.0, self.at)
        self.assertEqual(self.send(0), self.upstreams[0].upstream_id)

    def test_busy_upstream_is_left_for_one_without_a_connection(self) -> None:
        first = self.send(0)
        self.loads[0].record_report(first, LoadReport(SLOTS // 2, 0, SLOTS), self.at)
        self.assertNotEqual(self.send(0), first)


if __name__ == "__main__":
    unittest.main()
