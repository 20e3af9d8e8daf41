"""Which parts of prompts are blocked after crashes, by several instances in simulated time."""

import json
from dataclasses import replace

from cactuspass.fleet._upstreams import Lifetime, UpstreamId
from cactuspass.fleet.prompt_parts._block_changes import FIRST_BLOCK_SECONDS
from cactuspass.fleet.prompt_parts._block_trials import TURN_SECONDS
from cactuspass.fleet.prompt_parts._crash_evidence import CLEARED_SECONDS
from cactuspass.fleet.prompt_parts._guard import MAX_ACCUSED_PER_PROMPT, SETTLE_SECONDS
from cactuspass.fleet.prompt_parts._guarded_request import GuardedRequest, guard_request
from cactuspass.fleet.prompt_parts._holds import HOLD_SECONDS, MAX_HELD_PARTS
from cactuspass.fleet.prompt_parts._parts import BrokenAttempt, PromptPartId
from cactuspass.models import CustomerId, ModelId, RequestId
from cactuspass.platform._requests import PlatformRequests
from tests.part_world import UNIX_TIME, PartWorld, PartWorldCase, block_of, part_key, prompt

FIRST = "aa"
BAD = "bb"
SETTLED_SECONDS = 0.2
LONG_PART = "f" * 64
MAX_CRASHES = 5
# A crash report costs one broadcast, the answers of those that know better a few more.
MAX_BROADCASTS_PER_REPORT = 20


