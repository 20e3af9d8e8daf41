"""Collects the counts of all instances for the holder of the duties, and answers the holder."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import replace

from cactuspass._clock import now
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._peers import Peer
from cactuspass.fleet._repeating import RepeatingComponent
from cactuspass.fleet.duties._holder import DutyHolder
from cactuspass.fleet.duties._true_time import TrueTime
from cactuspass.fleet.duties._usage_counts import UsageCounts
from cactuspass.fleet.duties._usage_messages import (
    UsageAnswer,
    UsageDatagram,
    UsageQuery,
    split_counts,
)
from cactuspass.fleet.duties._usage_tally import AnswerProgress, Source, UsageTally
from cactuspass.fleet.duties._windows import Windows
from cactuspass.models import CustomerId, EntryId

POLL_SECONDS = 0.5
MAX_OPEN_QUERIES = 8
# The wall-clock time in a later answer is too inexact.
MAX_ROUND_TRIP_SECONDS = 0.4
# An instance that stops deregisters before its last requests end, so it is asked for some time.
LEAVING_SECONDS = 20.0
GONE_SECONDS = 3.0  # without an answer after it has deregistered
# With more instances, the counts that are lost with one are too few to matter. With fewer, all
# instances get all answers, so that the next holder has the counts of one that was killed.
MAX_INSTANCES_THAT_SHARE = 24

# Queries of a term to which instances add what they know of runs that have ended: by then, all that
# run have answered the new holder.
RELAYING_QUERIES = (3, 4)

Send = Callable[[str, UsageDatagram], None]


class UsageCollector(RepeatingComponent):
    """Asks all instances for their counts while this instance leads, and answers whoever leads.

    :param instance: id of this instance.
    :param send: sends a message to the instance at an address.
    :param first_window: returns the first window whose content is not fixed yet.
    """

    def __init__(
        self,
        instance: EntryId,
        cluster_state: ClusterState,
        holder: DutyHolder,
        counts: UsageCounts,
        windows: Windows,
        true_time: TrueTime,
        send: Send,
        first_window: Callable[[], int],
        log: DecisionLog,
    ) -> None:
        super().__init__(log)
        self._instance = instance
        self._cluster_state = cluster_state
        self._holder = holder
        self._counts = counts
        self._windows = windows
        self._true_time = true_time
        self._send = send
        self._first_window = first_window
        self._tally = UsageTally(windows)
        self._progress: AnswerProgress | None = None
        self._queried_at_by_number: dict[int, float] = {}
        self._offsets_by_instance: dict[EntryId, float] = {}
        self._highest_fence = -1
        self._last_query: UsageQuery | None = None
        self._seen_at_by_peer: dict[Peer, float] = {}
        self._hosts: set[str] = set()

    async def step(self) -> None:
        """Ask all instances once if this instance leads, then pause."""
        self._note_peers()
        fence = self._holder.term_fence
        if fence is not None:
            self._poll(fence)
        elif self._progress is not None:
            self._progress = None
            self._offsets_by_instance.clear()
        await asyncio.sleep(POLL_SECONDS)

    async def stop(self) -> None:
        """Stop the loop, and send the last holder the final counts."""
        await super().stop()
        if self._last_query is not None:
            self._answer(self._last_query)

    def receive(self, message: UsageDatagram, host: str) -> None:
        """Process a message, unless it comes from a host that is no instance's.

        :param host: IP address of the sender.
        """
        if host not in self._hosts:
            self._note_peers()
        if host not in self._hosts:
            self._log.state_change("hint-from-stranger", peer=host, message=message.kind)
        elif isinstance(message, UsageQuery):
            self._accept_query(message)
        else:
            self._accept_answer(message)

    def total(self, window: int) -> dict[CustomerId, int]:
        """Return the counts of all instances in a window, by customer."""
        return self._tally.total(window)

    @property
    def asked_at(self) -> float:
        """Time of the last query that this instance has answered, in Unix seconds."""
        return self._last_query.true_time if self._last_query is not None else float("-inf")

    def own_answer(self) -> UsageAnswer:
        """Return all counts of this instance, as they are now, in one message of any size."""
        at = self._true_time.at()
        counts = self._counts.since(self._windows.first_kept(at))
        source = (self._instance, self._counts.lifetime)
        return UsageAnswer(*source, 0, 0, 0, 1, max(0.0, at), tuple(counts.items()))

    def add_stored(self, answer: UsageAnswer) -> None:
        """Add counts that an instance has written to the store, at the time that they state."""
        at = self._true_time.at()
        self._tally.add(answer, at)
        if self._progress is not None:
            self._progress.note_complete(answer.instance, min(at, answer.wall_time))

    @property
    def rounds(self) -> int:
        """Number of times that all instances were asked in the current term."""
        return self._progress.rounds if self._progress is not None else 0

    def lacking(self, since: float) -> list[EntryId]:
        """Return the registered instances that have not answered a query sent after a time.

        :param since: Unix seconds.
        """
        registered = {peer.instance for peer in self._cluster_state.peers} | {self._instance}
        if self._progress is None:
            return sorted(registered)
        return sorted(self._progress.lacking(registered, since))

    def _poll(self, fence: int) -> None:
        if self._progress is None or self._progress.fence != fence:
            self._progress = AnswerProgress(fence)
            self._queried_at_by_number.clear()
            self._offsets_by_instance.clear()
        peers = self._recent_peers()
        asked = {peer.instance for peer in peers} | {self._instance}
        for instance in self._offsets_by_instance.keys() - asked:
            del self._offsets_by_instance[instance]
        self._true_time.choose(self._offsets_by_instance.values())
        true_time = self._true_time.at()
        asked_peers = [peer for peer in peers if self._is_asked(peer, true_time)]
        number = self._progress.begin_round(true_time, MAX_OPEN_QUERIES)
        self._queried_at_by_number[number] = now()
        self._queried_at_by_number.pop(number - MAX_OPEN_QUERIES, None)
        query = UsageQuery(fence, number, self._instance, true_time, max(0, self._first_window()))
        for peer in asked_peers:
            if peer.address is not None and peer.instance != self._instance:
                self._send(peer.address, query)
        self._highest_fence = max(self._highest_fence, fence)
        self._answer(query)

    def _is_asked(self, peer: Peer, true_time: float) -> bool:
        """Return whether an instance is registered, or has deregistered but still answers."""
        assert self._progress is not None
        since = true_time - GONE_SECONDS
        return (
            peer in self._cluster_state.peers
            or self._progress.rounds * POLL_SECONDS < GONE_SECONDS
            or not self._progress.lacking([peer.instance], since)
        )

    def _accept_query(self, query: UsageQuery) -> None:
        if query.fence < self._highest_fence:
            return
        self._highest_fence = query.fence
        self._true_time.adopt(query.true_time)
        self._last_query = query
        self._answer(query)
        if query.number in RELAYING_QUERIES:
            self._relay(query)

    def _answer(self, query: UsageQuery) -> None:
        """Send the holder the counts of this instance; in a small fleet, also all others."""
        source = (self._instance, self._counts.lifetime)
        answers = self._answers(query, source, self._counts.since(query.first_window))
        peers = self._recent_peers()
        is_shared = len(peers) <= MAX_INSTANCES_THAT_SHARE
        for answer in answers:
            self._accept_answer(answer)
            for peer in peers:
                is_receiver = is_shared or peer.instance == query.holder
                if peer.address is not None and peer.instance != self._instance and is_receiver:
                    self._send(peer.address, answer)

    def _relay(self, query: UsageQuery) -> None:
        """Send a new holder the counts of runs that have ended, which it may not have received."""
        address = next(
            (p.address for p in self._recent_peers() if p.instance == query.holder), None
        )
        if address is None:
            return
        for source in self._tally.ended_runs(query.fence):
            known = replace(query, fence=0, number=0)
            counts = self._tally.counts_of(source, query.first_window)
            for answer in self._answers(known, source, counts) if counts else ():
                self._send(address, answer)

    def _answers(
        self, query: UsageQuery, source: Source, counts: Mapping[int, Mapping[CustomerId, int]]
    ) -> list[UsageAnswer]:
        """Return the messages that state the counts of a run."""
        parts = split_counts(counts)
        wall_time = max(0.0, self._true_time.own_wall_time())
        return [
            UsageAnswer(*source, query.fence, query.number, number, len(parts), wall_time, part)
            for number, part in enumerate(parts)
        ]

    def _accept_answer(self, answer: UsageAnswer) -> None:
        self._tally.add(answer, self._true_time.at())
        progress = self._progress
        if progress is None or progress.fence != answer.fence:
            return
        progress.note(answer)
        received_at = now()
        queried_at = self._queried_at_by_number.get(answer.number, float("-inf"))
        if received_at - queried_at <= MAX_ROUND_TRIP_SECONDS:
            self._offsets_by_instance[answer.instance] = (
                answer.wall_time - (queried_at + received_at) / 2
            )

    def _note_peers(self) -> None:
        """Keep which instances are registered, or were a short time ago."""
        at = now()
        for peer in self._cluster_state.peers:
            self._seen_at_by_peer[peer] = at
        for peer, seen_at in list(self._seen_at_by_peer.items()):
            if at - seen_at > LEAVING_SECONDS:
                del self._seen_at_by_peer[peer]
        self._hosts = {str(peer.address).rpartition(":")[0] for peer in self._seen_at_by_peer}

    def _recent_peers(self) -> list[Peer]:
        return list(dict.fromkeys([*self._cluster_state.peers, *self._seen_at_by_peer]))
