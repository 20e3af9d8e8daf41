"""Requests that wait or are recalled while another one tries a part of their prompt."""

import asyncio
from dataclasses import replace
from unittest import mock

from cactuspass._clock import now
from cactuspass.fleet import _plain_relay
from cactuspass.fleet._attempts import MAX_SENDS
from cactuspass.fleet._budgets import RetryBudget
from cactuspass.fleet._catalog import RouteKind
from cactuspass.fleet._upstreams import Lifetime, UpstreamId
from cactuspass.fleet.prompt_parts._parts import BrokenAttempt, CrashReport, PartKey, PromptPartId
from cactuspass.models import CustomerId, EntryId, ModelId, RequestId
from tests.fleet_path import (
    SERVICE,
    STAMP,
    MemoryDelivery,
    PathCase,
    PreferredOrderCase,
    Script,
    answer,
    request,
    route,
)

PART = PromptPartId("ab12")
KEY_OF_PART = PartKey(SERVICE, ModelId(""), PART)
GIVE_UP_SECONDS = 2.0
WHOLE = answer("200 OK", b"whole", STAMP)


def report(at: float) -> CrashReport:
    """Return a report of another instance on a crash with the part."""
    lifetime = Lifetime(UpstreamId("elsewhere"), 1)
    return CrashReport(
        (KEY_OF_PART,), CustomerId("other"), lifetime, at, at, True, EntryId("i"), RequestId("q0")
    )


def answer_when(event: asyncio.Event, first: bytes, rest: bytes) -> Script:
    """Return a script that sends the rest of an answer after an event."""

    async def run(writer: asyncio.StreamWriter, request: bytes) -> None:
        length = len(first + rest)
        writer.write(f"HTTP/1.1 200 OK\r\n{STAMP}\r\nContent-Length: {length}\r\n\r\n".encode())
        writer.write(first)
        await writer.drain()
        await event.wait()
        writer.write(rest)
        await writer.drain()

    return run


