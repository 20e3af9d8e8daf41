"""Limits shared by all instances, and the selection of an upstream under load."""

import random
import unittest
from dataclasses import replace

from cactuspass.fleet._budgets import ColdRateLimit, RetryBudget
from cactuspass.fleet._catalog import Catalog, Evacuations, Service
from cactuspass.fleet._choices import NoUpstream, NoUpstreamReason, Selection, SelectionRequest
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._inbound import LoadReport
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._peers import Peer
from cactuspass.fleet._selection import Selector
from cactuspass.fleet._upstreams import GroupKey, Membership, MemberState, Upstream, UpstreamState
from cactuspass.fleet._weight_loading import LoadSchedule
from cactuspass.models import DataCentreId, EntryId, GroupId, ModelId
from tests.fleet_path import recording_log
from tests.fleet_world import ENGINE, LARGE, SERVICE, SMALL, host

AT = 50.0
THERE = DataCentreId("there")


class AllowanceTest(unittest.TestCase):
    """Shares of a common limit, summed over instances that do not communicate."""

    def test_retries_of_all_instances_stay_within_the_budget(self) -> None:
        spent = 0
        for _ in range(6):
            retry_budget = RetryBudget(0.2, 130, 10)
            for _ in range(50):
                retry_budget.count_request(AT)
            spent += sum(retry_budget.try_spend(AT, 6) for _ in range(500))
        self.assertLessEqual(spent, 0.2 * 300 + 130)
        self.assertGreater(spent, 100)

    def test_rejections_in_overload_leave_repeats_for_streams_that_have_begun(self) -> None:
        retry_budget = RetryBudget(0.0, 20, 10)
        while retry_budget.try_spend(AT, 1, reserved_share=0.4):
            pass
        begun = 0
        while retry_budget.try_spend(AT, 1):
            begun += 1
        self.assertGreaterEqual(begun, 6)

    def test_retries_are_available_again_as_the_window_slides(self) -> None:
        retry_budget = RetryBudget(0.0, 10, 10)
        while retry_budget.try_spend(AT, 1):
            pass
        self.assertFalse(retry_budget.try_spend(AT + 9.9, 1))
        self.assertTrue(retry_budget.try_spend(AT + 10.1, 1))

    def test_cold_upstream_gets_its_rate_from_all_instances_together(self) -> None:
        sent = 0
        for _ in range(6):
            rate_limit = ColdRateLimit(44)
            while rate_limit.may_send(AT, 6):
                rate_limit.count(AT)
                sent += 1
        self.assertLessEqual(sent, 44)

    def test_loads_in_a_window_stay_below_the_rate_of_the_store(self) -> None:
        schedule = LoadSchedule()
        begun = 0
        for tick in range(50):
            at = AT + tick / 10
            while schedule.free_capacity(1000, 4.5, at) > 0:
                schedule.record_start(host(f"h{begun}").upstream_id, SMALL, at)
                begun += 1
        self.assertLessEqual(begun, 4.5 * 5 * 1.1 + 3)


def head(name: str, model: ModelId, domain: str = "d0", **changes: object) -> list[Upstream]:
    """Return the members of a complete group that serves."""
    key = GroupKey(GroupId(f"g-{name}"), 1)
    size = ENGINE.models_by_id[model].size
    members = [replace(host(f"{name}-{rank}", domain), loaded=model) for rank in range(size)]
    return [
        replace(
            member,
            membership=Membership(key, rank, MemberState.READY if rank else MemberState.OPEN),
            **(changes if rank == 0 else {}),  # type: ignore[arg-type]
        )
        for rank, member in enumerate(members)
    ]


