"""Serves callers' requests on this entry and counts their outcomes."""

import time

from cactuspass._burn import BurnTracker
from cactuspass._callers import CallerApi, CallOutcome
from cactuspass._counters import Counters
from cactuspass._gateway import Gateway
from cactuspass._keyed_requests import KeyedRequests
from cactuspass._messages import RefusalReason
from cactuspass._requests import Answer, CallerRequest
from cactuspass._tables import Tables
from cactuspass.exceptions import RequestRefused
from cactuspass.models import EntryId, InstanceRole

PEER_WAIT_SECONDS = 3.0
# Other entries can take the request now.
RETRY_ELSEWHERE_SECONDS = 0.05


class EntryCallers(CallerApi):
    """Implements the callers' API of this entry.

    Requests with an idempotency key are claimed before they run; all others go to the gateway.
    """

    def __init__(
        self,
        gateway: Gateway,
        keyed: KeyedRequests,
        tables: Tables,
        burn: BurnTracker,
        counters: Counters,
    ) -> None:
        self._gateway = gateway
        self._keyed = keyed
        self._tables = tables
        self._burn = burn
        self._counters = counters
        self._configured_at: float | None = None
        self._has_peers = False
        self._ends_at = float("inf")

    def begin_stop(self, ends_at: float) -> None:
        """Refuse requests from now on whose answer may not have begun when all are ended.

        :param ends_at: clock value at which all requests are ended.
        """
        self._ends_at = ends_at

    async def serve(self, request: CallerRequest, idempotency_key: str | None) -> Answer:
        """Serve a request and return its answer.

        :raises RequestRefused: if it may not be finished before the process ends.
        """
        self._counters.count("requests")
        if request.deadline > self._ends_at:
            raise RequestRefused(RefusalReason.DRAINING, RETRY_ELSEWHERE_SECONDS)
        if idempotency_key is not None:
            return await self._keyed.serve(request, idempotency_key)
        return await self._gateway.serve(request)

    def observe(self, outcome: CallOutcome) -> None:
        """Record the outcome of a request."""
        request = outcome.request
        self._counters.count("answers.whole" if outcome.complete else "answers.missing")
        if outcome.first_byte_seconds is not None:
            self._counters.record_duration("first_byte", outcome.first_byte_seconds)
        first_byte = outcome.first_byte_seconds if outcome.complete else None
        self._burn.record(request.customer, request.model, first_byte, time.time())

    def models(self) -> tuple[str, ...]:
        """Return the names of the declared models, sorted."""
        configuration = self._tables.configuration
        declared = {} if configuration is None else configuration.declarations_by_name
        return tuple(sorted({item.model for item in declared.values()}))

    def is_ready(self) -> bool:
        """Return whether a load balancer may send requests to this entry."""
        if self._tables.configuration is None or self._tables.local.draining:
            return False
        self._has_peers = self._has_peers or self._have_peers_reported()
        return self._has_peers

    def is_draining(self) -> bool:
        """Return whether the process is shutting down."""
        return self._tables.local.draining

    def _have_peers_reported(self) -> bool:
        """Return whether every listed peer has sent a heartbeat, or the time to wait is over.

        A newly started entry cannot route requests before its peers have reported their groups.
        """
        if self._configured_at is None:
            self._configured_at = time.monotonic()
        if time.monotonic() - self._configured_at >= PEER_WAIT_SECONDS:
            return True
        listed = {
            EntryId(record.instance_id)
            for record in self._tables.records_by_id.values()
            if record.role is InstanceRole.ENTRY
        }
        reported = self._tables.entries_by_id.keys() | {self._tables.local.entry_id}
        return bool(listed) and listed <= reported
