"""Operators' commands on blocked parts of prompts, on a store and on an instance."""

import asyncio
import io
import json
import math
import os
import unittest
from contextlib import redirect_stderr, redirect_stdout
from dataclasses import replace
from pathlib import Path
from unittest.mock import patch

import fire
from tornado.httpclient import AsyncHTTPClient

from cactuspass._clock import now
from cactuspass._platform import Write, WriteResult
from cactuspass.cli import Commands, run_guarded
from cactuspass.exceptions import PlatformError
from cactuspass.fleet import ConnectionPool, Metrics
from cactuspass.fleet._catalog import RouteKind
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._pages import PageServer
from cactuspass.fleet._upstreams import Lifetime, UpstreamId
from cactuspass.fleet.prompt_parts._block_orders import MAX_TRIES, BlockOrders, NotBlocked
from cactuspass.fleet.prompt_parts._block_rows import PARTS_PATH, block_rows, blocks_page
from cactuspass.fleet.prompt_parts._block_store import (
    BLOCKS_PREFIX,
    decode_block,
    encode_block,
    store_key,
)
from cactuspass.fleet.prompt_parts._block_table import MAX_BLOCKS
from cactuspass.fleet.prompt_parts._guard import PartGuard
from cactuspass.fleet.prompt_parts._parts import (
    ANONYMOUS,
    Block,
    BlockKey,
    BrokenAttempt,
    PromptIdentity,
    PromptPartId,
)
from cactuspass.models import CustomerId, EntryId, ModelId, RequestId, ServiceId
from cactuspass.platform._requests import PlatformRequests
from cactuspass.platform._store import MetadataStore
from cactuspass.platform.operators import parse_part_ids
from tests.fleet_path import KEY as PATH_KEY
from tests.fleet_path import (
    MemoryDelivery,
    PreferredOrderCase,
    RecordingHandler,
    events,
    route,
    stream,
)
from tests.metadata_store import MetadataStoreStandIn

SERVICE = ServiceId("llm")
MODEL = ModelId("m0")
# Written like a number, which the command line must not take it for.
PART = PromptPartId("12e4")
KEY = BlockKey(SERVICE, MODEL, (PART,))
FIRST, SECOND, THIRD = (CustomerId(f"t{number}") for number in range(1, 4))
BLOCK = Block(KEY, 3, (FIRST,), True, 1e9, 600.0, 2, (EntryId("e1"),), "crashed 2 upstreams")
MANIFEST = {
    "version": 1,
    "routes": [],
    "services": [
        {
            "name": SERVICE,
            "engine": {
                "slots": 4,
                "models": [{"name": MODEL, "size": 2, "share": 1.0, "load_s": 0.1, "warm_s": 0.1}],
                "loads_per_s": 10,
                "loads_at_once": 10,
            },
        }
    ],
    "tenants": [{"name": FIRST, "api_keys": ["k1"]}, {"name": SECOND, "api_keys": ["k2"]}],
}


class BlockStoreCase(unittest.IsolatedAsyncioTestCase):
    """A stand-in of the store with one block in it."""

    async def asyncSetUp(self) -> None:
        self.standin = MetadataStoreStandIn()
        self.standin.start()
        self.addCleanup(self.standin.stop)
        self.store = MetadataStore(self.standin.address, ConnectionPool(), Metrics())
        self.addAsyncCleanup(self.store.close)
        self.orders = BlockOrders(self.store)
        await self.store.compare_and_swap(store_key(KEY), encode_block(BLOCK), 0)

    async def stored(self, key: BlockKey = KEY) -> Block:
        """Return a block as it is in the store."""
        name = store_key(key)
        value = (await self.store.read([name])).values_by_key[name].value
        assert value is not None
        return decode_block(name, value)


