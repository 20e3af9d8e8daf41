"""A flood by one customer: fair admission against a queue without bounds and naive retries."""

import random
from collections import defaultdict, deque
from dataclasses import dataclass, field

from bench.upstream_pool import (
    REPORT_SECONDS,
    OpenGate,
    Schedule,
    Upstream,
    hold_group,
    make_tables,
    report,
)
from cactuspass._admission import AdmissionSystem
from cactuspass._forecast import Forecast
from cactuspass._messages import Dispatch, Input, Refuse, RequestArrived, RequestFinished
from cactuspass._retries import RetryBudget, may_retry
from cactuspass.models import CustomerId, KindId, Priority, RequestId, UpstreamKind

GROUPS = 10
SLOTS = 8
MEAN_TOKENS = 400
TOKENS_PER_SECOND = 400.0
FAILURE_SECONDS = 0.05
PATIENCE_SECONDS = 5.0
STEP_SECONDS = 0.02
OTHERS = 9
OTHERS_LOAD = 0.9
FLOOD_LOAD = 4.0
NAIVE_TRIES = 5
MODEL = "m"
KIND = UpstreamKind(KindId("k"), SLOTS, SLOTS)
FLOOD = CustomerId("flood")


@dataclass(slots=True)
class Client:
    """One request and what became of it.

    :param tries: times that it was sent to an upstream.
    :param returned: whether it came back after a refusal, as told.
    """

    name: RequestId
    customer: CustomerId
    tokens: int
    deadline: float
    tries: int = 0
    returned: bool = False
    excluded: tuple[str, ...] = ()
    outcome: str = ""


@dataclass(frozen=True, slots=True)
class OverloadFigures:
    """Outcome of one policy.

    :param others_goodput: answers in time of the other customers, over what they offered, which
        is below their fair share.
    :param all_goodput: answers in time of all, over the capacity of the healthy upstreams.
    :param return_success: share of the refused that came back as told and were answered in time;
        None where the policy never refuses.
    :param returns: refused requests that came back within the run.
    :param amplification: requests sent to upstreams over requests that were sent at least once.
    :param peak_waiting: most requests that waited at once.
    """

    policy: str
    others_goodput: float
    all_goodput: float
    return_success: float | None
    returns: int
    amplification: float
    peak_waiting: int


class OverloadRun:
    """Arrivals, upstreams and clients that the policies share."""

    policy = ""

    def __init__(self, seconds: float, seed: int) -> None:
        self.seconds = seconds
        self.rng = random.Random(seed)
        self.schedule = Schedule()
        self.clients_by_id: dict[RequestId, Client] = {}
        self.upstreams = {f"g{i}": Upstream(KIND, fails=i == 0) for i in range(GROUPS)}
        self.peak_waiting = 0
        self.now = 0.0
        capacity = (GROUPS - 1) * SLOTS * TOKENS_PER_SECOND / MEAN_TOKENS
        self.capacity = capacity
        share = capacity / (OTHERS + 1)
        for number in range(OTHERS):
            self._offer(CustomerId(f"c{number}"), share * OTHERS_LOAD)
        self._offer(FLOOD, capacity * FLOOD_LOAD)

    def _offer(self, customer: CustomerId, rate: float) -> None:
        """Schedule the requests of a customer, at random times."""
        time = self.rng.expovariate(rate)
        while time < self.seconds:
            name = RequestId(f"{customer}-{len(self.clients_by_id)}")
            tokens = self.rng.randint(100, 2 * MEAN_TOKENS - 100)
            client = Client(name, customer, tokens, time + PATIENCE_SECONDS)
            self.clients_by_id[name] = client
            self.schedule.at(time, lambda now, client=client: self.arrive(client, now))  # type: ignore[misc]
            time += self.rng.expovariate(rate)

    def arrive(self, client: Client, now: float) -> None:
        """Take a request of a client."""
        raise NotImplementedError

    def step(self) -> None:
        """Send what may be sent at ``self.now``."""
        raise NotImplementedError

    def ended(self, client: Client, group: str, succeeded: bool, now: float) -> None:
        """Take the end of a request that was sent to an upstream."""
        raise NotImplementedError

    def send(self, client: Client, group: str, now: float) -> None:
        """Send a request to an upstream."""
        client.tries += 1
        upstream = self.upstreams[group]
        upstream.start(client.name)
        period = FAILURE_SECONDS if upstream.fails else client.tokens / TOKENS_PER_SECOND

        def finish(at: float) -> None:
            upstream.finish(client.name)
            self.ended(client, group, not upstream.fails, at)

        if not upstream.fails:
            client.outcome = "late" if now > client.deadline else "in time"
        self.schedule.at(now + period, finish)

    def run(self) -> OverloadFigures:
        """Run to the end and return the figures."""
        while self.now < self.seconds:
            self.now += STEP_SECONDS
            self.schedule.run_until(self.now)
            self.step()
        return self._figures()

    def _figures(self) -> OverloadFigures:
        last = self.seconds - PATIENCE_SECONDS
        clients = [item for item in self.clients_by_id.values() if item.deadline < last]
        others = [item for item in clients if item.customer != FLOOD]
        answered = [item for item in clients if item.outcome == "in time"]
        returned = [item for item in clients if item.returned]
        good = [item for item in returned if item.outcome == "in time"]
        sent = [item for item in self.clients_by_id.values() if item.tries]
        offered = self.capacity * (last - PATIENCE_SECONDS)
        return OverloadFigures(
            self.policy,
            sum(item.outcome == "in time" for item in others) / len(others),
            len(answered) / offered,
            len(good) / len(returned) if returned else None,
            len(returned),
            sum(item.tries for item in sent) / len(sent),
            self.peak_waiting,
        )


