"""Memory that an entry keeps for callers that nobody controls.

These tests run alone, since they load the machine and measure a whole process.
"""

import asyncio
import itertools
import unittest
import urllib.request
from collections.abc import Callable, Iterable, Iterator

from tests.caller_crowd import KINDS, POST, Crowd
from tests.instance_case import ProcessMemory
from trial.fleet import API_KEY, SERVICE, Fleet, FleetPlan
from trial.processes import TrialError, wait_until

RUNS_ALONE = True

CALLERS_OF_A_KIND = 40
MIXED_CALLERS = 200
MAX_PEAK_BYTES = 130_000_000
ANSWER_SECONDS = 30.0
MEMORY_BYTES = 33_554_432
OWN_POST = b"POST /services/%s/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n" % (
    SERVICE.encode(),
    API_KEY.encode(),
)
# The others ask for what only the stand-ins of an instance answer.
ENTRY_KINDS = [name for name in KINDS if name not in ("pipelined", "slow_readers")]
PLAN = FleetPlan(
    data_centres=("fukuoka",), entries=1, engines=0, limits={"caller_memory_bytes": MEMORY_BYTES}
)


def for_entry(kind: Callable[[], Iterable[bytes]]) -> Callable[[], Iterator[bytes]]:
    """Return a kind of callers whose requests name a service of the entry."""
    return lambda: (piece.replace(POST, OWN_POST, 1) for piece in kind())


class EntryCallerMemoryTest(unittest.IsolatedAsyncioTestCase):
    """Callers beside an entry whose callers may hold 32 MiB together."""

    plan = PLAN

    def setUp(self) -> None:
        self.fleet = Fleet(self.plan)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        [self.entry] = self.fleet.entries_by_name.values()

    async def assert_bounded(self, kinds: list[str]) -> None:
        """Check that callers of these kinds neither fill the memory nor keep others out."""
        crowd = Crowd(self.entry.callers)
        self.addCleanup(crowd.close)
        await crowd.send(for_entry(KINDS[kind]) for kind in kinds)
        await asyncio.to_thread(wait_until, self.is_served, "a request is served", ANSWER_SECONDS)
        assert self.entry.child is not None
        self.assertTrue(self.entry.child.is_running)
        self.assertLess(ProcessMemory(self.entry.child.pid).peak_bytes(), MAX_PEAK_BYTES)

    def is_served(self) -> bool:
        """Return whether an ordinary request gets its answer."""
        request = urllib.request.Request(
            f"http://{self.entry.callers}/services/{SERVICE}/x",
            b"hello",
            {"Authorization": f"Bearer {API_KEY}"},
        )
        try:
            with urllib.request.urlopen(request, timeout=ANSWER_SECONDS) as answer:
                return int(answer.status) == 200
        except (OSError, TrialError):
            return False

    # Guards against large bodies that fill the memory of an entry before their requests run.
    async def test_short_of_the_end(self) -> None:
        await self.assert_bounded(["short_of_the_end"] * CALLERS_OF_A_KIND)

    # Guards against the same with bodies whose size the head does not state.
    async def test_chunked_large(self) -> None:
        await self.assert_bounded(["chunked_large"] * CALLERS_OF_A_KIND)

    # Guards against kinds that are bounded one by one, and not together.
    async def test_mixed_crowd(self) -> None:
        await self.assert_bounded(
            list(itertools.islice(itertools.cycle(ENTRY_KINDS), MIXED_CALLERS))
        )


if __name__ == "__main__":
    unittest.main()
