"""Tests how the planner forms and closes groups of simulated upstreams, without a network."""

import unittest
from dataclasses import replace
from unittest import mock

from cactuspass.fleet._catalog import ModelSpec
from cactuspass.fleet._demand import Demand
from cactuspass.fleet._group_history import GroupHistory
from cactuspass.fleet._group_maintenance import maintain_groups
from cactuspass.fleet._orders import AddressedOrder, Close, Join, Leave, Open, Stage
from cactuspass.fleet._planner import GroupPlanner
from cactuspass.fleet._planner_memory import PlannerMemory
from cactuspass.fleet._planning_round import PlanningRound
from cactuspass.fleet._staging import KEPT_SET_SECONDS
from cactuspass.fleet._upstreams import GroupKey, Membership, MemberState, UpstreamId
from cactuspass.models import DataCentreId, FabricDomainId, GroupId
from tests.fleet_world import ENGINE, LARGE, SERVICE, SMALL, EngineWorld, host, hosts


class BeforeTrafficTest(unittest.TestCase):
    """Before the first request, loads of weights are fast and not limited."""

    def setUp(self) -> None:
        self.world = EngineWorld([*hosts(9, "d0"), *hosts(9, "d1")], before_traffic=True)
        self.world.run(3.0)

    def test_data_centre_serves_both_models_each_in_its_own_domain(self) -> None:
        domains_by_model = {
            model: {self.world.head_of(key).fabric_domain for key in self.world.serving(model)}
            for model in (LARGE, SMALL)
        }
        self.assertEqual(domains_by_model, {LARGE: {"d0"}, SMALL: {"d1"}})
        self.assertEqual(len(self.world.serving(LARGE)), 2)
        self.assertGreaterEqual(len(self.world.serving(SMALL)), 2)

    def test_free_hosts_have_the_weights_of_their_domains_model(self) -> None:
        free = [u for u in self.world.upstreams_by_id.values() if u.membership is None]
        self.assertGreaterEqual(len(free), 1)
        staged_by_domain = {u.fabric_domain: u.staged for u in free}
        self.assertEqual(staged_by_domain["d0"], (LARGE,))
        self.assertEqual(staged_by_domain.get("d1", (SMALL,)), (SMALL,))

    def test_a_head_opens_only_when_all_members_were_ready(self) -> None:
        joins = [a.order for a in self.world.orders(Join)]
        for addressed in self.world.orders(Open):
            sizes = [len(j.members) for j in joins if j.key == addressed.order.key]
            self.assertIn(len(sizes), (3, 4))


class OneDomainTest(unittest.TestCase):
    """A data centre with a single fabric domain serves both models there."""

    def test_both_models_serve_and_have_a_spare(self) -> None:
        world = EngineWorld(hosts(9, "d0"), before_traffic=True)
        world.run(3.0)
        self.assertEqual(len(world.serving(LARGE)), 1)
        self.assertEqual(len(world.serving(SMALL)), 1)
        free = [u for u in world.upstreams_by_id.values() if u.membership is None]
        self.assertEqual(sorted(u.staged for u in free), [(LARGE,), (SMALL,)])


class OpeningTest(unittest.TestCase):
    """A group opens only when every member is ready."""

    def test_one_joining_member_keeps_the_head_closed(self) -> None:
        world = EngineWorld(hosts(3, staged=SMALL))
        world.run(0.3)
        self.assertEqual(len(world.orders(Join)), 3)
        late = world.orders(Join)[2].target.upstream_id
        world._due = [entry for entry in world._due if entry[1] != late]
        world.run(2.5)
        self.assertEqual(world.orders(Open), [])


