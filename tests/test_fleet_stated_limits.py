"""Limits that upstreams state: how they are read, and in what order of responses they apply."""

import json
import unittest

from cactuspass.fleet._answer_head import AnswerHead
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._inbound import StatedLimit
from cactuspass.fleet._limit_shares import LimitShares
from cactuspass.fleet._request_limits import MAX_LIMITS, LimitChange, RequestLimits
from cactuspass.fleet._upstreams import Lifetime, UpstreamId
from cactuspass.platform._requests import PlatformRequests
from tests.fleet_path import STAMP, PathCase, PreferredOrderCase, answer, recording_log, route

LIFETIME = Lifetime(UpstreamId("a"), 1)
NOT_RUN = "Cactuspass-Not-Run: 1"


class DecodingTest(unittest.TestCase):
    """The limit read from the platform's Server-Limit header."""

    def stated(self, *values: str) -> StatedLimit | None:
        headers = tuple(("server-limit", value) for value in values)
        return PlatformRequests().read_answer(AnswerHead(200, headers)).limit

    def test_decimal_numbers_are_read(self) -> None:
        for text, rate in (("2.5", 2.5), ("0", 0.0), (" 3 ", 3.0), (".5", 0.5), ("7.", 7.0)):
            with self.subTest(text=text):
                self.assertEqual(self.stated(text), StatedLimit(rate, text))

    def test_other_values_have_no_rate(self) -> None:
        texts = ("", "-1", "nan", "inf", "1e999", "1e3", "0x2", "2 5", "\u0663", "9" * 400, "2;3")
        for text in texts:
            with self.subTest(text=text):
                self.assertEqual(self.stated(text), StatedLimit(None, text[:64]))

    def test_lowest_of_several_values_applies(self) -> None:
        self.assertEqual(self.stated("3", "2.5"), StatedLimit(2.5, "3,2.5"))
        self.assertEqual(self.stated("3, 2.5"), StatedLimit(2.5, "3, 2.5"))

    def test_several_values_of_which_one_is_no_number_have_no_rate(self) -> None:
        self.assertEqual(self.stated("3", "many"), StatedLimit(None, "3,many"))

    def test_response_without_the_header_states_no_limit(self) -> None:
        self.assertIsNone(self.stated())


class OrderTest(unittest.TestCase):
    """Responses that overtake each other."""

    def setUp(self) -> None:
        cluster_state = ClusterState(recording_log()[0])
        self.limits = RequestLimits(LimitShares(cluster_state, None))
        self.assertIs(self.record(2.0, 10.0, 10.2), LimitChange.BEGUN)

    def record(self, rate: float | None, sent_at: float, at: float) -> LimitChange:
        return self.limits.record(LIFETIME, rate, sent_at, at)

    def rate(self) -> float | None:
        limit = self.limits.find(LIFETIME)
        return limit.rate if limit is not None else None

    def test_response_to_an_earlier_request_does_not_end_a_limit(self) -> None:
        self.assertIs(self.record(None, 10.1, 10.3), LimitChange.NONE)
        self.assertEqual(self.rate(), 2.0)

    def test_response_to_a_later_request_ends_a_limit(self) -> None:
        self.assertIs(self.record(None, 10.2, 10.3), LimitChange.ENDED)
        self.assertIsNone(self.rate())

    def test_only_a_response_to_a_later_request_raises_a_limit(self) -> None:
        self.record(4.0, 10.1, 10.3)
        self.assertEqual(self.rate(), 2.0)
        self.assertIs(self.record(4.0, 10.25, 10.4), LimitChange.CHANGED)
        self.assertEqual(self.rate(), 4.0)

    def test_any_response_lowers_a_limit(self) -> None:
        self.assertIs(self.record(1.0, 10.0, 10.3), LimitChange.CHANGED)
        self.assertEqual(self.rate(), 1.0)

    def test_small_changes_apply_without_being_reported(self) -> None:
        for rate in (1.95, 1.9, 1.85):
            self.assertIs(self.record(rate, 10.0, 10.3), LimitChange.NONE)
            self.assertEqual(self.rate(), rate)
        self.assertIs(self.record(1.75, 10.0, 10.3), LimitChange.CHANGED)

    def test_number_of_limits_is_bounded(self) -> None:
        for number in range(MAX_LIMITS + 5):
            self.limits.record(Lifetime(UpstreamId(f"u{number}"), 1), 1.0, 11.0, 11.0)
        self.assertEqual(len(self.limits.limits_by_lifetime), MAX_LIMITS)


class NoticeTest(PreferredOrderCase):
    """What an instance logs and passes on of responses that state limits."""

    def changes(self, case: PathCase) -> list[tuple[str, float | None]]:
        lines = [json.loads(line) for line in case.handler.lines]
        found = [line for line in lines if line["event"] == "upstream-limit"]
        return [(line["change"], line.get("limit")) for line in found]

    async def test_begin_and_end_are_logged_once_and_callers_do_not_see_the_header(self) -> None:
        limited = answer("200 OK", b"body", STAMP, "Server-Limit: 50")
        case = await self.start(route(), [limited, limited, answer("200 OK", b"body", STAMP)])
        for _ in range(3):
            got = await case.serve()
            self.assertEqual((got.status, got.body), (200, b"body"))
            self.assertIsNone(got.header("Server-Limit"))
        self.assertEqual(self.changes(case), [("begun", 50.0), ("ended", None)])

    async def test_response_with_an_unreadable_limit_is_passed_on(self) -> None:
        limited = answer("200 OK", b"body", STAMP, "Server-Limit: 1e999")
        case = await self.start(route(), [limited])
        for _ in range(2):
            self.assertEqual((await case.serve()).body, b"body")
        lines = [json.loads(line) for line in case.handler.lines]
        unreadable = [line for line in lines if line["event"] == "upstream-limit-unreadable"]
        self.assertEqual([line["stated"] for line in unreadable], ["1e999"])
        self.assertEqual(self.changes(case), [])

    async def test_response_that_is_not_the_upstreams_own_changes_nothing(self) -> None:
        limited = answer("200 OK", b"body", STAMP, "Server-Limit: 50")
        from_another = answer("421 Misdirected Request", b"", NOT_RUN)
        from_nobody = answer("200 OK", b"spoilt")
        case = await self.start(route(), [limited, from_another, from_nobody], [limited])
        for _ in range(3):
            await case.serve()
        self.assertEqual(len(case.selector.limits.limits_by_lifetime), 2)
