"""Tests of the stand-ins: what the tests of the system rely on."""

import asyncio
import base64
import json
import unittest
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any
from unittest.mock import patch

import openai
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import HTTPStreamClosedError, SimpleAsyncHTTPClient

from cactuspass_standins import _assignment
from cactuspass_standins._client_load import (
    BookingWorkload,
    ChatWorkload,
    LoadGenerator,
    LoadSettings,
)
from cactuspass_standins._engine import Engine, EngineSettings
from cactuspass_standins._key_value_store import (
    Compare,
    Comparison,
    KeyValueStore,
    PutRequest,
    RangeRequest,
    RangeResult,
    Target,
    Transaction,
)
from cactuspass_standins._prompt import Prompt
from cactuspass_standins._response_checks import StreamCheck
from cactuspass_standins._service import ServiceSettings
from cactuspass_standins.host import StandInHost, host_from_settings

WAIT_SECONDS = 10.0
POLL_SECONDS = 0.005
LONG_ANSWER = 100_000
BROKEN = 0


@dataclass(frozen=True, slots=True)
class Answer:
    code: int
    body: bytes = b""


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(POLL_SECONDS)


class StandInsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.host = StandInHost()
        self.client = SimpleAsyncHTTPClient(force_instance=True, max_clients=100)
        self.addCleanup(self.client.close)

    async def asyncTearDown(self) -> None:
        await self.host.stop()

    async def post(self, url: str, body: object, **headers: str) -> Answer:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        request = HTTPRequest(url, method="POST", body=json.dumps(body), headers=named)
        try:
            response = await self.client.fetch(request, raise_error=False)
        except (HTTPStreamClosedError, OSError):
            return Answer(BROKEN)
        return Answer(response.code, response.body)

    def add_engines(self, count: int, **knobs: Any) -> list[Engine]:
        knobs = {"load_seconds": 0.0, "seconds_per_token": 0.001} | knobs
        settings = [EngineSettings(instance_id=f"e{n}", **knobs) for n in range(count)]
        return [self.host.add_engine(item) for item in settings]

    async def order(self, engine: Engine, members: Sequence[Engine], minor: int = 0) -> int:
        order = {
            "order": "load",
            "group": "g-0",
            "generation": [1, minor],
            "rank": members.index(engine),
            "members": [member.address for member in members],
            "model": "m",
            "version": "1",
            "adapters": [],
            "fence": 1,
            "lifetime": 2.0,
        }
        return (await self.post(f"{engine.url}/cactuspass/orders", order)).code

    async def form(self, members: Sequence[Engine], minor: int = 0) -> None:
        for member in members:
            self.assertEqual(await self.order(member, members, minor), 200)
        await wait_until(lambda: members[0].is_serving)

    def complete(self, engine: Engine, tokens: int = 3, **headers: str) -> asyncio.Task[Any]:
        body = {"model": "m", "prompt": "hello", "max_tokens": tokens, "stream": True}
        return asyncio.create_task(self.post(f"{engine.url}/v1/completions", body, **headers))