class BlameTest(PartWorldCase):
    """The evidence against a part."""

    def crash_twice(self, world: PartWorld, *parts: str) -> None:
        """Let two upstreams crash one after another, at different instances."""
        for number in (1, 2):
            world.crash(number % len(world.guards), f"u{number}", *parts)
            world.run(SETTLED_SECONDS)

    # Guards against a part that crashes more upstreams than needed to know it.
    def test_part_is_blocked_at_all_instances_after_two_crashes(self) -> None:
        world = self.start(6)
        world.begin(5, FIRST)
        self.crash_twice(world, FIRST, BAD)
        self.assertEqual([world.blocked(number) for number in range(6)], [{BAD}] * 6)

    # Guards against a block for crashes that happened at once, as when a rack is lost.
    def test_crashes_of_requests_under_way_at_once_count_as_one(self) -> None:
        world = self.start(6)
        for number in range(2):
            world.crash(number, f"u{number}", BAD, sent_ago=0.3)
        world.run(SETTLED_SECONDS)
        self.assertEqual(world.all_blocked, set())

    # Guards against a part that hides behind many others of the same prompt.
    def test_part_behind_many_others_is_blocked(self) -> None:
        world = self.start(3)
        for number in range(5):
            others = [f"{number}{other:02x}" for other in range(12)]
            world.crash(number % 3, f"u{number}", *others, BAD)
            world.run(SETTLED_SECONDS)
        self.assertEqual(world.all_blocked, {BAD})

    # Guards against sound requests that are refused since a block named some of the parts they
    # share with a crashing one, and not the part that crashes upstreams.
    def test_block_for_a_prompt_of_many_parts_refuses_no_sound_prompt(self) -> None:
        for seed in range(10):
            world = self.start(6, seed)
            shared = [f"a{number:02x}" for number in range(20)]
            self.crash_twice(world, *shared, BAD)
            self.assertIsNotNone(world.guards[0].find_block(prompt(*shared, BAD)))
            self.assertIsNone(world.guards[0].find_block(prompt(*shared)))
            self.doCleanups()

    # Guards against a part that is never blocked, since each prompt has many other new parts.
    def test_part_among_many_new_ones_is_blocked_after_few_crashes(self) -> None:
        for seed in range(10):
            world = self.start(6, seed)
            for number in range(3):
                others = [f"{number:02x}{other:04x}" for other in range(60)]
                world.crash(number, f"u{number}", *others, BAD)
                world.run(SETTLED_SECONDS)
            self.assertEqual(world.all_blocked, {BAD})
            self.doCleanups()

    # Guards against a blame that other instances derive from a report without some of the parts.
    def test_report_that_cannot_name_all_parts_makes_others_blame_none(self) -> None:
        for seed in range(10):
            world = self.start(2, seed)
            shared = [f"{number:02x}" + LONG_PART[2:] for number in range(20)]
            for number in range(2):
                world.crash(number, f"u{number}", *shared, BAD)
                world.run(SETTLED_SECONDS)
            self.assertEqual(world.all_blocked, set())
            self.doCleanups()

    # Guards against a prompt with more parts than are remembered, of which some are blocked.
    def test_prompt_with_too_many_parts_blocks_none(self) -> None:
        world = self.start(2)
        parts = [f"{number:04x}" for number in range(2 * MAX_ACCUSED_PER_PROMPT)]
        self.crash_twice(world, *parts, BAD)
        self.assertEqual(world.all_blocked, set())

    # Guards against many cleared parts of which other instances never hear.
    def test_answer_on_many_accused_parts_is_told_to_others(self) -> None:
        world = self.start(2)
        parts = [f"{number:064x}" for number in range(40)]
        world.crash(0, "u1", *parts, BAD)
        world.crash(1, "u1", *parts, BAD)
        world.run(SETTLED_SECONDS)
        world.begin(1, *parts)
        world.run(0.1)
        self.crash_twice(world, *parts, BAD)
        self.assertEqual(world.all_blocked, {BAD})

    # Guards against a crash of which nobody can tell why it accused no part.
    def test_log_tells_why_a_crash_accuses_no_part(self) -> None:
        world = self.start(1)
        world.begin(0, FIRST)
        world.crash(0, "u1", FIRST)
        lines = [json.loads(line) for line in world.handler.lines]
        found = [line for line in lines if line["event"] == "no-part-suspected"]
        self.assertEqual(
            [(line["upstream"], line["parts"], line["reason"]) for line in found],
            [("u1", FIRST, "answers-begun-on-all-parts")],
        )

    # Guards against a part that is answered and stays accused.
    def test_answer_at_another_instance_clears_a_part_at_once(self) -> None:
        world = self.start(3)
        world.crash(0, "u1", BAD)
        world.run(SETTLED_SECONDS)
        world.begin(1, BAD)
        world.run(0.01)
        world.crash(2, "u2", BAD)
        world.run(SETTLED_SECONDS)
        self.assertEqual(world.all_blocked, set())

    # Guards against an old answer that instances tell each other of again and again.
    def test_answer_that_is_told_later_clears_for_no_longer_than_others(self) -> None:
        world = self.start(3)
        world.begin(0, BAD)
        world.run(CLEARED_SECONDS - 1.0)
        world.crash(1, "u1", BAD)
        world.run(2.0)
        for upstream in ("u2", "u3"):
            world.crash(1, upstream, BAD)
            world.run(SETTLED_SECONDS)
        self.assertEqual(world.all_blocked, {BAD})

    # Guards against a verdict that overlooks an answer which began just before it.
    def test_answer_between_the_crash_and_the_verdict_prevents_the_block(self) -> None:
        world = self.start(3)
        world.crash(0, "u1", BAD)
        world.run(SETTLED_SECONDS)
        world.crash(1, "u2", BAD)
        world.run(0.1)
        world.begin(2, BAD)
        world.run(SETTLED_SECONDS)
        self.assertEqual(world.all_blocked, set())

    # Guards against a block on one of two parts of which nobody knows which one it is.
    def test_parts_that_were_always_together_are_blocked_together(self) -> None:
        world = self.start(3)
        self.crash_twice(world, BAD, FIRST)
        self.assertEqual(world.all_blocked, {f"{FIRST}+{BAD}"})
        self.assertIsNone(world.guards[0].find_block(prompt(FIRST)))
        world.crash(0, "u3", BAD)
        world.run(SETTLED_SECONDS)
        self.assertEqual(world.all_blocked, {f"{FIRST}+{BAD}", BAD})

    # Guards against a block on a part while another prompt explains the crashes as well.
    def test_rival_at_both_crashes_delays_the_block(self) -> None:
        world = self.start(3)
        for number in (1, 2):
            world.crash(0, f"u{number}", BAD)
            world.crash(1, f"u{number}", "cc", customer="other")
            world.run(SETTLED_SECONDS)
        self.assertEqual(world.all_blocked, set())
        world.crash(2, "u3", BAD)
        world.run(SETTLED_SECONDS)
        self.assertEqual(world.all_blocked, {BAD})

    # Guards against the blame of a request that was still queued when its upstream crashed.
    def test_request_with_a_head_is_blamed_before_one_without(self) -> None:
        world = self.start(3)
        for number in (1, 2):
            world.crash(0, f"u{number}", BAD)
            world.crash(1, f"u{number}", "cc", was_writing=False)
            world.run(SETTLED_SECONDS)
        self.assertEqual(world.all_blocked, {BAD})

    # Guards against a verdict on a crash of which only some reports have arrived.
    def test_verdict_waits_for_the_reports_of_the_last_crash(self) -> None:
        world = self.start(3)
        world.crash(0, "u1", BAD)
        world.run(SETTLE_SECONDS - 0.01)
        world.crash(0, "u2", BAD)
        world.run(SETTLE_SECONDS / 2)
        self.assertEqual(world.all_blocked, set())
        world.run(SETTLED_SECONDS)
        self.assertEqual(world.all_blocked, {BAD})

    # Guards against a block on the evidence of two requests that were only queued.
    def test_crashes_without_a_head_need_one_more(self) -> None:
        world = self.start(3)
        for number, expected in ((1, set()), (2, set()), (3, {BAD})):
            world.crash(0, f"u{number}", BAD, was_writing=False)
            world.run(SETTLED_SECONDS)
            self.assertEqual(world.all_blocked, expected)

    # Guards against a part that crashes two more upstreams with each model of its service.
    def test_one_crash_is_enough_if_the_part_is_blocked_for_another_model(self) -> None:
        world = self.start(3)
        known = block_of(BAD)
        other_model = replace(known, key=replace(known.key, model=ModelId("small")))
        for guard in world.guards:
            guard.merge(other_model, "feed")
        world.crash(0, "u1", BAD)
        world.run(SETTLED_SECONDS)
        self.assertIsNotNone(world.guards[1].find_block(prompt(BAD)))

    # Guards against blocks by an instance that has lost its own connections to all upstreams.
    def test_instance_that_loses_its_connections_blocks_no_part(self) -> None:
        world = self.start(6)
        for attempt in range(4):
            for number in range(24):
                upstream = f"u{(number + attempt) % 24}"
                world.crash(0, upstream, f"part-{number}", sent_ago=0.05, was_writing=False)
                world.run(0.002)
            world.run(0.1)
        world.run(SETTLED_SECONDS)
        self.assertEqual(world.all_blocked, set())

    # Guards against an accusation of the last part, which belongs to one request.
    def test_last_part_of_a_prompt_is_never_looked_at(self) -> None:
        headers = (
            ("Host", "a.example"),
            ("Cactuspass-Request-Id", "q1"),
            ("Cactuspass-Prompt-Prefix", "aa:40,BB:12,x,aa:3,cc:7"),
        )
        request = PlatformRequests().read_request("GET", "/p/x", headers, b"", 0.0)
        self.assertEqual(request.shared_parts, ("aa", "bb"))


