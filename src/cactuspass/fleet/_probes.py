"""Periodic probes of the hosts of engine services for reachability and load reports."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from typing import Any

from cactuspass._clock import now
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._orders import UpstreamControl, UpstreamReport
from cactuspass.fleet._repeating import RepeatingComponent
from cactuspass.fleet._upstreams import Upstream, UpstreamId

PROBE_INTERVAL_SECONDS = 0.45
PROBE_TIMEOUT_SECONDS = 0.2
UNREACHABLE_AFTER_MISSES = 2  # consecutive probes without a report
REPORT_VALID_SECONDS = 1.5
MAX_UNREACHABLE_SHARE = 0.5  # of the targets; if more do not respond, this instance may be cut off
TARGET_EXPIRY_SECONDS = 8.0  # time for which an upstream stays a target without being named again


@dataclass(slots=True)
class _ProbeState:
    """Probe results of one upstream.

    :param misses: consecutive probes without a report.
    :param answered_at: clock value of the last report.
    :param targeted_at: clock value at which the upstream was last named as a target.
    """

    upstream: Upstream
    misses: int = 0
    answered_at: float = float("-inf")
    report: UpstreamReport | None = None
    targeted_at: float = 0.0


class Probes(RepeatingComponent):
    """Probes each upstream that is or could be a group member, while this instance leads."""

    def __init__(
        self, cluster_state: ClusterState, control: UpstreamControl, log: DecisionLog
    ) -> None:
        super().__init__(log)
        self._cluster_state = cluster_state
        self._control = control
        self._enabled = False
        self._states_by_id: dict[UpstreamId, _ProbeState] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._on_recheck: Callable[[], None] = lambda: None

    def set_recheck_callback(self, callback: Callable[[], None]) -> None:
        """Set the function to call after each recheck that ``probe_group_now`` has started."""
        self._on_recheck = callback

    def reset(self, enabled: bool) -> None:
        """Discard all targets and results.

        :param enabled: whether to probe from now on.
        """
        self._enabled = enabled
        self._states_by_id.clear()

    def unreachable_ids(self) -> frozenset[UpstreamId]:
        """Return the upstreams that do not respond to probes.

        The result is empty when more than ``MAX_UNREACHABLE_SHARE`` of the targets do not respond,
        since this instance is then more likely to be cut off than the upstreams.
        """
        unreachable = frozenset(
            upstream_id
            for upstream_id, state in self._states_by_id.items()
            if state.misses >= UNREACHABLE_AFTER_MISSES
        )
        is_cut_off = len(unreachable) > MAX_UNREACHABLE_SHARE * len(self._states_by_id)
        return frozenset() if is_cut_off else unreachable

    def reachable_ids(self) -> frozenset[UpstreamId]:
        """Return the upstreams whose last probe succeeded and whose report is still valid."""
        at = now()
        return frozenset(
            upstream_id
            for upstream_id, state in self._states_by_id.items()
            if at - state.answered_at < REPORT_VALID_SECONDS and state.misses == 0
        )

    def reports_by_id(self) -> dict[UpstreamId, UpstreamReport]:
        """Return the last reports that are still valid."""
        at = now()
        return {
            upstream_id: state.report
            for upstream_id, state in self._states_by_id.items()
            if state.report is not None and at - state.answered_at < REPORT_VALID_SECONDS
        }

    def probe_group_now(self, head_id: UpstreamId) -> None:
        """Probe all members of a serving group at once instead of at the next interval.

        :param head_id: head of the group, which was reported as unresponsive.
        """
        if not self._enabled:
            return
        for group in self._cluster_state.view.groups_by_key.values():
            if group.serves and group.head is not None and group.head.upstream_id == head_id:
                self.add_targets(group.members)
                for member in group.members:
                    self._start_task(self._probe_with_retry(self._states_by_id[member.upstream_id]))

    async def step(self) -> None:
        """Wait for the probe interval, then probe all targets once."""
        await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        if not self._enabled:
            return
        self._update_targets()
        for state in list(self._states_by_id.values()):
            self._start_task(self._probe(state))

    def _update_targets(self) -> None:
        """Add the hosts of engine services and remove the targets that have expired."""
        at = now()
        self.add_targets(self._cluster_state.engine_hosts())
        for upstream_id, state in list(self._states_by_id.items()):
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
        await self._probe(state)
        if state.misses:
            await self._probe(state)
        self._on_recheck()

    async def _probe(self, state: _ProbeState) -> None:
        report = await self._control.fetch_report(state.upstream, PROBE_TIMEOUT_SECONDS)
        upstream_id = state.upstream.upstream_id
        if report is None:
            state.misses += 1
            if state.misses == UNREACHABLE_AFTER_MISSES:
                self._log.state_change("upstream-unreachable", upstream=upstream_id)
            return
        if state.misses >= UNREACHABLE_AFTER_MISSES:
            self._log.state_change("upstream-reachable", upstream=upstream_id)
        state.misses = 0
        state.answered_at = now()
        state.report = report
