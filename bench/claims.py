"""Throughput of claims within the platform's write budget: batched, unbatched and with faults.

The benchmark runs in virtual time over a fake platform with a fixed latency. Each claimed request
takes ``RUN_SECONDS``, after which its outcome is recorded, so a claim needs two store changes.
"""

import asyncio
import sys
from collections import Counter
from dataclasses import asdict, dataclass, field
from random import Random
from statistics import quantiles

from cactuspass._claim_store import ClaimStore
from cactuspass._claim_writer import MAX_BATCH_WRITES
from cactuspass._claims import (
    Claimed,
    ClaimOutcome,
    InProgress,
    RecordedAnswer,
    Refused,
    fingerprint_of,
)
from cactuspass.models import CustomerId, EntryId, Incarnation
from tests.fakes import Fault, MemoryPlatform
from tests.virtual_time import VirtualLoop

CUSTOMER = CustomerId("counters")
FINGERPRINT = fingerprint_of("POST", "/services/loans", b"{}")
LATENCY_SECONDS = 0.005
RUN_SECONDS = 0.05
WRITE_BUDGET_PER_SECOND = 200.0
MAX_TRIES = 6
RETRY_SECONDS = 0.5
KILL_INTERVAL_SECONDS = 2.0
EXIT_DETECTION_SECONDS = 3.0
OUTAGE_SECONDS = 3.0
DELAYED_WRITE_SECONDS = 0.4
FAULT_SHARE = 0.05
PERCENTILES = 100
MILLISECONDS = 1000.0


@dataclass(frozen=True)
class ClaimLoad:
    """Load of one simulation.

    :param batch: most changes in one platform call; 1 is the baseline.
    :param rate: new keys per second over all entries.
    :param retry_share: share of requests that callers immediately send twice, each to a random
        entry.
    """

    entries: int
    batch: int
    rate: float
    seconds: float
    is_faulty: bool = False
    retry_share: float = 0.1


@dataclass(frozen=True)
class ClaimFigures:
    """Results of one simulation.

    :param elapsed_seconds: time until the last retry had an outcome.
    :param claimed_share: share of keys whose request ran.
    :param refusals: answers that correctly said "not run", after which callers retried.
    :param median_ms: median time of a successful claim.
    :param duplicates: runs of a key after its first.
    :param kills: entry processes that were killed.
    """

    load: ClaimLoad
    keys: int
    elapsed_seconds: float
    claimed_per_second: float
    claimed_share: float
    refusals: int
    calls_per_second: float
    median_ms: float
    p95_ms: float
    duplicates: int
    kills: int


@dataclass
class Tally:
    """Counters of a running simulation.

    :param waits: seconds that each successful claim took.
    """

    runs_by_key: Counter[str] = field(default_factory=Counter)
    waits: list[float] = field(default_factory=list)
    refusals: int = 0
    kills: int = 0


