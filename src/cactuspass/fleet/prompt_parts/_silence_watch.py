"""Watches upstreams that fell silent under a request, until they turn out to have ended or not.

An upstream that is only slow, or that an instance cannot reach, goes on as the same run. One that
has ended is back in the registry as a new run some seconds later.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactuspass._clock import now
from cactuspass.fleet._upstreams import Lifetime
from cactuspass.fleet.prompt_parts._parts import BrokenAttempt, PromptIdentity
from cactuspass.fleet.prompt_parts._reporter import CallLater
from cactuspass.models import RequestId

if TYPE_CHECKING:
    from cactuspass.fleet._cluster_state import ClusterState

POLL_SECONDS = 0.25
WATCH_SECONDS = 12.0
MAX_WATCHED = 256


@dataclass(frozen=True, slots=True)
class SilentAttempt:
    """An attempt whose upstream has sent nothing for longer than can be accounted for.

    :param silent_since: clock value at which it was last heard.
    """

    request_id: RequestId
    prompt: PromptIdentity
    attempt: BrokenAttempt
    silent_since: float


class SilenceWatch:
    """The attempts whose upstreams may have ended; when there are too many, no more are added.

    :param on_ended: called with each attempt whose upstream has ended.
    """

    def __init__(
        self,
        cluster_state: "ClusterState",
        call_later: CallLater,
        on_ended: Callable[[SilentAttempt], None],
    ) -> None:
        self._cluster_state = cluster_state
        self._call_later = call_later
        self._on_ended = on_ended
        self._watched: list[SilentAttempt] = []

    def watch(self, silent: SilentAttempt) -> None:
        """Watch the upstream of an attempt."""
        if len(self._watched) >= MAX_WATCHED:
            return
        if not self._watched:
            self._call_later(POLL_SECONDS, self._poll)
        self._watched.append(silent)

    def _poll(self) -> None:
        since = now() - WATCH_SECONDS
        watched, self._watched = self._watched, []
        for each in watched:
            if self._has_restarted(each.attempt.lifetime):
                self._on_ended(each)
            elif each.silent_since > since:
                self._watched.append(each)
        if self._watched:
            self._call_later(POLL_SECONDS, self._poll)

    def _has_restarted(self, lifetime: Lifetime) -> bool:
        """Return whether the registry has a later run of an upstream."""
        listed = self._cluster_state.registered_by_id.get(lifetime.upstream_id)
        return listed is not None and listed.lifetime.born_ms > lifetime.born_ms