class ManyReportersTest(PartWorldCase):
    """Crashes that many instances report."""

    # Guards against a block that the other instances are not told because it names too many.
    def test_block_that_many_instances_reported_fits_into_a_datagram(self) -> None:
        world = self.start(195)
        for number, reporters in ((1, 1), (2, 100)):
            for instance in range(reporters):
                world.crash(instance, f"u{number}", BAD)
            world.run(SETTLED_SECONDS)
        self.assertTrue(all(world.blocked(number) == {BAD} for number in range(195)))

    # Guards against a storm of datagrams from all instances that have seen a part answered.
    def test_few_instances_answer_a_report_on_a_part_that_all_know(self) -> None:
        world = self.start(195)
        for instance in range(1, 195):
            world.begin(instance, FIRST)
        world.crash(0, "u1", FIRST, BAD)
        world.run(SETTLED_SECONDS)
        self.assertLessEqual(len(world.sent), MAX_BROADCASTS_PER_REPORT)

    # Guards against a block on a first part that the reporting instance has not seen answered.
    def test_answers_elsewhere_clear_a_first_part_in_time(self) -> None:
        world = self.start(195)
        world.begin(100, FIRST)
        for number in (1, 2):
            world.crash(0, f"u{number}", FIRST, BAD)
            world.run(SETTLED_SECONDS)
        self.assertEqual(world.all_blocked, {BAD})