class LostMemberTest(unittest.TestCase):
    """A member of a serving group crashes and does not answer any more."""

    def setUp(self) -> None:
        self.world = EngineWorld(hosts(4, staged=SMALL))
        self.world.run(3.0)
        [self.key] = self.world.serving(SMALL)
        self.head = self.world.head_of(self.key).upstream_id

    def test_survivors_and_the_spare_serve_again_within_two_seconds(self) -> None:
        member = self.world.orders(Join)[0].order.members[1]
        self.world.kill(member)
        self.world.run(2.0)
        self.assertEqual(len(self.world.serving(SMALL)), 1)
        self.assertNotEqual(self.world.serving(SMALL), [self.key])
        self.assertEqual(len(self.world.orders(Close)), 1)

    def test_survivors_wait_while_a_silent_head_may_still_serve(self) -> None:
        joins = len(self.world.orders(Join))
        self.world.kill(self.head)
        self.world.run(3.0)
        self.assertEqual(len(self.world.orders(Join)), joins)

    def test_survivors_are_free_once_the_head_is_neither_registered_nor_reachable(self) -> None:
        self.world.kill(self.head)
        self.world.run(1.0)
        self.world.remove(self.head)
        self.world.run(2.5)
        self.assertEqual(len(self.world.serving(SMALL)), 1)

    def test_a_draining_member_lets_running_requests_finish(self) -> None:
        self.world.drain(self.world.orders(Join)[0].order.members[2])
        self.world.run(0.3)
        [close] = self.world.orders(Close)
        self.assertFalse(close.order.cut)

    def test_a_member_that_only_lost_its_entry_stays(self) -> None:
        member = self.world.orders(Join)[0].order.members[1]
        known = self.world.planner_input()
        self.world.remove(member)
        planner_input = replace(self.world.planner_input(), reachable_ids=known.reachable_ids)
        self.assertEqual(
            [o for o in self.world.planner.plan(planner_input) if isinstance(o.order, Close)], []
        )


class SlowMemberTest(unittest.TestCase):
    """A group runs at the pace of its slowest member, so it is formed again without that."""

    def setUp(self) -> None:
        self.world = EngineWorld(hosts(4, staged=SMALL))
        self.world.run(3.0)
        self.slow = self.world.orders(Join)[0].order.members[1]
        self.world.pace_by_id[self.slow] = 5.0
        self.world.run(2.5)

    def test_other_hosts_serve_again_without_the_slow_one(self) -> None:
        [key] = self.world.serving(SMALL)
        join = next(a.order for a in self.world.orders(Join) if a.order.key == key)
        self.assertNotIn(self.slow, join.members)

    def test_running_requests_may_finish(self) -> None:
        [close] = self.world.orders(Close)
        self.assertFalse(close.order.cut)

    def test_slow_host_serves_again_when_its_pace_is_normal(self) -> None:
        self.world.kill(self.world.head_of(self.world.serving(SMALL)[0]).upstream_id)
        self.world.remove(self.world.dead.copy().pop())
        self.world.pace_by_id.clear()
        self.world.run(3.0)
        [key] = self.world.serving(SMALL)
        join = next(a.order for a in self.world.orders(Join) if a.order.key == key)
        self.assertIn(self.slow, join.members)


class MissingHeadTest(unittest.TestCase):
    """Members of a group are registered, but their head is not.

    After a network partition, members may register again before their head. If they counted as
    free at once, they would join a second group while their head still serves the first.
    """

    def setUp(self) -> None:
        key = GroupKey(GroupId("g7"), 7)
        members = [
            replace(
                u,
                loaded=SMALL,
                membership=Membership(key, rank, MemberState.READY),
            )
            for rank, u in enumerate(hosts(3, staged=SMALL))
        ]
        self.head = replace(members[0], membership=Membership(key, 0, MemberState.OPEN))
        spares = [host("s0", staged=SMALL), host("s1", staged=SMALL)]
        self.world = EngineWorld([*members[1:], *spares])

    def test_members_of_an_unknown_head_are_not_free_at_once(self) -> None:
        self.world.run(2.0)
        self.assertEqual(self.world.orders(Join), [])

    def test_group_continues_to_serve_when_its_head_returns(self) -> None:
        self.world.run(1.5)
        self.world.upstreams_by_id[self.head.upstream_id] = self.head
        self.world.run(3.0)
        self.assertEqual(self.world.serving(SMALL), [GroupKey(GroupId("g7"), 7)])
        self.assertEqual(self.world.orders(Close), [])

    def test_members_are_free_when_the_head_does_not_return(self) -> None:
        self.world.run(5.0)
        self.assertEqual(len(self.world.serving(SMALL)), 1)