class EngineTest(StandInsTest):
    async def test_openai_client_gets_the_answer_to_its_prompt(self) -> None:
        (engine,) = self.add_engines(1)
        await self.host.start()
        await self.form([engine])
        api = openai.AsyncOpenAI(base_url=f"{engine.url}/v1", api_key="k", max_retries=0)
        stream = await api.chat.completions.create(
            model="m", messages=[{"role": "user", "content": "hello"}], stream=True
        )
        text = "".join([chunk.choices[0].delta.content or "" async for chunk in stream])
        self.assertEqual(text, Prompt("hello").answer(16))
        answer = await api.completions.create(model="m", prompt="bye", max_tokens=2)
        self.assertEqual(answer.choices[0].text, Prompt("bye").answer(2))
        await api.close()

    async def test_falls_over_above_what_it_bears_and_starts_cold(self) -> None:
        (engine,) = self.add_engines(1, cold_requests=1, full_requests=4)
        await self.host.start()
        await self.form([engine])
        for _ in range(2):
            await self.complete(engine)
        held = [self.complete(engine, LONG_ANSWER) for _ in range(3)]
        await wait_until(lambda: engine.running == 3)
        self.assertEqual(engine.counters.fell_over, 0)
        boot_id = engine.boot_id
        held.append(self.complete(engine, LONG_ANSWER))
        answers = await asyncio.gather(*held)
        self.assertEqual({answer.code for answer in answers}, {BROKEN})
        self.assertEqual((engine.counters.fell_over, engine.counters.peak_running), (1, 4))
        self.assertAlmostEqual(engine.counters.peak_over_bearable, 4 / 3)
        self.assertNotEqual(engine.boot_id, boot_id)
        self.assertEqual((engine.warmup.bearable, engine.is_serving), (1, False))

    async def test_falls_over_when_its_memory_is_exceeded(self) -> None:
        (engine,) = self.add_engines(1, cold_requests=8, memory_tokens=40)
        await self.host.start()
        await self.form([engine])
        held = [self.complete(engine, 18) for _ in range(2)]
        self.assertEqual({answer.code for answer in await asyncio.gather(*held)}, {200})
        held = [self.complete(engine, 19) for _ in range(2)]
        self.assertIn(BROKEN, {answer.code for answer in await asyncio.gather(*held)})
        self.assertEqual(engine.counters.fell_over, 1)

    async def test_broken_connection_cancels_unless_it_may_resume(self) -> None:
        (engine,) = self.add_engines(1)
        await self.host.start()
        await self.form([engine])
        engine.truncate_next(2, count=2)
        self.assertEqual((await self.complete(engine, LONG_ANSWER)).code, BROKEN)
        await wait_until(lambda: engine.counters.cancelled == 1)
        self.assertEqual(engine.memory_tokens, 0)
        cut = await self.complete(engine, 200, X_Request_Id="r1", X_Resumable="1")
        self.assertEqual(cut.code, BROKEN)
        rest = await self.client.fetch(f"{engine.url}/cactuspass/streams/r1?from=2")
        events = [item.removeprefix("data: ") for item in rest.body.decode().split("\n\n")]
        texts = [json.loads(item)["choices"][0]["text"] for item in events[:-2]]
        self.assertEqual(texts, [f" w{number}" for number in range(1, 199)] + [""])
        self.assertEqual(events[-2:], ["[DONE]", ""])

    async def test_urgent_requests_get_tokens_first(self) -> None:
        (engine,) = self.add_engines(1, cold_requests=8, batch=1)
        await self.host.start()
        await self.form([engine])
        low = self.complete(engine, LONG_ANSWER, X_Priority="2", X_Request_Id="low")
        await wait_until(lambda: engine.running == 1)
        self.assertEqual((await self.complete(engine, 5, X_Priority="0")).code, 200)
        await self.post(f"{engine.url}/cactuspass/cancel", {"request_id": "low"})
        self.assertEqual((await low).code, BROKEN)
        self.assertEqual(engine.counters.cancelled, 1)

    async def test_load_and_cache_events_come_late_and_with_gaps(self) -> None:
        (engine,) = self.add_engines(1, load_lag=1000.0, cache_gap_every=2)
        await self.host.start()
        await self.form([engine])
        queue: asyncio.Queue[Any] = asyncio.Queue()
        engine.events.queues.add(queue)
        for start in "abc":
            body = {"prompt": start * 64, "max_tokens": 1}
            await self.post(f"{engine.url}/v1/completions", body)
        held = self.complete(engine, LONG_ANSWER)
        await wait_until(lambda: engine.running == 1)
        self.assertEqual((engine.status()["running"], engine.status()["lag"]), (0, 1000.0))
        await wait_until(lambda: queue.qsize() >= 2)
        events = [queue.get_nowait() for _ in range(queue.qsize())]
        self.assertEqual([item["seq"] for item in events if item["event"] == "cache"], [1, 3])
        engine.restart()
        self.assertEqual((await held).code, BROKEN)


