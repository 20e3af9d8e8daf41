"""Tests of upstreams that leave by the instance list, by a take-out and by their own status."""

import itertools
from collections.abc import Callable

from tests.fleet_case import IN_FORCE_SECONDS
from tests.operations_case import BackgroundCall, OperationsCase
from trial.calls import send_booking
from trial.fleet import KIND, MODEL, FleetPlan

KEYS = itertools.count()
MEMBER_SEPARATOR = " "


class LeavingUpstreamTest(OperationsCase):
    plan = FleetPlan(("fukuoka",), engines=3, services=2, service_settings={"latency": 0.02})
    model_groups = 1

    @classmethod
    def declare_groups(cls) -> None:
        cls.order(f"declare group g model {MODEL} in fukuoka kind {KIND} size 2 count 1 spares 1")
        cls.wait(lambda: bool(cls.serving()), "the group serves")

    def tearDown(self) -> None:
        for name in self.fleet.addresses_by_name:
            if "-engine-" in name or "-lending-" in name:
                self.fleet.control(name, "set_leaving", leaving=False)
        engines = [name for name in self.fleet.addresses_by_name if "-engine-" in name]
        services = [name for name in self.fleet.addresses_by_name if "-lending-" in name]
        self.fleet.control("instances", "instances", live=engines + services)
        super().tearDown()

    def first_member(self) -> str:
        found = self.serving()
        return str(found[0]["members"]).split(MEMBER_SEPARATOR)[0]

    def assert_group_leaves(self, leave: Callable[[str], object]) -> None:
        """Check that the first member finishes its requests and a spare replaces it."""
        leaving = self.first_member()
        with self.long_stream("fukuoka-1", "g-0"):
            leave(leaving)
            self.wait(self.all_groups_leave, "the group gets no new requests", IN_FORCE_SECONDS)
            before = self.counts().by_name[leaving]["arrived"]
        self.wait(
            lambda: any(leaving not in row["members"] for row in self.serving()),
            "the group serves with its spare",
        )
        self.send_requests("fukuoka-0", "fukuoka-1")
        self.assertEqual(self.counts().by_name[leaving]["arrived"], before)

    def all_groups_leave(self) -> bool:
        return all(row["leaving"] for row in self.fleet.rows(f"groups where model = {MODEL}"))

    def test_engine_leaves_by_the_list(self) -> None:
        self.assert_group_leaves(
            lambda name: self.fleet.control("instances", "instances", leaving=[name])
        )

    def test_engine_leaves_by_a_take_out(self) -> None:
        self.assert_group_leaves(lambda name: self.order(f"take out upstream {name}"))

    def test_engine_leaves_by_its_own_status(self) -> None:
        self.assert_group_leaves(lambda name: self.fleet.control(name, "set_leaving", leaving=True))

    def assert_service_leaves(self, leave: Callable[[str], object]) -> None:
        """Check that running calls complete and the other instance gets all new ones."""
        leaving = "fukuoka-lending-0"
        serving = "groups where serving = true and leaving = false and model = "
        both = f'{serving}"service:lending"'
        self.wait(lambda: len(self.fleet.rows(both)) == 2, "both instances serve")
        self.fleet.control(leaving, "slow", factor=40)
        calls = [BackgroundCall(lambda: self.book_status()) for _ in range(6)]
        self.wait(
            lambda: self.counts().by_name[leaving]["running"] > 0, "a call runs at the instance"
        )
        leave(leaving)
        row = f'groups where group = "service-{leaving}" and leaving = true'
        self.wait(
            lambda: bool(self.fleet.rows(row)),
            "the instance gets no new requests",
            IN_FORCE_SECONDS,
        )
        self.assertEqual({call.result() for call in calls}, {200})
        self.fleet.control(leaving, "slow", factor=1)
        before = self.counts().by_name[leaving]["arrived"]
        for _ in range(12):
            answer = self.book_status()
            self.assertEqual(answer, 200)
        self.assertEqual(self.counts().by_name[leaving]["arrived"], before)

    def book_status(self) -> int:
        entry = self.fleet.entries_by_name[f"fukuoka-{next(KEYS) % 2}"]
        answer = send_booking(entry.callers, f"leaving-{next(KEYS)}", "crew")
        if answer.status != 200:
            print(answer.body.decode())
        return answer.status

    def test_service_leaves_by_the_list(self) -> None:
        self.assert_service_leaves(
            lambda name: self.fleet.control("instances", "instances", leaving=[name])
        )

    def test_service_leaves_by_a_take_out(self) -> None:
        self.assert_service_leaves(lambda name: self.order(f"take out upstream {name}"))

    def test_service_leaves_by_its_own_status(self) -> None:
        self.assert_service_leaves(
            lambda name: self.fleet.control(name, "set_leaving", leaving=True)
        )
