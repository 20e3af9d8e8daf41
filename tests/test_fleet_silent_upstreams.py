"""Parts of prompts under which upstreams go dark: their connections fall silent, and stay open."""

import asyncio
from dataclasses import replace

from cactuspass.fleet._catalog import RouteKind
from cactuspass.fleet._upstreams import Lifetime, Upstream, UpstreamId
from cactuspass.fleet.prompt_parts._messages import CrashMessage
from cactuspass.fleet.prompt_parts._parts import BrokenAttempt, PromptPartId
from cactuspass.fleet.prompt_parts._silence_watch import MAX_WATCHED, POLL_SECONDS, WATCH_SECONDS
from cactuspass.models import DataCentreId, RequestId
from tests.fleet_path import PathCase, PreferredOrderCase, route
from tests.part_world import SERVICE, PartWorld, PartWorldCase, prompt

FIRST = "aa"
BAD = "bb"
UPSTREAMS = 12
NOTICED_SECONDS = 0.7
BACK_SECONDS = 3.0


class SilenceCase(PartWorldCase):
    """Three instances whose registry lists some upstreams."""

    def setUp(self) -> None:
        self.world = self.start(3)
        self.born_by_name = {f"u{number}": 1 for number in range(UPSTREAMS)}
        self.revision = 0
        self.publish()

    def publish(self) -> None:
        """Let all instances read the registry."""
        self.revision += 1
        listed = [
            Upstream(
                UpstreamId(name),
                SERVICE,
                f"127.0.0.1:{number + 1}",
                DataCentreId("here"),
                slots=4,
                born_ms=born,
            )
            for number, (name, born) in enumerate(self.born_by_name.items())
        ]
        for guard in self.world.guards:
            guard._cluster_state.accept_upstreams(listed, self.revision)

    def restart(self, *names: str) -> None:
        """Let some upstreams be back as new runs."""
        for name in names:
            self.born_by_name[name] += 1
        self.publish()

    def fall_silent(
        self, upstream: str, request: str, *parts: str, instance: int = 0, has_begun: bool = False
    ) -> None:
        """Let an upstream be silent for a while under a request that was sent just before."""
        lifetime = Lifetime(UpstreamId(upstream), self.born_by_name[upstream])
        attempt = BrokenAttempt(lifetime, self.world.at - 0.01, has_begun, has_begun)
        silent_since = self.world.at
        self.world.run(NOTICED_SECONDS)
        guard = self.world.guards[instance]
        guard.note_silence(RequestId(request), prompt(*parts), attempt, silent_since)


class DarkUpstreamTest(SilenceCase):
    """What is blamed, and when."""

    def go_dark_one_by_one(self, world: PartWorld, has_begun: bool = False) -> list[str]:
        """Let two requests with the part make four upstreams go dark; return their names."""
        names = [f"u{number}" for number in range(4)]
        for number, name in enumerate(names):
            self.fall_silent(
                name, f"q{number // 2}", FIRST, BAD, instance=number // 2, has_begun=has_begun
            )
            world.begin(2, FIRST)
            world.guards[2].note_whole(prompt(FIRST), RequestId("whole"))
        return names

    # Guards against a part that makes one upstream after the other go dark and is never blocked,
    # since none of them closes a connection.
    def test_part_is_blocked_once_the_dark_upstreams_are_back_as_new_runs(self) -> None:
        for has_begun in (False, True):
            with self.subTest(has_begun=has_begun):
                names = self.go_dark_one_by_one(self.world, has_begun)
                self.world.run(BACK_SECONDS)
                self.assertEqual(self.world.all_blocked, set())
                self.restart(*names)
                self.world.run(POLL_SECONDS + NOTICED_SECONDS)
                self.assertEqual(self.world.all_blocked, {BAD})
                self.doCleanups()
                self.setUp()

    # Guards against a block on parts of requests at upstreams that stood still and went on.
    def test_upstreams_that_go_on_as_the_same_run_accuse_no_part(self) -> None:
        self.go_dark_one_by_one(self.world)
        for _ in range(int(2 * WATCH_SECONDS)):
            self.world.run(1.0)
            self.publish()
        self.assertEqual(self.world.all_blocked, set())
        events = "".join(self.world.handler.lines)
        self.assertNotIn("part-suspected", events)

    # Guards against a restart long after, which has another cause, that is taken for the crash.
    def test_late_restart_accuses_no_part(self) -> None:
        names = self.go_dark_one_by_one(self.world)
        self.world.run(WATCH_SECONDS + 1.0)
        self.restart(*names)
        self.world.run(1.0)
        self.assertEqual(self.world.all_blocked, set())

    # Guards against a block for a rack that is lost, through which a request was repeated.
    def test_upstreams_that_are_dark_together_block_no_part(self) -> None:
        for number in range(3):
            self.fall_silent(f"u{number}", f"q{number // 2}", FIRST, "new")
        others = [f"u{number}" for number in range(3, UPSTREAMS)]
        for number, name in enumerate(others):
            self.fall_silent(name, f"r{number}", FIRST, f"own-{number}", instance=number % 3)
            self.world.begin(2, FIRST)
        self.restart(*self.born_by_name)
        self.world.run(2 * WATCH_SECONDS)
        self.assertEqual(self.world.all_blocked, set())

    # Guards against other requests that wait for one whose upstream ended seconds ago.
    def test_nobody_waits_for_a_request_that_ended_long_ago(self) -> None:
        names = self.go_dark_one_by_one(self.world)[:1]
        self.world.run(BACK_SECONDS)
        self.restart(*names)
        self.world.run(POLL_SECONDS + 0.05)
        holds = self.world.guards[0].holds
        keys = prompt(FIRST, BAD).keys
        self.assertFalse(holds.is_held(RequestId("other"), keys, self.world.at))

    # Guards against memory that grows with each silent attempt.
    def test_number_of_watched_attempts_is_bounded(self) -> None:
        for number in range(2 * MAX_WATCHED):
            lifetime = Lifetime(UpstreamId("u1"), 1)
            attempt = BrokenAttempt(lifetime, self.world.at, False)
            request = RequestId(f"q{number}")
            self.world.guards[0].note_silence(request, prompt(BAD), attempt, self.world.at)
        self.assertEqual(len(self.world.guards[0]._silences._watched), MAX_WATCHED)


async def stay_silent(writer: asyncio.StreamWriter, request: bytes) -> None:
    """Send no answer, and leave the connection open."""


class SilentStreamTest(PreferredOrderCase):
    """Requests at upstreams that fall silent, with real connections."""

    # Guards against silent upstreams of which nothing is remembered when their requests have ended.
    async def test_silent_upstreams_of_a_stream_accuse_its_parts_once_they_are_back(self) -> None:
        target = route(RouteKind.STREAM, resumable=True, max_upstreams=3)
        case = await self.start(target, [stay_silent], [stay_silent])
        got = await case.serve(caller_timeout=2.5, shared_parts=(PromptPartId(BAD),))
        self.assertEqual(got.status, 504)
        self.assertEqual(self.crashed(case), set())
        listed = case.cluster_state.registered_by_id.values()
        restarted = [replace(upstream, born_ms=upstream.born_ms + 1) for upstream in listed]
        case.cluster_state.accept_upstreams(restarted, 2)
        await asyncio.sleep(2 * POLL_SECONDS)
        self.assertEqual(self.crashed(case), {"u0", "u1"})

    def crashed(self, case: PathCase) -> set[str]:
        """Return the upstreams whose crashes were told to the other instances."""
        messages = (m for m in case.sent_messages if isinstance(m, CrashMessage))
        return {m.lifetime.upstream_id for m in messages}
