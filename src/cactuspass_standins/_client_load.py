"""A bounded load of requests, whose answers are checked."""

import asyncio
import json
import random
import time
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass, field
from http import HTTPStatus

from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from cactuspass_standins._answer_checks import AnswerCheck, ChatCheck, EchoCheck, StreamCheck
from cactuspass_standins._prompt import Prompt

NO_STATUS = 0
CLIENT_ERROR_STATUS = 599
REFUSAL_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


@dataclass(frozen=True, slots=True)
class Call:
    """One request and the check of its answer."""

    path: str
    body: bytes
    check: AnswerCheck
    headers: dict[str, str] = field(default_factory=dict)


class Workload(ABC):
    """What the requests of a load ask for."""

    @abstractmethod
    def call(self, number: int, randomness: random.Random) -> Call:
        """Return the request with this number."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ChatWorkload(Workload):
    """Chat completions.

    :param streamed_share: part of the requests that ask for a stream, from 0 to 1.
    :param distinct_prompts: number of prompts among which the requests are spread.
    :param prompt_characters: length that prompts are filled up to.
    """

    model: str
    max_tokens: int = 16
    streamed_share: float = 1.0
    distinct_prompts: int = 1000
    prompt_characters: int = 100

    def call(self, number: int, randomness: random.Random) -> Call:
        """Return a request with one of the prompts."""
        text = f"{number % self.distinct_prompts} ".ljust(self.prompt_characters, "a")
        expected = Prompt(text).answer(self.max_tokens)
        streamed = randomness.random() < self.streamed_share
        fields = {
            "model": self.model,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": self.max_tokens,
            "stream": streamed,
        }
        check = StreamCheck(expected) if streamed else ChatCheck(expected)
        return Call("/v1/chat/completions", json.dumps(fields).encode(), check)


@dataclass(frozen=True, slots=True, kw_only=True)
class BookingWorkload(Workload):
    """Calls of a plain service that must run at most once.

    :param path: path of the service.
    :param prefix: what the names of the bookings start with.
    """

    path: str
    prefix: str = "booking"

    def call(self, number: int, randomness: random.Random) -> Call:
        """Return a booking with a key of its own."""
        booking = f"{self.prefix}-{number}"
        body = json.dumps({"booking": booking}).encode()
        return Call(self.path, body, EchoCheck(body), {"Idempotency-Key": booking})


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadSettings:
    """How many requests a load sends, how fast, and as whom.

    :param rate: requests a second.
    :param count: number of requests after which the load ends.
    :param seconds: time after which no more are sent.
    :param customers: bearer tokens that the requests carry in turn; none sends no token.
    :param timeout: seconds until a request is given up.
    """

    rate: float
    count: int
    seconds: float = 60.0
    customers: tuple[str, ...] = ()
    timeout: float = 30.0
    seed: int = 1


@dataclass(frozen=True, slots=True)
class CallResult:
    """What came of one request.

    :param status: 0 when no whole answer came.
    :param whole: whether the whole expected answer came.
    :param own: whether nothing came that belongs to another request.
    :param ended: whether the answer looked complete.
    :param first_token_seconds: time from the planned sending to the first byte of the answer.
    :param retry_after: seconds that a refusal named.
    """

    number: int
    customer: str
    status: int
    whole: bool
    own: bool
    ended: bool
    first_token_seconds: float | None
    seconds: float
    retry_after: float | None = None
    error: str = ""

    @property
    def is_refused(self) -> bool:
        """Tell whether the system refused the request."""
        return self.status in REFUSAL_STATUSES

    @property
    def is_falsely_ended(self) -> bool:
        """Tell whether the answer looked complete but wasn't."""
        return self.ended and not self.whole


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What came of a load."""

    results: tuple[CallResult, ...]

    @property
    def whole(self) -> int:
        """Return the number of whole answers."""
        return sum(result.whole for result in self.results)

    @property
    def refused(self) -> int:
        """Return the number of refusals."""
        return sum(result.is_refused for result in self.results)

    @property
    def crossed(self) -> int:
        """Return the number of answers that belong to another request."""
        return sum(not result.own for result in self.results)

    @property
    def falsely_ended(self) -> int:
        """Return the number of answers that looked complete but weren't."""
        return sum(result.is_falsely_ended for result in self.results)

    def first_token_seconds(self, share: float) -> float | None:
        """Return the time within which this share of the whole answers began."""
        times = sorted(
            result.first_token_seconds
            for result in self.results
            if result.whole and result.first_token_seconds is not None
        )
        return times[min(len(times) - 1, int(share * len(times)))] if times else None


class Load:
    """Sends requests at a steady rate, however long their answers take.

    :param urls: base URLs that take the requests in turn.
    """

    def __init__(self, urls: Sequence[str], workload: Workload, settings: LoadSettings) -> None:
        self.urls = tuple(urls)
        self.workload = workload
        self.settings = settings
        self._randomness = random.Random(settings.seed)
        self._client = SimpleAsyncHTTPClient(force_instance=True, max_clients=settings.count)

    async def run(self) -> LoadReport:
        """Send all requests and return the results in the order of sending."""
        began_at = time.monotonic()
        settings = self.settings
        count = min(settings.count, int(settings.seconds * settings.rate))
        tasks = []
        for number in range(count):
            planned_at = began_at + number / settings.rate
            await asyncio.sleep(max(0.0, planned_at - time.monotonic()))
            tasks.append(asyncio.create_task(self._send(number, planned_at)))
        results = await asyncio.gather(*tasks)
        self._client.close()
        return LoadReport(tuple(results))

    async def _send(self, number: int, planned_at: float) -> CallResult:
        call = self.workload.call(number, self._randomness)
        customers = self.settings.customers
        customer = customers[number % len(customers)] if customers else ""
        first_bytes: list[float] = []

        def take_chunk(chunk: bytes) -> None:
            first_bytes.append(time.monotonic() - planned_at)
            call.check.feed(chunk)

        request = self._request(number, call, customer)
        request.streaming_callback = take_chunk
        status, retry_after, error = await self._fetch(request)
        is_answer = status in (HTTPStatus.OK, NO_STATUS)
        return CallResult(
            number=number,
            customer=customer,
            status=status,
            whole=status == HTTPStatus.OK and call.check.is_whole,
            own=not is_answer or call.check.is_own,
            ended=is_answer and call.check.is_ended,
            first_token_seconds=first_bytes[0] if is_answer and first_bytes else None,
            seconds=time.monotonic() - planned_at,
            retry_after=retry_after,
            error=error,
        )

    def _request(self, number: int, call: Call, customer: str) -> HTTPRequest:
        headers = {"Content-Type": "application/json"} | call.headers
        if customer:
            headers["Authorization"] = f"Bearer {customer}"
        return HTTPRequest(
            self.urls[number % len(self.urls)] + call.path,
            method="POST",
            headers=headers,
            body=call.body,
            connect_timeout=self.settings.timeout,
            request_timeout=self.settings.timeout,
        )

    async def _fetch(self, request: HTTPRequest) -> tuple[int, float | None, str]:
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError) as error:
            return NO_STATUS, None, str(error)
        if response.code == CLIENT_ERROR_STATUS:
            return NO_STATUS, None, str(response.error)
        return response.code, _retry_after(response), ""


def _retry_after(response: HTTPResponse) -> float | None:
    value = response.headers.get("Retry-After")
    return float(value) if value and value.replace(".", "", 1).isdigit() else None
