"""Asks the hosts of groups for reports, to notice soon which are gone and what they do."""

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

PROBE_SECONDS = 0.45
PROBE_TIMEOUT_SECONDS = 0.2
MISSES_TO_DOUBT = 2
VALID_SECONDS = 1.5
MAX_UNREACHABLE_SHARE = 0.5
FORGET_SECONDS = 8.0


@dataclass(slots=True)
class _Probed:
    """What is known of one upstream.

    :param misses: reports in a row that did not come.
    """

    upstream: Upstream
    misses: int = 0
    answered_at: float = float("-inf")
    report: UpstreamReport | None = None
    wanted_at: float = 0.0


class Probes(RepeatingComponent):
    """Asks each upstream that is or could be in a group, while this instance leads."""

    def __init__(
        self, cluster_state: ClusterState, control: UpstreamControl, log: DecisionLog
    ) -> None:
        super().__init__(log)
        self._cluster_state = cluster_state
        self._control = control
        self._enabled = False
        self._probed_by_id: dict[UpstreamId, _Probed] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._doubted: Callable[[], None] = lambda: None

    def on_doubt(self, doubted: Callable[[], None]) -> None:
        """Set what is called when extra questions have been answered or not."""
        self._doubted = doubted

    def reset(self, enabled: bool) -> None:
        """Forget everything.

        :param enabled: whether to ask from now on.
        """
        self._enabled = enabled
        self._probed_by_id.clear()

    def unreachable(self) -> frozenset[UpstreamId]:
        """Return the upstreams that do not answer, unless it is this instance that is cut off."""
        doubted = frozenset(
            upstream_id
            for upstream_id, probed in self._probed_by_id.items()
            if probed.misses >= MISSES_TO_DOUBT
        )
        cut_off = len(doubted) > MAX_UNREACHABLE_SHARE * len(self._probed_by_id)
        return frozenset() if cut_off else doubted

    def reachable(self) -> frozenset[UpstreamId]:
        """Return the upstreams that have answered just now."""
        at = now()
        return frozenset(
            upstream_id
            for upstream_id, probed in self._probed_by_id.items()
            if at - probed.answered_at < VALID_SECONDS and probed.misses == 0
        )

    def reports(self) -> dict[UpstreamId, UpstreamReport]:
        """Return the last reports, of the upstreams that still answer."""
        at = now()
        return {
            upstream_id: probed.report
            for upstream_id, probed in self._probed_by_id.items()
            if probed.report is not None and at - probed.answered_at < VALID_SECONDS
        }

    def ask_soon(self, head_id: UpstreamId) -> None:
        """Ask the members of a head's group now, since the head is said to be silent."""
        if not self._enabled:
            return
        for group in self._cluster_state.view.groups_by_key.values():
            if group.serves and group.head is not None and group.head.upstream_id == head_id:
                self.want(group.members)
                for member in group.members:
                    self._start(self._ask_twice(self._probed_by_id[member.upstream_id]))

    async def step(self) -> None:
        """Ask all that should be asked once."""
        await asyncio.sleep(PROBE_SECONDS)
        if not self._enabled:
            return
        self._choose()
        for probed in list(self._probed_by_id.values()):
            self._start(self._ask(probed))

    def _choose(self) -> None:
        """Ask the hosts of engine services, and for a while those that are not registered."""
        at = now()
        self.want(self._cluster_state.engine_hosts())
        for upstream_id, probed in list(self._probed_by_id.items()):
            if at - probed.wanted_at > FORGET_SECONDS:
                del self._probed_by_id[upstream_id]

    def want(self, members: Iterable[Upstream]) -> None:
        """Ask these upstreams from now on, for a while also when they are not registered."""
        for member in members:
            probed = self._probed_by_id.get(member.upstream_id)
            if probed is None or probed.upstream.born_ms != member.born_ms:
                probed = _Probed(member)
                self._probed_by_id[member.upstream_id] = probed
            probed.wanted_at = now()

    def _start(self, asking: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(asking)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask_twice(self, probed: _Probed) -> None:
        await self._ask(probed)
        if probed.misses:
            await self._ask(probed)
        self._doubted()

    async def _ask(self, probed: _Probed) -> None:
        report = await self._control.fetch_report(probed.upstream, PROBE_TIMEOUT_SECONDS)
        upstream_id = probed.upstream.upstream_id
        if report is None:
            probed.misses += 1
            if probed.misses == MISSES_TO_DOUBT:
                self._log.state_change("upstream-unreachable", upstream=upstream_id)
            return
        if probed.misses >= MISSES_TO_DOUBT:
            self._log.state_change("upstream-reachable", upstream=upstream_id)
        probed.misses = 0
        probed.answered_at = now()
        probed.report = report