class AdoptedTest(unittest.TestCase):
    """A new controller takes over after its predecessor has closed a group.

    Opening it again while a member does not answer could leave hosts in two groups.
    """

    def setUp(self) -> None:
        key = GroupKey(GroupId("g7"), 7)
        self.members = [
            replace(u, loaded=SMALL, membership=Membership(key, rank, MemberState.READY))
            for rank, u in enumerate(hosts(3, staged=SMALL))
        ]
        self.world = EngineWorld(self.members)

    def test_closed_group_with_a_dead_member_is_not_opened_again(self) -> None:
        self.world.kill(self.members[2].upstream_id)
        planner_input = replace(self.world.planner_input(), unreachable_ids=frozenset())
        orders = self.world.planner.plan(planner_input)
        self.assertEqual([a for a in orders if isinstance(a.order, Open)], [])

    def test_closed_group_whose_members_all_answer_serves_again_as_another_formation(self) -> None:
        self.world.run(0.8)
        [key] = self.world.serving(SMALL)
        self.assertGreater(key.epoch, 7)


class UnregisteredMemberTest(unittest.TestCase):
    """A controller takes over while a member of a serving group has lost its registry entry."""

    def setUp(self) -> None:
        key = GroupKey(GroupId("g7"), 7)
        states = (MemberState.OPEN, MemberState.READY, MemberState.READY)
        self.members = [
            replace(u, loaded=SMALL, membership=Membership(key, rank, state))
            for rank, (u, state) in enumerate(zip(hosts(3, staged=SMALL), states, strict=True))
        ]
        self.world = EngineWorld(self.members)
        self.history = GroupHistory()
        self.history.observe(self.world.planner_input().view.groups_of(SERVICE), self.world.at)
        self.world.remove(self.members[2].upstream_id)

    def test_group_continues_to_serve_while_the_member_may_still_run(self) -> None:
        self.world.planner = GroupPlanner(Demand(), self.history)
        self.world.run(10.0)
        self.assertEqual(self.world.orders(Close), [])

    def test_group_closes_when_the_member_does_not_answer(self) -> None:
        self.world.planner = GroupPlanner(Demand(), self.history)
        self.world.kill(self.members[2].upstream_id)
        self.world.run(0.2)
        self.assertEqual(len(self.world.orders(Close)), 1)

    def test_group_that_was_never_seen_complete_has_time_to_register(self) -> None:
        self.world.run(2.0)
        self.assertEqual(self.world.orders(Close), [])
        self.world.run(0.5)
        self.assertEqual(len(self.world.orders(Close)), 1)


class OpeningThatIsNotSeenTest(unittest.TestCase):
    """A member is lost after an order to open that the registry does not show yet.

    The survivors must leave the group before they join another, and the head leaves only in the
    state that follows the order to open.
    """

    def setUp(self) -> None:
        self.world = EngineWorld(hosts(5, staged=SMALL))
        self.world.run(0.5)
        self.members = self.world.orders(Join)[0].order.members
        while not self.world.orders(Open):
            before = dict(self.world.upstreams_by_id)
            self.world.run(0.1)
        self.world.upstreams_by_id.update({i: u for i, u in before.items() if i == self.members[0]})

    def test_survivors_leave_before_they_join_and_the_head_only_as_it_was_told_to_open(
        self,
    ) -> None:
        head = self.world.upstreams_by_id[self.members[0]]
        membership = head.membership
        assert membership is not None
        ready = replace(membership, state=MemberState.READY)
        self.world.upstreams_by_id[head.upstream_id] = replace(head, membership=ready)
        self.world.remove(self.members[2])
        orders = self.world.planner.plan(self.world.planner_input())
        self.assertEqual([a for a in orders if isinstance(a.order, Join)], [])
        [leave_of_head] = [a for a in orders if isinstance(a.order, Leave)]
        self.assertEqual(
            (leave_of_head.target.upstream_id, leave_of_head.expected_sequence),
            (head.upstream_id, 2),
        )
        self.world.execute(leave_of_head)
        orders = self.world.planner.plan(self.world.planner_input())
        self.assertEqual([a for a in orders if isinstance(a.order, Join)], [])
        [leave_of_member] = [a for a in orders if isinstance(a.order, Leave)]
        self.assertEqual(
            (leave_of_member.target.upstream_id, leave_of_member.expected_sequence),
            (self.members[1], 1),
        )