class RecalledRequestTest(PreferredOrderCase):
    """The request path while another request tries the same part."""

    def begin(self, case: PathCase, **changes: object) -> "asyncio.Task[MemoryDelivery]":
        """Start to serve a request with the part."""
        return asyncio.create_task(case.serve(shared_parts=(PART,), **changes))

    async def wait_until_sent(self) -> None:
        """Wait until an upstream has received a request."""
        async with asyncio.timeout(GIVE_UP_SECONDS):
            while not sum(self.arrivals()):
                await asyncio.sleep(0)

    # Guards against a large answer that is cut because another request crashed an upstream.
    async def test_answer_that_has_begun_is_not_recalled(self) -> None:
        event = asyncio.Event()
        with mock.patch.object(_plain_relay, "MAX_BUFFERED_BYTES", 10):
            case = await self.start(route(), [answer_when(event, b"x" * 50, b"y" * 50)])
            self.addCleanup(event.set)
            serving = self.begin(case)
            await self.wait_until_sent()
            async with asyncio.timeout(GIVE_UP_SECONDS):
                while case.part_guard.holds._unanswered:
                    await asyncio.sleep(0)
            case.part_guard.holds.hold(report(now()), now())
            event.set()
            got = await serving
        self.assertEqual((got.status, len(got.body), got.is_complete), (200, 100, True))

    # Guards against a plain answer whose parts are accused although it has begun.
    async def test_plain_answer_clears_its_parts_with_its_first_bytes(self) -> None:
        event = asyncio.Event()
        case = await self.start(route(), [answer_when(event, b"x", b"y")])
        self.addCleanup(event.set)
        serving = self.begin(case)
        async with asyncio.timeout(GIVE_UP_SECONDS):
            while not case.part_guard._evidence.is_known_harmless((KEY_OF_PART,), now()):
                await asyncio.sleep(0)
        event.set()
        await serving

    # Guards against a request that fails because it was recalled when no retries were left.
    async def test_recalled_request_is_answered_without_a_retry_budget(self) -> None:
        never = asyncio.Event()
        case = await self.start(route(), [answer_when(never, b"", b"x"), WHOLE], [WHOLE])
        self.addCleanup(never.set)
        with mock.patch.object(RetryBudget, "try_spend", return_value=False):
            serving = self.begin(case)
            await self.wait_until_sent()
            case.part_guard.holds.hold(report(now()), now())
            case.part_guard.holds.release([KEY_OF_PART])
            got = await serving
        self.assertEqual((got.status, got.body), (200, b"whole"))

    # Guards against more repeats than the retry budget allows, because those of recalled requests
    # were not counted.
    async def test_repeat_of_a_recalled_request_counts_against_the_retry_budget(self) -> None:
        never = asyncio.Event()
        case = await self.start(route(), [answer_when(never, b"", b"x"), WHOLE], [WHOLE])
        self.addCleanup(never.set)
        budget = case.dispatcher._dependencies.retry_budget(SERVICE)
        serving = self.begin(case)
        await self.wait_until_sent()
        before = budget.remaining(now(), 1)
        case.part_guard.holds.hold(report(now()), now())
        case.part_guard.holds.release([KEY_OF_PART])
        await serving
        self.assertEqual(sum(self.arrivals()), 2)
        self.assertEqual(budget.remaining(now(), 1), before - 1)

    # Guards against a request that is recalled when it has no attempt left.
    async def test_request_on_its_last_attempt_is_not_recalled(self) -> None:
        event = asyncio.Event()
        case = await self.start(route(), [answer_when(event, b"", b"late")])
        with mock.patch("cactuspass.fleet._attempts.MAX_SENDS", 1):
            serving = self.begin(case)
            await self.wait_until_sent()
            case.part_guard.holds.hold(report(now()), now())
            case.part_guard.holds.release([KEY_OF_PART])
            event.set()
            got = await serving
        self.assertEqual((got.status, got.body), (200, b"late"))

    # Guards against an operation that runs twice because it was recalled.
    async def test_request_that_must_not_be_repeated_is_not_recalled(self) -> None:
        event = asyncio.Event()
        case = await self.start(route(RouteKind.NON_IDEMPOTENT), [answer_when(event, b"", b"x")])
        serving = self.begin(case, method="POST")
        await self.wait_until_sent()
        case.part_guard.holds.hold(report(now()), now())
        event.set()
        got = await serving
        self.assertEqual((got.status, got.body, self.arrivals()), (200, b"x", [1]))

    # Guards against a request that waits for another one until after its deadline.
    async def test_wait_ends_before_the_deadline(self) -> None:
        case = await self.start(route(), [WHOLE])
        case.part_guard.holds.hold(report(now()), now())
        got = await self.begin(case, caller_timeout=0.3)
        self.assertEqual((got.status, got.body), (200, b"whole"))

    # Guards against a request that is refused, with time left, because other requests began to try
    # its part each time when it had a connection.
    async def test_request_that_is_held_back_again_and_again_is_served(self) -> None:
        case = await self.start(route(), [WHOLE])
        connect, held_by = case.pool._connect, [RequestId(f"h{n}") for n in range(2 * MAX_SENDS)]

        async def connect_and_hold(address: str) -> object:
            connection = await connect(address)
            if held_by:
                holds = case.part_guard.holds
                holds.hold(replace(report(now()), request=held_by.pop()), now())
                asyncio.get_running_loop().call_soon(holds.release, [KEY_OF_PART])
            connection.is_reusable = not held_by
            return connection

        with mock.patch.object(case.pool, "_connect", connect_and_hold):
            got = await self.begin(case)
        self.assertEqual((got.status, got.body, self.arrivals()), (200, b"whole", [1]))

    # Guards against requests that wait longer than the time of a hold.
    async def test_wait_ends_when_the_other_request_has_no_outcome(self) -> None:
        case = await self.start(route(), [WHOLE])
        with mock.patch("cactuspass.fleet.prompt_parts._holds.HOLD_SECONDS", 0.05):
            case.part_guard.holds.hold(report(now()), now())
        got = await self.begin(case)
        self.assertEqual((got.status, got.body), (200, b"whole"))

    # Guards against memory that is kept for requests whose caller has gone.
    async def test_cancelled_request_leaves_nothing_behind(self) -> None:
        event = asyncio.Event()
        case = await self.start(route(), [answer_when(event, b"", b"x")])
        self.addCleanup(event.set)
        serving = self.begin(case)
        await self.wait_until_sent()
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        self.assertEqual(case.part_guard.holds._unanswered, {})
        event.set()
        case.part_guard.holds.hold(report(now()), now())
        waiting = self.begin(case)
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertEqual(case.part_guard.holds._unanswered, {})


class OversizeTest(PreferredOrderCase):
    """Responses that this instance aborts because they are too large."""

    # Guards against parts that are blamed for crashes although no upstream has crashed.
    async def test_response_that_is_too_large_accuses_no_part(self) -> None:
        async def write_endless_head(writer: asyncio.StreamWriter, request: bytes) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\n" + b"X-Fill: x\r\n" * 20_000)
            await writer.drain()

        case = await self.start(route(), [write_endless_head], [write_endless_head])
        await case.serve(shared_parts=(PART,))
        self.assertIn("answer-oversize", "".join(case.handler.lines))
        self.assertEqual(case.part_guard._evidence.rounds(KEY_OF_PART, now()), 0)


class BlockedRequestTest(PreferredOrderCase):
    """What a caller gets while a part of the prompt is blocked."""

    # Guards against a refusal that does not name its reason, or names a time to return.
    async def test_refusal_is_typed_and_states_that_nothing_ran(self) -> None:
        case = await self.start(route(), [WHOLE])
        for number in (1, 2):
            lifetime = Lifetime(UpstreamId(f"e{number}"), number)
            prompt = request(shared_parts=(PART,))
            admitted = case.admission.admit(prompt)
            guarded = case.dispatcher._create_attempts(prompt, admitted).guarded
            guarded.note_crash(BrokenAttempt(lifetime, now(), True))
            await asyncio.sleep(0)
        async with asyncio.timeout(GIVE_UP_SECONDS):
            while not case.cluster_state.blocks.active:
                await asyncio.sleep(0.01)
        got = await case.serve(shared_parts=(PART,))
        self.assertEqual((got.status, self.arrivals()), (503, [0]))
        self.assertIn(b"prompt-part-blocked", got.body)
        self.assertIsNone(got.header("Retry-After"))
        other = await case.serve(shared_parts=(PromptPartId("cd34"),))
        self.assertEqual((other.status, other.body), (200, b"whole"))
