"""What the attempts of one request at several upstreams have in common."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from typing import TypeVar

from cactuspass._clock import now
from cactuspass.exceptions import RequestError, SendWithdrawn
from cactuspass.fleet._backoff import TrialRequest
from cactuspass.fleet._budgets import RetryBudget
from cactuspass.fleet._catalog import Customer, Route
from cactuspass.fleet._connections import AnswerHead
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._inbound import AnswerNotes, InboundRequest, RequestFormat, SendDetails
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._pool import ConnectionPool, PooledExchange
from cactuspass.fleet._selection import NoUpstream, Selection, SelectionRequest, Selector
from cactuspass.fleet._upstream_notices import UpstreamNotices
from cactuspass.fleet._upstreams import Upstream, UpstreamId
from cactuspass.models import ServiceId

MAX_SENDS = 4
MAX_SENDS_OF_BEGUN = 8
REJECTION_PAUSE_SECONDS = 0.15
SHARE_KEPT_FOR_BEGUN = 0.4
SHARE_KEPT_FROM_HEDGES = 0.25
MIN_SECONDS_LEFT = 0.1
FRESH_CONNECTION_SECONDS = 1.5
LATE_WAKE_SECONDS = 0.1
WAIT_SHARE = 0.5

T = TypeVar("T")


class Failure(Enum):
    """Why an attempt gave no answer that the caller can have."""

    NOT_REACHED = "not-reached"
    WITHDRAWN = "withdrawn"
    NOT_RUN = "not-run"
    CONNECTION_BROKEN = "connection-broken"
    STALLED = "stalled"
    NOT_FROM_APPLICATION = "not-genuine"
    SERVER_ERROR = "server-error"

    @property
    def certainly_not_run(self) -> bool:
        """Whether the upstream has surely not run the request."""
        return self in (Failure.NOT_REACHED, Failure.WITHDRAWN, Failure.NOT_RUN)

    @property
    def never_sent(self) -> bool:
        """Whether no byte has left, so that another attempt is no repeat."""
        return self in (Failure.NOT_REACHED, Failure.WITHDRAWN)


class AttemptFailed(RequestError):
    """An attempt ended without the answer, or without the rest of it.

    :param head: answer of the upstream that the caller may get when nothing better comes.
    """

    def __init__(self, failure: Failure, head: AnswerHead | None = None, body: bytes = b"") -> None:
        super().__init__(failure.value)
        self.failure = failure
        self.head = head
        self.body = body


class NoUpstreamAvailable(RequestError):
    """No upstream can take the request now.

    :param no_upstream: why, and when to come back.
    """

    def __init__(self, no_upstream: NoUpstream) -> None:
        super().__init__(no_upstream.reason.value)
        self.no_upstream = no_upstream


class DeadlinePassed(RequestError):
    """The time that the caller waits, or the route allows, has passed."""


@dataclass(slots=True)
class RequestDependencies:
    """What serving a request needs of the instance."""

    request_format: RequestFormat
    selector: Selector
    loads: LoadTable
    pool: ConnectionPool
    log: DecisionLog
    metrics: Metrics
    retry_budget: Callable[[ServiceId], RetryBudget]
    instance_count: Callable[[], int]
    report_unresponsive: Callable[[UpstreamId], None]
    notices: UpstreamNotices


@dataclass(slots=True)
class ActiveAttempt:
    """One attempt under way at one upstream."""

    upstream: Upstream
    exchange: PooledExchange
    sent_at: float
    trial: TrialRequest | None = None
    closed: bool = False

    def end_trial(self, is_answered: bool = False) -> None:
        """Note what became of a request that went to an upstream after its quiet."""
        if self.trial is None:
            return
        if is_answered:
            self.trial.succeed()
        else:
            self.trial.end()


@dataclass(slots=True)
class Attempts:
    """The attempts of one request, and what each of them rules out.

    :param deadline: clock value after which no answer is wanted.
    :param excluded: upstreams that are not asked again.
    :param rejected_at: when upstreams said that they have not run the request; they are asked again
        only after a pause.
    :param ran_at: upstreams that may have run the request and still live; at most as many as the
        route allows.
    :param possible_runs: upstreams that may have run the request, whether they live or not.
    """

    dependencies: RequestDependencies
    request: InboundRequest
    route: Route
    service: ServiceId
    customer: Customer | None
    deadline: float
    excluded: set[UpstreamId] = field(default_factory=set)
    rejected_at: dict[UpstreamId, float] = field(default_factory=dict)
    ran_at: set[UpstreamId] = field(default_factory=set)
    sends: int = 0
    possible_runs: int = 0
    last_failure: Failure | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request, so that no refusal is true any more."""
        return self.possible_runs > 0

    @property
    def seconds_left(self) -> float:
        """Seconds until nobody waits any more."""
        return self.deadline - now()

    @property
    def priority(self) -> int:
        """Urgency, where 0 comes first; the customer's goes before the route's."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def max_wait(self) -> float:
        """Longest estimated wait in seconds at an upstream that is still accepted."""
        return self.route.objective * WAIT_SHARE

    def choose(self, other_than: UpstreamId | None = None) -> Selection | NoUpstream:
        """Return the upstream for the next attempt.

        :param other_than: an upstream that is left out besides those that have failed.
        """
        at = now()
        full = {i for i, when in self.rejected_at.items() if at - when < REJECTION_PAUSE_SECONDS}
        excluded = self.excluded if other_than is None else self.excluded | {other_than}
        only = self.ran_at if len(self.ran_at) >= self.route.max_upstreams else None
        wanted = SelectionRequest(
            self.service, self.request.model, excluded, self.max_wait, only, full
        )
        return self.dependencies.selector.choose(wanted, at)

    async def send(self, chosen: Selection, last_event_id: str | None = None) -> ActiveAttempt:
        """Send the request to an upstream.

        :raises SendWithdrawn: when the upstream takes no request any more; no byte has left.
        :raises UpstreamNotReached: when no byte has left.
        """
        upstream = chosen.upstream
        at = now()
        details = SendDetails(
            upstream,
            self.seconds_left,
            self.priority,
            self.customer.customer if self.customer is not None else None,
            last_event_id or self.request.last_event_id,
        )
        outgoing = self.dependencies.request_format.write_request(self.request, details)
        max_idle = None if self.route.repeatable else FRESH_CONNECTION_SECONDS
        self.sends += 1
        if self.dependencies.selector.backoff.delay(upstream.lifetime, at):
            raise SendWithdrawn(f"{upstream.upstream_id} wants no more requests now")
        self.dependencies.loads.record_send(upstream.upstream_id, at)
        self.dependencies.selector.count_sent(upstream, at)
        trial = self.dependencies.selector.backoff.begin_trial(upstream.lifetime)
        try:
            exchange = await self.dependencies.pool.send_request(
                upstream.address,
                outgoing,
                max_idle,
                lambda: self.dependencies.selector.accepts_requests(upstream, now()),
            )
        except BaseException:
            if trial is not None:
                trial.end()
            self.dependencies.loads.record_end(upstream.upstream_id)
            raise
        self.possible_runs += 1
        self.ran_at.add(upstream.upstream_id)
        return ActiveAttempt(upstream, exchange, now(), trial)

    def close(self, sent: ActiveAttempt) -> None:
        """End an attempt, whatever became of it; once is enough."""
        if sent.closed:
            return
        sent.closed = True
        sent.exchange.abort()
        sent.end_trial()
        self.dependencies.loads.record_end(sent.upstream.upstream_id)

    def read_notes(self, sent: ActiveAttempt, head: AnswerHead) -> AnswerNotes:
        """Return what an answer says, and learn from it how the upstream is.

        To be called as soon as the head is there, since the upstream may want no other request.
        """
        notes = self.dependencies.request_format.read_answer(head)
        self.dependencies.notices.apply(sent.upstream, notes, self.request.request_id)
        turned_away = notes.not_run or head.status == HTTPStatus.SERVICE_UNAVAILABLE
        sent.end_trial(is_answered=not turned_away)
        if notes.load is not None:
            self.dependencies.loads.record_report(sent.upstream.upstream_id, notes.load, now())
        return notes

    def note_failure(self, failure: Failure, upstream: Upstream, was_sent: bool) -> None:
        """Draw the conclusions of a failed attempt."""
        self.last_failure = failure
        upstream_id = upstream.upstream_id
        if failure is Failure.NOT_RUN:
            self.rejected_at[upstream_id] = now()
        elif failure is not Failure.WITHDRAWN:
            self.excluded.add(upstream_id)
        if was_sent and failure in (Failure.NOT_RUN, Failure.CONNECTION_BROKEN):
            self.ran_at.discard(upstream_id)
        if was_sent and failure is Failure.NOT_RUN:
            self.possible_runs -= 1
        pause = None
        if failure in (Failure.SERVER_ERROR, Failure.NOT_FROM_APPLICATION):
            self.dependencies.loads.record_failure(upstream_id)
        elif failure not in (Failure.NOT_RUN, Failure.WITHDRAWN):
            pause = self.dependencies.loads.mark_suspect(upstream_id, now())
            self.dependencies.report_unresponsive(upstream_id)
        self.dependencies.log.request(
            "attempt-failed",
            self.request.request_id,
            upstream=upstream_id,
            failure=failure.value,
            avoided_for=pause,
            sends=self.sends,
            seconds_left=self.seconds_left,
        )

    def may_retry(self, failure: Failure, begun: bool = False) -> bool:
        """Return whether the request may be sent once more, and spend the budget for it.

        :param begun: whether the caller has a part of the answer, which ends cut otherwise.
        """
        most = MAX_SENDS_OF_BEGUN if begun else MAX_SENDS
        if self.sends >= most or self.seconds_left < MIN_SECONDS_LEFT:
            return False
        runs_used_up = self._runs_used_up()
        if not failure.certainly_not_run and (runs_used_up or not self.route.repeatable):
            return False
        if failure.never_sent:
            return True
        retry_budget = self.dependencies.retry_budget(self.service)
        kept_share = 0.0 if begun else SHARE_KEPT_FOR_BEGUN
        if not retry_budget.try_spend(now(), self.dependencies.instance_count(), kept_share):
            self.dependencies.log.request("no-repeat-left", self.request.request_id)
            return False
        self.dependencies.metrics.retries.labels(failure.value).inc()
        return True

    def note_unresponsive(self, upstream: Upstream) -> None:
        """Keep new work away from an upstream that is silent, though this attempt goes on."""
        pause = self.dependencies.loads.mark_suspect(upstream.upstream_id, now())
        self.dependencies.report_unresponsive(upstream.upstream_id)
        self.dependencies.log.request(
            "upstream-silent",
            self.request.request_id,
            upstream=upstream.upstream_id,
            avoided_for=pause,
            seconds_left=self.seconds_left,
        )

    def could_retry_elsewhere(self, current: Upstream) -> bool:
        """Return whether an attempt that stalls could be made at another upstream."""
        if not self.route.repeatable or self._runs_used_up(current.upstream_id):
            return False
        if self.sends >= MAX_SENDS or self.seconds_left < MIN_SECONDS_LEFT:
            return False
        return isinstance(self.choose(other_than=current.upstream_id), Selection)

    def choose_hedge(self, current: Upstream) -> Selection | None:
        """Return where to send the request beside an attempt that is late, and spend the budget.

        :return: None when it may not be sent, or nothing could take it.
        """
        if not self.could_retry_elsewhere(current):
            return None
        found = self.choose(other_than=current.upstream_id)
        retry_budget = self.dependencies.retry_budget(self.service)
        if not isinstance(found, Selection):
            return None
        if not retry_budget.try_spend(
            now(), self.dependencies.instance_count(), SHARE_KEPT_FROM_HEDGES
        ):
            return None
        return found

    def _runs_used_up(self, current: UpstreamId | None = None) -> bool:
        """Return whether no upstream but the current one may run the request any more."""
        if len(self.ran_at) < self.route.max_upstreams:
            return False
        return not self.ran_at - self.excluded - {current}


async def within(seconds: float, call: Callable[[], Awaitable[T]]) -> T:
    """Return the result of a call that must come in time.

    When this process itself woke late, the call gets the time once more: its result may already
    have arrived while the process stood still.

    :raises TimeoutError: when it does not.
    """
    for _ in range(2):
        began = now()
        try:
            async with asyncio.timeout(max(0.0, seconds)):
                return await call()
        except TimeoutError:
            if now() - began < seconds + LATE_WAKE_SECONDS:
                raise
    raise TimeoutError