class StagingTest(unittest.TestCase):
    """Hosts without weights, and hosts whose weights complete no group."""

    def test_an_empty_host_completes_a_group_before_it_becomes_a_spare(self) -> None:
        world = EngineWorld([*hosts(3, staged=LARGE), host("new")])
        world.run(0.2)
        [stage] = world.orders(Stage)
        self.assertEqual(stage.order.model, LARGE)

    # Guards against stranding the survivors of a large group while added hosts become spares.
    def test_empty_hosts_complete_a_large_set_together(self) -> None:
        world = EngineWorld([*hosts(2, staged=LARGE), host("x"), host("y")])
        world.run(18.5)
        self.assertEqual([a.order.model for a in world.orders(Stage)], [LARGE, LARGE])
        self.assertEqual(len(world.serving(LARGE)), 1)

    # Guards against breaking up a large set that lacks one host for a small one of another model.
    def test_large_set_that_lacks_one_host_is_kept_for_a_while(self) -> None:
        huge = ModelSpec(LARGE, 16, 1.0, 0.5, 16.0, 1.6)
        small = ModelSpec(SMALL, 4, 0.6, 0.5, 12.0, 1.1)
        world = EngineWorld(hosts(15, staged=LARGE))
        with mock.patch.dict(ENGINE.models_by_id, {LARGE: huge, SMALL: small}):
            world.run(KEPT_SET_SECONDS - 1.0)
            self.assertEqual(world.orders(Stage), [])
            world.run(3.0)
            self.assertEqual({a.order.model for a in world.orders(Stage)}, {SMALL})

    def test_hosts_of_incomplete_sets_load_the_model_with_too_few_groups(self) -> None:
        world = EngineWorld([*hosts(2, staged=SMALL), host("x", staged=LARGE)])
        world.run(14.0)
        self.assertEqual(len(world.serving(SMALL)), 1)

    # Answers a large fleet that lacks one group of the smaller model: the spares of the larger one
    # in all other domains must stay what they are.
    def test_only_as_many_domains_load_a_model_as_it_lacks_groups(self) -> None:
        spares = [u for number in range(4) for u in hosts(3, f"e{number}", staged=LARGE)]
        world = EngineWorld([*spares, *hosts(3, "z", staged=SMALL)])
        world.run(30.0)
        loading_domains = {a.target.fabric_domain for a in world.orders(Stage)}
        self.assertEqual(len(loading_domains), 1)
        self.assertEqual(len(world.serving(SMALL)), 2)

    # Guards against a fleet that turns the spares of its large groups into a few small ones, and
    # then leaves all other members of a large group idle when it loses one.
    def test_spares_of_large_groups_are_kept_for_them(self) -> None:
        large = [u for number in range(3) for u in hosts(7, f"e{number}", staged=LARGE)]
        world = EngineWorld([*large, *hosts(9, "z", staged=SMALL)])
        world.knows_demand = True
        world.run(4.0)
        self.assertEqual((len(world.serving(LARGE)), len(world.serving(SMALL))), (3, 3))
        self.assertEqual(world.orders(Stage), [])
        head = world.head_of(world.serving(LARGE)[0])
        world.kill(head.upstream_id)
        world.remove(head.upstream_id)
        world.run(6.0)
        self.assertEqual(len(world.serving(LARGE)), 3)

    def test_spares_of_large_groups_are_given_up_for_a_model_that_lacks_most(self) -> None:
        large = [u for number in range(3) for u in hosts(7, f"e{number}", staged=LARGE)]
        world = EngineWorld([*large, *hosts(3, "z", staged=SMALL)])
        world.knows_demand = True
        world.run(4.0)
        self.assertEqual({a.order.model for a in world.orders(Stage)}, {SMALL})

    def test_loads_that_complete_a_group_come_first(self) -> None:
        spares = [u for d in ("e0", "e1", "e2", "e3") for u in hosts(2, d)]
        world = EngineWorld([*spares, *hosts(2, "z", staged=SMALL), host("z-new", "z")])
        world.run(0.2)
        self.assertEqual(world.orders(Stage)[0].target.upstream_id, "z-new")

    def test_loads_for_spares_are_limited_while_a_group_waits_for_a_load(self) -> None:
        spares = [u for n in range(6) for u in hosts(2, f"e{n}")]
        world = EngineWorld([*spares, *hosts(2, "z", staged=SMALL), host("z-new", "z")])
        world.run(0.5)
        self.assertLessEqual(len(world.orders(Stage)), 3)

    def test_host_busy_with_another_controllers_order_gets_no_second_order_at_once(self) -> None:
        world = EngineWorld([host("new")])
        world.busy.add(world.planner_input().view.upstreams_by_id["new"].upstream_id)
        world.run(3.0)
        self.assertEqual(len(world.orders(Stage)), 1)

    def test_loads_stay_within_the_weight_stores_rate(self) -> None:
        world = EngineWorld([u for n in range(12) for u in hosts(4, f"e{n}")])
        world.run(5.0)
        self.assertLessEqual(len(world.orders(Stage)), 12)


