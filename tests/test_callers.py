"""Tests of the callers' listener over real sockets, with a fake API."""

import asyncio
import json
import unittest

from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from cactuspass._byte_queue import ByteQueue
from cactuspass._caller_requests import RequestDefaults, RequestReader
from cactuspass._callers import CallerApi, CallerServer, CallerSettings, CallOutcome
from cactuspass._messages import RefusalReason
from cactuspass._requests import Answer, CallerRequest
from cactuspass.exceptions import AnswerCut, RequestRefused
from cactuspass.models import CustomerId


class FakeCallerApi(CallerApi):
    """Returns the answer or raises the error that the test has set."""

    def __init__(self) -> None:
        self.requests: list[CallerRequest] = []
        self.outcomes: list[CallOutcome] = []
        self.error: Exception | None = None
        self.queue = ByteQueue(1000)
        self.headers: tuple[tuple[str, str], ...] = (("Content-Type", "text/event-stream"),)

    async def serve(self, request: CallerRequest, idempotency_key: str | None) -> Answer:
        self.requests.append(request)
        if self.error is not None:
            raise self.error
        return Answer(200, self.headers, self.queue)

    def observe(self, outcome: CallOutcome) -> None:
        self.outcomes.append(outcome)

    def models(self) -> tuple[str, ...]:
        return ("assistant",)

    def is_ready(self) -> bool:
        return True

    def is_draining(self) -> bool:
        return False


class CallersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.api = FakeCallerApi()
        settings = CallerSettings(
            "127.0.0.1:0", {"key": CustomerId("library")}, body_bytes=2000, header_bytes=4000
        )
        reader = RequestReader(RequestDefaults(), lambda: 0.0, {})
        self.server = CallerServer(settings, self.api, reader)
        await self.server.start()
        self.client = SimpleAsyncHTTPClient(force_instance=True)

    async def asyncTearDown(self) -> None:
        self.client.close()
        await self.server.stop()

    async def post(self, path: str, body: bytes, key: str = "key", **headers: str) -> HTTPResponse:
        fields = {"Authorization": f"Bearer {key}", **headers}
        request = HTTPRequest(
            f"http://127.0.0.1:{self.server.port}{path}", "POST", headers=fields, body=body
        )
        return await self.client.fetch(request, raise_error=False)

    async def test_answer_is_relayed_completely(self) -> None:
        self.api.queue.put_nowait(b"data: 1\n\n")
        self.api.queue.finish()
        response = await self.post("/v1/completions", b'{"model": "assistant", "prompt": "x"}')
        self.assertEqual((response.code, response.body), (200, b"data: 1\n\n"))
        self.assertEqual(self.api.requests[0].customer, "library")

    async def test_broken_stream_never_looks_complete(self) -> None:
        self.api.queue.put_nowait(b"data: 1\n\n")
        self.api.queue.fail(AnswerCut("lost"))
        request = b'{"model": "assistant", "stream": true}'
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (len(request), request)
        )
        received = await reader.read()
        writer.close()
        self.assertIn(b'"type": "answer-cut"', received)
        self.assertFalse(received.endswith(b"0\r\n\r\n"))

    async def stream(self) -> bytes:
        """Request a stream; return all bytes received until the connection closes."""
        request = b'{"model": "assistant", "stream": true}'
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\n"
            b"Connection: close\r\nContent-Length: %d\r\n\r\n%s" % (len(request), request)
        )
        received = await reader.read()
        writer.close()
        return received

    # Guards against an error event after the final event, which contradicts a complete answer.
    async def test_stream_that_breaks_off_after_its_final_event_is_whole(self) -> None:
        for chunks in (
            [b"data: 1\n\n", b"data: [DONE]\n\n"],
            [b"data: 1\n\ndata: [DO", b"NE]\n\n"],
        ):
            self.api.queue = ByteQueue(1000)
            for chunk in chunks:
                self.api.queue.put_nowait(chunk)
            self.api.queue.fail(AnswerCut("the connection broke"))
            received = await self.stream()
            self.assertNotIn(b"error", received)
            self.assertTrue(received.endswith(b"0\r\n\r\n"), received)
            self.assertTrue(self.api.outcomes[-1].complete)

    # Guards against counting a stream as complete because its text contains the final event, or
    # because the final event has begun.
    async def test_only_a_complete_final_event_completes_a_stream(self) -> None:
        for last in (b'data: {"text": "data: [DONE]', b"data: [DONE]", b"data: [DONE]\n"):
            self.api.queue = ByteQueue(1000)
            self.api.queue.put_nowait(b"data: 1\n\n" + last)
            self.api.queue.fail(AnswerCut("the connection broke"))
            received = await self.stream()
            self.assertTrue(received.endswith(last + b"\r\n"), received)
            self.assertFalse(self.api.outcomes[-1].complete)

    # Guards against an error event that a client would read as part of an unfinished event.
    async def test_error_is_told_between_events_only(self) -> None:
        for partial_event in (b'data: {"a', b"data: 1\n", b"data: 1\r\n"):
            self.api.queue = ByteQueue(1000)
            self.api.queue.put_nowait(partial_event)
            self.api.queue.fail(AnswerCut("the connection broke"))
            received = await self.stream()
            self.assertTrue(received.endswith(partial_event + b"\r\n"), received)
        for complete_events in (b"", b"data: 1\n\n", b"data: 1\r\n\r\n"):
            self.api.queue = ByteQueue(1000)
            self.api.queue.put_nowait(complete_events)
            self.api.queue.fail(AnswerCut("the connection broke"))
            received = await self.stream()
            self.assertTrue(received.endswith(b'"type": "answer-cut"}}\n\n\r\n'), received)

    # A plain service may use any events, so only the end of the body marks the answer as complete.
    async def test_stream_of_a_plain_service_is_complete_only_at_its_end(self) -> None:
        self.api.queue.put_nowait(b"data: [DONE]\n\n")
        self.api.queue.fail(AnswerCut("the connection broke"))
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(
            b"GET /services/lending/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\n\r\n"
        )
        received = await reader.read()
        writer.close()
        self.assertIn(b'"type": "answer-cut"', received)
        self.assertFalse(received.endswith(b"0\r\n\r\n"), received)

    async def test_refusal_is_a_problem_with_retry_after(self) -> None:
        self.api.error = RequestRefused(RefusalReason.QUEUE_FULL, 2.5)
        response = await self.post("/v1/completions", b'{"model": "assistant"}')
        problem = json.loads(response.body)
        self.assertEqual(response.code, 429)
        self.assertEqual(response.headers["Retry-After"], "3")
        self.assertEqual(problem["run"], "not-run")

    async def test_bad_input_is_refused_and_the_field_is_named(self) -> None:
        cases = {
            b"{": "not JSON",
            b'{"model": ""}': "model",
            b'{"model": "m", "max_tokens": 0}': "max_tokens",
            b"[1]": "",
        }
        for body, field in cases.items():
            response = await self.post("/v1/completions", body)
            self.assertEqual(response.code, 400, body)
            self.assertIn(field, json.loads(response.body)["detail"])
        wrong_deadline = await self.post(
            "/v1/completions", b'{"model": "m"}', **{"X-Deadline-Seconds": "soon"}
        )
        self.assertIn("X-Deadline-Seconds", json.loads(wrong_deadline.body)["detail"])
        self.assertEqual(self.api.requests, [])

    async def test_unknown_key_and_path_and_oversize_body(self) -> None:
        self.assertEqual((await self.post("/v1/completions", b"{}", key="no")).code, 401)
        self.assertEqual((await self.post("/nowhere", b"{}")).code, 404)
        oversize = await self.post("/v1/completions", b"x" * 3000)
        self.assertIn(oversize.code, (400, 413, 599))
        self.assertEqual(self.api.requests, [])

    async def test_service_request_keeps_method_path_and_query(self) -> None:
        self.api.queue.finish()
        await self.post("/services/lending/loans/a%2Fb?x=1", b"toy")
        request = self.api.requests[0]
        self.assertEqual((request.model, request.path), ("service:lending", "/loans/a%2Fb?x=1"))
        self.assertFalse(request.repeatable)
