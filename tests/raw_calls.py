"""HTTP requests to entries that record whether the answer looked complete to a client."""

import http.client
import json
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any

from trial.fleet import API_KEY, MODEL, SERVICE

TIMEOUT_SECONDS = 40.0
LOANS_PATH = f"/services/{SERVICE}/loans"
COMPLETIONS_PATH = "/v1/completions"
END_OF_STREAM = b"data: [DONE]"


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer as the client received it.

    :param status: status code; 0 if no head arrived.
    :param complete: whether the body is complete by the rules of HTTP.
    """

    status: int
    body: bytes = b""
    complete: bool = False
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def problem(self) -> dict[str, Any]:
        """The JSON object in the body; empty if the body is not a JSON object."""
        try:
            parsed = json.loads(self.body)
        except ValueError:
            return {}
        return parsed if isinstance(parsed, dict) else {}

    @property
    def run(self) -> str:
        """The member ``run`` of a problem: whether the request has run."""
        return str(self.problem.get("run", ""))

    @property
    def looks_complete(self) -> bool:
        """Whether a model client accepts the answer as complete."""
        return self.complete and (END_OF_STREAM in self.body or "choices" in self.problem)


class OpenCall:
    """One request whose answer is read in steps that the test controls."""

    def __init__(
        self, address: str, path: str, body: bytes, headers: dict[str, str] | None = None
    ) -> None:
        host, _, port = address.rpartition(":")
        self._connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_SECONDS)
        fields = {"Authorization": f"Bearer {API_KEY}", "Content-Type": "application/json"}
        self._received = b""
        self._response: http.client.HTTPResponse | None = None
        try:
            self._connection.request("POST", path, body, fields | (headers or {}))
        except OSError:
            self._connection.close()
            raise

    def __enter__(self) -> "OpenCall":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._connection.close()

    def read_first(self) -> bytes:
        """Wait for the first bytes of the body and return them."""
        self._response = self._connection.getresponse()
        self._received += self._response.read1(10)
        return self._received

    def read_rest(self) -> Reply:
        """Read the rest of the answer, whether it ends regularly or with an error."""
        try:
            response = self._response or self._connection.getresponse()
        except (OSError, http.client.HTTPException):
            return Reply(0)
        headers = dict(response.getheaders())
        try:
            while part := response.read1(65_536):
                self._received += part
        except (OSError, http.client.HTTPException):
            return Reply(response.status, self._received, False, headers)
        complete = response.length in (None, 0)
        return Reply(response.status, self._received, complete, headers)


def post(address: str, path: str, fields: Any, headers: dict[str, str] | None = None) -> Reply:
    """Send one request and return its answer."""
    body = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
    try:
        with OpenCall(address, path, body, headers) as call:
            return call.read_rest()
    except OSError:
        return Reply(0)


def post_loan(address: str, booking: str, key: str = "", **headers: str) -> Reply:
    """Request one booking, with an idempotency key if one is given."""
    key_header = {"Idempotency-Key": key} if key else {}
    return post(address, LOANS_PATH, {"booking": booking}, key_header | headers)


def post_completion(address: str, prompt: str, max_tokens: int = 8, **headers: str) -> Reply:
    """Request one completion that is not streamed."""
    fields = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens}
    return post(address, COMPLETIONS_PATH, fields, headers)


def open_stream(address: str, prompt: str, max_tokens: int) -> OpenCall:
    """Request a streamed completion and wait for its first bytes."""
    fields = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": True}
    call = OpenCall(address, COMPLETIONS_PATH, json.dumps(fields).encode())
    call.read_first()
    return call


class ConcurrentCalls:
    """Runs requests concurrently."""

    def __init__(self) -> None:
        self._pool = ThreadPoolExecutor(64)

    def __enter__(self) -> "ConcurrentCalls":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._pool.shutdown()

    def post_loan(self, address: str, booking: str, key: str = "") -> "Future[Reply]":
        """Start one booking."""
        return self._pool.submit(post_loan, address, booking, key)

    def post_completion(self, address: str, prompt: str, max_tokens: int = 8) -> "Future[Reply]":
        """Start one completion that is not streamed."""
        return self._pool.submit(post_completion, address, prompt, max_tokens)
