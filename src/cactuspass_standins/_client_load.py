"""Load generator that sends a bounded number of requests and checks the responses."""

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

from cactuspass_standins._prompt import Prompt
from cactuspass_standins._response_checks import ChatCheck, EchoCheck, ResponseCheck, StreamCheck

NO_STATUS = 0
# Tornado's client reports a request without a response under this status.
CLIENT_ERROR_STATUS = 599
REFUSAL_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


@dataclass(frozen=True, slots=True)
class Call:
    """One request and the check of its response."""

    path: str
    body: bytes
    check: ResponseCheck
    headers: dict[str, str] = field(default_factory=dict)


class Workload(ABC):
    """Builds the requests of a load."""

    @abstractmethod
    def call(self, number: int, randomness: random.Random) -> Call:
        """Return the request with the given sequence number."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ChatWorkload(Workload):
    """Chat completion requests.

    :param streamed_share: fraction of the requests that are streamed, from 0 to 1.
    :param distinct_prompts: number of different prompts, used in turn.
    :param prompt_characters: length that prompts are padded to.
    """

    model: str
    max_tokens: int = 16
    streamed_share: float = 1.0
    distinct_prompts: int = 1000
    prompt_characters: int = 100

    def call(self, number: int, randomness: random.Random) -> Call:
        """Return a chat completion request for one of the prompts."""
        text = f"{number % self.distinct_prompts} ".ljust(self.prompt_characters, "a")
        expected = Prompt(text).completion(self.max_tokens)
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
    :param prefix: prefix of the booking names.
    """

    path: str
    prefix: str = "booking"

    def call(self, number: int, randomness: random.Random) -> Call:
        """Return a booking request with a unique idempotency key."""
        booking = f"{self.prefix}-{number}"
        body = json.dumps({"booking": booking}).encode()
        return Call(self.path, body, EchoCheck(body), {"Idempotency-Key": booking})


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadSettings:
    """Rate, size and credentials of a load.

    :param rate: requests per second.
    :param count: maximum number of requests.
    :param seconds: time after which no further requests are sent.
    :param customers: bearer tokens, used in turn; when empty, requests carry no token.
    :param timeout: seconds until a request is abandoned.
    """

    rate: float
    count: int
    seconds: float = 60.0
    customers: tuple[str, ...] = ()
    timeout: float = 30.0
    seed: int = 1


@dataclass(frozen=True, slots=True)
class CallResult:
    """Outcome of one request.

    :param status: HTTP status; 0 when the response failed or was cut off.
    :param is_complete: whether the complete expected response was received.
    :param matches_request: whether no data of another request's response was received.
    :param looks_complete: whether a client would regard the response as complete.
    :param first_token_seconds: time from the planned send to the first byte of the response.
    :param seconds: time from the planned send to the end of the response.
    :param retry_after: seconds given in the Retry-After header.
    """

    number: int
    customer: str
    status: int
    is_complete: bool
    matches_request: bool
    looks_complete: bool
    first_token_seconds: float | None
    seconds: float
    retry_after: float | None = None
    error: str = ""

    @property
    def is_refused(self) -> bool:
        """Return whether the system refused the request."""
        return self.status in REFUSAL_STATUSES

    @property
    def is_falsely_complete(self) -> bool:
        """Return whether the response looked complete but was not."""
        return self.looks_complete and not self.is_complete


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Results of all requests of a load."""

    results: tuple[CallResult, ...]

    @property
    def complete_count(self) -> int:
        """Return the number of complete responses."""
        return sum(result.is_complete for result in self.results)

    @property
    def refused_count(self) -> int:
        """Return the number of refused requests."""
        return sum(result.is_refused for result in self.results)

    @property
    def misdelivered_count(self) -> int:
        """Return the number of responses that belong to another request."""
        return sum(not result.matches_request for result in self.results)

    @property
    def falsely_complete_count(self) -> int:
        """Return the number of responses that looked complete but were not."""
        return sum(result.is_falsely_complete for result in self.results)

    def first_token_seconds(self, share: float) -> float | None:
        """Return a quantile of the time to the first token of the complete responses.

        :param share: the quantile, from 0 to 1.
        :return: seconds, or None when no response is complete.
        """
        times = sorted(
            result.first_token_seconds
            for result in self.results
            if result.is_complete and result.first_token_seconds is not None
        )
        return times[min(len(times) - 1, int(share * len(times)))] if times else None


class LoadGenerator:
    """Sends requests at a fixed rate, independent of the response times.

    :param urls: base URLs to which the requests are sent in turn.
    """

    def __init__(self, urls: Sequence[str], workload: Workload, settings: LoadSettings) -> None:
        self.urls = tuple(urls)
        self.workload = workload
        self.settings = settings
        self._randomness = random.Random(settings.seed)
        self._client = SimpleAsyncHTTPClient(force_instance=True, max_clients=settings.count)

    async def run(self) -> LoadReport:
        """Send all requests and return their results in the order of sending."""
        started_at = time.monotonic()
        settings = self.settings
        count = min(settings.count, int(settings.seconds * settings.rate))
        tasks = []
        for number in range(count):
            planned_at = started_at + number / settings.rate
            await asyncio.sleep(max(0.0, planned_at - time.monotonic()))
            tasks.append(asyncio.create_task(self._send(number, planned_at)))
        results = await asyncio.gather(*tasks)
        self._client.close()
        return LoadReport(tuple(results))

    async def _send(self, number: int, planned_at: float) -> CallResult:
        call = self.workload.call(number, self._randomness)
        customers = self.settings.customers
        customer = customers[number % len(customers)] if customers else ""
        chunk_seconds: list[float] = []

        def receive_chunk(chunk: bytes) -> None:
            chunk_seconds.append(time.monotonic() - planned_at)
            call.check.feed(chunk)

        request = self._request(number, call, customer)
        request.streaming_callback = receive_chunk
        status, retry_after, error = await self._fetch(request)
        is_response = status in (HTTPStatus.OK, NO_STATUS)
        return CallResult(
            number=number,
            customer=customer,
            status=status,
            is_complete=status == HTTPStatus.OK and call.check.is_complete,
            matches_request=not is_response or call.check.matches_request,
            looks_complete=is_response and call.check.looks_complete,
            first_token_seconds=chunk_seconds[0] if is_response and chunk_seconds else None,
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
