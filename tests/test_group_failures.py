"""Tests in which members, upstreams and all of a data centre fail under traffic."""

from tests.group_case import GroupCase
from tests.group_traffic import Ending, book_with_key, send_burst, stream_short
from tests.invariants import no_shared_instance
from trial.fleet import KIND, MODEL, FleetPlan

LOAD_SECONDS = 0.5
MAX_DOWNTIME_SECONDS = LOAD_SECONDS + 2.0
DATA_CENTRE_DOWN_SECONDS = 3.0


class GroupFailureTest(GroupCase):
    plan = FleetPlan(engines=5)

    def tearDown(self) -> None:
        self.wait_serving()

    def test_burst_through_all_entries_at_fresh_upstreams(self) -> None:
        for data_centre in self.plan.data_centres:
            for number in range(self.plan.engines):
                self.fleet.control(f"{data_centre}-engine-{number}", "restart")
            self.fleet.control(f"{data_centre}-lending-0", "restart")
        self.wait_serving()
        outcomes = [
            *send_burst(self.callers(), stream_short, callers=6),
            *send_burst(self.callers(), book_with_key, callers=6),
        ]
        self.assertEqual({item.ending for item in outcomes}, {Ending.COMPLETE}, outcomes)
        self.assert_outcomes_true(outcomes)
        self.assert_upstream_invariants()

    def test_spare_replaces_a_killed_member_within_the_load_time_and_two_seconds(self) -> None:
        with self.streams() as traffic:
            for rank in (1, 0):
                self.wait_more(traffic, 10)
                lost = self.members("fukuoka")[rank]
                self.fleet.control(lost, "kill", seconds=MAX_DOWNTIME_SECONDS)
                self.wait(
                    lambda lost=lost: self.serves_without(lost, "fukuoka"),
                    f"a spare serves in place of {lost}",
                    MAX_DOWNTIME_SECONDS,
                )
                self.wait_more(traffic, 10)
                self.wait(lambda lost=lost: self.is_up(lost), f"{lost} is back")
        self.assert_outcomes_true(traffic.outcomes)
        self.assert_upstream_invariants()

    def test_upstreams_that_restart_without_warning_never_get_too_much(self) -> None:
        with self.streams(callers=3) as streams, self.bookings(callers=3) as bookings:
            for _ in range(2):
                self.wait_more(streams, 20)
                self.wait_more(bookings, 40)
                for data_centre in self.plan.data_centres:
                    self.fleet.control(self.members(data_centre)[0], "restart")
                    self.fleet.control(f"{data_centre}-lending-0", "restart")
                self.wait_serving()
            self.wait_more(streams, 20)
        self.assert_outcomes_true(streams.outcomes)
        self.assert_outcomes_true(bookings.outcomes)
        self.assert_upstream_invariants()

    def test_dark_data_centre_comes_back_cold(self) -> None:
        engines = [f"kumamoto-engine-{number}" for number in range(self.plan.engines)]
        with self.streams() as traffic:
            self.wait_more(traffic, 10)
            for engine in engines:
                self.fleet.control(engine, "kill", seconds=DATA_CENTRE_DOWN_SECONDS)
            self.wait(lambda: not self.group("kumamoto").get("serving"), "the group is down")
            self.wait_more(traffic, 20)
            self.wait(lambda: all(map(self.is_up, engines)), "the engines are back")
            self.wait_serving()
            self.wait_more(traffic, 20)
        self.assert_outcomes_true(traffic.outcomes)
        self.assert_upstream_invariants()

    def test_placement_whose_answer_was_lost_binds_no_instance_twice(self) -> None:
        declare = (
            f"declare group fukuoka-group model {MODEL} in fukuoka kind {KIND} size 2 spares 1"
        )
        with self.streams() as traffic:
            for count in (2, 1, 2):
                self.wait_more(traffic, 5)
                self.fleet.control("platform", "lose_next_answers", count=4)
                self.order(f"{declare} count {count}")
                self.wait(lambda count=count: len(self.serving()) == count + 2, f"{count} serve")
                self.assert_no_violations(no_shared_instance(self.fleet.rows("groups")))
            self.order(f"{declare} count 1")
        self.assertGreaterEqual(self.fleet.control("platform", "counts")["answers_lost"], 3)
        self.assert_outcomes_true(traffic.outcomes)
        self.assert_upstream_invariants()
