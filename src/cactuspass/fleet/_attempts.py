"""Sends one request to upstreams, and records its attempts to decide on retries and hedges."""

from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus

from cactuspass._clock import now
from cactuspass.exceptions import SendWithdrawn, UpstreamNotReached
from cactuspass.fleet._active_attempt import ActiveAttempt
from cactuspass.fleet._answer_head import AnswerHead
from cactuspass.fleet._answer_progress import AnswerProgress, RetryObstacle
from cactuspass.fleet._catalog import Customer, Route, RouteKind
from cactuspass.fleet._choices import ChoiceStage, NoUpstream, Selection, SelectionRequest
from cactuspass.fleet._failures import (
    FAILURES_OF_APPLICATION,
    REFUSAL_STATUSES,
    AttemptFailed,
    Failure,
)
from cactuspass.fleet._inbound import AnswerNotes, InboundRequest, SendDetails
from cactuspass.fleet._request_dependencies import RequestDependencies
from cactuspass.fleet._send_permit import SendPermit
from cactuspass.fleet._upstreams import Upstream, UpstreamId
from cactuspass.fleet.load_exchange import ModelKey
from cactuspass.fleet.prompt_parts import ANONYMOUS, GuardedRequest
from cactuspass.models import CustomerId, ModelId, ServiceId

MAX_SENDS = 4
MAX_SENDS_AFTER_RESPONSE_START = 8
REJECTION_PAUSE_SECONDS = 0.15
BUDGET_SHARE_RESERVED_FOR_RESUMPTION = 0.4
BUDGET_SHARE_RESERVED_FROM_HEDGES = 0.25
# Where the load of all upstreams is known; the rest is for rejections and broken connections.
BUDGET_SHARE_RESERVED_FROM_FIRST_EVENT_HEDGES = 0.7
MIN_SECONDS_LEFT = 0.1
MAX_VERDICT_WAIT_SHARE_OF_DEADLINE = 0.5
# A connection that the upstream closes while idle loses a request that cannot be repeated.
NON_REPEATABLE_MAX_IDLE_SECONDS = 1.5
MAX_WAIT_SHARE_OF_OBJECTIVE = 0.5