class BlockOrdersTest(BlockStoreCase):
    """Changes in the store."""

    async def test_end_of_a_block_is_a_later_state(self) -> None:
        ended = await self.orders.end_block(KEY, "new version of the model")
        self.assertEqual(await self.stored(), ended)
        self.assertTrue(ended.supersedes(BLOCK))
        self.assertFalse(ended.is_active)
        self.assertIn("new version of the model", ended.reason)
        self.assertEqual((await self.orders.list_blocks()).active, ())

    async def test_block_that_is_not_in_force_cannot_be_ended(self) -> None:
        await self.orders.end_block(KEY)
        for key in (KEY, BlockKey(SERVICE, MODEL, (PromptPartId("ff"),))):
            with self.subTest(key=key), self.assertRaisesRegex(NotBlocked, str(key)):
                await self.orders.end_block(key)

    async def test_set_block_is_held_and_keeps_what_was_refused(self) -> None:
        held = await self.orders.set_block(KEY, (SECOND,))
        self.assertEqual((held.version, held.customers), (4, (FIRST, SECOND)))
        self.assertTrue(held.is_held)
        self.assertEqual((held.crashes, held.instances), (BLOCK.crashes, BLOCK.instances))
        self.assertEqual((await self.orders.set_block(KEY, ())).customers, ())
        self.assertEqual((await self.orders.set_block(KEY, (FIRST,))).customers, ())
        self.assertEqual((await self.orders.list_blocks()).active, (await self.stored(),))

    async def test_block_set_after_an_end_refuses_only_the_named_customers(self) -> None:
        await self.orders.end_block(KEY)
        self.assertEqual((await self.orders.set_block(KEY, (SECOND,))).customers, (SECOND,))

    async def test_change_of_an_instance_at_the_same_time_is_not_overwritten(self) -> None:
        """Guards against an order that is decided by a state of the block that has passed."""
        store, changes = self.store, [1]

        class RacingStore(MetadataStore):
            async def write(self, writes: list[Write]) -> WriteResult:  # type: ignore[override]
                if changes:
                    changes.pop()
                    name = store_key(KEY)
                    revision = (await store.read([name])).values_by_key[name].mod_revision
                    wider = replace(BLOCK, version=7, customers=(), crashes=5)
                    await store.compare_and_swap(name, encode_block(wider), revision)
                return await super().write(writes)

        racing = RacingStore(self.standin.address, ConnectionPool(), Metrics())
        self.addAsyncCleanup(racing.close)
        written = await BlockOrders(racing).set_block(KEY, (SECOND,))
        self.assertEqual((written.version, written.customers, written.crashes), (8, (), 5))
        changes.append(1)
        self.assertEqual((await BlockOrders(racing).end_block(KEY)).version, 8)

    async def test_key_that_changes_all_the_time_is_given_up(self) -> None:
        tries: list[None] = []

        class ConflictingStore(MetadataStore):
            async def write(self, writes: list[Write]) -> WriteResult:  # type: ignore[override]
                tries.append(None)
                return WriteResult(False, await self.read([write.key for write in writes]))

        conflicting = ConflictingStore(self.standin.address, ConnectionPool(), Metrics())
        self.addAsyncCleanup(conflicting.close)
        with self.assertRaisesRegex(PlatformError, "nothing was written"):
            await BlockOrders(conflicting).end_block(KEY)
        self.assertEqual(len(tries), MAX_TRIES)

    async def test_unreadable_value_is_reported_beside_the_others(self) -> None:
        await self.standin.put(f"{BLOCKS_PREFIX}odd", {"key": 1})
        found = await self.orders.list_blocks()
        self.assertEqual(found.active, (BLOCK,))
        self.assertIn("odd", str(found.findings[0]))

    def test_part_ids(self) -> None:
        self.assertEqual(parse_part_ids("AB,12e4,ab"), ("ab", "12e4"))
        for text, place in (("", "part 1"), ("ab,x", "part 2, 'x'"), ("a" * 65, "part 1")):
            with self.subTest(text=text), self.assertRaisesRegex(ValueError, place):
                parse_part_ids(text)


