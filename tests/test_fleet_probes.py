"""How often hosts are probed, and which of them count as unreachable.

Answers the load of a large fleet on its leader: hundreds of hosts that only have to be alive must
not be asked as often as the few whose membership changes.
"""

import asyncio
import unittest
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from unittest import mock

from cactuspass.fleet import _probes, _timeouts
from cactuspass.fleet._catalog import Catalog, Service
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._orders import (
    AddressedOrder,
    OrderOutcome,
    UpstreamControl,
    UpstreamReport,
)
from cactuspass.fleet._probes import ProbeNeed, Probes, probe_needs
from cactuspass.fleet._upstreams import (
    GroupKey,
    Membership,
    MemberState,
    Upstream,
    UpstreamId,
    UpstreamView,
)
from cactuspass.models import GroupId
from tests.fleet_path import recording_log
from tests.fleet_world import ENGINE, SERVICE, host
from tests.test_fleet_presence import clock
from tests.virtual_time import virtual_time

GROUP_SIZE = 8
GROUP_COUNT = 10
FLEET_GROUP_COUNT = 130
OWN_DELAY_SECONDS = 0.06
SHARED_SILENCES_SECONDS = (0.6, 1.0, 1.4, 1.8, 2.2)
CALL_SECONDS = 0.001  # processor time of one probe on a small instance


def group(number: int, head_state: MemberState = MemberState.OPEN) -> list[Upstream]:
    """Return the members of a group."""
    key = GroupKey(GroupId(f"g{number}"), 1)
    states = [head_state, *[MemberState.READY] * (GROUP_SIZE - 1)]
    return [
        replace(host(f"g{number}-{rank}"), membership=Membership(key, rank, state))
        for rank, state in enumerate(states)
    ]


class CountingControl(UpstreamControl):
    """Answers probes of all hosts but the dead ones, and counts them.

    Calls to hosts in ``delayed`` end long after the timeout, as when this process was paused.
    """

    def __init__(self) -> None:
        self.counts: Counter[UpstreamId] = Counter()
        self.dead: set[UpstreamId] = set()
        self.delayed: set[UpstreamId] = set()

    async def send_order(
        self, addressed: AddressedOrder, may_send: Callable[[], bool]
    ) -> OrderOutcome:
        """Refuse every order."""
        return OrderOutcome.CONFLICT

    async def fetch_report(self, upstream: Upstream, timeout: float) -> UpstreamReport | None:
        """Return a report, or None for a dead host."""
        self.counts[upstream.upstream_id] += 1
        if upstream.upstream_id in self.delayed:
            await asyncio.sleep(timeout + OWN_DELAY_SECONDS)
            return None
        if upstream.upstream_id in self.dead:
            await asyncio.sleep(timeout)
            return None
        return UpstreamReport(0, 0, 1.0, upstream.membership, False, 0, upstream.born_ms)


class BusyControl(CountingControl):
    """Answers one call after the other, as a process does whose processor is the limit."""

    def __init__(self) -> None:
        super().__init__()
        self.idle_at = 0.0

    async def fetch_report(self, upstream: Upstream, timeout: float) -> UpstreamReport | None:
        """Return a report in its turn, or None when that is later than the timeout."""
        began = clock()
        self.idle_at = max(self.idle_at, began) + CALL_SECONDS
        await asyncio.sleep(min(timeout, self.idle_at - began))
        if self.idle_at - began > timeout:
            return None
        return await super().fetch_report(upstream, timeout)


class NeedTest(unittest.TestCase):
    """What a host is probed for, by the registry."""

    def test_members_of_serving_groups_only_have_to_live(self) -> None:
        needs = probe_needs(UpstreamView.of([*group(1), host("free")]))
        self.assertEqual(needs[UpstreamId("g1-0")], ProbeNeed.LOAD)
        self.assertEqual(needs[UpstreamId("g1-1")], ProbeNeed.LIFE)
        self.assertEqual(needs[UpstreamId("free")], ProbeNeed.CHOICE)

    def test_members_of_a_group_that_does_not_serve_are_changing(self) -> None:
        for state in (MemberState.READY, MemberState.CLOSING, MemberState.BROKEN):
            with self.subTest(state=state):
                self.assertEqual(probe_needs(UpstreamView.of(group(1, state))), {})