class CustomersTest(PartWorldCase):
    """The customers that a block holds for."""

    # Guards against a block that lets one customer's requests crash upstreams again.
    def test_block_for_one_customer_is_widened_by_another(self) -> None:
        world = self.start(2)
        known = block_of(BAD, customers=(CustomerId("other"),), seconds=FIRST_BLOCK_SECONDS)
        for guard in world.guards:
            guard.merge(known, "feed")
        for number in (1, 2):
            world.crash(0, f"u{number}", BAD)
            world.run(SETTLED_SECONDS)
        for customer in ("other", "customer-1"):
            self.assertIsNotNone(world.guards[1].find_block(prompt(BAD, customer=customer)))

    # Guards against a customer that has another one's requests refused.
    def test_other_customers_part_beside_crashing_ones_goes_on_being_served(self) -> None:
        world = self.start(6)
        for number in range(40):
            world.crash(number % 6, f"u{number}", FIRST, f"bad{number}", customer="attacker")
            world.run(1.0)
            self.assertIsNone(world.guards[0].find_block(prompt(FIRST, customer="other")))

    # Guards against a block for a customer whose requests only waited beside the crashing ones.
    def test_customer_whose_requests_only_waited_is_not_refused(self) -> None:
        world = self.start(3)
        for number in (1, 2):
            world.crash(0, f"u{number}", FIRST, f"bad{number}", customer="attacker")
            world.crash(1, f"u{number}", FIRST, customer="victim", was_writing=False)
            world.run(SETTLED_SECONDS)
        for guard in world.guards:
            self.assertIsNotNone(guard.find_block(prompt(FIRST, customer="attacker")))
            self.assertIsNone(guard.find_block(prompt(FIRST, customer="victim")))


