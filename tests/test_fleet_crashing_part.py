"""A part of some prompts that makes each upstream crash when it begins to write an answer."""

import asyncio
import json
import re
from itertools import count

from cactuspass._clock import now
from cactuspass.fleet._catalog import RouteKind
from cactuspass.fleet.prompt_parts._head_timing import EARLY_HEAD_SECONDS
from cactuspass.fleet.prompt_parts._messages import CrashMessage
from cactuspass.platform._requests import PlatformRequests
from tests.fleet_path import (
    KEY,
    STAMP,
    MemoryDelivery,
    PreferredOrderCase,
    Script,
    events,
    route,
)

FIRST_PART = "a1"
CRASHING_PART = "bad0"
MAX_CRASHES = 5
UPSTREAM_COUNT = 4
EVENTS_OF_LONG_ANSWER = 12


def crash_or_answer(head_seconds: float = 0.0) -> Script:
    """Return a script that closes the connection after the head if the prompt has the part.

    :param head_seconds: time in seconds from the head to the body of an answer.
    """
    event = events(range(1, 2))

    async def run(writer: asyncio.StreamWriter, request: bytes) -> None:
        lines = ["HTTP/1.1 200 OK", STAMP, "Transfer-Encoding: chunked"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        await writer.drain()
        if CRASHING_PART.encode() in request:
            writer.close()
            return
        await asyncio.sleep(head_seconds)
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n0\r\n\r\n")
        await writer.drain()

    return run


class CrashingPartCase(PreferredOrderCase):
    """Requests whose prompts share a part that no upstream survives."""

    head_seconds = 0.0

    async def asyncSetUp(self) -> None:
        scripts = [[crash_or_answer(self.head_seconds)] for _ in range(UPSTREAM_COUNT)]
        target = route(RouteKind.STREAM, resumable=True, max_upstreams=3)
        self.case = await self.start(target, *scripts)
        self._numbers = count()

    async def send(self, *shared_parts: str, key: str = KEY) -> MemoryDelivery:
        """Serve a request whose prompt has the shared parts and one of its own."""
        number = next(self._numbers)
        parts = ",".join(f"{part}:40" for part in (*shared_parts, f"{number:08x}"))
        headers = {
            "Host": "a.example",
            "Cactuspass-Request-Id": f"q{number}",
            "Cactuspass-Deadline-Ms": "4000",
            "Cactuspass-Prompt-Prefix": parts,
            "Api-Key": key,
        }
        request = PlatformRequests().read_request("GET", "/p/x", tuple(headers.items()), b"", now())
        delivery = MemoryDelivery()
        await self.case.dispatcher.serve(request, delivery)
        return delivery

    def crashes(self) -> int:
        """Return how many requests with the part upstreams have received."""
        part = CRASHING_PART.encode()
        return sum(part in request for up in self.upstreams for request in up.requests)


class CrashingPartTest(CrashingPartCase):
    """What happens until the part is blocked."""

    # Guards against requests with one part that crash upstream after upstream, each of them new.
    async def test_part_that_crashes_each_upstream_reaches_few_of_them(self) -> None:
        await self.send(FIRST_PART)
        for _ in range(12):
            await self.send(FIRST_PART, CRASHING_PART)
        self.assertLessEqual(self.crashes(), MAX_CRASHES)

    # Guards against a block of a shared first part for the crashes of another part beside it.
    async def test_other_requests_of_the_first_part_are_served(self) -> None:
        for _ in range(6):
            await self.send(FIRST_PART, CRASHING_PART)
            got = await self.send(FIRST_PART)
            self.assertEqual((got.status, got.is_complete), (200, True))

    # Guards against a log from which nobody can tell what an upstream was doing when it crashed.
    async def test_log_names_the_parts_and_how_far_the_answer_had_come(self) -> None:
        await self.send(FIRST_PART, CRASHING_PART)
        lines = map(json.loads, self.case.handler.lines)
        failed = next(line for line in lines if line["event"] == "attempt-failed")
        found = (failed["shared_parts"], failed["answer"])
        self.assertEqual(found, (f"{FIRST_PART},{CRASHING_PART}", "head"))


class EarlyHeadTest(CrashingPartCase):
    """Upstreams that send the head of an answer some time before its body."""

    head_seconds = 2 * EARLY_HEAD_SECONDS

    # Guards against heads that every waiting request has, and that are taken for a begun answer.
    async def test_early_head_is_no_evidence_that_the_answer_was_being_written(self) -> None:
        found = [await self.crash(f"{CRASHING_PART}1")]
        for _ in range(4):
            await self.send(FIRST_PART)
        found.append(await self.crash(f"{CRASHING_PART}2"))
        self.assertEqual(found, [True, False])

    async def crash(self, part: str) -> bool:
        """Let a request crash an upstream; return whether that is told as a begun answer."""
        self.case.sent_messages.clear()
        await self.send(FIRST_PART, part)
        crashes = [m for m in self.case.sent_messages if isinstance(m, CrashMessage)]
        return crashes[0].was_writing


def crash_behind(event_count: int) -> Script:
    """Return a script that writes some events, and ends there if the prompt has the part."""

    async def run(writer: asyncio.StreamWriter, request: bytes) -> None:
        lines = ["HTTP/1.1 200 OK", STAMP, "Transfer-Encoding: chunked"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        last_id = re.search(rb"Last-Event-Id: (\d+)", request, re.IGNORECASE)
        first = int(last_id.group(1)) + 1 if last_id else 1
        for number in range(first, EVENTS_OF_LONG_ANSWER + 1):
            if CRASHING_PART.encode() in request and number == first + event_count:
                await asyncio.sleep(0.01)
                writer.close()
                return
            event = events(range(number, number + 1))
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return run


class LateCrashTest(CrashingPartCase):
    """A part on which upstreams crash behind some events of the answer."""

    async def start_upstreams(self, event_count: int) -> None:
        """Start upstreams that crash behind some events."""
        scripts = [[crash_behind(event_count)] for _ in range(UPSTREAM_COUNT)]
        target = route(RouteKind.STREAM, resumable=True, max_upstreams=3)
        self.case = await self.start(target, *scripts)

    # Guards against a part that is never blocked, since the first event clears it each time, and
    # against streams that are resumed at one upstream after the other until each has crashed.
    async def test_part_that_crashes_upstreams_behind_an_event_reaches_few_of_them(self) -> None:
        for event_count in (1, 4):
            await self.start_upstreams(event_count)
            await self.send(FIRST_PART)
            for _ in range(12):
                await self.send(FIRST_PART, CRASHING_PART)
            with self.subTest(event_count=event_count):
                self.assertLessEqual(self.crashes(), MAX_CRASHES)
                self.assertEqual(len(self.case.cluster_state.blocks.active), 1)
                got = await self.send(FIRST_PART)
                self.assertEqual((got.status, got.is_complete), (200, True))

    # Guards against one stream that is resumed until it has crashed eight upstreams.
    async def test_one_stream_crashes_two_upstreams_at_most(self) -> None:
        await self.start_upstreams(1)
        got = await self.send(FIRST_PART, CRASHING_PART)
        self.assertEqual((self.crashes(), got.status, got.is_complete), (2, 200, False))

    # Guards against resumptions of a stream that had begun before its part was blocked.
    async def test_stream_with_a_blocked_part_is_not_resumed(self) -> None:
        await self.start_upstreams(1)
        await self.send(FIRST_PART)
        outcomes = []
        for _ in range(2):
            before = self.crashes()
            got = await self.send(FIRST_PART, CRASHING_PART)
            outcomes.append((self.crashes() - before, got.is_complete))
        self.assertEqual(outcomes, [(2, False), (1, False)])
        self.assertEqual(len(self.case.cluster_state.blocks.active), 1)


class BlockedPartTest(CrashingPartCase):
    """What callers get once the part is blocked."""

    # Guards against a refusal as not run for a request that upstreams have run.
    async def test_request_that_has_run_is_not_refused_as_not_run(self) -> None:
        found = [(await self.send(FIRST_PART)).status]
        while not self.case.cluster_state.blocks.active:
            found.append((await self.send(FIRST_PART, CRASHING_PART)).status)
        found.append((await self.send(FIRST_PART, CRASHING_PART)).status)
        self.assertEqual((found[0], set(found[1:-1]), found[-1]), (200, {502}, 503))

    # Guards against requests of the same caller, route and first part that suffer from the block.
    async def test_other_requests_begin_at_the_first_attempt_after_the_block(self) -> None:
        await self.send(FIRST_PART)
        while not self.case.cluster_state.blocks.active:
            await self.send(FIRST_PART, CRASHING_PART)
        before = sum(self.arrivals())
        for _ in range(10):
            got = await self.send(FIRST_PART)
            self.assertEqual((got.status, got.is_complete), (200, True))
        self.assertEqual(sum(self.arrivals()), before + 10)
        self.assertEqual(self.case.part_guard.holds._unanswered, {})