class CommandTest(BlockStoreCase):
    """The command line as operators run it."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.standin.put("op/config", MANIFEST)
        # Its warning of a slow machine would stand in what the commands print.
        asyncio.get_running_loop().slow_callback_duration = math.inf

    async def run_command(self, *arguments: str, store: str = "") -> tuple[int, str]:
        """Run a command; return the exit code and what it printed."""
        place = {"CACTUSPASS_STORE": store or self.standin.address}
        output = io.StringIO()

        def call() -> int:
            return run_guarded(lambda: fire.Fire(Commands, command=list(arguments)))

        with patch.dict(os.environ, place), redirect_stdout(output), redirect_stderr(output):
            code = await asyncio.to_thread(call)
        return code, output.getvalue()

    async def test_block_is_listed_extended_and_ended(self) -> None:
        code, table = await self.run_command("parts")
        self.assertEqual(
            (code, table.splitlines()[0].split()[:4]),
            (0, ["service", "model", "parts", "customers"]),
        )
        self.assertIn("2001-09-09T01:46:40Z", table)
        code, text = await self.run_command("block", SERVICE, MODEL, PART, "--customer", SECOND)
        self.assertEqual((code, text), (0, "llm/m0/12e4 is blocked for t1, t2, version 4\n"))
        code, rows = await self.run_command("parts", "--json")
        self.assertEqual([row["next_trial"] for row in json.loads(rows)], [None])
        code, text = await self.run_command(
            "unblock", SERVICE, MODEL, PART, "--reason", "new model"
        )
        self.assertEqual((code, text), (0, "llm/m0/12e4 is no longer blocked, version 5\n"))
        self.assertEqual(await self.run_command("parts"), (0, "(no rows)\n"))
        code, text = await self.run_command("unblock", SERVICE, MODEL, PART)
        self.assertEqual((code, text), (1, "no block on llm/m0/12e4 is in force\n"))

    # Guards against a block that an operator cannot end with the order of the parts in a prompt.
    async def test_order_of_the_parts_does_not_matter(self) -> None:
        code, text = await self.run_command("block", SERVICE, MODEL, "bb,aa")
        self.assertEqual((code, text.split()[0]), (0, "llm/m0/aa+bb"))
        for order in ("aa,bb", "bb,aa"):
            with self.subTest(order=order):
                code, text = await self.run_command("unblock", SERVICE, MODEL, order)
                self.assertEqual((code, text.split()[0]), (0, "llm/m0/aa+bb"))
                await self.run_command("block", SERVICE, MODEL, "aa,bb")

    async def test_mistake_in_an_argument_is_refused_with_its_place(self) -> None:
        for arguments, message in (
            ((SERVICE, MODEL, "no"), "PART: part 1, 'no', is not"),
            (("lm", MODEL, PART), "SERVICE: the catalog has no service 'lm'"),
            ((SERVICE, "m1", PART), "MODEL: service 'llm' has no model 'm1'"),
            ((SERVICE, "", PART), "MODEL: service 'llm' has models"),
            ((SERVICE, MODEL, PART, "--customer", "t1,t9"), "--customer: the catalog has no"),
            ((SERVICE, MODEL, PART, "--store", "nowhere"), "--store: name the store"),
        ):
            with self.subTest(message=message):
                code, text = await self.run_command("block", *arguments)
                self.assertEqual((code, text[: len(message)]), (2, message))
        self.assertEqual(await self.stored(), BLOCK)

    async def test_request_id_of_digits_and_one_e_is_taken_as_it_is(self) -> None:
        """Guards against an id such as 12e4 that is read as the number 120000.0."""
        log = Path(__file__).parent / "golden" / "decision_logs" / "blocked.log"
        _, text = await self.run_command("explain", "12e4", str(log))
        self.assertIn("no line names request 12e4;", text)

    async def test_store_that_is_away_is_named(self) -> None:
        self.standin.refusing = True
        for arguments in (("parts",), ("unblock", SERVICE, MODEL, PART)):
            code, text = await self.run_command(*arguments)
            self.assertEqual(code, 1)
            self.assertIn(f"store {self.standin.address}: the store refused", text)
        self.assertEqual((await self.run_command("parts", store="127.0.0.1:1"))[0], 1)


class HeldBlockTest(unittest.IsolatedAsyncioTestCase):
    """A block of an operator at an instance."""

    async def asyncSetUp(self) -> None:
        log = DecisionLog("e0", RecordingHandler())
        self.state = ClusterState(log)
        self.later: list[object] = []
        self.guard = PartGuard(
            EntryId("e0"),
            self.state,
            log,
            Metrics(),
            lambda message: None,
            lambda block: None,
            lambda seconds, call: self.later.append(call),
        )
        self.held = replace(BLOCK, seconds=None)

    def prompt(self, customer: CustomerId) -> PromptIdentity:
        """Return the identity of a prompt with the blocked part."""
        return PromptIdentity(SERVICE, MODEL, customer, (PART,))

    async def test_answer_and_time_do_not_end_it(self) -> None:
        """Guards against an operator's block that a sound answer or a trial takes away."""
        self.guard.note_begun(self.prompt(SECOND), RequestId("q1"))
        self.guard.merge(self.held, "store")
        self.guard.note_begun(self.prompt(SECOND), RequestId("q2"))
        self.assertIsNone(self.guard.begin_trial(RequestId("q3"), self.prompt(FIRST)))
        self.assertEqual(self.guard.find_block(self.prompt(FIRST)), self.held)

    async def test_it_is_not_forgotten_for_blocks_on_many_other_parts(self) -> None:
        """Guards against an operator's block that gives way to parts that callers choose."""
        self.guard.merge(self.held, "store")
        for number in range(MAX_BLOCKS + 10):
            key = BlockKey(SERVICE, MODEL, (PromptPartId(f"f{number:x}"),))
            self.guard.merge(replace(BLOCK, key=key, since=BLOCK.since + number), "message")
        self.assertEqual(len(self.state.blocks.snapshot), MAX_BLOCKS)
        self.assertEqual(self.guard.find_block(self.prompt(FIRST)), self.held)

    async def test_block_with_a_time_is_ended_by_an_answer(self) -> None:
        self.guard.merge(BLOCK, "store")
        self.guard.note_begun(self.prompt(SECOND), RequestId("q1"))
        self.assertIsNone(self.guard.find_block(self.prompt(FIRST)))

    async def test_crash_of_another_customer_blocks_all_and_keeps_what_is_held(self) -> None:
        """Guards against a new block that replaces the customers of the one in force."""
        for block in (self.held, BLOCK):
            with self.subTest(is_held=block.is_held):
                await self.asyncSetUp()
                self.guard.merge(block, "store")
                self.crash_twice(self.prompt(THIRD))
                found = self.guard.find_block(self.prompt(THIRD))
                assert found is not None
                self.assertEqual(found.customers, ())
                self.assertIsNotNone(self.guard.find_block(self.prompt(FIRST)))
                self.assertEqual(found.is_held, block.is_held)

    def crash_twice(self, prompt: PromptIdentity) -> None:
        """Let two upstreams crash, one after the other, and decide."""
        for number in range(2):
            lifetime = Lifetime(UpstreamId(f"i-{number}"), 1)
            self.guard.note_crash(
                RequestId("q9"), prompt, None, BrokenAttempt(lifetime, now(), True)
            )
        for call in self.later:
            call()  # type: ignore[operator]


