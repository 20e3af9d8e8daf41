"""Serves callers' requests: claims keyed ones, places them and counts how they ended."""

import time

from cactuspass._burn import BurnLedger
from cactuspass._callers import CallerApi, CallOutcome
from cactuspass._counters import Counters
from cactuspass._gateway import Gateway
from cactuspass._keyed_requests import KeyedRequests
from cactuspass._requests import Answer, CallerRequest
from cactuspass._tables import Tables
from cactuspass.models import EntryId, InstanceRole

INTRODUCTION_SECONDS = 3.0


class EntryCallers(CallerApi):
    """The callers' side of this entry."""

    def __init__(
        self,
        gateway: Gateway,
        keyed: KeyedRequests,
        tables: Tables,
        burn: BurnLedger,
        counters: Counters,
    ) -> None:
        self._gateway = gateway
        self._keyed = keyed
        self._tables = tables
        self._burn = burn
        self._counters = counters
        self._configured_at: float | None = None
        self._knows_peers = False

    async def serve(self, request: CallerRequest, idempotency_key: str | None) -> Answer:
        """Return the answer to a request."""
        self._counters.count("requests")
        if idempotency_key is not None:
            return await self._keyed.serve(request, idempotency_key)
        return await self._gateway.serve(request)

    def observe(self, outcome: CallOutcome) -> None:
        """Count how a request ended."""
        request = outcome.request
        self._counters.count("answers.whole" if outcome.whole else "answers.missing")
        if outcome.first_byte_seconds is not None:
            self._counters.duration("first_byte", outcome.first_byte_seconds)
        first_byte = outcome.first_byte_seconds if outcome.whole else None
        self._burn.record(request.customer, request.model, first_byte, time.time())

    def models(self) -> tuple[str, ...]:
        """Return the names of the declared models."""
        configuration = self._tables.configuration
        declared = {} if configuration is None else configuration.declarations_by_name
        return tuple(sorted({item.model for item in declared.values()}))

    def is_ready(self) -> bool:
        """Return whether the balancer may send callers here."""
        if self._tables.configuration is None or self._tables.local.draining:
            return False
        self._knows_peers = self._knows_peers or self._has_heard_peers()
        return self._knows_peers

    def is_draining(self) -> bool:
        """Return whether the process is shutting down."""
        return self._tables.local.draining

    def _has_heard_peers(self) -> bool:
        """Return whether every listed peer was heard, or had time to be.

        An entry that has just started knows no place for a request until it has heard the peers.
        """
        if self._configured_at is None:
            self._configured_at = time.monotonic()
        if time.monotonic() - self._configured_at >= INTRODUCTION_SECONDS:
            return True
        listed = {
            EntryId(record.instance_id)
            for record in self._tables.records_by_id.values()
            if record.role is InstanceRole.ENTRY
        }
        heard = self._tables.entries_by_id.keys() | {self._tables.local.entry_id}
        return bool(listed) and listed <= heard