class TrialTest(PartWorldCase):
    """The end of a block."""

    # Guards against trials by several instances, each of which could crash an upstream.
    def test_one_instance_tries_a_block_again_one_request_at_a_time(self) -> None:
        world = self.start(6)
        for guard in world.guards:
            guard.merge(block_of(BAD, since=world.at + UNIX_TIME), "feed")
        self.assertEqual(self.count_trials(world), 0)
        world.run(FIRST_BLOCK_SECONDS + 1)
        self.assertEqual(self.count_trials(world), 1)
        self.assertEqual(self.count_trials(world), 0)

    # Guards against a block that never ends, since the instance that may try it again gets no
    # requests with the part.
    def test_any_instance_may_try_a_block_again_after_some_time(self) -> None:
        world = self.start(6)
        for guard in world.guards:
            guard.merge(block_of(BAD, since=world.at + UNIX_TIME), "feed")
        world.run(FIRST_BLOCK_SECONDS + 1)
        not_tried = set(range(6))
        for _ in range(60):
            for number in tuple(not_tried):
                trial = guard_request(world.guards[number], RequestId("q"), prompt(BAD))
                if trial.tried_block is not None:
                    not_tried.remove(number)
                trial.end()
            world.run(TURN_SECONDS)
        self.assertEqual(not_tried, set())

    def count_trials(self, world: PartWorld) -> int:
        """Return how many instances let a new request try the part."""
        return sum(
            guard.begin_trial(RequestId("q"), prompt(BAD)) is not None for guard in world.guards
        )

    # Guards against a trial that passes by the block on another part of its prompt.
    def test_prompt_with_two_blocked_parts_is_tried_only_when_both_are_due(self) -> None:
        world = self.start(1)
        guard = world.guards[0]
        unix_time = world.at + UNIX_TIME
        guard.merge(block_of(BAD, since=unix_time - FIRST_BLOCK_SECONDS - 1), "feed")
        guard.merge(block_of("cc", since=unix_time), "feed")
        self.assertIsNone(guard.begin_trial(RequestId("q"), prompt(BAD, "cc")))

    # Guards against a trial that crashes two upstreams because it was hedged.
    def test_trial_is_sent_to_one_upstream_at_a_time(self) -> None:
        world = self.start(1)
        guard = world.guards[0]
        world.begin(0, BAD)
        world.run(CLEARED_SECONDS + 1)
        guard.merge(block_of(BAD, since=world.at - FIRST_BLOCK_SECONDS + UNIX_TIME - 1), "feed")
        trial = guard_request(guard, RequestId("q"), prompt(BAD))
        self.assertIsNone(trial.find_block())
        self.assertFalse(trial.may_hedge)

    # Guards against a trial whose success is not known everywhere.
    def test_answer_to_a_trial_ends_the_block_at_all_instances(self) -> None:
        world, trial = self.start_trial()
        trial.note_begun(0.0)
        trial.end()
        world.run(SETTLED_SECONDS)
        self.assertEqual(world.all_blocked, set())

    # Guards against trials that crash upstreams as often as the first block lasts.
    def test_crash_of_a_trial_doubles_the_time_and_stops_the_request(self) -> None:
        world, trial = self.start_trial()
        trial.note_crash(BrokenAttempt(Lifetime(UpstreamId("u9"), 1), world.at - 0.1, True))
        self.assertIsNotNone(trial.find_block())
        trial.end()
        world.run(SETTLED_SECONDS)
        found = [world.active(number)[0].seconds for number in range(6)]
        self.assertEqual(found, [2 * FIRST_BLOCK_SECONDS] * 6)
        self.assertEqual(self.count_trials(world), 0)

    # Guards against a block that is never tried again because one trial had no outcome.
    def test_trial_without_an_outcome_allows_the_next_one(self) -> None:
        world, trial = self.start_trial()
        trial.end()
        self.assertEqual(self.count_trials(world), 1)

    def start_trial(self) -> tuple[PartWorld, GuardedRequest]:
        """Return a world in which a request tries a blocked part again."""
        world = self.start(6)
        for guard in world.guards:
            guard.merge(block_of(BAD, since=world.at + UNIX_TIME), "feed")
        world.run(FIRST_BLOCK_SECONDS + 1)
        requests = [guard_request(guard, RequestId("q"), prompt(BAD)) for guard in world.guards]
        return world, next(request for request in requests if request.tried_block is not None)

    # Guards against a block on a part on which an answer has just begun.
    def test_block_that_an_answer_contradicts_is_ended_everywhere(self) -> None:
        world = self.start(3)
        world.begin(2, BAD)
        world.guards[0]._changes.apply(block_of(BAD))
        world.run(SETTLED_SECONDS)
        self.assertEqual(world.all_blocked, set())

    # Guards against two decisions at once after which instances differ.
    def test_two_decisions_at_once_leave_the_same_block_everywhere(self) -> None:
        world = self.start(6, loss=0.3)
        world.guards[0]._changes.apply(block_of(BAD, customers=(CustomerId("c1"),)))
        world.guards[1]._changes.apply(block_of(BAD, reason="other"))
        world.run(1.0)
        found = {guard._cluster_state.blocks.snapshot for guard in world.guards[:2]}
        self.assertEqual(len(found), 1)
        self.assertIsNotNone(world.guards[0].find_block(prompt(BAD)))