class RefusalTest(PreferredOrderCase):
    """What an instance tells of a request with a blocked part."""

    async def test_log_and_metrics_name_the_part_and_the_version(self) -> None:
        """Guards against a refusal that does not say which block it was made for."""
        case = await self.start(route(RouteKind.STREAM), [stream(events(range(1, 3)))])
        guard = case.dispatcher._dependencies.part_guard
        service = case.dispatcher._choose_service(route(RouteKind.STREAM).shares)
        key = BlockKey(service, ModelId(""), (PART,))
        guard.merge(replace(BLOCK, key=key, customers=(), seconds=None), "store")
        headers = {
            "Host": "a.example",
            "Cactuspass-Request-Id": "q1",
            "Cactuspass-Prompt-Prefix": f"ab:40,{PART}:40,ff:40",
            "Api-Key": PATH_KEY,
        }
        request = PlatformRequests().read_request("GET", "/p/x", tuple(headers.items()), b"", now())
        delivery = MemoryDelivery()
        await case.dispatcher.serve(request, delivery)
        self.assertEqual((delivery.status, self.upstreams[0].requests), (503, []))
        lines = map(json.loads, case.handler.lines)
        [refused] = [line for line in lines if line["event"] == "not-admitted"]
        found = [refused.get(name) for name in ("reason", "service", "parts", "block_version")]
        self.assertEqual(found, ["prompt-part-blocked", service, PART, BLOCK.version])
        page = case.dispatcher._dependencies.metrics.render().decode()
        self.assertIn('cactuspass_refusals_total{reason="prompt-part-blocked"} 1.0', page)
        self.assertIn('cactuspass_prompt_parts_total{event="blocked"} 1.0', page)
        self.assertIn("cactuspass_blocked_prompt_parts ", page)


class PartsPageTest(unittest.IsolatedAsyncioTestCase):
    """The page of an instance."""

    async def test_path_has_a_page_of_its_own(self) -> None:
        pages = PageServer(
            "127.0.0.1:0",
            lambda: (200, b"other"),
            {PARTS_PATH: lambda: (200, blocks_page([BLOCK]))},
        )
        pages.open()
        self.addCleanup(pages.close)
        [(host, port)] = pages.addresses
        bodies = [
            (await AsyncHTTPClient().fetch(f"http://{host}:{port}{path}")).body.decode()
            for path in ("/metrics", "/parts", "/parts?x=1", "/parts/x")
        ]
        self.assertEqual([body == "other" for body in bodies], [True, False, False, True])
        for text in ("llm", "12e4", "t1", "e1", "2001-09-09T01:46:40Z", "2001-09-09T01:56:40Z"):
            self.assertIn(text, bodies[1])

    def test_rows_are_ordered_and_show_who_is_refused(self) -> None:
        other = replace(BLOCK, key=BlockKey(ServiceId("app"), ModelId(""), (PART,)), customers=())
        rows = block_rows([BLOCK, other]).rows
        self.assertEqual(
            [row[:4] for row in rows], [("app", None, "12e4", "all"), ("llm", "m0", "12e4", "t1")]
        )

    # Guards against a block for requests without a key that is shown as one for everyone.
    def test_requests_without_a_key_are_not_shown_as_all(self) -> None:
        rows = block_rows(
            replace(BLOCK, key=BlockKey(ServiceId(service), ModelId(""), (PART,)), customers=names)
            for service, names in (("a", (ANONYMOUS,)), ("b", (ANONYMOUS, CustomerId("t1"))))
        ).rows
        self.assertEqual([row[3] for row in rows], ["(no key)", "(no key),t1"])


if __name__ == "__main__":
    unittest.main()