class ClaimSimulation:
    """Entries on one fake platform, and callers that retry."""

    def __init__(self, load: ClaimLoad, seed: int) -> None:
        self.load = load
        self.random = Random(seed)
        self.platform = MemoryPlatform()
        self.platform.latency = LATENCY_SECONDS
        self.tally = Tally()
        self.ended_incarnations: set[Incarnation] = set()
        self.started_count = 0
        self.incarnations_by_store: dict[ClaimStore, int] = {}
        self.stores = [self.start(number) for number in range(load.entries)]

    def start(self, number: int) -> ClaimStore:
        """Start an entry process and return its claim store."""
        self.started_count += 1
        store = ClaimStore(
            self.platform,
            EntryId(f"e{number}"),
            Incarnation(str(self.started_count)),
            self.load.entries / WRITE_BUDGET_PER_SECOND,
            lambda _, incarnation: incarnation in self.ended_incarnations,
            self.load.batch,
        )
        store.start()
        self.incarnations_by_store[store] = self.started_count
        return store

    async def run(self) -> ClaimFigures:
        """Send all requests and return the figures."""
        faults = [asyncio.create_task(self.inject_faults())] if self.load.is_faulty else []
        callers = []
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < self.load.seconds:
            await asyncio.sleep(self.random.expovariate(self.load.rate))
            number += 1
            copies = 1 + (self.random.random() < self.load.retry_share)
            callers += [asyncio.create_task(self.call(f"k{number}")) for _ in range(copies)]
        await asyncio.gather(*callers)
        for fault in faults:
            fault.cancel()
        return self.figures(number)

    async def call(self, key: str) -> None:
        """Send a request and retry it until it has a final outcome."""
        for _ in range(MAX_TRIES):
            outcome = await self.send_request(key)
            if isinstance(outcome, Claimed) or not isinstance(outcome, Refused | InProgress):
                return
            await asyncio.sleep(max(RETRY_SECONDS, outcome.retry_after))

    async def send_request(self, key: str) -> ClaimOutcome:
        """Send a request to a random entry and run it if its key is claimed."""
        store = self.random.choice(self.stores)
        loop = asyncio.get_running_loop()
        began = loop.time()
        outcome = await store.claim(CUSTOMER, key, FINGERPRINT)
        if isinstance(outcome, Claimed):
            self.tally.waits.append(loop.time() - began)
            self.tally.runs_by_key[key] += 1
            await asyncio.sleep(RUN_SECONDS)
            if store in self.stores:
                store.finish(outcome.claim, RecordedAnswer(201, (), b"{}"))
        self.tally.refusals += isinstance(outcome, Refused)
        return outcome

    async def inject_faults(self) -> None:
        """Lose and delay platform calls, kill entries, and make the platform unavailable once."""
        loop = asyncio.get_running_loop()
        self.platform.choose_fault = self.choose_fault
        while True:
            await asyncio.sleep(KILL_INTERVAL_SECONDS)
            number = self.random.randrange(len(self.stores))
            killed = self.stores[number]
            incarnation = Incarnation(str(self.incarnations_by_store[killed]))
            await killed.close()
            self.stores[number] = self.start(number)
            loop.call_later(EXIT_DETECTION_SECONDS, self.ended_incarnations.add, incarnation)
            loop.call_later(DELAYED_WRITE_SECONDS, self.apply_delayed_writes)
            self.tally.kills += 1

    def choose_fault(self) -> Fault:
        """Return the fault of the next call."""
        middle = self.load.seconds / 2
        now = asyncio.get_running_loop().time()
        if middle <= now < middle + OUTAGE_SECONDS:
            return Fault.UNAVAILABLE
        if self.random.random() >= FAULT_SHARE:
            return Fault.NONE
        return self.random.choice((Fault.ANSWER_LOST, Fault.REQUEST_LOST, Fault.DELAYED))

    def apply_delayed_writes(self) -> None:
        """Apply every delayed write to the store."""
        while self.platform.delayed:
            self.platform.apply_delayed()

    def figures(self, keys: int) -> ClaimFigures:
        """Return the figures of the simulation."""
        tally = self.tally
        elapsed = asyncio.get_running_loop().time()
        cuts = (
            quantiles(tally.waits, n=PERCENTILES) if len(tally.waits) > 1 else [0.0] * PERCENTILES
        )
        calls = self.platform.counts.writes + self.platform.counts.leases
        return ClaimFigures(
            load=self.load,
            keys=keys,
            elapsed_seconds=round(elapsed, 1),
            claimed_per_second=round(len(tally.waits) / elapsed, 1),
            claimed_share=round(len(tally.runs_by_key) / keys, 4),
            refusals=tally.refusals,
            calls_per_second=round(calls / elapsed, 1),
            median_ms=round(cuts[49] * MILLISECONDS, 1),
            p95_ms=round(cuts[94] * MILLISECONDS, 1),
            duplicates=sum(runs - 1 for runs in tally.runs_by_key.values()),
            kills=tally.kills,
        )


@dataclass(frozen=True)
class ClaimReport:
    """Figures of all simulations."""

    figures: tuple[ClaimFigures, ...]


def measure(load: ClaimLoad, seed: int = 1) -> ClaimFigures:
    """Run one simulation in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(_measure(load, seed))


async def _measure(load: ClaimLoad, seed: int) -> ClaimFigures:
    return await ClaimSimulation(load, seed).run()


def run(quick: bool = False) -> ClaimReport:
    """Compare batched claims with one call per change, then measure larger fleets and faults.

    :param quick: whether to use shorter simulations and fewer rates.
    """
    seconds = 3.0 if quick else 10.0
    rates = (50.0, 400.0) if quick else (50.0, 100.0, 400.0, 1000.0)
    plain = [
        ClaimLoad(6, batch, rate, seconds) for batch in (1, MAX_BATCH_WRITES) for rate in rates
    ]
    fleets = [ClaimLoad(entries, MAX_BATCH_WRITES, 400.0, seconds) for entries in (49, 340)]
    faulty = [ClaimLoad(6, MAX_BATCH_WRITES, 100.0, 3 * seconds, is_faulty=True)]
    return ClaimReport(tuple(measure(load) for load in [*plain, *fleets, *faulty]))


if __name__ == "__main__":
    for figures in run("--quick" in sys.argv).figures:
        print(asdict(figures))