@dataclass(slots=True)
class Attempts:
    """The attempts of one request, and the limits that they set for further ones.

    :param deadline: clock value at which the request times out.
    :param excluded: upstreams that must not be tried again.
    :param rejected_at_by_id: clock values at which upstreams stated that they have not run the
        request; they are tried again only after a pause.
    :param used_upstreams: upstreams that may have run the request, except those that broke the
        connection; the route limits their number.
    :param has_begun: whether a part of a successful answer has arrived in any attempt.
    :param possible_run_count: attempts in which the request may have run, including those with a
        broken connection.
    :param is_decided: whether an upstream was chosen, or the request refused, before.
    """

    dependencies: RequestDependencies
    request: InboundRequest
    route: Route
    service: ServiceId
    customer: Customer | None
    deadline: float
    guarded: GuardedRequest
    excluded: set[UpstreamId] = field(default_factory=set)
    rejected_at_by_id: dict[UpstreamId, float] = field(default_factory=dict)
    used_upstreams: set[UpstreamId] = field(default_factory=set)
    sends: int = 0
    possible_run_count: int = 0
    has_begun: bool = False
    last_failure: Failure | None = None
    progress: AnswerProgress = field(default_factory=AnswerProgress)
    is_decided: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request, which rules out a refusal as not run."""
        return self.possible_run_count > 0

    @property
    def seconds_left(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - now()

    @property
    def model_key(self) -> ModelKey:
        """The service and the model that the request is for."""
        return self.service, self.request.model or ModelId("")

    @property
    def schedule_key(self) -> tuple[ServiceId, ModelId | None]:
        """The service, and the model if it has models: what the request waits for with others."""
        return self.service, self.guarded.prompt.model or None

    @property
    def priority(self) -> int:
        """Priority, where 0 is the highest; the customer's priority overrides the route's."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def max_wait(self) -> float:
        """Longest acceptable estimated wait at an upstream, in seconds."""
        return self.route.objective * MAX_WAIT_SHARE_OF_OBJECTIVE

    def choose(
        self, other_than: UpstreamId | None = None, stage: ChoiceStage | None = None
    ) -> Selection | NoUpstream:
        """Return the upstream for the next attempt, or why there is none.

        :param other_than: an upstream to leave out in addition to the excluded ones.
        :param stage: how far the request has come; None for the usual next stage.
        """
        if stage is None:
            stage = ChoiceStage.ADMITTED if self.is_decided else ChoiceStage.NEW
        self.is_decided = True
        at = now()
        full = {
            i for i, when in self.rejected_at_by_id.items() if at - when < REJECTION_PAUSE_SECONDS
        }
        excluded = self.excluded if other_than is None else self.excluded | {other_than}
        allowed = (
            self.used_upstreams if len(self.used_upstreams) >= self.route.max_upstreams else None
        )
        selection_request = SelectionRequest(
            self.service,
            self.request.model,
            excluded,
            self.max_wait,
            allowed,
            full,
            self.priority,
            stage,
            self.progress.passed_bytes > 0 or self.request.last_event_id is not None,
            self.customer_id,
            self.route.name,
            self.request.size,
            self.route.objective,
            self.request.arrived_at + self.route.objective - at,
        )
        return self.dependencies.selector.choose(selection_request, at)

    async def choose_in_time(self) -> Selection | NoUpstream:
        """Return the upstream for the next attempt, after a short wait if only limits forbid it."""
        key = (self.service, self.request.model)
        waits = self.dependencies.limit_waits
        found = await waits.choose(key, self.priority, self.choose, self.max_wait)
        if isinstance(found, Selection) or found.room is None:
            return found
        choose = partial(self.choose, stage=ChoiceStage.WAITING)
        result, has_waited = await self.dependencies.room_waits.choose(
            key, self.priority, found, choose
        )
        if has_waited:
            outcome = "sent" if isinstance(result, Selection) else "refused"
            self.dependencies.metrics.room_waits.labels(outcome).inc()
        return result

    async def send(self, selection: Selection, last_event_id: str | None = None) -> ActiveAttempt:
        """Send the request to an upstream.

        :raises SendWithdrawn: if the upstream no longer accepts requests; no byte was sent.
        :raises UpstreamNotReached: if the connection failed; no byte was sent.
        """
        upstream = selection.upstream
        at = now()
        details = SendDetails(
            upstream,
            self.seconds_left,
            self.priority,
            self.customer.customer if self.customer is not None else None,
            last_event_id or self.request.last_event_id,
        )
        outgoing = self.dependencies.request_format.write_request(self.request, details)
        max_idle = None if self.route.repeatable else NON_REPEATABLE_MAX_IDLE_SECONDS
        self.sends += 1
        permit = SendPermit(self.dependencies.selector.limits, upstream.lifetime, self.priority)
        if self.dependencies.selector.backoff.delay(upstream.lifetime, at):
            raise SendWithdrawn(f"{upstream.upstream_id} has requested a backoff")
        if not permit.acquire(at):
            raise SendWithdrawn(f"{upstream.upstream_id} is at its limit")
        self.dependencies.loads.record_send(upstream.upstream_id, at)
        self.dependencies.silences.note_sent(upstream)
        self.dependencies.selector.count_sent(upstream, at)
        trial = self.dependencies.selector.backoff.begin_trial(upstream.lifetime)
        try:
            exchange = await self.dependencies.pool.send_request(
                upstream.address,
                outgoing,
                max_idle,
                lambda: self._may_send(upstream, permit),
            )
        except BaseException as error:
            if isinstance(error, SendWithdrawn) and self.guarded.is_held:
                # The request waits for another one; that has cost no attempt.
                self.sends -= 1
            if trial is not None:
                trial.end()
            if isinstance(error, SendWithdrawn | UpstreamNotReached):
                permit.release()
            self._record_end(upstream)
            raise
        self.possible_run_count += 1
        self.used_upstreams.add(upstream.upstream_id)
        active = ActiveAttempt(upstream, exchange, now(), trial)
        self.guarded.note_sent(partial(self._recall, active) if self.route.repeatable else None)
        return active

    def _recall(self, active: ActiveAttempt) -> None:
        """Cancel an attempt that has not begun to answer, if another one can replace it."""
        if self.sends < MAX_SENDS and self.seconds_left >= MIN_SECONDS_LEFT:
            active.recall()

    async def wait_for_verdict(self) -> None:
        """Wait for the verdict on accused parts, while there is time for an attempt afterwards."""
        max_seconds = self.seconds_left * MAX_VERDICT_WAIT_SHARE_OF_DEADLINE
        await self.guarded.wait_for_verdict(max_seconds)

    def _may_send(self, upstream: Upstream, permit: SendPermit) -> bool:
        """Return whether the request may still be sent, after a connection was obtained."""
        if self.guarded.find_block() is not None or self.guarded.is_held:
            return False
        at = now()
        return self.dependencies.selector.accepts_requests(upstream, at) and permit.acquire(at)

    def close(self, active: ActiveAttempt) -> None:
        """End an attempt, whatever its outcome; repeated calls have no effect."""
        if active.is_closed:
            return
        active.is_closed = True
        active.exchange.abort()
        active.end_trial()
        self._record_end(active.upstream)
        if active.has_begun and self.has_begun:
            self.dependencies.meter.note_ended(self.model_key, now() - active.sent_at)

    def _record_end(self, upstream: Upstream) -> None:
        """Count a request that has ended at an upstream; another one may take its place."""
        self.dependencies.loads.record_end(upstream.upstream_id)
        self.dependencies.room_waits.notify((self.service, self.request.model))

    def process_head(self, active: ActiveAttempt, head: AnswerHead) -> AnswerNotes:
        """Return what a response head states, and update the state of its upstream accordingly.

        Call this as soon as the head is received, since it may ask to send no further requests.
        """
        active.head_at = now()
        self.note_heard(active)
        notes = self.dependencies.request_format.read_answer(head)
        self.dependencies.notices.apply(
            active.upstream, notes, self.request.request_id, active.sent_at
        )
        is_rejected = notes.not_run or head.status == HTTPStatus.SERVICE_UNAVAILABLE
        active.end_trial(is_answered=not is_rejected)
        if notes.load is not None:
            self.dependencies.loads.record_report(active.upstream.upstream_id, notes.load, now())
        is_plain_failure = self.route.kind is not RouteKind.STREAM and not head.is_success
        if is_plain_failure and notes.from_application and not notes.not_run:
            # The failure of a plain service is the result of a run.
            self._report_usage()
        return notes

    def note_heard(self, active: ActiveAttempt) -> None:
        """Record that a part of an answer has arrived."""
        active.heard_at = now()
        self.dependencies.loads.note_heard(active.upstream.upstream_id, active.heard_at)

    def check_refusal(self, head: AnswerHead) -> None:
        """Check that a refusal does not let the caller take a request for not run that has run.

        :raises AttemptFailed: if the upstream has not stated that it did not run the request, which
            may run only once.
        """
        if head.status in REFUSAL_STATUSES and not self.route.repeatable:
            raise AttemptFailed(Failure.UNCONFIRMED_REFUSAL, head)

    def note_begun(self, active: ActiveAttempt, head: AnswerHead) -> None:
        """Record that a part of the answer has arrived; only a success clears the prompt."""
        if active.has_begun:
            return
        active.has_begun = True
        if head.is_success:
            at = now()
            self.guarded.note_begun(at - (active.head_at or at))
            self._count_begun(at)
            self._report_usage()
        else:
            self.guarded.note_attempt_ended()

    def note_whole(self, head: AnswerHead) -> None:
        """Record that the last attempt has returned a whole answer from its beginning."""
        if head.is_success:
            self.guarded.note_whole()

    def _report_usage(self) -> None:
        """Count an attempt that an upstream has run, for the usage report of its customer."""
        if self.customer is not None and self.dependencies.count_begun is not None:
            self.dependencies.count_begun(self.customer.customer)

    def _count_begun(self, at: float) -> None:
        """Count the request as begun, once."""
        if self.has_begun:
            return
        self.has_begun = True
        customer = self.customer.customer if self.customer is not None else None
        is_in_time = at - self.request.arrived_at <= self.route.objective
        self.dependencies.meter.note_begun(self.model_key, customer, is_in_time)

    @property
    def customer_id(self) -> CustomerId:
        """Customer whose request it is."""
        return self.customer.customer if self.customer is not None else ANONYMOUS

    def note_crash(self, active: ActiveAttempt) -> None:
        """Record once that an upstream closed the connection, unless the upstream is leaving."""
        upstream = active.upstream
        if active.is_crash_noted or self.dependencies.selector.is_leaving(upstream):
            return
        active.is_crash_noted = True
        self.dependencies.part_guard.note_own_break(upstream.upstream_id)
        self.guarded.note_crash(active.as_broken())

    def note_silence(self, active: ActiveAttempt) -> None:
        """Record once that an upstream has sent nothing for longer than can be accounted for."""
        if not active.is_silence_noted:
            active.is_silence_noted = True
            self.guarded.note_silence(active.as_broken(), active.heard_at)

    def record_failure(
        self, failure: Failure, upstream: Upstream, active: ActiveAttempt | None
    ) -> None:
        """Update the state of the request and of the upstream after a failed attempt.

        :param active: the attempt; None if the request was not sent.
        """
        was_sent = active is not None
        self.last_failure = failure
        upstream_id = upstream.upstream_id
        if failure is Failure.NOT_RUN:
            self.rejected_at_by_id[upstream_id] = now()
            self.dependencies.loads.record_full(upstream_id, now())
        elif failure not in (Failure.WITHDRAWN, Failure.RECALLED):
            self.excluded.add(upstream_id)
        if was_sent and failure in (Failure.NOT_RUN, Failure.CONNECTION_BROKEN):
            self.used_upstreams.discard(upstream_id)
        if was_sent and failure is Failure.NOT_RUN:
            self.possible_run_count -= 1
        pause = None
        if failure in FAILURES_OF_APPLICATION:
            self.dependencies.loads.record_failure(upstream_id)
        elif failure not in (Failure.NOT_RUN, Failure.WITHDRAWN, Failure.RECALLED):
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
            answer=active.progress if active is not None else None,
            shared_parts=",".join(self.request.shared_parts) or None,
        )

    def may_retry(self, failure: Failure, response_started: bool = False) -> bool:
        """Return whether the request may be sent again, and spend the retry budget for it.

        :param response_started: whether a part of the response was sent to the caller, who gets an
            incomplete response without a retry.
        """
        self.progress.obstacle = self._find_obstacle(failure, response_started)
        if self.progress.obstacle is not None:
            return False
        if failure.is_unsent:
            return True
        retry_budget = self.dependencies.retry_budget(self.service)
        reserved_share = 0.0 if response_started else BUDGET_SHARE_RESERVED_FOR_RESUMPTION
        if failure is Failure.RECALLED:
            retry_budget.count_retry(now())
        elif not retry_budget.try_spend(now(), self.dependencies.instance_count(), reserved_share):
            self.progress.obstacle = RetryObstacle.NO_BUDGET_LEFT
            self.dependencies.log.request("no-repeat-left", self.request.request_id)
            return False
        self.dependencies.metrics.retries.labels(failure.value).inc()
        return True

    def _find_obstacle(self, failure: Failure, response_started: bool) -> RetryObstacle | None:
        """Return why the request may not be sent again, whatever is left of the retry budget."""
        if self.guarded.find_block() is not None:
            return RetryObstacle.PART_BLOCKED
        if self.guarded.has_crashed_too_many:
            return RetryObstacle.CRASHED_UPSTREAMS
        max_sends = MAX_SENDS_AFTER_RESPONSE_START if response_started else MAX_SENDS
        if self.sends >= max_sends:
            return RetryObstacle.NO_SENDS_LEFT
        if self.seconds_left < MIN_SECONDS_LEFT:
            return RetryObstacle.NO_TIME_LEFT
        if failure.is_known_not_run:
            return None
        if not self.route.repeatable:
            return RetryObstacle.MAY_RUN_ONCE
        return RetryObstacle.UPSTREAM_COUNT if self._is_upstream_limit_reached() else None

    def note_unresponsive(self, active: ActiveAttempt) -> None:
        """Send no new requests to an unresponsive upstream for a while; this attempt continues."""
        upstream = active.upstream
        self.note_silence(active)
        pause = self.dependencies.loads.mark_suspect(upstream.upstream_id, now())
        self.dependencies.report_unresponsive(upstream.upstream_id)
        self.dependencies.log.request(
            "upstream-silent",
            self.request.request_id,
            upstream=upstream.upstream_id,
            avoided_for=pause,
            seconds_left=self.seconds_left,
        )
        self.dependencies.silences.report(upstream.service, now())

    def note_stalled(self, active: ActiveAttempt) -> None:
        """Exclude an unresponsive upstream from further attempts; this attempt continues."""
        self.last_failure = Failure.STALLED
        self.excluded.add(active.upstream.upstream_id)
        self.note_unresponsive(active)

    def may_hedge(self, active: ActiveAttempt) -> bool:
        """Return whether a second upstream may get the request besides the one that is late.

        Both could crash if the answer has not begun, or an upstream has crashed under the request,
        and the parts of the prompt are not known.
        """
        return self.guarded.may_hedge_begun if active.has_begun else self.guarded.may_hedge

    def could_retry_elsewhere(self, current: Upstream) -> bool:
        """Return whether a stalled attempt could be repeated at another upstream."""
        if not self.route.repeatable or self._is_upstream_limit_reached(current.upstream_id):
            return False
        if self.sends >= MAX_SENDS or self.seconds_left < MIN_SECONDS_LEFT:
            return False
        if self.guarded.has_crashed_too_many:
            return False
        return isinstance(self.choose(other_than=current.upstream_id), Selection)

    def choose_hedge(self, late: ActiveAttempt) -> Selection | None:
        """Return the upstream for a hedge of a late attempt, and spend the retry budget.

        :return: None if no hedge may be sent, or if no upstream can accept it.
        """
        if not self.may_hedge(late) or not self.could_retry_elsewhere(late.upstream):
            return None
        is_room_known = self.dependencies.selector.knows_fleet_load
        is_ill = self.dependencies.loads.load(late.upstream.upstream_id).is_silent(now())
        stage = ChoiceStage.HEDGE if is_room_known and not is_ill else None
        found = self.choose(late.upstream.upstream_id, stage)
        retry_budget = self.dependencies.retry_budget(self.service)
        if not isinstance(found, Selection):
            return None
        reserved_share = BUDGET_SHARE_RESERVED_FROM_HEDGES
        if is_room_known and not late.has_begun:
            reserved_share = BUDGET_SHARE_RESERVED_FROM_FIRST_EVENT_HEDGES
        if not retry_budget.try_spend(now(), self.dependencies.instance_count(), reserved_share):
            return None
        return found

    def _is_upstream_limit_reached(self, current: UpstreamId | None = None) -> bool:
        """Return whether the route's limit leaves no upstream other than the current one."""
        if len(self.used_upstreams) < self.route.max_upstreams:
            return False
        return not self.used_upstreams - self.excluded - {current}
