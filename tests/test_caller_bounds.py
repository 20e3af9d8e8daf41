"""Which callers lose their place, without a network or clock."""

import unittest

from cactuspass._byte_budget import ByteBudget
from cactuspass._caller_memory import CallerAccount, CallerBounds, CallerMemory
from cactuspass._request_body import BLOCK_BYTES, RequestBody
from cactuspass.exceptions import SettingsError
from cactuspass.fleet import parse_instance_settings
from cactuspass.fleet._answer_buffers import AnswerBuffers
from cactuspass.fleet._caller_bounds import HeldByCallers

LARGEST_BODY = 4_194_304
BOUNDS = CallerBounds(held_bytes=40_000_000, connections=100)
NOW = 100.0
SETTINGS = """
    [instance]
    name = "e0"
    data_centre = "here"
    [listeners]
    callers = "127.0.0.1:0"
    readiness = "127.0.0.1:0"
    [store]
    address = "127.0.0.1:1"
"""


class CallerMemoryTest(unittest.TestCase):
    """Callers on a process that may hold 40 MB for them."""

    def setUp(self) -> None:
        self.budget = ByteBudget(50_000_000)
        self.memory = CallerMemory(BOUNDS, self.budget)

    def caller(self, count: int, seconds: float = 0.0, whole: bool = False) -> CallerAccount:
        """Return a caller that holds bytes and has made no progress for some time."""
        account = self.memory.open("127.0.0.1:1", NOW - seconds)
        self.memory.hold_request(account, count)
        account.is_whole = whole
        return account

    def victims(self, requester: CallerAccount | None) -> list[CallerAccount]:
        return self.memory.choose_victims(requester, NOW)

    # Guards against limits that ordinary callers meet: several of the largest bodies at once.
    def test_nobody_loses_its_place_within_the_bounds(self) -> None:
        callers = [self.caller(LARGEST_BODY, seconds=60.0) for _ in range(8)]
        self.assertEqual(self.victims(callers[-1]), [])

    # Guards against bodies just short of their end that keep all others out.
    def test_stalled_requests_lose_their_place_first(self) -> None:
        for _ in range(4):
            self.caller(LARGEST_BODY)
        stalled = [self.caller(LARGEST_BODY, seconds=10.0 + n) for n in range(4)]
        self.assertEqual(self.victims(self.caller(LARGEST_BODY)), [stalled[-1]])

    # Guards against newcomers that displace each other, so that no request is ever complete.
    def test_newcomer_does_not_displace_requests_of_its_size_that_make_progress(self) -> None:
        for _ in range(8):
            self.caller(LARGEST_BODY)
        newcomer = self.caller(LARGEST_BODY)
        self.assertEqual(self.victims(newcomer), [newcomer])

    # Guards against small requests that are refused for the sake of large ones.
    def test_small_requests_keep_their_place_beside_large_ones(self) -> None:
        small = [self.caller(5000, seconds=60.0) for _ in range(1000)]
        large = [self.caller(LARGEST_BODY, seconds=10.0) for _ in range(9)]
        self.assertFalse(set(self.victims(large[-1])) & set(small))
        newest = self.caller(5000)
        self.assertNotIn(newest, self.victims(newest))

    # Guards against running requests that are cut, whose callers could not know whether they ran.
    def test_whole_requests_keep_their_place(self) -> None:
        for _ in range(9):
            self.caller(LARGEST_BODY, seconds=60.0, whole=True)
        newcomer = self.caller(LARGEST_BODY)
        self.assertEqual(self.victims(newcomer), [newcomer])
        self.memory.close(newcomer)
        self.caller(3_000_000, whole=True)
        self.assertEqual(self.victims(None), [])

    # Guards against answers that slow readers leave in the memory.
    def test_unread_answer_loses_its_place_when_its_caller_has_stalled(self) -> None:
        reader = self.caller(0, seconds=10.0, whole=True)
        reader.is_unread = True
        self.memory.hold_buffers(reader, 45_000_000)
        self.assertEqual(self.victims(None), [reader])

    # Guards against bytes that are sent just fast enough to count as progress.
    def test_slow_request_counts_as_stalled(self) -> None:
        slow = self.caller(LARGEST_BODY, seconds=10.0)
        slow.progressed_at, slow.received_bytes = NOW, 1000
        for _ in range(7):
            self.caller(LARGEST_BODY)
        self.assertEqual(self.victims(self.caller(LARGEST_BODY)), [slow])

    # Guards against a count that grows with each connection until everybody is refused.
    def test_closed_connections_hold_nothing(self) -> None:
        account = self.caller(1000)
        self.memory.hold_buffers(account, 500)
        self.memory.close(account)
        self.memory.hold_buffers(account, 500)
        self.memory.close(account)
        self.assertEqual((self.memory.held_bytes, self.budget.held_bytes), (0, 0))

    # Guards against requests and answers that are bounded each, and not together.
    def test_answers_count_in_the_same_budget(self) -> None:
        answers = AnswerBuffers(30_000_000, self.budget)
        largest = self.caller(35_000_000)
        self.assertFalse(answers.try_hold(20_000_000))
        self.assertTrue(answers.try_hold(15_000_000))
        small, large = self.caller(5000), self.caller(1_000_000)
        self.assertEqual((self.victims(small), self.victims(large)), ([], [largest]))


class RequestBodyTest(unittest.TestCase):
    """Bodies that arrive in parts of any size."""

    # Guards against parts of few bytes, each of which takes many times its bytes by itself.
    def test_small_parts_are_held_in_blocks(self) -> None:
        body = RequestBody()
        for _ in range(BLOCK_BYTES):
            body.add(b"xyz")
        self.assertLessEqual(len(body._blocks), 3)
        body.add(b"x" * BLOCK_BYTES)
        self.assertEqual(body.take(), b"xyz" * BLOCK_BYTES + b"x" * BLOCK_BYTES)


class BoundsBySettingsTest(unittest.TestCase):
    """Bounds by the settings and the size of the machine."""

    def memory(self, further: str) -> CallerMemory:
        return HeldByCallers(parse_instance_settings(SETTINGS + further, "settings.toml")).memory

    def test_bounds_follow_the_machine_unless_they_are_set(self) -> None:
        machine = "[machine]\nmemory_megabytes = 200\ndescriptors = 4100\n"
        bounds = self.memory(machine).bounds
        self.assertEqual((bounds.held_bytes, bounds.connections), (35_200_000, 2050))
        bounds = self.memory(machine + "[callers]\nheld_megabytes = 20\nconnections = 50").bounds
        self.assertEqual((bounds.held_bytes, bounds.connections), (16_000_000, 50))
        self.assertGreater(self.memory("").bounds.held_bytes, 200_000_000)

    # Guards against bounds that leave nothing of the machine to everything else.
    def test_bounds_beyond_the_machine_are_refused(self) -> None:
        for further in (
            "[machine]\nmemory_megabytes = 200\n[callers]\nheld_megabytes = 101",
            "[machine]\ndescriptors = 100\n[callers]\nconnections = 100",
            "[callers]\nheld_megabytes = 15",
            "[callers]\nconnections = 15",
            "[callers]\nstall_seconds = 0",
            "[callers]\nmin_bytes_per_second = -1",
        ):
            with self.subTest(further), self.assertRaises(SettingsError):
                self.memory(further)


if __name__ == "__main__":
    unittest.main()
