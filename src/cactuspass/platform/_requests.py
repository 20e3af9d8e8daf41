"""Translates the HTTP headers of requests and responses between callers, product and servers."""

import re
from http import HTTPStatus

from cactuspass._numbers import parse_number
from cactuspass._problems import CONTENT_TYPE, Problem
from cactuspass._requests import Header
from cactuspass.fleet import (
    AnswerHead,
    AnswerNotes,
    IdCheck,
    InboundRequest,
    LoadReport,
    MalformedRequest,
    OutgoingRequest,
    PromptPartId,
    RequestedBackoff,
    RequestFormat,
    SendDetails,
)
from cactuspass.models import ModelId, RequestId
from cactuspass.platform import _names as names
from cactuspass.platform._server_limit import parse_limit

MAX_PRIORITY = 9
LEAVING_VALUE = "1"
LOAD_FIELDS = 3
SECONDS_PATTERN = re.compile(r"[0-9]+(\.[0-9]*)?")
PROMPT_PART_ID_PATTERN = re.compile(r"[0-9A-Fa-f]{1,64}")
PROMPT_PART_PATTERN = re.compile(rf"({PROMPT_PART_ID_PATTERN.pattern}):[0-9]+")
MAX_BACKOFF_TEXT_CHARS = 64
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers that an instance consumes or sets itself, so a caller's values are not forwarded.
REPLACED_HEADERS = frozenset(
    name.lower()
    for name in (
        names.API_KEY,
        names.TENANT,
        names.EXPECT_INSTANCE,
        names.DEADLINE,
        names.PRIORITY,
        names.LAST_EVENT_ID,
    )
)
# Response headers that are meant for the instance and not forwarded to callers.
SERVER_NOTICE_HEADERS = frozenset(
    {names.SERVER_LOAD.lower(), names.NOT_RUN.lower(), names.SERVER_LIMIT.lower()}
)


class PlatformRequests(RequestFormat):
    """Reads and writes requests and responses with the platform's headers."""

    def read_request(
        self, method: str, target: str, headers: tuple[Header, ...], body: bytes, arrived_at: float
    ) -> InboundRequest:
        """Return the request that a caller sent."""
        value_by_name = {name.lower(): value for name, value in headers}
        request_id = value_by_name.get(names.REQUEST_ID.lower(), "")
        if not request_id:
            raise MalformedRequest(f"{names.REQUEST_ID} is missing")
        prompt, output = _parse_token_counts(value_by_name.get(names.TOKENS.lower()))
        model = value_by_name.get(names.MODEL.lower())
        return InboundRequest(
            request_id=RequestId(request_id),
            method=method,
            target=target,
            host=value_by_name.get("host", ""),
            headers=_forwarded_headers(headers, HOP_BY_HOP_HEADERS | REPLACED_HEADERS),
            body=body,
            arrived_at=arrived_at,
            caller_timeout=_parse_deadline(value_by_name.get(names.DEADLINE.lower())),
            key=value_by_name.get(names.API_KEY.lower()),
            model=ModelId(model) if model else None,
            prompt_tokens=prompt,
            output_tokens=output,
            expected_output_tokens=parse_number(
                value_by_name.get(names.LENGTH_HINT.lower(), "").strip()
            ),
            last_event_id=value_by_name.get(names.LAST_EVENT_ID.lower()),
            shared_parts=_parse_shared_parts(_join_values(headers, names.PROMPT_PARTS)),
        )

    def write_request(self, request: InboundRequest, details: SendDetails) -> OutgoingRequest:
        """Return the request to send to a server."""
        headers = [
            *request.headers,
            (names.DEADLINE, str(max(1, int(details.seconds_left * 1000)))),
            (names.EXPECT_INSTANCE, details.upstream.upstream_id),
            (names.PRIORITY, str(min(MAX_PRIORITY, max(0, details.priority)))),
        ]
        if details.customer is not None:
            headers.append((names.TENANT, details.customer))
        if details.last_event_id is not None:
            headers.append((names.LAST_EVENT_ID, details.last_event_id))
        check = IdCheck(names.REQUEST_ID.lower(), request.request_id)
        return OutgoingRequest(request.method, request.target, headers, request.body, check)

    def read_answer(self, head: AnswerHead) -> AnswerNotes:
        """Return the notices in the status and headers of a server's response.

        Status 421 means, like the header ``Cactuspass-Not-Run``, that the request has not run.
        """
        not_run = head.get(names.NOT_RUN.lower()) is not None
        return AnswerNotes(
            not_run=not_run or head.status == HTTPStatus.MISDIRECTED_REQUEST,
            from_application=head.get(names.SERVER_STAMP.lower()) is not None,
            load=_parse_load(head.get(names.SERVER_LOAD.lower())),
            leaving=(head.get(names.SERVER_LEAVING.lower()) or "").strip() == LEAVING_VALUE,
            backoff=_parse_backoff(head),
            limit=parse_limit(head),
            from_another=head.status == HTTPStatus.MISDIRECTED_REQUEST,
        )

    def answer_headers(self, head: AnswerHead) -> list[Header]:
        """Return the headers of a server's response that are forwarded to the caller."""
        return list(_forwarded_headers(head.headers, HOP_BY_HOP_HEADERS | SERVER_NOTICE_HEADERS))

    def problem_headers(self, problem: Problem, request_id: RequestId | None) -> list[Header]:
        """Return the headers of a problem response.

        ``Retry-After`` has three decimals, since the platform accepts fractions of a second.
        """
        headers = [("Content-Type", CONTENT_TYPE)]
        if request_id is not None:
            headers.append((names.REQUEST_ID, request_id))
        if problem.retry_after is not None:
            headers.append((names.RETRY_AFTER, f"{problem.retry_after:.3f}"))
        return headers