class RebalancingTest(unittest.TestCase):
    """The large model lost its only group, while the small one has more than it needs."""

    def setUp(self) -> None:
        self.world = EngineWorld([*hosts(3, staged=LARGE), *hosts(9, "d0-s", staged=SMALL)])
        for upstream in list(self.world.upstreams_by_id.values()):
            self.world.add(replace(upstream, fabric_domain=FabricDomainId("d0")))

    # Guards against stranding all other members of a large group that has lost one of them.
    def test_group_of_the_other_model_gives_up_hosts(self) -> None:
        self.world.run(25.0)
        self.assertEqual(len(self.world.serving(LARGE)), 1)
        self.assertEqual(len(self.world.serving(SMALL)), 2)
        self.assertEqual({a.order.model for a in self.world.orders(Stage)}, {LARGE})
        self.assertEqual(len(self.world.orders(Close)), 1)

    def test_other_model_keeps_what_it_needs(self) -> None:
        for number in range(6, 9):
            self.world.remove(UpstreamId(f"d0-s-{number}"))
        self.world.run(25.0)
        self.assertEqual(len(self.world.serving(SMALL)), 2)
        self.assertEqual(self.world.orders(Close), [])

    def test_set_that_lacks_most_of_its_hosts_takes_none(self) -> None:
        for number in range(2):
            self.world.remove(UpstreamId(f"d0-{number}"))
        self.world.run(5.0)
        self.assertEqual(self.world.orders(Close), [])

    def test_transfer_is_abandoned_when_its_host_is_lost(self) -> None:
        self.world.run(4.0)
        [transfer_id] = self.world.planner._memory.transfers_by_id
        self.world.remove(transfer_id)
        self.world.run(2.0)
        self.assertNotIn(transfer_id, self.world.planner._memory.transfers_by_id)


