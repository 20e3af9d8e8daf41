"""Real daemons answer bad input with a clear typed error, log no traceback and keep serving."""

import asyncio
import socket
import subprocess
import sys
from typing import Any

import cbor2
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from cactuspass._peer_messages import Hello, encode
from cactuspass.models import DataCentreId, EntryId, Incarnation
from tests.fleet_case import FleetCase
from tests.raw_calls import Reply, post, post_completion
from trial.fleet import MODEL, OPERATOR_TOKEN, PEER_TOKEN, FleetPlan

OTHER_VERSION = 99


class BadInputTest(FleetCase):
    plan = FleetPlan(data_centres=("a",), entries=1, engines=2)

    def setUp(self) -> None:
        self.entry = self.fleet.entries_by_name["a-0"]

    def tearDown(self) -> None:
        log = (self.fleet.folder / "a-0.log").read_text(encoding="utf-8")
        self.assertNotIn("Traceback", log)
        self.assertTrue(post_completion(self.entry.callers, "goes on").looks_complete)

    def test_callers(self) -> None:
        path = "/v1/completions"
        valid = {"model": MODEL, "prompt": "x"}
        wrong_key = {"Authorization": "Bearer wrong"}
        cases: dict[str, tuple[Reply, int, str]] = {
            "not JSON": (self.call(path, b"{"), 400, "bad-request"),
            "a list": (self.call(path, b"[1]"), 400, "bad-request"),
            "bytes": (self.call(path, b"\xff\xfe"), 400, "bad-request"),
            "no model": (self.call(path, {"prompt": "x"}), 400, "bad-request"),
            "other model": (self.call(path, {"model": "nobody"}), 404, "not-served"),
            "other service": (self.call("/services/nobody/x", {}), 404, "not-served"),
            "no path": (self.call("/nowhere", {}), 404, "not-found"),
            "wrong key": (self.call(path, valid, wrong_key), 401, "unauthorized"),
        }
        for name, (reply, status, code) in cases.items():
            with self.subTest(name):
                self.assertEqual(reply.status, status, reply.body)
                self.assertEqual(reply.problem["type"], f"urn:cactuspass:problem:{code}")
                self.assertEqual(reply.run, "not-run")

    def test_oversize(self) -> None:
        before = self.counts().merged("accepted_by_request_id").total()
        large_body = self.call("/v1/completions", b"x" * (5 * 1024 * 1024))
        large_header = self.call("/v1/completions", {}, {"X-Large": "x" * 100_000})
        self.assertIn(large_body.status, (0, 400, 413))
        self.assertIn(large_header.status, (0, 400, 431))
        self.assertEqual(self.counts().merged("accepted_by_request_id").total(), before)

    def test_oversize_body_is_a_typed_error(self) -> None:
        received = self.send_head(b"Content-Length: 6000000\r\n\r\n")
        self.assertIn(b"urn:cactuspass:problem:", received)
        self.assertIn(b" 413 ", received)

    def test_oversize_header_is_a_typed_error(self) -> None:
        received = self.send_head(b"X-Large: " + b"x" * 100_000)
        self.assertIn(b"urn:cactuspass:problem:", received)

    def send_head(self, rest: bytes) -> bytes:
        head = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        host, _, port = self.entry.callers.rpartition(":")
        with socket.create_connection((host, int(port)), 10.0) as caller:
            caller.sendall(head + rest)
            return caller.recv(65_536)

    def call(self, path: str, fields: Any, headers: dict[str, str] | None = None) -> Reply:
        return post(self.entry.callers, path, fields, headers)

    def test_operators(self) -> None:
        token = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        query = {"query": "groups"}
        wrong = post(self.entry.operators, "/v1/ask", query, {"Authorization": "Bearer x"})
        self.assertEqual((wrong.status, wrong.problem["type"][-12:]), (401, "unauthorized"))
        malformed = post(self.entry.operators, "/v1/ask", b"{", token)
        self.assertEqual(malformed.status, 400)
        typo = post(self.entry.operators, "/v1/do", {"command": "take uot group g"}, token)
        self.assertEqual((typo.status, typo.problem["line"], typo.problem["column"]), (400, 1, 6))

    def test_command_line_names_line_and_column_of_a_typo(self) -> None:
        arguments = ["do", "take uot group g", "--entry", self.entry.operators]
        program = "from cactuspass.cli import main; main()"
        result = run("-c", program, *arguments, "--token", OPERATOR_TOKEN)
        self.assertEqual(result.returncode, 2, result.stderr)
        self.assertIn("line 1, column 6:", result.stderr)
        self.assertNotIn("Traceback", result.stderr)

    def test_settings_report_every_mistake(self) -> None:
        broken = self.fleet.folder / "broken.toml"
        text = self.entry.settings.read_text(encoding="utf-8")
        text = text.replace("timeout_seconds = 0.5", "time_out = 0.5")
        text = text.replace("share = 0.95", "share = 2")
        text = text.replace(f'callers = "{self.entry.callers}"', 'callers = "nowhere"')
        broken.write_text(text, encoding="utf-8")
        result = run("-m", "cactuspass.daemon", "--settings", str(broken))
        self.assertEqual(result.returncode, 2)
        for place in ("listeners.callers", "platform.time_out", "objectives"):
            self.assertIn(place, result.stderr)
        self.assertNotIn("Traceback", result.stderr)

    def test_peers(self) -> None:
        own = Hello(EntryId("zz"), Incarnation("i"), DataCentreId("a"), "127.0.0.1:1", "wrong")
        version, name, fields = cbor2.loads(encode(own))
        fields = fields | {"token": PEER_TOKEN} if isinstance(fields, dict) else fields
        other = cbor2.dumps([OTHER_VERSION, name, fields])
        self.assertNotEqual(version, OTHER_VERSION)
        self.assertEqual(self.close_reason(encode(own)), (1008, "wrong token"))
        code, reason = self.close_reason(other)
        self.assertEqual(code, 1002)
        self.assertIn(str(OTHER_VERSION), reason)
        self.assertEqual(self.close_reason(b"\xff\xff")[0], 1002)

    def close_reason(self, first: bytes) -> tuple[int, str]:
        """Return the code and reason with which the daemon closes the connection of a peer.

        :param first: first message that the peer sends.
        """

        async def connect_and_send() -> tuple[int, str]:
            async with connect(f"ws://{self.entry.peers}/", proxy=None) as socket:
                await socket.send(first)
                try:
                    while True:
                        await socket.recv()
                except ConnectionClosed as error:
                    assert error.rcvd is not None
                    return error.rcvd.code, error.rcvd.reason

        return asyncio.run(connect_and_send())


def run(*arguments: str) -> "subprocess.CompletedProcess[str]":
    """Run the Python interpreter with these arguments and wait for its end."""
    command = [sys.executable, *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
