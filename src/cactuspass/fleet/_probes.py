"""Probes of the hosts of engine services for reachability and load reports, as often as needed.

A host whose membership is changing is probed often, one that has only to be alive rarely: callers
notice first when a member of a serving group is lost, and instances then ask for a probe at once.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from cactuspass._clock import now
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._orders import UpstreamControl, UpstreamReport
from cactuspass.fleet._repeating import RepeatingComponent
from cactuspass.fleet._timeouts import has_stalled
from cactuspass.fleet._upstreams import Upstream, UpstreamId, UpstreamView

PROBE_INTERVAL_SECONDS = 0.45
STEP_SECONDS = 0.15
MIN_SPREAD = 0.6
PROBE_TIMEOUT_SECONDS = 0.2
# More at once would keep each other from being answered in time on a small instance.
MAX_PROBES_AT_ONCE = 64
UNREACHABLE_AFTER_MISSES = 2  # consecutive probes without a report
REPORT_VALID_SECONDS = 1.5
REPORT_VALID_INTERVALS = 1.25  # a report stays valid until the next one is due, and a little longer
MAX_UNREACHABLE_SHARE = 0.5  # of the targets; if more do not respond, this instance may be cut off
# Of the targets; if more do not respond, all others are probed before this is believed.
SWEEP_UNREACHABLE_SHARE = 0.15
TARGET_EXPIRY_SECONDS = 8.0  # time for which an upstream stays a target without being named again


class ProbeNeed(Enum):
    """What a host is probed for; the value is the interval in seconds."""

    CHANGE = PROBE_INTERVAL_SECONDS  # it joins, leaves or restarts, or has missed a probe
    LOAD = 1.2  # it is the head of a serving group
    CHOICE = 1.8  # it is in no group and may be chosen for one
    LIFE = 3.0  # it is another member of a serving group


def probe_needs(view: UpstreamView) -> dict[UpstreamId, ProbeNeed]:
    """Return why each host is probed, by the registry; a host not in the result is changing."""
    needs_by_id = {
        upstream.upstream_id: ProbeNeed.CHOICE
        for upstream in view.upstreams_by_id.values()
        if upstream.membership is None and not upstream.draining
    }
    for group in view.groups_by_key.values():
        if not group.serves:
            continue
        for rank, member in group.members_by_rank.items():
            needs_by_id[member.upstream_id] = ProbeNeed.LIFE if rank else ProbeNeed.LOAD
    return needs_by_id


@dataclass(slots=True)
class _ProbeState:
    """Probe results of one upstream.

    :param misses: consecutive probes without a report.
    :param missed_at: clock value at which the last of them was sent.
    :param answered_at: clock value of the last report.
    :param targeted_at: clock value at which the upstream was last named as a target.
    :param probed_at: clock value at which the last probe was sent.
    :param spread: factor on the interval, so that not all hosts are probed at once.
    :param need: what the upstream is probed for now.
    :param is_pending: whether a probe waits for its turn or for a report.
    """

    upstream: Upstream
    misses: int = 0
    missed_at: float = float("-inf")
    answered_at: float = float("-inf")
    report: UpstreamReport | None = None
    targeted_at: float = 0.0
    probed_at: float = float("-inf")
    spread: float = 1.0
    need: ProbeNeed = ProbeNeed.CHANGE
    is_pending: bool = False

    @property
    def is_missing(self) -> bool:
        """Whether the upstream has not responded to several probes in a row."""
        return self.misses >= UNREACHABLE_AFTER_MISSES

    def is_due(self, at: float) -> bool:
        """Return whether the interval since the last probe has passed.

        After a missed probe, and until there is a report, it is the shortest interval.
        """
        if self.is_pending:
            return False
        is_known = self.report is not None and self.misses == 0
        interval = self.need.value * self.spread if is_known else PROBE_INTERVAL_SECONDS
        return at - self.probed_at >= interval

    def is_valid(self, at: float) -> bool:
        """Return whether the last report is recent enough to be used."""
        valid = max(REPORT_VALID_SECONDS, REPORT_VALID_INTERVALS * self.need.value)
        return self.report is not None and at - self.answered_at < valid


def _ignore_report(upstream: Upstream, report: UpstreamReport, asked_at: float) -> None:
    """Do nothing; the default of ``on_report``."""


class Probes(RepeatingComponent):
    """Probes each upstream that is or could be a group member, while this instance leads.

    :param on_report: called with each report, and the clock value at which it was asked for.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        control: UpstreamControl,
        log: DecisionLog,
        on_report: Callable[[Upstream, UpstreamReport, float], None] = _ignore_report,
    ) -> None:
        super().__init__(log)
        self._on_report = on_report
        self._cluster_state = cluster_state
        self._control = control
        self._enabled = asyncio.Event()
        self._turns = asyncio.Semaphore(MAX_PROBES_AT_ONCE)
        self._states_by_id: dict[UpstreamId, _ProbeState] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._on_recheck: Callable[[], None] = lambda: None
        self._sweep_began_at: float | None = None
        self._shared_silence_at = float("-inf")

    def set_recheck_callback(self, callback: Callable[[], None]) -> None:
        """Set the function to call after each recheck that ``probe_group_now`` has started."""
        self._on_recheck = callback

    def reset(self, enabled: bool) -> None:
        """Discard all targets and results.

        :param enabled: whether to probe from now on.
        """
        if enabled:
            self._enabled.set()
        else:
            self._enabled.clear()
        self._states_by_id.clear()
        self._sweep_began_at = None
        self._shared_silence_at = float("-inf")

    def unreachable_ids(self) -> frozenset[UpstreamId]:
        """Return the upstreams that do not respond to probes.

        The result is empty when more than ``MAX_UNREACHABLE_SHARE`` of the targets do not respond,
        since this instance is then more likely to be cut off than the upstreams. Behind a silence
        that many share, those that have not been asked again since are not in it.
        """
        missing = self._missing_ids()
        if len(missing) > MAX_UNREACHABLE_SHARE * len(self._states_by_id):
            return frozenset()
        if self._needs_sweep() and not self._is_sweep_done():
            return frozenset()
        states = self._states_by_id
        return frozenset(i for i in missing if states[i].missed_at >= self._shared_silence_at)

    def _missing_ids(self) -> frozenset[UpstreamId]:
        return frozenset(
            upstream_id for upstream_id, state in self._states_by_id.items() if state.is_missing
        )

    def _needs_sweep(self) -> bool:
        """Return whether so many hosts do not respond that this instance may be cut off.

        Hosts are probed at different times, so after a cut only some have missed probes yet.
        """
        silent_count = sum(state.misses > 0 for state in self._states_by_id.values())
        return silent_count > SWEEP_UNREACHABLE_SHARE * len(self._states_by_id)

    def _is_sweep_done(self) -> bool:
        """Return whether each host has responded since the sweep began, or is missing."""
        began_at = self._sweep_began_at
        return began_at is not None and all(
            state.is_missing or state.answered_at >= began_at
            for state in self._states_by_id.values()
        )

    def reachable_ids(self) -> frozenset[UpstreamId]:
        """Return the upstreams whose last probe succeeded and whose report is still valid."""
        at = now()
        return frozenset(
            upstream_id
            for upstream_id, state in self._states_by_id.items()
            if state.is_valid(at) and state.misses == 0
        )

    def reports_by_id(self) -> dict[UpstreamId, UpstreamReport]:
        """Return the last reports that are still valid."""
        at = now()
        return {
            upstream_id: state.report
            for upstream_id, state in self._states_by_id.items()
            if state.report is not None and state.is_valid(at)
        }

    def probe_group_now(self, head_id: UpstreamId) -> None:
        """Probe all members of a serving group at once instead of at the next interval.

        :param head_id: head of the group, which was reported as unresponsive.
        """
        if not self._enabled.is_set():
            return
        for group in self._cluster_state.view.groups_by_key.values():
            if group.serves and group.head is not None and group.head.upstream_id == head_id:
                self.add_targets(group.members)
                for member in group.members:
                    state = self._states_by_id[member.upstream_id]
                    if not state.is_pending:
                        self._start_task(self._probe_with_retry(state))

    def discard_report(self, upstream_id: UpstreamId) -> None:
        """Drop the last report of a host that has been sent an order, and probe it soon."""
        state = self._states_by_id.get(upstream_id)
        if state is not None:
            state.report = None

    async def step(self) -> None:
        """Wait for a part of the shortest interval, then probe all targets that are due.

        While probes are disabled, the step waits until they are enabled.
        """
        await self._enabled.wait()
        await asyncio.sleep(STEP_SECONDS)
        if not self._enabled.is_set():
            return
        self._update_targets()
        at = now()
        self._update_sweep(at)
        for state in list(self._states_by_id.values()):
            if state.is_due(at) or self._is_due_in_sweep(state, at):
                self._start_task(self._probe_in_turn(state))

    def _update_sweep(self, at: float) -> None:
        """Begin or end a sweep of all hosts."""
        if not self._needs_sweep():
            self._sweep_began_at = None
        elif self._sweep_began_at is None:
            self._sweep_began_at = at

    def _is_due_in_sweep(self, state: _ProbeState, at: float) -> bool:
        """Return whether the sweep that is under way waits for a host."""
        began_at = self._sweep_began_at
        if began_at is None or state.is_pending or state.answered_at >= began_at:
            return False
        return at - state.probed_at >= PROBE_INTERVAL_SECONDS

    def _update_targets(self) -> None:
        """Add the hosts of engine services and remove the targets that have expired."""
        at = now()
        self.add_targets(self._cluster_state.engine_hosts())
        needs_by_id = probe_needs(self._cluster_state.view)
        for upstream_id, state in list(self._states_by_id.items()):
            state.need = needs_by_id.get(upstream_id, ProbeNeed.CHANGE)
            if at - state.targeted_at > TARGET_EXPIRY_SECONDS:
                del self._states_by_id[upstream_id]

    def add_targets(self, members: Iterable[Upstream]) -> None:
        """Probe these upstreams until ``TARGET_EXPIRY_SECONDS`` after the last such call.

        They need not be registered. A new lifetime of an upstream starts without results.
        """
        for member in members:
            state = self._states_by_id.get(member.upstream_id)
            if state is None or state.upstream.born_ms != member.born_ms:
                state = _ProbeState(member)
                self._states_by_id[member.upstream_id] = state
            state.targeted_at = now()

    def _start_task(self, probe: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(probe)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe_with_retry(self, state: _ProbeState) -> None:
        """Probe an upstream, a second time if it has missed a probe, and call the callback."""
        await self._probe_in_turn(state)
        if state.misses:
            await self._probe_in_turn(state)
        self._on_recheck()

    async def _probe_in_turn(self, state: _ProbeState) -> None:
        """Probe an upstream once fewer than ``MAX_PROBES_AT_ONCE`` others are probed."""
        state.is_pending = True
        try:
            async with self._turns:
                await self._probe(state)
        finally:
            state.is_pending = False

    async def _probe(self, state: _ProbeState) -> None:
        state.probed_at = began = now()
        state.spread = random.uniform(MIN_SPREAD, 1.0)
        report = await self._control.fetch_report(state.upstream, PROBE_TIMEOUT_SECONDS)
        upstream_id = state.upstream.upstream_id
        if report is None:
            if has_stalled(began, PROBE_TIMEOUT_SECONDS):
                return
            state.misses += 1
            state.missed_at = began
            if state.misses == UNREACHABLE_AFTER_MISSES:
                self._log.state_change("upstream-unreachable", upstream=upstream_id)
            return
        if state.is_missing:
            self._log.state_change("upstream-reachable", upstream=upstream_id)
        if state.misses and self._needs_sweep():
            self._shared_silence_at = now()
        state.misses = 0
        state.answered_at = now()
        state.report = report
        self._on_report(state.upstream, report, began)