class ReleasedOneByOneTest(unittest.TestCase):
    """Survivors of a broken group answer the order to leave one after the other."""

    def setUp(self) -> None:
        self.world = EngineWorld([*hosts(5, "d0", LARGE), *hosts(2, "d1", SMALL)])
        self.world.run(4.0)
        [key] = self.world.serving(LARGE)
        members = self.world.planner_input().view.groups_by_key[key].members
        self.world.kill(members[3].upstream_id)
        self.leaves: list[AddressedOrder] = []
        while not self.leaves:
            self.world.at += 0.1
            orders = self.world.plan_orders()
            self.leaves = [a for a in orders if isinstance(a.order, Leave)]
            for other in orders:
                if other not in self.leaves:
                    self.world.execute(other)

    def test_no_host_is_used_while_others_of_its_domain_have_not_answered(self) -> None:
        # Guards against loads for hosts that could form a group a moment later.
        [leave_of_head] = self.leaves
        self.world.execute(leave_of_head)
        orders = self.world.planner.plan(self.world.planner_input())
        leaves = [a for a in orders if isinstance(a.order, Leave)]
        self.assertEqual((len(leaves), len(orders)), (2, 2))
        self.world.execute(leaves[0])
        orders = self.world.planner.plan(self.world.planner_input())
        self.assertEqual([a for a in orders if isinstance(a.order, Join | Stage)], [])
        self.world.execute(leaves[1])
        orders = self.world.planner.plan(self.world.planner_input())
        self.assertEqual(len([a for a in orders if isinstance(a.order, Join)]), 4)


class LoadsOfEarlierControllerTest(unittest.TestCase):
    """A controller takes over while hosts still load, as in a rolling restart."""

    def setUp(self) -> None:
        self.world = EngineWorld([*hosts(3, staged=LARGE), host("empty")])
        self.world.run(1.0)
        self.world.replace_controller()

    def test_no_load_is_ordered_again(self) -> None:
        self.world.run(8.0)
        self.assertEqual(len(self.world.orders(Stage)), 1)

    def test_the_group_is_formed_when_the_load_has_ended(self) -> None:
        self.world.run(18.0)
        self.assertEqual(len(self.world.serving(LARGE)), 1)

    def test_hosts_whose_group_waits_for_a_load_keep_their_weights(self) -> None:
        self.world.run(8.0)
        loaded = {addressed.target.upstream_id for addressed in self.world.orders(Stage)}
        self.assertEqual(loaded, {"empty"})

    def test_load_that_never_started_is_ordered_again(self) -> None:
        world = EngineWorld([*hosts(3, staged=LARGE), host("empty")])
        world.run(0.2)
        world._due.clear()
        world.run(5.0)
        self.assertEqual(len(world.orders(Stage)), 2)


class EvacuatedTest(unittest.TestCase):
    """A data centre that operators have evacuated gets no requests, for seconds or a whole day."""

    def setUp(self) -> None:
        away = [
            *hosts(3, "d1", SMALL, "away"),
            *hosts(3, "d2", SMALL, "away"),
            *hosts(3, "d3", LARGE, "away"),
            *(host(f"away-{number}", "d3", None, "away") for number in range(6)),
        ]
        here = [*hosts(3, "d0", SMALL), *hosts(3, "d4", LARGE), host("here", "d4")]
        self.world = EngineWorld([*away, *here])
        self.world.evacuated_data_centres = frozenset({DataCentreId("away")})
        self.world.run(3.0)

    def test_its_groups_are_formed_but_not_counted_for_their_model(self) -> None:
        self.assertEqual(len(self.world.serving(SMALL)), 3)
        counted = PlanningRound(self.world.planner_input(), PlannerMemory(Demand(), GroupHistory()))
        list(maintain_groups(counted))
        self.assertEqual(counted.group_counts_by_model[SMALL], 1)

    def test_weights_are_loaded_elsewhere_first(self) -> None:
        first = self.world.orders(Stage)[0]
        self.assertEqual(first.target.upstream_id, "here")
