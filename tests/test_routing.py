"""Tests of routing, the prefix index, home entries, group summaries and retries."""

import unittest

from cactuspass._home_entry import PrefixCounts, home_entry
from cactuspass._messages import (
    CacheReported,
    Dispatch,
    Forward,
    HeartbeatReceived,
    RefusalReason,
    Refuse,
    RequestFinished,
)
from cactuspass._prefix_index import MAX_EVENT_LAG_SECONDS, MAX_PREFIXES_PER_TARGET, PrefixIndex
from cactuspass._retries import MAX_BURST_RETRIES, RetryBudget, may_retry
from cactuspass._routing import HEARTBEAT_TIMEOUT_SECONDS, MAX_FORWARD_ATTEMPTS
from cactuspass._summaries import summarize_groups
from cactuspass.models import (
    DataCentreId,
    EntryId,
    GroupId,
    InstanceId,
    KindId,
    RequestId,
    UpstreamKind,
)
from tests.admission_fixtures import MODEL, AdmissionFixture, arrival

WARM = UpstreamKind(KindId("draft"), cold_requests=8, full_requests=8)


class RoutingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = AdmissionFixture(WARM, groups=0)

    def targets(self, count: int, **changes: object) -> list[str]:
        """Submit ``count`` requests and return the peers that they are forwarded to."""
        base = len(self.world.tables.requests_by_id)
        items = [arrival(f"r{base}-{i}-{self.world.now}", **changes) for i in range(count)]
        orders = self.world.tick(*items)
        return [order.entry_id for order in orders if isinstance(order, Forward)]

    def test_counts_requests_sent_since_the_heartbeat(self) -> None:
        self.world.add_peer("e2", free=8)
        self.world.add_peer("e3", free=6, held=2)
        targets = self.targets(20)
        self.assertAlmostEqual(targets.count("e2"), 10, delta=2)

    def test_cached_prefixes_attract_requests_to_a_peer_until_the_load_outweighs_them(self) -> None:
        self.world.add_peer("e2", free=30)
        self.world.add_peer("e3", free=30)
        targets = self.targets(20, prefixes=("p",))
        self.assertEqual(len(set(targets[:4])), 1)
        self.assertEqual(len(set(targets)), 2)

    def test_heartbeat_resets_the_count_of_requests_sent_before_it(self) -> None:
        peer = self.world.add_peer("e2", free=8)
        self.targets(20)
        self.world.add_peer("e3", free=8)
        self.assertEqual(self.targets(1), ["e3"])
        self.world.now += 1.0
        args = (peer.incarnation, DataCentreId("a"), "", 0, (), 0, True, False)
        self.world.tick(HeartbeatReceived(EntryId("e2"), *args))
        self.world.tables.entries_by_id[EntryId("e3")].groups_by_id.clear()
        self.world.add_peer("e4", free=4, held=4)
        self.assertEqual(self.targets(1), ["e2"])

    def test_other_data_centres_get_requests_only_when_the_own_is_full(self) -> None:
        near = self.world.add_peer("e2", free=4)
        self.world.add_peer("e3", free=4, data_centre="b")
        self.assertEqual(self.targets(1), ["e2"])
        near.groups_by_id.clear()
        self.world.add_peer("e2", free=0, held=4)
        self.assertEqual(self.targets(1), ["e3"])

    def test_unusable_peers_get_no_requests(self) -> None:
        changes = {
            "draining": lambda row: setattr(row, "draining", True),
            "not ready": lambda row: setattr(row, "ready", False),
            "broken": lambda row: setattr(row, "connected", False),
            "silent": lambda row: setattr(
                row, "last_heartbeat_at", -HEARTBEAT_TIMEOUT_SECONDS - 1.0
            ),
        }
        for name, change in changes.items():
            with self.subTest(name):
                change(self.world.add_peer("e2"))
                self.assertEqual(self.targets(1), [])
        self.world.add_peer("e2")
        for name in ("a", "e2-g"):
            with self.subTest(taken_out=name):
                self.world.policy.taken_out = {name}
                self.assertEqual(self.targets(1), [])

    def test_forwarded_request_is_never_forwarded_again(self) -> None:
        self.world.add_peer("e2")
        orders = self.world.tick(arrival("r", forwarded_by=EntryId("e9")))
        reasons = [order.reason for order in orders if isinstance(order, Refuse)]
        self.assertEqual(reasons, [RefusalReason.NOT_HOLDER])

    def test_tries_other_peers_up_to_a_bound(self) -> None:
        for name in ("e2", "e3", "e4", "e5"):
            self.world.add_peer(name)
        tried: tuple[str, ...] = ()
        for _ in range(MAX_FORWARD_ATTEMPTS):
            (target,) = self.targets(1, excluded=tried)
            self.assertNotIn(target, tried)
            tried += (target,)
        self.assertEqual(self.targets(1, excluded=tried), [])

    def test_services_are_routed_as_models_are(self) -> None:
        self.world.add_held_group("g0", WARM).model = "service:jobs"
        orders = self.world.tick(arrival("r", model="service:jobs", tokens=0))
        self.assertEqual([type(order) for order in orders], [Dispatch])

    def test_cached_prefixes_attract_requests_to_a_group_until_the_load_outweighs_them(
        self,
    ) -> None:
        for name in ("g0", "g1", "g2"):
            self.world.add_held_group(name, WARM)
        items = [arrival(f"r{i}", prefixes=("p1", "p2")) for i in range(20)]
        orders = [o for o in self.world.tick(*items) if isinstance(o, Dispatch)]
        first = orders[0].group_id
        self.assertEqual([order.group_id for order in orders[:4]], [first] * 4)
        self.assertEqual(len({order.group_id for order in orders}), 3)

    def test_new_conversation_goes_to_its_home_entry(self) -> None:
        weights = {EntryId(name): 4.0 for name in ("e2", "e3", "e4")}
        for number in range(5):
            self.setUp()
            for name in weights:
                self.world.add_peer(name)
            prompt = f"p{number}"
            self.assertEqual(self.targets(1, prefixes=(prompt,)), [home_entry(prompt, weights)])

    def test_restart_clears_cached_prefixes(self) -> None:
        for boot, group in (("b1", "g0"), ("b2", "g1")):
            self.world = AdmissionFixture(WARM, groups=2)
            self.world.tick(arrival("r0", prefixes=("p",)))
            self.world.tick(RequestFinished(RequestId("r0"), True), arrival("r1"), after=0.1)
            self.world.report("g0", boot)
            orders = self.world.tick(arrival("r2", prefixes=("p",)), after=0.1)
            self.assertEqual([order.group_id for order in orders], [group])  # type: ignore

    def test_cache_events_count_for_the_group_of_their_instance(self) -> None:
        self.world = AdmissionFixture(WARM, groups=2)
        self.world.tables.instances_by_id[InstanceId("g1-i")].group_id = GroupId("g1")
        self.world.tick(CacheReported(InstanceId("g1-i"), 1, ("p",)))
        orders = self.world.tick(arrival("r", prefixes=("p",)))
        self.assertEqual([order.group_id for order in orders], ["g1"])  # type: ignore

    def test_summaries_split_the_queue(self) -> None:
        for name in ("g0", "g1"):
            self.world.add_held_group(name, WARM)
        self.world.tick(*(arrival(f"r{i}") for i in range(21)))
        rows = summarize_groups(self.world.tables, self.world.now)
        self.assertEqual([(row.held, row.free, row.queued) for row in rows], [(8, 0, 3), (8, 0, 2)])
        self.assertEqual({row.model for row in rows}, {MODEL})


