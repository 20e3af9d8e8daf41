"""Lending of tokens for upstreams with limits, between the instances that share a limit.

Callers may be spread unevenly over the instances. One that has no token for an upstream that could
serve a request asks another one that has a share. The lender gives up the token before it answers,
so that a lost answer loses a token and none is used twice.
"""

import asyncio
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from cactuspass._clock import now
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._limit_messages import LimitDatagram, LoanAnswer, LoanRequest
from cactuspass.fleet._limit_shares import LimitShares
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._request_limits import LOAN_SECONDS, RequestLimits
from cactuspass.fleet._token_bucket import TokenBucket
from cactuspass.fleet._upstreams import Lifetime
from cactuspass.models import EntryId

MAX_ASKED_AT_ONCE = 2
MAX_WAIT_SECONDS = 0.03
MAX_PAUSE_SECONDS = 1.0  # before the same lender is asked again
REQUESTS_PER_SECOND = 10.0
BURST_REQUESTS = 20.0

Send = Callable[[str, LimitDatagram], None]


@dataclass(frozen=True, slots=True)
class _OpenRequest:
    """A request for a token that has not been answered.

    :param outcome: whether the token was granted.
    """

    lifetime: Lifetime
    lender: EntryId
    asked_at: float
    outcome: "asyncio.Future[bool]"


class LimitLoans:
    """Borrows tokens of other instances, and lends them those of this one.

    :param instance: id of this instance.
    :param send: sends a message to the address of another instance.
    """

    def __init__(
        self,
        limits: RequestLimits,
        shares: LimitShares,
        cluster_state: ClusterState,
        instance: EntryId,
        send: Send,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._limits = limits
        self._shares = shares
        self._cluster_state = cluster_state
        self._instance = instance
        self._send = send
        self._metrics = metrics
        self._rng = rng
        self._numbers = itertools.count(1)
        self._open_by_number: dict[int, _OpenRequest] = {}
        self._empty_until: dict[tuple[Lifetime, EntryId], float] = {}
        self._allowed = TokenBucket(REQUESTS_PER_SECOND, BURST_REQUESTS, now())

    async def borrow(self, lifetimes: Sequence[Lifetime]) -> bool:
        """Ask for a token for one of some upstreams, and return whether one was lent in time.

        :param lifetimes: upstreams that could serve a request and for which no token is left.
        """
        at = now()
        self._forget(at)
        chosen = self._rng.sample(lifetimes, min(MAX_ASKED_AT_ONCE, len(lifetimes)))
        waiting = {
            asked.outcome for lifetime in chosen if (asked := self._ask(lifetime, at)) is not None
        }
        until = at + MAX_WAIT_SECONDS
        while waiting and now() < until:
            done, waiting = await asyncio.wait(
                waiting, timeout=until - now(), return_when=asyncio.FIRST_COMPLETED
            )
            if any(outcome.result() for outcome in done):
                return True
        return False

    def receive(self, message: LoanRequest | LoanAnswer) -> None:
        """Answer a request for a token, or add a token that was lent."""
        if isinstance(message, LoanRequest):
            self._answer(message)
            return
        asked = self._open_by_number.pop(message.number, None)
        if asked is None:
            return
        pause = min(message.next_after, MAX_PAUSE_SECONDS)
        self._empty_until[(asked.lifetime, asked.lender)] = now() + pause
        if message.is_granted:
            self._limits.add_loan(asked.lifetime, asked.asked_at)
        outcome = "granted" if message.is_granted else "refused"
        self._metrics.limit_loans.labels(outcome).inc()
        if not asked.outcome.done():
            asked.outcome.set_result(message.is_granted)

    def _ask(self, lifetime: Lifetime, at: float) -> _OpenRequest | None:
        limit = self._limits.find(lifetime)
        if limit is None:
            return None
        lenders = [
            lender
            for lender in self._shares.lenders(lifetime.upstream_id, limit.total_rate)
            if (lifetime, lender.instance) not in self._empty_until
        ]
        if not lenders or not self._allowed.try_consume(at):
            return None
        lender = self._rng.choice(lenders)
        assert lender.address is not None
        number = next(self._numbers)
        asked = _OpenRequest(
            lifetime, lender.instance, at, asyncio.get_running_loop().create_future()
        )
        self._open_by_number[number] = asked
        self._send(lender.address, LoanRequest(lifetime, limit.rate, self._instance, number))
        self._metrics.limit_loans.labels("asked").inc()
        return asked

    def _answer(self, request: LoanRequest) -> None:
        """Lend a token if one is unused.

        A lender that knows of no limit keeps to the borrower's from now on.
        """
        at = now()
        if self._limits.find(request.lifetime) is None:
            self._limits.record(request.lifetime, request.rate, at, at)
        is_granted = self._limits.try_lend(request.lifetime, at)
        self._metrics.limit_loans.labels("lent" if is_granted else "not-lent").inc()
        borrower = next(
            (peer for peer in self._cluster_state.peers if peer.instance == request.borrower), None
        )
        if borrower is not None and borrower.address is not None:
            next_after = min(self._limits.next_loan_after(request.lifetime), MAX_PAUSE_SECONDS)
            answer = LoanAnswer(request.number, is_granted, next_after)
            self._send(borrower.address, answer)

    def _forget(self, at: float) -> None:
        """Forget requests whose token could no longer be used, and pauses that are over."""
        for number, asked in list(self._open_by_number.items()):
            if at - asked.asked_at > LOAN_SECONDS:
                del self._open_by_number[number]
        for lender, until in list(self._empty_until.items()):
            if until <= at:
                del self._empty_until[lender]
