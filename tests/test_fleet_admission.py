"""Admission of requests by the newest operator documents and their age."""

import asyncio
import time
import unittest
from unittest import mock

from cactuspass._clock import now
from cactuspass.fleet._admission import NotAdmitted
from cactuspass.fleet._catalog import Catalog, CatalogIndex, Customer, RouteKind
from cactuspass.models import CustomerId
from tests.fleet_path import STAMP, PathCase, PreferredOrderCase, answer, request, route

AT = 1024.0


class AdmissionTest(unittest.TestCase):
    """Admission by route and key."""

    def setUp(self) -> None:
        self.case = PathCase(route(), [])

    def status(self, age: float = 0.0, **changes: object) -> int:
        self.case.cluster_state.operators_read_at = AT - age
        try:
            with mock.patch("cactuspass.fleet._cluster_state.now", lambda: AT):
                self.case.admission.admit(request(**changes))
        except NotAdmitted as error:
            return error.problem.status
        return 200

    def test_known_key_is_admitted(self) -> None:
        self.assertEqual(self.status(), 200)

    def test_unknown_key_and_route_are_denied(self) -> None:
        self.assertEqual(self.status(key="other"), 401)
        self.assertEqual(self.status(target="/q/"), 404)

    def test_prefix_matches_whole_segments_only(self) -> None:
        self.assertEqual(self.status(target="/px"), 404)

    def test_nothing_is_denied_by_an_old_catalog(self) -> None:
        self.assertEqual(self.status(age=3.0, key="other"), 503)
        self.assertEqual(self.status(age=3.0, target="/q/"), 503)

    def test_no_key_is_trusted_that_may_have_been_taken_away_since(self) -> None:
        self.assertEqual(self.status(age=4.9), 200)
        self.assertEqual(self.status(age=5.0), 503)

    def test_public_route_needs_no_store(self) -> None:
        self.case.cluster_state.accept_catalog(
            Catalog(2, (route(public=True),), customers=(Customer(CustomerId("c"), ("k",)),))
        )
        self.assertEqual(self.status(age=60.0, key=None), 200)

    def test_without_a_catalog_nothing_is_denied(self) -> None:
        self.case.cluster_state.catalog_index = None
        self.assertEqual(self.status(key="other"), 503)


class StartTest(PreferredOrderCase):
    """Requests that reach an instance right after its start.

    Pattern: all instances lose power and come back. Callers that had been waiting for a listener
    arrive at once, some tenths of a second before the catalog does.
    """

    connect_timeout = 5.0

    async def start_without_catalog(self) -> tuple[PathCase, Catalog]:
        success = answer("200 OK", b"body", STAMP)
        case = await self.start(route(), [success] * 5)
        index = case.cluster_state.catalog_index
        assert index is not None
        case.cluster_state.catalog_index = None
        return case, index.catalog

    # Guards against refusals in the moment between the start and the first catalog.
    async def test_requests_before_the_first_catalog_are_served(self) -> None:
        case, catalog = await self.start_without_catalog()
        early = [asyncio.create_task(case.serve()) for _ in range(5)]
        await asyncio.sleep(0.05)
        self.assertFalse(any(task.done() for task in early))
        case.cluster_state.accept_catalog(catalog)
        got = await asyncio.gather(*early)
        self.assertEqual([item.status for item in got], [200] * 5)

    # Guards against requests that are held though the catalog does not come.
    async def test_requests_are_refused_at_once_when_no_catalog_has_come(self) -> None:
        case, _ = await self.start_without_catalog()
        with mock.patch("cactuspass.fleet._dispatch.MAX_CATALOG_WAIT_SECONDS", 0.1):
            self.assertEqual((await case.serve()).status, 503)
            with mock.patch.object(case.cluster_state, "wait_for_change") as wait:
                late = [await case.serve() for _ in range(5)]
        self.assertEqual([item.status for item in late], [503] * 5)
        wait.assert_not_called()

    # Guards against a wait that uses up the caller's timeout.
    async def test_wait_is_a_part_of_the_callers_timeout(self) -> None:
        case, _ = await self.start_without_catalog()
        arrived_at = now()
        with mock.patch.object(case.cluster_state, "wait_for_catalog") as wait:
            got = await case.serve(caller_timeout=2.0, arrived_at=arrived_at)
        self.assertEqual(got.status, 503)
        wait.assert_awaited_once_with(arrived_at + 0.5)

    # Guards against a stop that leaves such a request without an answer.
    async def test_stop_ends_the_wait_with_a_refusal(self) -> None:
        case, _ = await self.start_without_catalog()
        waiting = asyncio.create_task(case.serve())
        await asyncio.sleep(0.05)
        case.dispatcher.end_requests()
        got = await waiting
        self.assertEqual(got.status, 503)


class CatalogTest(unittest.TestCase):
    """Route lookup, replacement and age of the catalog."""

    def test_longest_prefix_wins(self) -> None:
        wide, narrow = route(name="wide"), route(RouteKind.STREAM, name="narrow", prefix="/p/q/")
        index = CatalogIndex(Catalog(1, (wide, narrow)))
        found = index.find_route("a.example:80", "/p/q/x?y=1")
        self.assertIs(found, narrow)

    def test_lower_version_is_never_put_in_force(self) -> None:
        cluster_state = PathCase(route(), []).cluster_state
        cluster_state.accept_catalog(Catalog(7))
        self.assertFalse(cluster_state.accept_catalog(Catalog(6)))
        assert cluster_state.catalog_index is not None
        self.assertEqual(cluster_state.catalog_index.catalog.version, 7)

    def test_time_of_suspension_counts(self) -> None:
        """The machine was suspended for nine seconds, which only CLOCK_BOOTTIME counts."""
        cluster_state = PathCase(route(), []).cluster_state
        cluster_state.operators_read_at = AT
        clocks = {time.CLOCK_BOOTTIME: AT + 9, time.CLOCK_MONOTONIC: AT}
        with mock.patch("time.clock_gettime", clocks.__getitem__):
            self.assertEqual(cluster_state.operators_age(), 9)


if __name__ == "__main__":
    unittest.main()