class ProbesTest(unittest.TestCase):
    """Probes of ten serving groups of eight, in virtual time."""

    async def start(
        self, control: CountingControl | None = None, group_count: int = GROUP_COUNT
    ) -> tuple[Probes, CountingControl]:
        for module in (_probes, _timeouts):
            patch = mock.patch.object(module, "now", clock)
            patch.start()
            self.addCleanup(patch.stop)
        log, _ = recording_log()
        self.cluster_state = ClusterState(log)
        self.cluster_state.accept_catalog(
            Catalog(1, (), {SERVICE: Service(SERVICE, engine=ENGINE)})
        )
        self.hosts = [member for number in range(group_count) for member in group(number)]
        self.cluster_state.accept_upstreams(self.hosts, 1)
        control = control or CountingControl()
        probes = Probes(self.cluster_state, control, log)
        probes.reset(enabled=True)
        await probes.start()
        return probes, control

    @virtual_time
    async def test_members_of_serving_groups_are_probed_rarely(self) -> None:
        probes, control = await self.start()
        await asyncio.sleep(30)
        await probes.stop()
        per_second = control.counts.total() / 30
        self.assertLess(per_second, GROUP_COUNT * (1 / 0.7 + (GROUP_SIZE - 1) / 1.8))
        self.assertGreater(min(control.counts.values()), 9)

    # A new leader knows no host. When it asked all at once, most answers came after the timeout.
    @virtual_time
    async def test_new_leader_of_a_large_fleet_on_a_small_instance_finds_all_hosts(self) -> None:
        probes, _ = await self.start(BusyControl(), FLEET_GROUP_COUNT)
        await asyncio.sleep(2.0)
        self.assertEqual(len(probes.reachable_ids()), len(self.hosts))
        self.assertEqual(probes._missing_ids(), frozenset())
        await probes.stop()

    # Hints of many instances must not make the leader too busy to read the answers.
    @virtual_time
    async def test_hints_for_all_groups_at_once_make_no_host_unreachable(self) -> None:
        probes, _ = await self.start(BusyControl(), FLEET_GROUP_COUNT)
        await asyncio.sleep(2.0)
        for number in range(FLEET_GROUP_COUNT):
            probes.probe_group_now(UpstreamId(f"g{number}-0"))
        await asyncio.sleep(2.0)
        self.assertEqual(probes._missing_ids(), frozenset())
        await probes.stop()

    # A process that wakes after a pause must not take all hosts for lost.
    @virtual_time
    async def test_probe_that_ends_long_after_its_timeout_is_no_miss(self) -> None:
        probes, control = await self.start()
        await asyncio.sleep(5.0)
        control.delayed = {upstream.upstream_id for upstream in self.hosts}
        await asyncio.sleep(10.0)
        self.assertGreater(min(control.counts.values()), 4)
        self.assertEqual(probes._missing_ids(), frozenset())
        await probes.stop()

    @virtual_time
    async def test_hosts_that_have_answered_are_not_asked_again_by_a_sweep(self) -> None:
        probes, control = await self.start()
        await asyncio.sleep(5)
        control.dead = {u.upstream_id for u in self.hosts[: len(self.hosts) // 4]}
        control.delayed = {self.hosts[-1].upstream_id}
        before = control.counts.copy()
        await asyncio.sleep(6)
        asked = control.counts - before
        lost = control.dead | control.delayed
        per_host = [asked[u.upstream_id] for u in self.hosts if u.upstream_id not in lost]
        self.assertLess(sum(per_host) / len(per_host), 6 / 1.2)
        await probes.stop()

    @virtual_time
    async def test_probes_are_spread_over_time(self) -> None:
        probes, control = await self.start()
        await asyncio.sleep(10)
        most = 0
        for _ in range(60):
            before = control.counts.total()
            await asyncio.sleep(_probes.STEP_SECONDS)
            most = max(most, control.counts.total() - before)
        await probes.stop()
        self.assertLess(most, len(self.hosts) / 2)

    @virtual_time
    async def test_lost_member_is_found_at_once_after_a_hint(self) -> None:
        probes, control = await self.start()
        await asyncio.sleep(5)
        control.dead = {UpstreamId("g3-5")}
        probes.probe_group_now(UpstreamId("g3-0"))
        await asyncio.sleep(0.5)
        self.assertEqual(probes.unreachable_ids(), control.dead)
        await probes.stop()

    @virtual_time
    async def test_lost_member_is_found_without_a_hint(self) -> None:
        probes, control = await self.start()
        await asyncio.sleep(5)
        control.dead = {UpstreamId("g3-5")}
        await asyncio.sleep(4.5)
        self.assertEqual(probes.unreachable_ids(), control.dead)
        await probes.stop()

    @virtual_time
    async def test_instance_that_is_cut_off_takes_few_hosts_for_lost(self) -> None:
        # Guards against closing groups since only some hosts have missed probes yet.
        probes, control = await self.start()
        await asyncio.sleep(5)
        control.dead = {member.upstream_id for member in self.hosts}
        found: list[int] = []
        for _ in range(100):
            await asyncio.sleep(0.05)
            found.append(len(probes.unreachable_ids()))
        await probes.stop()
        self.assertLessEqual(max(found), _probes.SWEEP_UNREACHABLE_SHARE * len(self.hosts))
        self.assertEqual(found[-1], 0)

    # Guards against closing groups, and cutting their streams, behind a pause of all hosts: those
    # that are probed last count as lost while most others have answered again.
    @virtual_time
    async def test_hosts_that_were_silent_together_are_not_lost_once_they_answer(self) -> None:
        for seconds in SHARED_SILENCES_SECONDS:
            with self.subTest(seconds=seconds):
                probes, control = await self.start()
                await asyncio.sleep(5)
                control.dead = {member.upstream_id for member in self.hosts}
                await asyncio.sleep(seconds)
                control.dead = set()
                found: set[UpstreamId] = set()
                for _ in range(300):
                    found |= probes.unreachable_ids()
                    await asyncio.sleep(0.01)
                await probes.stop()
                self.assertEqual(found, set())

    @virtual_time
    async def test_dark_quarter_of_the_hosts_is_found_once_all_others_were_probed(self) -> None:
        probes, control = await self.start()
        await asyncio.sleep(5)
        control.dead = {
            member.upstream_id for member in self.hosts[: GROUP_SIZE * GROUP_COUNT // 4]
        }
        await asyncio.sleep(4.5)
        self.assertEqual(probes.unreachable_ids(), control.dead)
        await probes.stop()

    @virtual_time
    async def test_report_from_before_an_order_is_not_used(self) -> None:
        probes, _ = await self.start()
        await asyncio.sleep(5)
        target = UpstreamId("g3-5")
        self.assertIn(target, probes.reports_by_id())
        probes.discard_report(target)
        self.assertNotIn(target, probes.reports_by_id())
        await asyncio.sleep(0.7)
        self.assertIn(target, probes.reports_by_id())
        await probes.stop()


if __name__ == "__main__":
    unittest.main()
