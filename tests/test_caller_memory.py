"""Memory and descriptors that an instance keeps for callers that nobody controls.

These tests run alone, since they load the machine and measure a whole process.
"""

import asyncio
import itertools
import unittest
from collections import Counter

from tests.caller_crowd import CALLER_BYTES, KINDS, Crowd, UnfinishedRequest
from tests.instance_case import InstanceProcessCase

RUNS_ALONE = True

MAX_PEAK_BYTES = 110_000_000
CALLERS_OF_A_KIND = 40
MIXED_CALLERS = 200
# Of the instance itself: listeners, the store, the server, the log.
OWN_DESCRIPTORS = 60
LARGEST_BODY = b"x" * 4_194_304
LARGE_BODIES_AT_ONCE = 6
SMALL_REQUESTS_AT_ONCE = 1000
FEW_DESCRIPTORS = 300
IDLE_CALLERS = 250


class SmallMachineCase(InstanceProcessCase):
    """An instance with the settings of the smallest machines and all other limits by default."""

    machine = "[machine]\nmemory_megabytes = 200\ndescriptors = 4100\n"

    async def crowd(self, kinds: list[str]) -> Crowd:
        """Start callers of these kinds, and wait until they have sent what they can."""
        crowd = Crowd(self.callers)
        self.addCleanup(crowd.close)
        await crowd.send(KINDS[kind] for kind in kinds)
        return crowd

    async def assert_bounded(self, kinds: list[str]) -> None:
        """Check that callers of these kinds neither fill the memory nor keep others out."""
        crowd = await self.crowd(kinds)
        descriptors = self.memory.descriptors()
        await self.wait_until_answered()
        crowd.close()
        await self.wait_until_answered(LARGEST_BODY)
        self.assertTrue(self.child.is_running)
        self.assertLess(self.memory.peak_bytes(), MAX_PEAK_BYTES)
        self.assertLess(descriptors, 2 * len(kinds) + OWN_DESCRIPTORS)


class CrowdOfOneKindTest(SmallMachineCase):
    """Callers of one kind, on an instance without other callers.

    Each test guards against callers of its kind that fill the memory of an instance, whose end
    would end the requests of all others.
    """

    async def test_announced_too_large(self) -> None:
        await self.assert_bounded(["announced_too_large"] * CALLERS_OF_A_KIND)

    async def test_sent_too_large(self) -> None:
        await self.assert_bounded(["sent_too_large"] * CALLERS_OF_A_KIND)

    async def test_chunked_large(self) -> None:
        await self.assert_bounded(["chunked_large"] * CALLERS_OF_A_KIND)

    async def test_chunked_tiny(self) -> None:
        await self.assert_bounded(["chunked_tiny"] * CALLERS_OF_A_KIND)

    async def test_short_of_the_end(self) -> None:
        await self.assert_bounded(["short_of_the_end"] * CALLERS_OF_A_KIND)

    async def test_trailers(self) -> None:
        await self.assert_bounded(["trailers"] * CALLERS_OF_A_KIND)

    async def test_unfinished_heads(self) -> None:
        await self.assert_bounded(["unfinished_heads"] * CALLERS_OF_A_KIND)

    async def test_many_headers(self) -> None:
        await self.assert_bounded(["many_headers"] * CALLERS_OF_A_KIND)

    async def test_pipelined(self) -> None:
        await self.assert_bounded(["pipelined"] * CALLERS_OF_A_KIND)

    async def test_slow_readers(self) -> None:
        await self.assert_bounded(["slow_readers"] * CALLERS_OF_A_KIND)


class DecisionLineTest(SmallMachineCase):
    """What operators learn of callers that lose their place."""

    # Guards against refusals whose cause nobody can find.
    async def test_refused_callers_are_counted_and_logged(self) -> None:
        await self.crowd(["short_of_the_end"] * CALLERS_OF_A_KIND)
        metrics = await asyncio.to_thread(self.read_metrics)
        counter = 'cactuspass_callers_removed_total{limit="caller-memory",outcome="refused"}'
        count = next(float(line.split()[1]) for line in metrics if line.startswith(counter))
        lines = [line for line in self.logged() if line["event"] == "caller-refused"]
        self.assertGreater(count, 0)
        self.assertEqual(len(lines), count)
        self.assertTrue(lines[0]["caller"].startswith("127.0.0.1:"))
        self.assertGreaterEqual(max(line["held_bytes"] for line in lines), CALLER_BYTES)


class MixedCrowdTest(SmallMachineCase):
    """Callers of all kinds at once."""

    # Guards against kinds that are bounded one by one, and not together.
    async def test_mixed_crowd(self) -> None:
        kinds = list(itertools.islice(itertools.cycle(KINDS), MIXED_CALLERS))
        await self.assert_bounded(kinds)


class CalmTest(SmallMachineCase):
    """Callers within the stated limits, without others."""

    # Guards against limits that ordinary callers meet.
    async def test_largest_bodies_at_once_are_served(self) -> None:
        requests = [self.request(LARGEST_BODY) for _ in range(LARGE_BODIES_AT_ONCE)]
        answers = await asyncio.gather(*requests)
        self.assertEqual(answers, [(200, b"%d" % len(LARGEST_BODY))] * LARGE_BODIES_AT_ONCE)

    # The bodies end one after the other, since the stand-in could not take all requests at once.
    async def test_many_small_requests_at_once_are_served(self) -> None:
        callers = [UnfinishedRequest(self.callers) for _ in range(SMALL_REQUESTS_AT_ONCE)]
        await asyncio.gather(*(caller.begin() for caller in callers))
        statuses = Counter([await caller.end() for caller in callers])
        self.assertEqual(statuses, {b"200": SMALL_REQUESTS_AT_ONCE})


class FewDescriptorsTest(InstanceProcessCase):
    """More connections than the machine has descriptors for, beside those of upstreams."""

    machine = f"[machine]\ndescriptors = {FEW_DESCRIPTORS}\n"

    # Guards against callers' connections that leave no descriptor for upstreams.
    async def test_connections_are_bounded(self) -> None:
        crowd = Crowd(self.callers)
        self.addCleanup(crowd.close)
        await crowd.connect(IDLE_CALLERS)
        await crowd.send([KINDS["unfinished_heads"], KINDS["many_headers"]] * 10)
        await self.wait_until_answered()
        self.assertLess(self.memory.descriptors(), FEW_DESCRIPTORS // 2 + OWN_DESCRIPTORS)


if __name__ == "__main__":
    unittest.main()