class SelectionTest(unittest.TestCase):
    """Which upstream gets a request, and when none does."""

    def setUp(self) -> None:
        log, _ = recording_log()
        self.cluster_state = ClusterState(log)
        service = Service(SERVICE, cold_requests_per_second=2, engine=ENGINE)
        self.cluster_state.accept_catalog(Catalog(1, services_by_id={SERVICE: service}))
        self.loads = LoadTable()
        self.selector = Selector(
            self.cluster_state, self.loads, DataCentreId("here"), random.Random(3), 1.0, 0.0
        )

    def register(self, *groups: list[Upstream]) -> None:
        self.cluster_state.accept_upstreams([u for group in groups for u in group], 1)

    def choose(self, model: ModelId = SMALL, max_wait: float = 0.1) -> Selection | NoUpstream:
        return self.selector.choose(SelectionRequest(SERVICE, model, (), max_wait), AT)

    def chosen_ids(self, times: int = 20) -> set[str]:
        found = [self.choose() for _ in range(times)]
        return {c.upstream.upstream_id for c in found if isinstance(c, Selection)}

    def report_load(self, upstream_id: str, running: int) -> None:
        for group in self.cluster_state.view.groups_by_key.values():
            for member in group.members:
                if member.upstream_id == upstream_id:
                    self.loads.record_report(member.upstream_id, LoadReport(running, 0, 13), AT)

    def test_only_heads_with_the_model_are_chosen(self) -> None:
        self.register(head("a", SMALL), head("b", LARGE))
        self.assertEqual(self.chosen_ids(), {"a-0"})

    def test_burst_is_refused_at_once_when_the_wait_would_miss_the_objective(self) -> None:
        self.register(head("a", SMALL))
        self.report_load("a-0", 20)
        found = self.choose()
        assert isinstance(found, NoUpstream)
        self.assertIs(found.reason, NoUpstreamReason.ALL_BUSY)
        self.assertGreater(found.retry_after, 0)

    def test_less_loaded_head_is_preferred(self) -> None:
        self.register(head("a", SMALL), head("b", SMALL))
        self.report_load("a-0", 9)
        self.assertEqual(self.chosen_ids(), {"b-0"})

    def test_suspect_head_gets_nothing_while_another_serves(self) -> None:
        self.register(head("a", SMALL), head("b", SMALL))
        self.loads.mark_suspect(
            self.cluster_state.view.upstreams_by_id.keys().__iter__().__next__(), AT
        )
        self.assertEqual(self.chosen_ids(), {"b-0"})

    def test_draining_head_and_evacuated_data_centre_get_nothing(self) -> None:
        self.register(
            head("a", SMALL, state=UpstreamState.DRAINING), head("b", SMALL, data_centre=THERE)
        )
        self.cluster_state.accept_evacuations(Evacuations(frozenset({THERE})))
        self.assertIsInstance(self.choose(), NoUpstream)

    def test_closing_head_gets_nothing(self) -> None:
        group = head("a", SMALL)
        closing = replace(
            group[0], membership=replace(group[0].membership, state=MemberState.CLOSING)
        )
        self.register([closing, *group[1:]])
        self.assertIsInstance(self.choose(), NoUpstream)

    def test_group_that_was_never_seen_complete_gets_nothing(self) -> None:
        self.register(head("a", SMALL)[:2])
        self.assertIsInstance(self.choose(), NoUpstream)

    def test_member_without_a_registry_entry_does_not_stop_its_group(self) -> None:
        group = head("a", SMALL)
        self.register(group)
        self.register(group[:2])
        self.assertEqual(self.chosen_ids(), {"a-0"})

    def test_member_that_left_for_another_group_stops_its_group(self) -> None:
        group = head("a", SMALL)
        self.register(group)
        self.register(group[:2], [replace(group[2], membership=None)])
        self.assertIsInstance(self.choose(), NoUpstream)

    def test_data_centre_whose_heads_fail_together_is_avoided_as_a_whole(self) -> None:
        far = [head(f"f{n}", SMALL, data_centre=THERE) for n in range(4)]
        self.register(*far, head("n", SMALL))
        self.report_load("n-0", 12)
        self.loads.mark_suspect(far[0][0].upstream_id, AT)
        self.loads.mark_suspect(far[1][0].upstream_id, AT)
        self.assertEqual(self.chosen_ids(), {"n-0"})

    def test_cold_head_gets_only_its_rate(self) -> None:
        self.register(head("a", SMALL, cold_until=AT + 3))
        sent = 0
        while isinstance(found := self.choose(), Selection):
            self.selector.count_sent(found.upstream, AT)
            sent += 1
        self.assertLessEqual(sent, 2)

    def test_instances_that_outnumber_a_cold_heads_rate_keep_it_together(self) -> None:
        # Guards against each instance sending one request per second however many instances run.
        peers = tuple(Peer(EntryId(f"e{n}"), THERE, None) for n in range(88))
        self.cluster_state.accept_peers(peers)
        self.register(head("a", SMALL, cold_until=AT + 3))
        sent = 0
        for peer in peers:
            selector = Selector(
                self.cluster_state, self.loads, THERE, random.Random(3), 1.5, 5.0, peer.instance
            )
            while isinstance(
                found := selector.choose(SelectionRequest(SERVICE, SMALL, (), 0.1), AT), Selection
            ):
                selector.count_sent(found.upstream, AT)
                sent += 1
        self.assertGreaterEqual(sent, 6)
        self.assertLessEqual(sent, 8)  # 2 per second, with the factor and the slack


if __name__ == "__main__":
    unittest.main()