class PrefixIndexTest(unittest.TestCase):
    def setUp(self) -> None:
        self.index = PrefixIndex()

    def test_matches_the_longest_known_prefix(self) -> None:
        self.index.record_sent("g", ("a", "b"), 0.0)
        self.assertEqual(self.index.match_share("g", ("a", "b", "c", "d")), 0.5)

    def test_late_removal_does_not_override_a_later_send(self) -> None:
        self.index.record_sent("g", ("a",), 10.0)
        self.index.apply_cache_event("g", 1, (), ("a",), 11.0)
        self.assertEqual(self.index.match_share("g", ("a",)), 1.0)
        self.index.apply_cache_event("g", 2, (), ("a",), 11.0 + MAX_EVENT_LAG_SECONDS)
        self.assertEqual(self.index.match_share("g", ("a",)), 0.0)

    def test_gap_drops_prefixes_that_were_not_used_recently(self) -> None:
        self.index.record_sent("g", ("old",), 0.0)
        self.index.apply_cache_event("g", 1, (), (), 1.0)
        self.index.record_sent("g", ("new",), 20.0)
        self.index.apply_cache_event("g", 3, (), (), 21.0)
        matches = [self.index.match_share("g", (name,)) for name in ("old", "new")]
        self.assertEqual(matches, [0.0, 1.0])

    def test_is_bounded(self) -> None:
        for index in range(MAX_PREFIXES_PER_TARGET + 1):
            self.index.record_sent("g", (str(index),), float(index))
        self.assertEqual(self.index.match_share("g", ("0",)), 0.0)


class HomeEntryTest(unittest.TestCase):
    def test_entries_agree_on_a_conversation_beyond_its_popular_prefix(self) -> None:
        names = [EntryId(f"e{i}") for i in range(6)]
        weights = dict.fromkeys(names, 8.0)
        homes: dict[str, set[EntryId | None]] = {}
        for _entry in range(2):
            counts = PrefixCounts()
            for turn in range(600):
                talk = f"talk{turn % 60}"
                prefix = counts.distinct_prefix(("system", talk, f"{talk}.{turn}"))
                if turn >= 300:
                    homes.setdefault(talk, set()).add(home_entry(prefix, weights))
        self.assertEqual({len(found) for found in homes.values()}, {1})
        self.assertEqual(set.union(*homes.values()), set(names))

    def test_lost_entry_changes_the_home_of_its_own_conversations_only(self) -> None:
        weights = {EntryId(f"e{i}"): 8.0 for i in range(6)}
        rest = {name: weight for name, weight in weights.items() if name != "e0"}
        for number in range(100):
            before = home_entry(f"p{number}", weights)
            if before != "e0":
                self.assertEqual(home_entry(f"p{number}", rest), before)


class RetryTest(unittest.TestCase):
    def test_started_request_is_retried_only_when_it_may_run_twice(self) -> None:
        budget = RetryBudget()
        outcomes = {
            (repeatable, started): may_retry(repeatable, started, budget)
            for repeatable in (False, True)
            for started in (False, True)
        }
        self.assertEqual([key for key, allowed in outcomes.items() if not allowed], [(False, True)])

    def test_retries_are_a_tenth_of_the_requests(self) -> None:
        budget = RetryBudget()
        retries = 0
        for _ in range(1000):
            budget.count_request()
            retries += may_retry(True, True, budget)
        self.assertLessEqual(retries, 100 + MAX_BURST_RETRIES)
