"""Requests through all entries at once, with what each caller saw at the end."""

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

    WHOLE = "whole"
    NOT_RUN = "refused as not run"
    UNKNOWN = "refused as perhaps run"
    CUT = "visibly cut"
    NO_ANSWER = "no answer"
    FALSE = "looks whole but is not"


@dataclass(frozen=True, slots=True)
class Outcome:
    """What one caller saw."""

    ending: Ending
    request_id: str = ""
    detail: str = ""


@dataclass(frozen=True, slots=True)
class _Exchange:
    status: int
    request_id: str
    body: bytes
    is_broken: bool


def stream(address: str, prompt: str, max_tokens: int) -> Outcome:
    """Ask the model for a streamed answer."""
    messages = [{"role": "user", "content": prompt}]
    fields = {"model": MODEL, "messages": messages, "max_tokens": max_tokens, "stream": True}
    exchange = _post(address, "/v1/chat/completions", json.dumps(fields), {})
    if exchange is None or exchange.status != http.client.OK:
        return _refused(exchange)
    return _judge_stream(exchange, prompt, max_tokens)


def ask(address: str, prompt: str) -> Outcome:
    """Ask the model for a short streamed answer."""
    return stream(address, prompt, SHORT_ANSWER_TOKENS)


def book_once(address: str, key: str) -> Outcome:
    """Book with an idempotency key."""
    headers = {"Idempotency-Key": key}
    exchange = _post(address, f"/services/{SERVICE}/loans", json.dumps({"booking": key}), headers)
    if exchange is None or exchange.status != http.client.OK:
        return _refused(exchange)
    ending = Ending.CUT if exchange.is_broken else Ending.WHOLE
    return Outcome(ending, exchange.request_id)


def _post(address: str, path: str, body: str, headers: dict[str, str]) -> _Exchange | None:
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_SECONDS)
    common = {"Authorization": f"Bearer {API_KEY}", "Content-Type": "application/json"}
    try:
        connection.request("POST", path, body, common | headers)
        answer = connection.getresponse()
        request_id = answer.getheader(REQUEST_ID_HEADER, "")
        try:
            return _Exchange(answer.status, request_id, answer.read(), False)
        except http.client.IncompleteRead as error:
            return _Exchange(answer.status, request_id, error.partial, True)
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def _refused(exchange: _Exchange | None) -> Outcome:
    if exchange is None:
        return Outcome(Ending.NO_ANSWER)
    problem = json.loads(exchange.body)
    ending = Ending.NOT_RUN if problem["run"] == "not-run" else Ending.UNKNOWN
    return Outcome(ending, exchange.request_id, problem["title"])


def _judge_stream(exchange: _Exchange, prompt: str, max_tokens: int) -> Outcome:
    lines = exchange.body.decode(errors="replace").splitlines()
    events = [line.removeprefix("data: ") for line in lines if line.startswith("data: ")]
    chunks = [json.loads(event) for event in events if event != DONE and event.endswith("}")]
    text = "".join(
        choice["delta"].get("content") or ""
        for chunk in chunks
        for choice in chunk.get("choices", ())
    )
    has_error = any("error" in chunk for chunk in chunks)
    if DONE in events and not has_error and is_complete_answer(text, prompt, max_tokens):
        return Outcome(Ending.WHOLE, exchange.request_id)
    if DONE not in events and (has_error or exchange.is_broken):
        return Outcome(Ending.CUT, exchange.request_id)
    end = f"connection broken: {exchange.is_broken}, end: {exchange.body[-SHOWN_BYTES:]!r}"
    return Outcome(Ending.FALSE, exchange.request_id, f"{text}; {end}")


class Traffic:
    """Callers that ask one after another until told to stop; a context manager.

    :param call: makes one call at an address, with a text that no other call has.
    :param callers: callers of each entry.
    """

    def __init__(
        self, addresses: Sequence[str], call: Callable[[str, str], Outcome], callers: int = 2
    ) -> None:
        self.outcomes: list[Outcome] = []
        self._call = call
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._ask, args=(address,), daemon=True)
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
    def whole(self) -> int:
        """Number of whole answers so far."""
        return self.count(Ending.WHOLE)

    def count(self, ending: Ending) -> int:
        """Return the number of calls that ended in this way."""
        return Counter(outcome.ending for outcome in tuple(self.outcomes))[ending]

    def _ask(self, address: str) -> None:
        while not self._stopped.is_set():
            outcome = self._call(address, f"{id(self)}-{next(self._numbers)}")
            self.outcomes.append(outcome)
            if outcome.ending is not Ending.WHOLE:
                self._stopped.wait(0.05)


def burst(
    addresses: Sequence[str], call: Callable[[str, str], Outcome], callers: int
) -> list[Outcome]:
    """Make one call of each caller, all at once, and return what they saw."""
    outcomes: list[Outcome] = []
    start = threading.Barrier(len(addresses) * callers)

    def ask(address: str, text: str) -> None:
        start.wait()
        outcomes.append(call(address, text))

    threads = [
        threading.Thread(target=ask, args=(address, f"burst {address} {number}"))
        for address, number in itertools.product(addresses, range(callers))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return outcomes


def ids_of(outcomes: Iterable[Outcome], ending: Ending) -> list[str]:
    """Return the request ids of the calls that ended in this way."""
    return [outcome.request_id for outcome in outcomes if outcome.ending is ending]
