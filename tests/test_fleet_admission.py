"""Admission of requests by the newest operator documents and their age."""

import time
import unittest
from unittest import mock

from cactuspass.fleet._catalog import Catalog, CatalogIndex, Customer, RouteKind
from cactuspass.fleet._dispatch import NotAdmitted
from cactuspass.models import CustomerId
from tests.fleet_path import PathCase, request, route

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