class FairRun(OverloadRun):
    """The admission system, whose clients come back as told and whose retries have a budget."""

    policy = "fair queue, Retry-After, retry budget"
    marks_returns = True
    has_prompts = False

    def __init__(self, seconds: float, seed: int) -> None:
        super().__init__(seconds, seed)
        self.tables = make_tables("e1", KIND)
        for name in self.upstreams:
            hold_group(self.tables, name, MODEL, KIND)
        self.system = AdmissionSystem(OpenGate(), random.Random(seed), Forecast())
        self.budget = RetryBudget()
        self.inbox: list[Input] = []
        self.reported_at = 0.0

    def arrive(self, client: Client, now: float) -> None:
        """Hand a request to the admission system."""
        if not client.returned:
            self.budget.count_request()
        self._submit(client)

    def _submit(self, client: Client) -> None:
        """Queue the input for the next tick."""
        self.inbox.append(
            RequestArrived(
                client.name,
                client.customer,
                MODEL,
                client.tokens,
                Priority.NORMAL,
                client.deadline,
                excluded=client.excluded,
                prefixes=(client.name,) if self.has_prompts else (),
                returning=client.returned and self.marks_returns,
            )
        )

    def ended(self, client: Client, group: str, succeeded: bool, now: float) -> None:
        """Report the end, and retry a failure elsewhere while the budget lasts."""
        self.inbox.append(RequestFinished(client.name, succeeded))
        if not succeeded and may_retry(True, True, self.budget):
            client.excluded = (*client.excluded, group)
            self._submit(client)

    def step(self) -> None:
        """Tick the admission system and carry its orders out."""
        if self.now - self.reported_at >= REPORT_SECONDS:
            self.reported_at = self.now
            for name, upstream in self.upstreams.items():
                report(self.tables, name, upstream, self.now)
        inputs, self.inbox = tuple(self.inbox), []
        for order in self.system.run(self.tables, inputs, self.now):
            if isinstance(order, Dispatch):
                self.send(self.clients_by_id[order.request_id], order.group_id, self.now)
            elif isinstance(order, Refuse):
                self._refused(self.clients_by_id[order.request_id], order)
        rows = self.tables.requests_by_id.values()
        self.peak_waiting = max(self.peak_waiting, sum(row.group_id is None for row in rows))

    def _refused(self, client: Client, order: Refuse) -> None:
        """Come back once, when told to."""
        client.outcome = "refused"
        if client.returned or not order.retry_after:
            return
        at = self.now + order.retry_after

        def come_back(now: float) -> None:
            client.returned = True
            client.deadline = now + PATIENCE_SECONDS
            self.arrive(client, now)

        self.schedule.at(at, come_back)


class PromptFairRun(FairRun):
    """The same with clients that don't mark returns, which are known by their prompts."""

    policy = "the same, returns known by their prompts"
    marks_returns = False
    has_prompts = True


class UnmarkedFairRun(FairRun):
    """The same with clients whose returns look like new requests."""

    policy = "the same, returns not told apart"
    marks_returns = False


class NaiveRun(OverloadRun):
    """First come, first served, without bounds; clients send again whenever they lose patience."""

    policy = "FIFO, no bound, naive retries"

    def __init__(self, seconds: float, seed: int) -> None:
        super().__init__(seconds, seed)
        self.queue: deque[tuple[Client, int]] = deque()
        self.sends_by_id: dict[RequestId, int] = defaultdict(int)
        self.held: dict[str, int] = dict.fromkeys(self.upstreams, 0)

    def arrive(self, client: Client, now: float) -> None:
        """Queue the request; its client sends another when it loses patience."""
        self.sends_by_id[client.name] += 1
        attempt = self.sends_by_id[client.name]
        self.queue.append((client, attempt))

        def lose_patience(at: float) -> None:
            waits = client.outcome == "" and attempt == self.sends_by_id[client.name]
            if waits and attempt < NAIVE_TRIES:
                self.arrive(client, at)

        self.schedule.at(now + PATIENCE_SECONDS, lose_patience)

    def ended(self, client: Client, group: str, succeeded: bool, now: float) -> None:
        """Free the place, and send a failed request again at once."""
        self.held[group] -= 1
        if not succeeded and client.tries < NAIVE_TRIES:
            self.arrive(client, now)

    def step(self) -> None:
        """Send from the head of the queue to the least loaded upstream."""
        self.peak_waiting = max(self.peak_waiting, len(self.queue))
        while self.queue:
            group = min(self.held, key=lambda name: (self.held[name], name))
            if self.held[group] >= SLOTS:
                break
            client, _ = self.queue.popleft()
            self.held[group] += 1
            self.send(client, group, self.now)


@dataclass(frozen=True, slots=True)
class OverloadReport:
    """Figures of all policies on the same arrivals."""

    seconds: float
    figures: tuple[OverloadFigures, ...] = field(default_factory=tuple)


def run(quick: bool) -> OverloadReport:
    """Run each policy on the same arrivals.

    :param quick: simulate 30 s in place of 120 s.
    """
    seconds = 30.0 if quick else 120.0
    policies = (FairRun, PromptFairRun, UnmarkedFairRun, NaiveRun)
    return OverloadReport(seconds, tuple(policy(seconds, 11).run() for policy in policies))


if __name__ == "__main__":
    for row in run(quick=False).figures:
        print(row)