class LostMessagesTest(PartWorldCase):
    """Instances that hear little or nothing of the others."""

    # Guards against a part that crashes upstreams for long because messages are lost.
    def test_part_is_blocked_although_half_of_the_messages_are_lost(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                world = self.start(6, seed, loss=0.5)
                crashes = 0
                while not world.all_blocked:
                    crashes += 1
                    world.crash(crashes % 6, f"u{crashes}", BAD)
                    world.run(SETTLED_SECONDS)
                self.assertLessEqual(crashes, MAX_CRASHES)

    # Guards against an instance that goes on sending what all others refuse.
    def test_instance_that_was_cut_off_learns_of_a_block_with_the_feed(self) -> None:
        world = self.start(6)
        world.cut_off.add(5)
        for number in (1, 2):
            world.crash(number, f"u{number}", BAD)
            world.run(1.0)
        self.assertEqual((world.blocked(0), world.blocked(5)), ({BAD}, set()))
        for block in world.guards[0]._cluster_state.blocks.snapshot:
            world.guards[5].merge(block, "feed")
        self.assertEqual(world.blocked(5), {BAD})

    # Guards against an end of a block that an instance which was cut off takes back.
    def test_state_of_an_instance_that_was_cut_off_does_not_bring_a_block_back(self) -> None:
        world = self.start(3)
        world.guards[0]._changes.apply(block_of(BAD))
        world.run(1.0)
        world.cut_off.add(2)
        world.guards[0].end_block(world.active(0)[0], "by an operator")
        world.run(1.0)
        self.assertEqual((world.blocked(0), world.blocked(2)), (set(), {BAD}))
        self.assertFalse(world.guards[0].merge(world.active(2)[0], "feed"))
        self.assertEqual(world.blocked(0), set())


class CostTest(PartWorldCase):
    """The datagrams that a crash costs at 195 instances."""

    # Guards against crashes that make all instances send datagrams to all others.
    def test_crash_costs_a_broadcast_for_each_request_and_few_more(self) -> None:
        world = self.start(195)
        for instance in range(60, 195):
            world.begin(instance, FIRST)
        for instance in range(20):
            world.crash(instance, "u1", FIRST, BAD if instance == 0 else f"own-{instance}")
        for instance in range(20, 60):
            world.guards[instance].note_own_break(UpstreamId("u1"))
        world.run(1.0)
        self.assertLessEqual(len(world.sent), 20 + MAX_BROADCASTS_PER_REPORT)


class HeldPartsTest(PartWorldCase):
    """The parts for which requests wait while another one tries them."""

    # Guards against memory, and time for each crash, that grow with the parts of crashed requests.
    def test_held_parts_are_bounded_and_forgotten(self) -> None:
        world = self.start(1)
        holds = world.guards[0].holds
        for crash in range(100):
            parts = [f"{crash:02x}{number:04x}" for number in range(MAX_ACCUSED_PER_PROMPT)]
            world.crash(0, f"u{crash}", *parts)
        self.assertEqual(len(holds._holds_by_part), MAX_HELD_PARTS)
        self.assertTrue(holds.is_held(RequestId("q"), prompt("630000").keys, world.at))
        world.run(HOLD_SECONDS)
        world.crash(0, "u", BAD)
        self.assertEqual(set(holds._holds_by_part), {part_key(BAD)})
        self.assertEqual(list(holds._parts_by_request_id.values()), [{part_key(BAD)}])

    # Guards against requests that wait for one that has ended, and for none that still tries.
    def test_only_the_parts_of_the_ended_request_are_released(self) -> None:
        world = self.start(1)
        guard = world.guards[0]
        for name, parts in (("q1", (BAD, "cc")), ("q2", ("cc", "dd"))):
            attempt = BrokenAttempt(Lifetime(UpstreamId(name), 1), world.at - 0.1, True)
            guard.note_crash(RequestId(name), prompt(*parts), None, attempt)
        guard.holds.release_all_of(RequestId("q1"))
        held = [
            guard.holds.is_held(RequestId("q"), [part_key(part)], world.at)
            for part in (BAD, "cc", "dd")
        ]
        self.assertEqual(held, [False, False, True])


class DecodedPartsTest(PartWorldCase):
    """Parts at the limits of their format."""

    # Guards against a crash report that other instances never get because it is too large.
    def test_report_on_many_long_parts_fits_into_a_datagram(self) -> None:
        world = self.start(2)
        parts = [f"{number:02x}" + LONG_PART[2:] for number in range(20)]
        for number in (1, 2):
            world.crash(0, f"u{number}", *parts, customer="c" * 64)
            world.run(SETTLED_SECONDS)
        self.assertTrue(world.blocked(1))
        self.assertEqual(world.blocked(0), world.blocked(1))
        self.assertIsNone(world.guards[1].find_block(prompt(PromptPartId("aa"))))
