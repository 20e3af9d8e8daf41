"""Single paths on which a host was joined away from a group whose head still served.

Each test plays one of them and asks that no host takes a join of another group meanwhile, and that
all groups that fit serve again when the trouble is over.
"""

import unittest
from collections.abc import Callable

from cactuspass.fleet._orders import AddressedOrder, Close, Join, Open
from cactuspass.fleet._upstreams import MemberState, UpstreamId
from tests.leader_world import Fate, LeaderWorld, Script
from tests.order_world import STEP_SECONDS

HEAD, SECOND, THIRD, SPARE = (UpstreamId(name) for name in ("h0", "h1", "h2", "h6"))
START_SECONDS = 5.0
RECOVERY_SECONDS = 60.0
OFFSETS = [step * STEP_SECONDS for step in range(12)]


def fates_of(kind: type, fate: Fate) -> Script:
    """Return a script in which all orders of a kind share a fate."""
    return lambda addressed: fate if isinstance(addressed.order, kind) else None


def first_fate_of(kind: type, fate: Fate, target: UpstreamId) -> Script:
    """Return a script in which only the first order of a kind to a host has a fate."""
    seen: list[AddressedOrder] = []

    def script(addressed: AddressedOrder) -> Fate | None:
        if not isinstance(addressed.order, kind) or addressed.target.upstream_id != target:
            return None
        seen.append(addressed)
        return fate if len(seen) == 1 else None

    return script


class TwoGroupsCase(unittest.TestCase):
    """Groups of h0 to h2 and of h3 to h5, and the spares h6 and h7."""

    def setUp(self) -> None:
        self.world = LeaderWorld()
        self.truth = self.world.truth

    def start(self) -> None:
        """Let both groups serve."""
        self.world.run(START_SECONDS)
        self.assertEqual([place.members[0] for place in self.world.serving()], ["h0", "h3"])

    def until(self, done: Callable[[], bool], seconds: float = 10.0) -> None:
        """Let time pass until something holds, as it must."""
        self.assertTrue(self.world.run_until(done, seconds), self.truth.log)

    def until_given(self, kind: type, target: UpstreamId) -> None:
        """Let time pass until a host is given an order of a kind."""
        before = len(self.world.given)

        def given() -> bool:
            return any(
                isinstance(a.order, kind) and a.target.upstream_id == target
                for a in self.world.given[before:]
            )

        self.until(given)

    def until_state(self, host: UpstreamId, state: MemberState) -> None:
        """Let time pass until a member has a state in truth."""

        def reached() -> bool:
            place = self.truth.hosts_by_id[host].place
            return place is not None and place.state is state

        self.until(reached)

    def assert_safe(self, seconds: float = 10.0, groups: int = 2) -> None:
        """Let the trouble last, end it, and let the groups that fit serve again.

        :param groups: how many fit.
        """
        self.world.run(seconds)
        self.assertEqual(self.truth.violations, [], "\n".join(self.truth.log))
        self.world.heal()
        reached = self.world.run_until(
            lambda: len(self.world.serving()) >= groups, RECOVERY_SECONDS
        )
        self.assertEqual(self.truth.violations, [], "\n".join(self.truth.log))
        self.assertTrue(reached, "\n".join(self.truth.log))


class UnseenHeadTest(TwoGroupsCase):
    """The registry does not show the head, and the head serves on."""

    def setUp(self) -> None:
        super().setUp()
        self.start()

    def test_head_that_only_the_leader_does_not_reach(self) -> None:
        # Guards against taking a refused connection of the leader's for the end of the head.
        self.world.leader.cut_from.add(HEAD)
        self.world.unregistered.add(HEAD)
        self.assert_safe()

    def test_head_that_this_term_has_never_seen(self) -> None:
        # Guards against taking the silence of a head that is not registered for its end.
        self.world.leader.frozen_until = self.world.at + 60.0
        self.world.unregistered.add(HEAD)
        self.world.run(4.0)
        self.world.change_leader()
        self.assert_safe()

    def test_head_whose_whole_group_was_missing_for_a_while(self) -> None:
        # Guards against forgetting a group whose entries have all lapsed, and with it its head.
        self.world.unregistered.update((HEAD, SECOND, THIRD))
        self.world.run(4.0)
        self.world.unregistered -= {SECOND, THIRD}
        self.assert_safe()

    def test_head_that_was_told_to_close_and_never_answered(self) -> None:
        # Guards against taking the age of an unanswered close for its success.
        self.world.leader.cut_from.add(HEAD)
        self.world.unregistered.add(HEAD)
        self.world.script = fates_of(Close, Fate.LOST)
        self.assert_safe()

    def test_head_that_did_not_get_an_earlier_close_of_its_group(self) -> None:
        # Guards against taking the outcome of an earlier close for that of the present one.
        self.world.script = fates_of(Close, Fate.NOT_REACHED)
        self.truth.hosts_by_id[SECOND].pace = 5.0
        self.until_given(Close, HEAD)
        self.truth.hosts_by_id[SECOND].pace = 1.0
        self.world.run(3.0)
        self.world.script = fates_of(Close, Fate.LOST)
        self.world.unregistered.add(HEAD)
        self.assert_safe()


