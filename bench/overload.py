"""Overload by one customer: fair admission against an unbounded FIFO queue with naive retries."""

import random
from collections import defaultdict, deque
from dataclasses import dataclass, field

from bench.upstream_pool import (
    REPORT_SECONDS,
    AlwaysSendPolicy,
    Schedule,
    Upstream,
    hold_group,
    make_tables,
    record_report,
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
CALLER_TIMEOUT_SECONDS = 5.0
STEP_SECONDS = 0.02
OTHER_CUSTOMERS = 9
OTHERS_LOAD = 0.9
FLOOD_LOAD = 4.0
NAIVE_TRIES = 5
MODEL = "m"
KIND = UpstreamKind(KindId("k"), SLOTS, SLOTS)
FLOODING_CUSTOMER = CustomerId("flood")


@dataclass(slots=True)
class Client:
    """One request of a client.

    :param tries: number of times that it was sent to an upstream.
    :param returned: whether the client sent it again after a refusal with Retry-After.
    :param excluded: groups that a retry must avoid.
    :param outcome: ``in time``, ``late`` or ``refused``; empty while it waits.
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
    """Figures of one policy.

    :param others_goodput: share of the other customers' requests answered in time; they offer
        less than their fair share.
    :param all_goodput: answers in time for all customers, over the capacity of the upstreams
        that do not fail.
    :param return_success: share of requests sent again after Retry-After that were answered in
        time; None if there are none.
    :param returns: refused requests that were sent again within the run.
    :param amplification: sends to upstreams, over requests sent at least once.
    :param peak_waiting: most requests that waited at once.
    """

    policy: str
    others_goodput: float
    all_goodput: float
    return_success: float | None
    returns: int
    amplification: float
    peak_waiting: int


class OverloadSimulation:
    """Base of the simulations: arrivals, upstreams and clients."""

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
        share = capacity / (OTHER_CUSTOMERS + 1)
        for number in range(OTHER_CUSTOMERS):
            self._offer(CustomerId(f"c{number}"), share * OTHERS_LOAD)
        self._offer(FLOODING_CUSTOMER, capacity * FLOOD_LOAD)

    def _offer(self, customer: CustomerId, rate: float) -> None:
        """Schedule the requests of a customer at random times with a mean rate."""
        time = self.rng.expovariate(rate)
        while time < self.seconds:
            name = RequestId(f"{customer}-{len(self.clients_by_id)}")
            tokens = self.rng.randint(100, 2 * MEAN_TOKENS - 100)
            client = Client(name, customer, tokens, time + CALLER_TIMEOUT_SECONDS)
            self.clients_by_id[name] = client
            self.schedule.at(time, lambda now, client=client: self.arrive(client, now))  # type: ignore[misc]
            time += self.rng.expovariate(rate)

    def arrive(self, client: Client, now: float) -> None:
        """Accept a request of a client."""
        raise NotImplementedError

    def step(self) -> None:
        """Send the requests that the policy allows at ``self.now``."""
        raise NotImplementedError

    def on_ended(self, client: Client, group: str, succeeded: bool, now: float) -> None:
        """Handle the end of a request at an upstream."""
        raise NotImplementedError

    def send(self, client: Client, group: str, now: float) -> None:
        """Send a request to an upstream."""
        client.tries += 1
        upstream = self.upstreams[group]
        upstream.start(client.name)
        period = FAILURE_SECONDS if upstream.fails else client.tokens / TOKENS_PER_SECOND

        def finish(at: float) -> None:
            upstream.finish(client.name)
            self.on_ended(client, group, not upstream.fails, at)

        if not upstream.fails:
            client.outcome = "late" if now > client.deadline else "in time"
        self.schedule.at(now + period, finish)

    def run(self) -> OverloadFigures:
        """Run the simulation and return the figures."""
        while self.now < self.seconds:
            self.now += STEP_SECONDS
            self.schedule.run_until(self.now)
            self.step()
        return self._figures()

    def _figures(self) -> OverloadFigures:
        last = self.seconds - CALLER_TIMEOUT_SECONDS
        clients = [item for item in self.clients_by_id.values() if item.deadline < last]
        others = [item for item in clients if item.customer != FLOODING_CUSTOMER]
        answered = [item for item in clients if item.outcome == "in time"]
        returned = [item for item in clients if item.returned]
        good = [item for item in returned if item.outcome == "in time"]
        sent = [item for item in self.clients_by_id.values() if item.tries]
        offered = self.capacity * (last - CALLER_TIMEOUT_SECONDS)
        return OverloadFigures(
            self.policy,
            sum(item.outcome == "in time" for item in others) / len(others),
            len(answered) / offered,
            len(good) / len(returned) if returned else None,
            len(returned),
            sum(item.tries for item in sent) / len(sent),
            self.peak_waiting,
        )


class FairSimulation(OverloadSimulation):
    """The product's admission system, with a retry budget and clients that obey Retry-After.

    :cvar marks_returns: whether a repeated request is marked as returning.
    :cvar has_prompts: whether requests carry prefixes, by which returns can be recognized.
    """

    policy = "fair queue, Retry-After, retry budget"
    marks_returns = True
    has_prompts = False

    def __init__(self, seconds: float, seed: int) -> None:
        super().__init__(seconds, seed)
        self.tables = make_tables("e1", KIND)
        for name in self.upstreams:
            hold_group(self.tables, name, MODEL, KIND)
        self.system = AdmissionSystem(AlwaysSendPolicy(), random.Random(seed), Forecast())
        self.budget = RetryBudget()
        self.inbox: list[Input] = []
        self.reported_at = 0.0

    def arrive(self, client: Client, now: float) -> None:
        """Submit a request and count it in the retry budget unless it is repeated."""
        if not client.returned:
            self.budget.count_request()
        self._submit(client)

    def _submit(self, client: Client) -> None:
        """Queue the request as an input of the next tick."""
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

    def on_ended(self, client: Client, group: str, succeeded: bool, now: float) -> None:
        """Report the end; retry a failed request at another group within the retry budget."""
        self.inbox.append(RequestFinished(client.name, succeeded))
        if not succeeded and may_retry(True, True, self.budget):
            client.excluded = (*client.excluded, group)
            self._submit(client)

    def step(self) -> None:
        """Run one tick of the admission system and execute its orders."""
        if self.now - self.reported_at >= REPORT_SECONDS:
            self.reported_at = self.now
            for name, upstream in self.upstreams.items():
                record_report(self.tables, name, upstream, self.now)
        inputs, self.inbox = tuple(self.inbox), []
        for order in self.system.run(self.tables, inputs, self.now):
            if isinstance(order, Dispatch):
                self.send(self.clients_by_id[order.request_id], order.group_id, self.now)
            elif isinstance(order, Refuse):
                self._refused(self.clients_by_id[order.request_id], order)
        rows = self.tables.requests_by_id.values()
        self.peak_waiting = max(self.peak_waiting, sum(row.group_id is None for row in rows))

    def _refused(self, client: Client, order: Refuse) -> None:
        """Send the request again once, after the Retry-After time."""
        client.outcome = "refused"
        if client.returned or not order.retry_after:
            return
        at = self.now + order.retry_after

        def send_again(now: float) -> None:
            client.returned = True
            client.deadline = now + CALLER_TIMEOUT_SECONDS
            self.arrive(client, now)

        self.schedule.at(at, send_again)


class PromptFairSimulation(FairSimulation):
    """Fair admission where returns are unmarked, but recognizable by their prompts."""

    policy = "the same, returns known by their prompts"
    marks_returns = False
    has_prompts = True


class UnmarkedFairSimulation(FairSimulation):
    """Fair admission where returns are indistinguishable from new requests."""

    policy = "the same, returns not told apart"
    marks_returns = False


class NaiveSimulation(OverloadSimulation):
    """Unbounded FIFO queue, whose clients send a request again after each timeout."""

    policy = "FIFO, no bound, naive retries"

    def __init__(self, seconds: float, seed: int) -> None:
        super().__init__(seconds, seed)
        self.queue: deque[tuple[Client, int]] = deque()
        self.sends_by_id: dict[RequestId, int] = defaultdict(int)
        self.running_counts: dict[str, int] = dict.fromkeys(self.upstreams, 0)

    def arrive(self, client: Client, now: float) -> None:
        """Queue the request, and schedule the client's next attempt after its timeout."""
        self.sends_by_id[client.name] += 1
        attempt = self.sends_by_id[client.name]
        self.queue.append((client, attempt))

        def time_out(at: float) -> None:
            is_waiting = client.outcome == "" and attempt == self.sends_by_id[client.name]
            if is_waiting and attempt < NAIVE_TRIES:
                self.arrive(client, at)

        self.schedule.at(now + CALLER_TIMEOUT_SECONDS, time_out)

    def on_ended(self, client: Client, group: str, succeeded: bool, now: float) -> None:
        """Release the slot; send a failed request again at once."""
        self.running_counts[group] -= 1
        if not succeeded and client.tries < NAIVE_TRIES:
            self.arrive(client, now)

    def step(self) -> None:
        """Send requests in order of arrival to the least loaded upstream."""
        self.peak_waiting = max(self.peak_waiting, len(self.queue))
        while self.queue:
            group = min(self.running_counts, key=lambda name: (self.running_counts[name], name))
            if self.running_counts[group] >= SLOTS:
                break
            client, _ = self.queue.popleft()
            self.running_counts[group] += 1
            self.send(client, group, self.now)


@dataclass(frozen=True, slots=True)
class OverloadReport:
    """Figures of all policies on the same arrivals."""

    seconds: float
    figures: tuple[OverloadFigures, ...] = field(default_factory=tuple)


def run(quick: bool) -> OverloadReport:
    """Run each policy on the same arrivals.

    :param quick: whether to simulate 30 s instead of 120 s.
    """
    seconds = 30.0 if quick else 120.0
    policies = (FairSimulation, PromptFairSimulation, UnmarkedFairSimulation, NaiveSimulation)
    return OverloadReport(seconds, tuple(policy(seconds, 11).run() for policy in policies))


if __name__ == "__main__":
    for row in run(quick=False).figures:
        print(row)
