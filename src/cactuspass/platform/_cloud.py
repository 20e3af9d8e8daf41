"""Calls to the platform that one instance at a time makes."""

import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

from cactuspass.exceptions import AnswerCut, RunOutcomeUnknown, UpstreamNotReached
from cactuspass.fleet import (
    CallOutcome,
    ConnectionPool,
    MayCall,
    OutgoingRequest,
    PlatformDuties,
    UpstreamCountOrder,
    UsageReport,
)
from cactuspass.platform import _names as names

# A call uses a new connection, because responses have no request id: on a reused connection, a late
# response to an earlier call could be mistaken for the response to this one.
NEW_CONNECTION_MAX_IDLE_SECONDS = 0.0
MAX_ANSWER_BYTES = 65_536
OUTCOME_BY_STATUS: dict[int, CallOutcome] = {
    HTTPStatus.OK: CallOutcome.ACCEPTED,
    HTTPStatus.TOO_MANY_REQUESTS: CallOutcome.RATE_LIMITED,
}


class CloudDuties(PlatformDuties):
    """Implements the calls with HTTP and JSON.

    :param address: ``host:port`` of the platform for these calls.
    :param instance: name of this instance, which each call states.
    :param pool: opens connections that discard unsent data when they are closed.
    """

    def __init__(self, address: str, instance: str, pool: ConnectionPool) -> None:
        self._address = address
        self._instance = instance
        self._pool = pool

    async def report_usage(self, report: UsageReport, fence: int, may_send: MayCall) -> CallOutcome:
        """Send the report of a window."""
        counts = dict(sorted(report.counts_by_customer.items()))
        return await self._call(
            "/usage", {"window": report.window, "counts": counts}, fence, may_send
        )

    async def order_upstream_count(
        self, order: UpstreamCountOrder, fence: int, may_send: MayCall
    ) -> CallOutcome:
        """Order a number of upstreams."""
        body = {"service": order.service, "zone": order.data_centre, "desired": order.count}
        return await self._call("/scale", body, fence, may_send)

    async def _call(
        self, target: str, body: Mapping[str, Any], fence: int, may_send: MayCall
    ) -> CallOutcome:
        headers = [
            ("Host", self._address),
            ("Content-Type", "application/json"),
            (names.HOLDER, self._instance),
            (names.FENCE, str(fence)),
        ]
        payload = json.dumps(body, separators=(",", ":")).encode()
        request = OutgoingRequest("POST", target, headers, payload)
        exchange = None
        try:
            exchange = await self._pool.send_request(
                self._address, request, NEW_CONNECTION_MAX_IDLE_SECONDS, may_send
            )
            head = await exchange.read_head()
            await exchange.read_body(MAX_ANSWER_BYTES)
        except UpstreamNotReached:
            return CallOutcome.NOT_SENT
        except (RunOutcomeUnknown, AnswerCut):
            return CallOutcome.UNKNOWN
        finally:
            if exchange is not None:
                exchange.abort()
            self._pool.close_address(self._address)
        return _outcome(head.status)


def _outcome(status: int) -> CallOutcome:
    """Return the outcome that a status means; the platform may have acted before an error."""
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return CallOutcome.UNKNOWN
    return OUTCOME_BY_STATUS.get(status, CallOutcome.REFUSED)