class UnseenOpeningTest(TwoGroupsCase):
    """The head has opened, and the registry still shows it as ready."""

    def test_head_whose_entry_lapses_while_its_group_is_being_formed(self) -> None:
        # Guards against giving up a formation whose head may already serve.
        self.start()
        self.truth.alone.add(THIRD)
        self.until_state(HEAD, MemberState.BROKEN)
        self.truth.alone.clear()
        self.until_given(Open, HEAD)
        self.world.unregistered.add(HEAD)
        self.assert_safe()

    def test_head_that_a_leader_with_a_standing_view_has_opened(self) -> None:
        # Guards against taking the age of an opening for its failure.
        self.until_given(Open, HEAD)
        self.world.leader.blind = True
        self.until_state(HEAD, MemberState.OPEN)
        self.world.script = fates_of(Close, Fate.LOST)
        self.truth.kill(THIRD)
        self.assert_safe()

    def test_head_that_the_leader_before_has_opened(self) -> None:
        # Guards against a new term that takes a head's old entry for what it is now.
        self.until_given(Open, HEAD)
        self.world.unregistered.add(HEAD)
        self.until_state(HEAD, MemberState.OPEN)
        self.truth.kill(THIRD)
        self.world.change_leader()
        self.assert_safe()

    def test_head_of_a_group_that_is_newer_than_the_new_leaders_view(self) -> None:
        # Guards against a new term that takes an old entry of a member for what it is now.
        self.start()
        self.truth.restart(THIRD)
        self.until(lambda: len(self.world.serving()) == 1)
        self.until(lambda: len(self.world.serving()) == 2)
        self.world.change_leader(lag=1.5)
        self.assert_safe()


class LateOpenTest(TwoGroupsCase):
    """An open without an answer is carried out when nobody expects it any more."""

    def _play(self, script: Script, lose_third: bool, restart_at: float) -> None:
        """Form the only group that fits, and let a fourth host appear in the end."""
        self.world = LeaderWorld(4)
        self.truth = self.world.truth
        self.truth.kill(UpstreamId("h3"))
        self.world.script = script
        self.until_given(Open, HEAD)
        began_at = self.world.at
        if lose_third:
            self.until_state(HEAD, MemberState.OPEN)
            self.truth.kill(THIRD)
        self.world.run(began_at + restart_at - self.world.at)
        self.truth.restart(UpstreamId("h3"))
        self.assert_safe(4.0, groups=1)

    def test_open_that_is_carried_out_after_the_group_was_closed(self) -> None:
        # Guards against taking a closed head for one that no earlier order can open again.
        for offset in OFFSETS:
            self._play(first_fate_of(Open, Fate.LATE_8, HEAD), True, 7.9 + offset)

    def test_open_that_is_carried_out_after_another_was_not_sent(self) -> None:
        # Guards against taking the refusal of the second open for that of the first.
        opens: list[AddressedOrder] = []

        def script(addressed: AddressedOrder) -> Fate | None:
            if not isinstance(addressed.order, Open):
                return None
            opens.append(addressed)
            return Fate.LATE_2 if len(opens) == 1 else Fate.NOT_REACHED

        for offset in OFFSETS:
            opens.clear()
            self._play(script, False, 1.9 + offset)


class LateJoinTest(TwoGroupsCase):
    """A join without an answer is carried out when nobody expects it any more."""

    def setUp(self) -> None:
        super().setUp()
        self.start()

    def _close_for_a_slow_member(self) -> None:
        self.truth.hosts_by_id[THIRD].pace = 5.0
        self.until_state(HEAD, MemberState.READY)

    def test_join_that_is_carried_out_after_the_old_group_was_opened_again(self) -> None:
        # Guards against opening a group while joins of its members are still on their way.
        def script(addressed: AddressedOrder) -> Fate | None:
            if not isinstance(addressed.order, Join):
                return None
            joins_old = addressed.target.upstream_id in (HEAD, SECOND)
            return Fate.LATE_8 if joins_old else Fate.NOT_REACHED

        self.world.script = script
        self._close_for_a_slow_member()
        self.world.run(1.0)
        self.truth.hosts_by_id[THIRD].pace = 1.0
        self.assert_safe(12.0)

    def test_join_that_a_frozen_leader_sends_after_the_old_group_was_opened_again(self) -> None:
        # Guards against opening a group that the leader before was about to join away.
        self._close_for_a_slow_member()
        self.world.freeze_at_next_order(7.0, term_ends_after=2.0)
        self.world.run(1.0)
        self.truth.hosts_by_id[THIRD].pace = 1.0
        self.assert_safe(12.0)

    def _start_with_late_join(self, arrives_after: float) -> None:
        """Let groups serve, though an order of the first joins is still on its way.

        :param arrives_after: seconds from now until it arrives.
        """
        self.world = LeaderWorld()
        self.truth = self.world.truth
        self.world.script = first_fate_of(Join, Fate.LATE_12, THIRD)
        self.until_given(Join, THIRD)
        arrives_at = self.world.at + Fate.LATE_12.value
        self.until(lambda: len(self.world.serving()) == 2)
        self.world.run(arrives_at - arrives_after - self.world.at)

    def test_join_that_the_next_life_of_a_member_carries_out(self) -> None:
        # Guards against taking a member that has just started for one without a group.
        for offset in range(30):
            self._start_with_late_join(offset * STEP_SECONDS)
            self.world.script = fates_of(Close, Fate.LOST)
            self.truth.restart(THIRD)
            self.assert_safe(5.0)

    def test_join_that_a_member_carries_out_after_it_has_left(self) -> None:
        # Guards against joining a member away by what it said before an earlier join arrived.
        for offset in range(20, 70):
            self._start_with_late_join(offset * 2 * STEP_SECONDS)
            self.world.leader.cut_from.add(HEAD)
            self.world.unregistered.add(HEAD)
            self.assert_safe(10.0)
