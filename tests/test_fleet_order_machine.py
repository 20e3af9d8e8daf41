"""Random interleavings of late orders, cut views and changes of leader, over truthful hosts."""

import sys
import unittest
from copy import deepcopy
from functools import lru_cache

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cactuspass.fleet._upstreams import UpstreamId
from tests.leader_world import SIZE, Fate, LeaderWorld

COUNT = 8
RECOVERY_SECONDS = 60.0
HOSTS = st.integers(0, COUNT - 1).map(lambda number: UpstreamId(f"h{number}"))
SECONDS = st.sampled_from([0.1, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0])
TROUBLE_SECONDS = st.sampled_from([0.5, 1.5, 3.0, 6.0, 12.0])
FATES = st.sampled_from(list(Fate))


@lru_cache
def started_world() -> LeaderWorld:
    """Return a world whose groups serve."""
    world = LeaderWorld(COUNT)
    world.run(5.0)
    return world


class OrderMachine(RuleBasedStateMachine):
    """Eight hosts, groups of three, and whatever may happen to orders, views and leaders."""

    tried = 0
    served = 0

    @initialize()
    def start(self) -> None:
        self.world = deepcopy(started_world())
        self.log: list[str] = []
        self.given_before = len(self.world.given)
        OrderMachine.tried += 1

    def _pass(self, what: str, seconds: float) -> None:
        self.log.append(f"{self.world.at:.2f} {what}")
        self.world.run(seconds)
        OrderMachine.served += len(self.world.serving())

    def _for_a_while(
        self, what: str, hosts: set[UpstreamId], host: UpstreamId, lasts: float, seconds: float
    ) -> None:
        hosts.add(host)
        self.world.truth.later(lasts, lambda: hosts.discard(host))
        self._pass(f"{what} {host} for {lasts}", seconds)

    @rule(seconds=SECONDS)
    def wait(self, seconds: float) -> None:
        self._pass("wait", seconds)

    @rule(host=HOSTS, seconds=SECONDS)
    def kill(self, host: UpstreamId, seconds: float) -> None:
        self.world.truth.kill(host)
        self._pass(f"kill {host}", seconds)

    @rule(host=HOSTS, seconds=SECONDS)
    def restart(self, host: UpstreamId, seconds: float) -> None:
        self.world.truth.restart(host)
        self._pass(f"restart {host}", seconds)

    @rule(host=HOSTS, lasts=TROUBLE_SECONDS, seconds=SECONDS)
    def cut_from_registry(self, host: UpstreamId, lasts: float, seconds: float) -> None:
        self._for_a_while("unregister", self.world.unregistered, host, lasts, seconds)

    @rule(host=HOSTS, lasts=TROUBLE_SECONDS, seconds=SECONDS)
    def cut_from_hosts(self, host: UpstreamId, lasts: float, seconds: float) -> None:
        self._for_a_while("leave alone", self.world.truth.alone, host, lasts, seconds)

    @rule(host=HOSTS, lasts=TROUBLE_SECONDS, seconds=SECONDS)
    def go_dark(self, host: UpstreamId, lasts: float, seconds: float) -> None:
        self._for_a_while("darken", self.world.truth.dark, host, lasts, seconds)

    @rule(host=HOSTS, lasts=TROUBLE_SECONDS, seconds=SECONDS)
    def cut_from_leader(self, host: UpstreamId, lasts: float, seconds: float) -> None:
        leader = self.world.leader
        if leader is not None:
            self._for_a_while("cut leader from", leader.cut_from, host, lasts, seconds)

    @rule(lasts=TROUBLE_SECONDS, seconds=SECONDS)
    def blind_leader(self, lasts: float, seconds: float) -> None:
        leader = self.world.leader
        if leader is None:
            return
        leader.blind = True
        self.world.truth.later(lasts, lambda: setattr(leader, "blind", False))
        self._pass(f"blind leader for {lasts}", seconds)

    @rule(lag=st.sampled_from([0.1, 0.5, 1.5]), seconds=SECONDS)
    def change_leader(self, lag: float, seconds: float) -> None:
        self.world.change_leader(lag)
        self._pass(f"new leader, lag {lag}", seconds)

    @rule(lasts=TROUBLE_SECONDS, term=st.sampled_from([1.0, 3.0, 8.0]), seconds=SECONDS)
    def freeze_leader(self, lasts: float, term: float, seconds: float) -> None:
        self.world.freeze_at_next_order(lasts, term)
        self._pass(f"freeze leader for {lasts}, term {term}", seconds)

    @rule(fates=st.lists(FATES, min_size=1, max_size=8), seconds=SECONDS)
    def draw_fates(self, fates: list[Fate], seconds: float) -> None:
        self.world.fates.extend(fates)
        self._pass(f"fates {[fate.name for fate in fates]}", seconds)

    @rule(host=HOSTS, pace=st.sampled_from([1.0, 5.0]), seconds=SECONDS)
    def change_pace(self, host: UpstreamId, pace: float, seconds: float) -> None:
        self.world.truth.hosts_by_id[host].pace = pace
        self._pass(f"pace {host} {pace}", seconds)

    @rule(host=HOSTS, seconds=SECONDS)
    def drain(self, host: UpstreamId, seconds: float) -> None:
        self.world.truth.hosts_by_id[host].draining = True
        self._pass(f"drain {host}", seconds)

    @rule(seconds=SECONDS)
    def heal(self, seconds: float) -> None:
        self.world.heal()
        self._pass("heal", seconds)

    @invariant()
    def no_host_is_in_two_groups_and_no_group_is_partial(self) -> None:
        truth = self.world.truth
        assert not truth.violations, "\n".join([*truth.violations, *self.log, *truth.log])

    def teardown(self) -> None:
        """All groups that fit serve again once the troubles are over."""
        if not hasattr(self, "world") or self.world.truth.violations:
            return
        self.world.heal()
        staying = [host for host in self.world.truth.alive() if not host.draining]
        fitting = len(staying) // SIZE
        recovered = self.world.run_until(
            lambda: len(self.world.serving()) >= fitting, RECOVERY_SECONDS
        )
        self.no_host_is_in_two_groups_and_no_group_is_partial()
        assert recovered, "\n".join([f"{fitting} fit", *self.log, *self.world.truth.log])


