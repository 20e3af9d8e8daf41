"""Sends orders to servers and fetches their reports."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus
from typing import Any

from cactuspass.exceptions import AnswerCut, DocumentError, RunOutcomeUnknown, UpstreamNotReached
from cactuspass.fleet import (
    AddressedOrder,
    AnswerHead,
    ConnectionPool,
    Join,
    Leave,
    Open,
    Order,
    OrderOutcome,
    OutgoingRequest,
    Stage,
    Upstream,
    UpstreamControl,
    UpstreamReport,
)
from cactuspass.platform._names import EXPECT_INSTANCE
from cactuspass.platform._server_entry import decode_report
from cactuspass.platform._server_limit import parse_limit

ORDER_TIMEOUT_SECONDS = 0.4
# Orders use a new connection, because their responses have no request id: on a reused connection, a
# late response to an earlier request could be mistaken for the response to the order.
NEW_CONNECTION_MAX_IDLE_SECONDS = 0.0
OUTCOME_BY_STATUS = {
    202: OrderOutcome.BEGUN,
    200: OrderOutcome.HOLDS,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.OUTDATED,
    421: OrderOutcome.NOT_REACHED,
}


def _always() -> bool:
    return True


class ServerControl(UpstreamControl):
    """Implements orders and reports with the servers' HTTP calls.

    :param pool: connections to the servers.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    async def send_order(
        self, addressed: AddressedOrder, may_send: Callable[[], bool]
    ) -> OrderOutcome:
        """Send one order, unless it may no longer be sent once the connection is open."""
        document = _order_body(addressed.order)
        if addressed.expected_sequence is not None:
            document["precondition"] = addressed.expected_sequence
        body = json.dumps(document).encode()
        try:
            head, _ = await self._call(
                addressed.target,
                "POST",
                "/order",
                body,
                ORDER_TIMEOUT_SECONDS,
                NEW_CONNECTION_MAX_IDLE_SECONDS,
                may_send,
            )
        except UpstreamNotReached:
            return OrderOutcome.NOT_REACHED
        except (RunOutcomeUnknown, AnswerCut, TimeoutError):
            return OrderOutcome.UNKNOWN
        return OUTCOME_BY_STATUS.get(head.status, OrderOutcome.CONFLICT)

    async def fetch_report(self, upstream: Upstream, timeout: float) -> UpstreamReport | None:
        """Fetch the report of a server."""
        try:
            head, content = await self._call(upstream, "GET", "/report", b"", timeout)
            if head.status != HTTPStatus.OK:
                return None
            return replace(decode_report(content), limit=parse_limit(head))
        except (UpstreamNotReached, RunOutcomeUnknown, AnswerCut, TimeoutError, DocumentError):
            # The caller counts missing reports and logs when several are missing in a row.
            return None

    async def _call(
        self,
        server: Upstream,
        method: str,
        target: str,
        body: bytes,
        timeout: float,
        max_idle: float | None = None,
        may_send: Callable[[], bool] = _always,
    ) -> tuple[AnswerHead, bytes]:
        """Send a request and return the head and body of the response.

        :param timeout: seconds for the whole call.
        :param max_idle: longest time in seconds that a reused connection may have been idle; None
            uses the limit of the pool, 0 always opens a new connection.
        :param may_send: whether the request may still be sent once a connection is open.
        """
        headers = [("Host", server.address), (EXPECT_INSTANCE, server.upstream_id)]
        if body:
            headers.append(("Content-Type", "application/json"))
        request = OutgoingRequest(method, target, headers, body)
        exchange = None
        try:
            async with asyncio.timeout(timeout):
                exchange = await self._pool.send_request(
                    server.address, request, max_idle, may_send
                )
                head = await exchange.read_head()
                return head, await exchange.read_body()
        finally:
            if exchange is not None:
                exchange.abort()


def _order_body(order: Order) -> dict[str, Any]:
    if isinstance(order, Stage):
        return {"op": "stage", "model": order.model}
    body: dict[str, Any] = {"group": order.key.group_id, "epoch": order.key.epoch}
    if isinstance(order, Join):
        return {"op": "join", **body, "model": order.model, "members": list(order.members)}
    if isinstance(order, Open):
        return {"op": "open", **body}
    if isinstance(order, Leave):
        return {"op": "leave", **body}
    return {"op": "close", **body, "close_mode": "cut" if order.cut else "wait"}