class GroupTest(StandInsTest):
    async def test_group_dies_with_a_member_and_keeps_the_survivors_weights(self) -> None:
        first, second, spare = self.add_engines(3)
        self.enterContext(patch.object(_assignment, "MEMBER_SILENCE_SECONDS", 1000.0))
        await self.host.start()
        await self.form([first, second])
        running = self.complete(first, LONG_ANSWER)
        await wait_until(lambda: first.running == 1)
        second.kill()
        self.assertEqual((await running).code, BROKEN)
        self.assertEqual((await self.complete(first)).code, 503)
        await self.form([first, spare], minor=1)
        self.assertEqual((first.counters.loads, first.counters.kept_weights), (1, 1))
        self.assertEqual((await self.complete(first, X_Generation="1.0")).code, 409)
        self.assertEqual((await self.complete(first, X_Generation="1.1")).code, 200)
        self.assertEqual(first.counters.partial_served, 0)

    async def test_partial_group_is_seen_whatever_rank_0_believes(self) -> None:
        first, second = self.add_engines(2)
        await self.host.start()
        await self.form([first, second])
        second.assignment = None
        self.assertEqual((await self.complete(first)).code, 200)
        counters = first.counters
        self.assertEqual((counters.partial_served, counters.partial_completed), (1, 1))

    async def test_frozen_member_stalls_the_group(self) -> None:
        first, second = self.add_engines(2)
        await self.host.start()
        await self.form([first, second])
        second.freeze(1000.0)
        running = self.complete(first, 5)
        await wait_until(lambda: first.running == 1)
        await asyncio.sleep(10 * POLL_SECONDS)
        self.assertEqual(next(iter(first.requests_by_id.values())).produced, 0)
        second.thaw()
        self.assertEqual((await running).code, 200)

    async def test_silent_member_stops_the_group(self) -> None:
        first, second = self.add_engines(2, status_seconds=0.02)
        self.enterContext(patch.object(_assignment, "MEMBER_SILENCE_SECONDS", 0.2))
        await self.host.start()
        await self.form([first, second])
        second.freeze(1000.0)
        await wait_until(lambda: not first.is_serving)
        second.thaw()
        await wait_until(lambda: first.is_serving)

    async def test_only_checking_engines_refuse_an_old_fencing_number(self) -> None:
        for checks, expected in ((True, 409), (False, 200)):
            host = StandInHost()
            self.addAsyncCleanup(host.stop)
            engine = host.add_engine(EngineSettings(instance_id="e", checks_fence=checks))
            await host.start()
            orders = f"{engine.url}/cactuspass/orders"
            self.assertEqual((await self.post(orders, {"order": "unload", "fence": 5})).code, 200)
            answer = await self.post(orders, {"order": "unload", "fence": 4})
            self.assertEqual((answer.code, engine.status()["fence"]), (expected, 5))


class ServiceTest(StandInsTest):
    async def test_lost_answer_still_counts_as_a_run(self) -> None:
        service = self.host.add_service(ServiceSettings(instance_id="s", cold_requests=4))
        await self.host.start()
        await self.post(f"{service.url}/standin/lose_next_answers", {"count": 1})
        url = f"{service.url}/loans"
        lost = await self.post(url, {"booking": "b1"}, Idempotency_Key="k1")
        again = await self.post(url, {"booking": "b1"}, Idempotency_Key="k1")
        self.assertEqual((lost.code, json.loads(again.body)["run"]), (BROKEN, 2))
        counts = await self.client.fetch(f"{service.url}/standin/counts")
        self.assertEqual(json.loads(counts.body)["runs_by_booking"], {"b1": 2})


