"""Concurrent requests through all entries, with the outcome that each caller saw."""

import http.client
import itertools
import json
import threading
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from trial.calls import is_complete_answer
from trial.fleet import API_KEY, MODEL, SERVICE

CALL_TIMEOUT_SECONDS = 60.0
REQUEST_ID_HEADER = "X-Request-Id"
SHORT_ANSWER_TOKENS = 12
DONE = "[DONE]"
SHOWN_BYTES = 300


class Ending(Enum):
    """How a call ended for its caller."""

    COMPLETE = "whole"
    NOT_RUN = "refused as not run"
    UNKNOWN = "refused as possibly run"
    CUT = "recognisably cut off"
    NO_ANSWER = "no answer"
    FALSELY_COMPLETE = "looks complete but is not"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of one call, as its caller saw it."""

    ending: Ending
    request_id: str = ""
    detail: str = ""


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    request_id: str
    body: bytes
    is_broken: bool


def stream(address: str, prompt: str, max_tokens: int) -> Outcome:
    """Request a streamed answer of the model and classify it."""
    messages = [{"role": "user", "content": prompt}]
    fields = {"model": MODEL, "messages": messages, "max_tokens": max_tokens, "stream": True}
    response = _post(address, "/v1/chat/completions", json.dumps(fields), {})
    if response is None or response.status != http.client.OK:
        return _classify_refusal(response)
    return _classify_stream(response, prompt, max_tokens)


def stream_short(address: str, prompt: str) -> Outcome:
    """Request a short streamed answer of the model and classify it."""
    return stream(address, prompt, SHORT_ANSWER_TOKENS)


def book_with_key(address: str, key: str) -> Outcome:
    """Book at the service with an idempotency key and classify the answer."""
    headers = {"Idempotency-Key": key}
    response = _post(address, f"/services/{SERVICE}/loans", json.dumps({"booking": key}), headers)
    if response is None or response.status != http.client.OK:
        return _classify_refusal(response)
    ending = Ending.CUT if response.is_broken else Ending.COMPLETE
    return Outcome(ending, response.request_id)


def _post(address: str, path: str, body: str, headers: dict[str, str]) -> _Response | None:
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_SECONDS)
    common = {"Authorization": f"Bearer {API_KEY}", "Content-Type": "application/json"}
    try:
        connection.request("POST", path, body, common | headers)
        http_response = connection.getresponse()
        request_id = http_response.getheader(REQUEST_ID_HEADER, "")
        try:
            return _Response(http_response.status, request_id, http_response.read(), False)
        except http.client.IncompleteRead as error:
            return _Response(http_response.status, request_id, error.partial, True)
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def _classify_refusal(response: _Response | None) -> Outcome:
    if response is None:
        return Outcome(Ending.NO_ANSWER)
    problem = json.loads(response.body)
    ending = Ending.NOT_RUN if problem["run"] == "not-run" else Ending.UNKNOWN
    return Outcome(ending, response.request_id, problem["title"])


def _classify_stream(response: _Response, prompt: str, max_tokens: int) -> Outcome:
    lines = response.body.decode(errors="replace").splitlines()
    events = [line.removeprefix("data: ") for line in lines if line.startswith("data: ")]
    chunks = [json.loads(event) for event in events if event != DONE and event.endswith("}")]
    text = "".join(
        choice["delta"].get("content") or ""
        for chunk in chunks
        for choice in chunk.get("choices", ())
    )
    has_error = any("error" in chunk for chunk in chunks)
    if DONE in events and not has_error and is_complete_answer(text, prompt, max_tokens):
        return Outcome(Ending.COMPLETE, response.request_id)
    if DONE not in events and (has_error or response.is_broken):
        return Outcome(Ending.CUT, response.request_id)
    end = f"connection broken: {response.is_broken}, end: {response.body[-SHOWN_BYTES:]!r}"
    return Outcome(Ending.FALSELY_COMPLETE, response.request_id, f"{text}; {end}")


class Traffic:
    """Context manager that runs callers in threads; each makes one call after another.

    :param call: makes one call to an address, with a text that no other call has.
    :param callers: number of callers of each entry.
    """

    def __init__(
        self, addresses: Sequence[str], call: Callable[[str, str], Outcome], callers: int = 2
    ) -> None:
        self.outcomes: list[Outcome] = []
        self._call = call
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run_caller, args=(address,), daemon=True)
            for address in addresses
            for _ in range(callers)
        ]

    def __enter__(self) -> "Traffic":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *details: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    @property
    def complete_count(self) -> int:
        """Number of complete answers so far."""
        return self.count(Ending.COMPLETE)

    def count(self, ending: Ending) -> int:
        """Return the number of calls with the given ending."""
        return Counter(outcome.ending for outcome in tuple(self.outcomes))[ending]

    def _run_caller(self, address: str) -> None:
        while not self._stopped.is_set():
            outcome = self._call(address, f"{id(self)}-{next(self._numbers)}")
            self.outcomes.append(outcome)
            if outcome.ending is not Ending.COMPLETE:
                self._stopped.wait(0.05)


def send_burst(
    addresses: Sequence[str], call: Callable[[str, str], Outcome], callers: int
) -> list[Outcome]:
    """Make one call per caller, all at the same time, and return the outcomes.

    :param callers: number of callers of each address.
    """
    outcomes: list[Outcome] = []
    start = threading.Barrier(len(addresses) * callers)

    def call_once(address: str, text: str) -> None:
        start.wait()
        outcomes.append(call(address, text))

    threads = [
        threading.Thread(target=call_once, args=(address, f"burst {address} {number}"))
        for address, number in itertools.product(addresses, range(callers))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return outcomes


def request_ids(outcomes: Iterable[Outcome], ending: Ending) -> list[str]:
    """Return the request ids of the calls with the given ending."""
    return [outcome.request_id for outcome in outcomes if outcome.ending is ending]