class UntroubledTest(unittest.TestCase):
    """The rules hold for leaders that do their work, and not because nothing is ever ordered."""

    def setUp(self) -> None:
        self.world = deepcopy(started_world())

    def _assert_serving(self, count: int, seconds: float) -> None:
        reached = self.world.run_until(lambda: len(self.world.serving()) == count, seconds)
        self.assertTrue(reached, self.world.truth.log)
        self.assertEqual(self.world.truth.violations, [])

    def _head(self) -> UpstreamId:
        return self.world.serving()[0].members[0]

    def test_groups_form_and_serve_when_nothing_is_wrong(self) -> None:
        self.assertEqual(len(self.world.serving()), 2)
        given = len(self.world.given)
        self.world.run(30.0)
        self.assertEqual(len(self.world.serving()), 2)
        self.assertEqual(len(self.world.given), given)

    def test_a_spare_replaces_a_killed_member(self) -> None:
        lost = self.world.serving()[0].members[1]
        self.world.truth.kill(lost)
        self._assert_serving(1, 2.0)
        self._assert_serving(2, 8.0)
        self.assertNotIn(lost, [i for place in self.world.serving() for i in place.members])

    def test_survivors_of_a_dead_head_serve_again(self) -> None:
        self.world.truth.kill(self._head())
        self._assert_serving(1, 2.0)
        self._assert_serving(2, 12.0)

    def test_survivors_of_a_dead_head_serve_again_though_the_leader_changes(self) -> None:
        self.world.truth.kill(self._head())
        self._assert_serving(1, 2.0)
        self.world.change_leader()
        self._assert_serving(2, 15.0)

    def test_members_of_a_restarted_head_serve_again(self) -> None:
        self.world.truth.restart(self._head())
        self._assert_serving(1, 2.0)
        self._assert_serving(2, 12.0)

    def test_a_new_leader_leaves_groups_that_serve_alone(self) -> None:
        given = len(self.world.given)
        self.world.change_leader()
        self.world.run(10.0)
        self.assertEqual(len(self.world.serving()), 2)
        self.assertEqual(len(self.world.given), given)


class OrderMachineTest(unittest.TestCase):
    """A host that serves in two groups at once answers from a group that nobody holds together."""

    def test_no_host_joins_another_group_while_its_own_may_serve(self) -> None:
        case = OrderMachine.TestCase()
        case.settings = settings(
            max_examples=150,
            stateful_step_count=15,
            derandomize=True,
            deadline=None,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        )
        case.runTest()
        print(f"order machine: {OrderMachine.tried} interleavings", file=sys.__stdout__)
        self.assertGreaterEqual(OrderMachine.tried, 50)
        self.assertGreater(OrderMachine.served, 500)