def _forwarded_headers(headers: tuple[Header, ...], excluded: frozenset[str]) -> tuple[Header, ...]:
    """Return the headers without the excluded ones and those that ``Connection`` lists.

    :param excluded: header names in lower case.
    """
    connection_options = {
        part.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for part in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in excluded and name.lower() not in connection_options
    )


def _parse_deadline(value: str | None) -> float | None:
    """Return the seconds that the caller waits; None without the header."""
    if value is None:
        return None
    try:
        return max(0.0, float(value) / 1000)
    except ValueError:
        raise MalformedRequest(f"{names.DEADLINE} is not a number") from None


def _parse_token_counts(value: str | None) -> tuple[int, int]:
    """Return the number of prompt tokens and the maximum of output tokens; 0, 0 without the header.

    :raises MalformedRequest: when the value is not two numbers.
    """
    if value is None:
        return 0, 0
    counts = [parse_number(part.strip()) for part in value.split(",")]
    if len(counts) != 2 or counts[0] is None or counts[1] is None:
        raise MalformedRequest(f"{names.TOKENS} is not two numbers")
    return counts[0], counts[1]


def parse_part_ids(text: str) -> tuple[PromptPartId, ...]:
    """Return the part ids in a list separated by commas, each once and in order.

    :raises ValueError: when one is no such id; the message names it and its place.
    """
    ids = text.split(",")
    for place, part in enumerate(ids, 1):
        if PROMPT_PART_ID_PATTERN.fullmatch(part) is None:
            raise ValueError(f"part {place}, {part!r}, is not 1 to 64 hexadecimal digits")
    return tuple(dict.fromkeys(PromptPartId(part.lower()) for part in ids))


def _join_values(headers: tuple[Header, ...], name: str) -> str:
    """Return the values of all headers with a name, as one list."""
    return ",".join(value for key, value in headers if key.lower() == name.lower())


def _parse_shared_parts(value: str) -> tuple[PromptPartId, ...]:
    """Return the ids in a list of ``ID:TOKENS``, without the last one, each once and in order.

    The last part belongs to one request or session. Servers read the header themselves, so an entry
    that cannot be parsed is left out here and does not make the request invalid.
    """
    *shared, _ = value.split(",")
    found = (PROMPT_PART_PATTERN.fullmatch(entry.strip()) for entry in shared)
    return tuple(dict.fromkeys(PromptPartId(match[1].lower()) for match in found if match))


def _parse_backoff(head: AnswerHead) -> RequestedBackoff | None:
    """Return the backoff that a 503 response requests with ``Retry-After``; None without one.

    The value may be a fraction of a second. Dates are not supported and give no seconds.
    """
    text = head.get(names.RETRY_AFTER.lower())
    if head.status != HTTPStatus.SERVICE_UNAVAILABLE or text is None:
        return None
    is_number = SECONDS_PATTERN.fullmatch(text.strip()) is not None
    return RequestedBackoff(float(text) if is_number else None, text[:MAX_BACKOFF_TEXT_CHARS])


def _parse_load(value: str | None) -> LoadReport | None:
    """Return the load in a header ``running,waiting,slots``; None when missing or invalid."""
    counts = [parse_number(part.strip()) for part in (value or "").split(",")]
    known = [count for count in counts if count is not None]
    return LoadReport(*known) if len(counts) == len(known) == LOAD_FIELDS else None