class PlatformTest(StandInsTest):
    async def call(self, path: str, body: object) -> Any:
        assert self.host.platform is not None
        answer = await self.post(f"{self.host.platform.url}/v3/{path}", body)
        return json.loads(answer.body) if answer.code == 200 else answer.code

    async def write(self, value: str, mod_revision: int) -> Any:
        key, encoded = encode("k"), encode(value)
        compare = {"key": key, "target": "MOD", "mod_revision": str(mod_revision)}
        success = [{"request_put": {"key": key, "value": encoded}}]
        return await self.call("kv/txn", {"compare": [compare], "success": success})

    async def read(self) -> Any:
        (pair,) = (await self.call("kv/range", {"key": encode("k")}))["kvs"]
        return base64.b64decode(pair["value"]).decode(), pair["mod_revision"]

    async def test_compare_and_swap_lost_answer_and_restore(self) -> None:
        platform = self.host.add_platform()
        await self.host.start()
        self.assertNotIn("kvs", await self.call("kv/range", {"key": encode("k")}))
        self.assertTrue((await self.write("a", 0))["succeeded"])
        self.assertNotIn("succeeded", await self.write("b", 0))
        platform.snapshot()
        platform.lose_next_answers()
        self.assertEqual(await self.write("c", 2), BROKEN)
        self.assertEqual(await self.read(), ("c", "3"))
        platform.restore()
        self.assertEqual(await self.read(), ("a", "2"))
        platform.outage()
        self.assertEqual(await self.write("d", 2), BROKEN)
        platform.end_outage()
        self.assertEqual(await self.read(), ("a", "2"))
        self.assertEqual((platform.counts()["reads"], platform.counts()["writes"]), (4, 3))

    def test_lapsed_lease_takes_its_keys_along(self) -> None:
        store = KeyValueStore()
        lease = store.grant_lease(10, now=0.0)
        put = PutRequest(b"a/1", b"v", lease.lease_id)
        is_new = Compare(b"a/1", Target.CREATE, Comparison.EQUAL, 0)
        self.assertTrue(store.run(Transaction((is_new,), (put,)), now=1.0).succeeded)
        self.assertFalse(store.run(Transaction((is_new,), (put,)), now=1.0).succeeded)
        store.keep_lease_alive(lease.lease_id, now=5.0)
        read = Transaction((), (RangeRequest(b"a/", b"a0", keys_only=True),))
        found = [store.run(read, now=at).results[0] for at in (14.9, 15.0)]
        self.assertEqual([item.count for item in found if isinstance(item, RangeResult)], [1, 0])
        self.assertIsNone(store.keep_lease_alive(lease.lease_id, now=15.0))


class HostTest(StandInsTest):
    async def test_settings_make_a_list_that_lags(self) -> None:
        engine = {"instance_id": "e", "count": 2, "kind": "draft", "data_centre": "sapa-a"}
        self.host = host_from_settings({"instances": {"lag": 1000.0}, "engines": [engine]})
        await self.host.start()
        instances = self.host.instances
        assert instances is not None
        await self.post(f"{instances.url}/standin/instances", {"leaving": ["e-1"]})
        states = [record.state.value for record in instances.records()]
        instances.set_lag(0.0)
        later = [record.state.value for record in instances.records()]
        self.assertEqual((states, later), (["live", "live"], ["live", "leaving"]))
        addresses = [record.address for record in instances.records()]
        self.assertEqual(addresses, [self.host.addresses_by_name[f"e-{n}"] for n in range(2)])


class LoadTest(StandInsTest):
    def test_stream_is_whole_only_with_all_text_and_its_end(self) -> None:
        end = b"data: [DONE]\n\n"
        for text, last, expected in (
            ("ab", end, (True, True)),
            ("ab", b"", (False, True)),
            ("a", end, (False, True)),
            ("b", end, (False, False)),
        ):
            check = StreamCheck("ab")
            chunk = json.dumps({"choices": [{"delta": {"content": text}}]}).encode()
            check.feed(b"data: " + chunk[:5])
            check.feed(chunk[5:] + b"\n\n" + last)
            self.assertEqual((check.is_complete, check.matches_request), expected)

    async def test_cut_streams_and_refusals_are_not_whole(self) -> None:
        (engine,) = self.add_engines(1, cold_requests=100, full_requests=100)
        await self.host.start()
        await self.form([engine])
        workload = ChatWorkload(model="m", streamed_share=0.5)
        settings = LoadSettings(rate=400.0, count=20, customers=("a", "b"))
        engine.truncate_next(16)
        report = await LoadGenerator([engine.url], workload, settings).run()
        self.assertEqual(
            (report.complete_count, report.misdelivered_count, report.falsely_complete_count),
            (19, 0, 0),
        )
        engine.unload(1)
        report = await LoadGenerator([engine.url], workload, settings).run()
        self.assertEqual((report.complete_count, report.refused_count), (0, 20))

    async def test_bookings_are_checked_by_their_echo(self) -> None:
        service = self.host.add_service(ServiceSettings(instance_id="s", cold_requests=100))
        await self.host.start()
        settings = LoadSettings(rate=400.0, count=5)
        report = await LoadGenerator([service.url], BookingWorkload(path="/visits"), settings).run()
        self.assertEqual((report.complete_count, service.counters.runs), (5, 5))


def encode(text: str) -> str:
    return base64.b64encode(text.encode()).decode()
