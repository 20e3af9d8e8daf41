"""Admission of requests, which queues, dispatches, forwards or refuses them."""

import random
from collections.abc import Iterable, Sequence
from itertools import chain

from cactuspass._core import System
from cactuspass._dispatch_policy import DispatchPolicy
from cactuspass._forecast import Forecast, has_free_capacity, seconds_to_serve
from cactuspass._group_capacity import free_capacity
from cactuspass._held_groups import HeldGroupTracker
from cactuspass._known_models import is_known_model, max_memory_tokens
from cactuspass._messages import (
    Dispatch,
    Forward,
    HeartbeatReceived,
    Input,
    Order,
    PeerDisconnected,
    RefusalReason,
    Refuse,
    RequestArrived,
    RequestFinished,
    RequestWithdrawn,
)
from cactuspass._prefix_index import PrefixIndex
from cactuspass._queues import FairQueue, QueueLimits, request_cost
from cactuspass._ramp import upstream_kind
from cactuspass._refusals import RefusalPolicy, waits_too_long
from cactuspass._retry_schedule import RetrySchedule
from cactuspass._routing import Router
from cactuspass._tables import HeldGroupRow, RequestRow, Tables

# Requests wait this long for groups of their model to become available again.
HOLDER_WAIT_SECONDS = 7.0
# If no group of a model can be sent to for this long, its waiting requests are rerouted.
REROUTE_DELAY_SECONDS = 1.0
REVIEW_INTERVAL_SECONDS = 0.25


class AdmissionSystem(System):
    """Issues exactly one final order for each request, unless its caller withdraws it."""

    def __init__(
        self,
        policy: DispatchPolicy,
        rng: random.Random,
        forecast: Forecast,
        limits: QueueLimits | None = None,
    ) -> None:
        self._limits = limits or QueueLimits()
        self._forecast = forecast
        prefixes = PrefixIndex()
        self._router = Router(policy, rng, prefixes, forecast)
        self._held = HeldGroupTracker(prefixes, forecast)
        self._refusals = RefusalPolicy(forecast, RetrySchedule(rng))
        self._queues_by_model: dict[str, FairQueue] = {}
        self._unsendable_since_by_model: dict[str, float] = {}
        self._unplaced_since_by_model: dict[str, float] = {}
        self._review_at = 0.0

    def run(self, tables: Tables, inputs: Sequence[Input], now: float) -> Iterable[Order]:
        """Apply the inputs, then dispatch the requests that the groups have capacity for."""
        self._apply_peer_inputs(inputs, now)
        self._held.refresh(tables, inputs, now)
        self._refresh_capacities(tables, now)
        orders = list(chain.from_iterable(self._apply_input(tables, item, now) for item in inputs))
        if now >= self._review_at:
            self._review_at = now + REVIEW_INTERVAL_SECONDS
            orders += self._review(tables, now)
        for model in self._queues_by_model:
            orders += self._dispatch(tables, model, now)
        return orders

    def _apply_peer_inputs(self, inputs: Sequence[Input], now: float) -> None:
        """Apply heartbeats and lost connections of peers."""
        for item in inputs:
            if isinstance(item, HeartbeatReceived):
                self._router.record_heartbeat(item, now)
            elif isinstance(item, PeerDisconnected):
                self._router.remove_peer(item.entry_id)

    def _refresh_capacities(self, tables: Tables, now: float) -> None:
        """Recompute the capacity of each model that has held groups or a queue."""
        models = {row.model for row in tables.held_groups_by_id.values()}
        for model in sorted(models | self._queues_by_model.keys()):
            sendable = self._router.sendable_groups(tables, model, now)
            self._forecast.set_capacity(tables, model, sendable)
            if sendable:
                self._unsendable_since_by_model.pop(model, None)
            else:
                self._unsendable_since_by_model.setdefault(model, now)

    def _apply_input(self, tables: Tables, item: Input, now: float) -> list[Order]:
        """Apply one input about a request."""
        if isinstance(item, RequestArrived):
            is_known = item.request_id in tables.requests_by_id
            return [] if is_known else self._handle_arrival(tables, item, now)
        if isinstance(item, RequestFinished):
            self._held.record_end(tables, item, now)
        elif isinstance(item, RequestWithdrawn):
            self._remove_withdrawn(tables, item)
        return []

    def _remove_withdrawn(self, tables: Tables, item: RequestWithdrawn) -> None:
        """Remove a waiting request; a running one counts until it is reported as finished."""
        row = tables.requests_by_id.get(item.request_id)
        if row is not None and row.group_id is None:
            self._queues_by_model[row.model].remove(row.request_id)
            del tables.requests_by_id[row.request_id]

    def _handle_arrival(self, tables: Tables, item: RequestArrived, now: float) -> list[Order]:
        """Queue, forward or refuse a new request."""
        limit = max_memory_tokens(tables, item.model)
        if limit is not None and item.tokens > limit:
            return [self._refusals.refuse_oversized(item, limit)]
        if item.forwarded_by is not None and tables.local.draining:
            return [self._refusals.refuse_forwarded(item, RefusalReason.DRAINING)]
        groups = self._eligible_groups(tables, item, now)
        candidate = self._router.choose(tables, item, groups, self._queue_length(item.model), now)
        if candidate is None:
            return self._wait_or_refuse(tables, item, now)
        self._unplaced_since_by_model.pop(item.model, None)
        if candidate.entry_id is None:
            return self._enqueue(tables, item, groups, now)
        self._router.record_forward(candidate.entry_id, item, now)
        return [Forward(item.request_id, candidate.entry_id)]

    def _wait_or_refuse(self, tables: Tables, item: RequestArrived, now: float) -> list[Order]:
        """Queue a request that no entry can take until a group has a new holder, or refuse it."""
        queue = self._queues_by_model.get(item.model)
        is_full = queue is not None and queue.is_full_for(item.customer)
        if is_full or not self._expects_new_holder(tables, item, now):
            return [self._refuse_unplaced(tables, item, now)]
        return self._push(tables, item, now)

    def _expects_new_holder(
        self, tables: Tables, item: RequestArrived | RequestRow, now: float
    ) -> bool:
        """Return whether the model has just become unavailable and is likely to return soon.

        That happens while a draining entry hands over its seat: its groups have no holder until
        another entry takes them over.
        """
        if item.forwarded_by is not None or not is_known_model(tables, item.model):
            return False
        peers = tables.entries_by_id.values()
        if not tables.local.draining and not any(row.draining for row in peers):
            return False
        return now < self._unplaced_since_by_model.setdefault(item.model, now) + HOLDER_WAIT_SECONDS

    def _queue_length(self, model: str) -> int:
        """Return the number of requests that wait here for a model."""
        queue = self._queues_by_model.get(model)
        return len(queue) if queue is not None else 0

    def _eligible_groups(
        self, tables: Tables, item: RequestArrived | RequestRow, now: float
    ) -> list[HeldGroupRow]:
        """Return the own groups that can take a request now, or soon if no peer can take it.

        A draining entry takes a request only if no peer can.
        """
        sendable = _large_enough(
            tables, self._router.sendable_groups(tables, item.model, now), item.tokens
        )
        if sendable and not tables.local.draining:
            return sendable
        if self._router.choose(tables, item, [], 0, now) is not None:
            return []
        if sendable:
            return sendable
        since = self._unsendable_since_by_model.get(item.model, now)
        wait_seconds = HOLDER_WAIT_SECONDS if item.forwarded_by is None else REROUTE_DELAY_SECONDS
        if now >= since + wait_seconds:
            return []
        return _large_enough(tables, self._router.available_groups(tables, item.model), item.tokens)

    def _enqueue(
        self, tables: Tables, item: RequestArrived, groups: list[HeldGroupRow], now: float
    ) -> list[Order]:
        """Put a request into the model's queue, unless its deadline can't be met."""
        queue = self._queues_by_model.setdefault(item.model, FairQueue(self._limits))
        waiting = queue.cost_of_customer(item.customer)
        if queue.is_full_for(item.customer):
            return [self._forward_or_refuse(tables, item, RefusalReason.QUEUE_FULL, waiting, now)]
        can_start_now = not len(queue) and has_free_capacity(tables, groups, item.tokens)
        if self._refusals.misses_deadline(tables, item, waiting, now) and not (
            can_start_now and item.deadline > now
        ):
            return [self._forward_or_refuse(tables, item, RefusalReason.DEADLINE, waiting, now)]
        return self._push(tables, item, now)

    def _push(self, tables: Tables, item: RequestArrived, now: float) -> list[Order]:
        """Add a request to the queue, and forward or refuse the one that it evicts."""
        queue = self._queues_by_model.setdefault(item.model, FairQueue(self._limits))
        row = _make_row(item, now)
        tables.requests_by_id[row.request_id] = row
        evicted = queue.push(row, tables.weights_by_customer.get(row.customer, 1.0))
        if evicted is None:
            return []
        del tables.requests_by_id[evicted.request_id]
        waiting = queue.cost_of_customer(evicted.customer)
        return [self._forward_or_refuse(tables, evicted, RefusalReason.QUEUE_FULL, waiting, now)]

    def _forward_or_refuse(
        self,
        tables: Tables,
        item: RequestArrived | RequestRow,
        reason: RefusalReason,
        waiting: float,
        now: float,
    ) -> Order:
        """Forward a request that can't wait here to a peer with capacity, or refuse it.

        :param waiting: cost of the customer's waiting requests, in tokens.
        """
        peer = self._router.choose_peer_with_capacity(tables, item, now)
        if peer is None or item.deadline <= now:
            return self._refusals.refuse_overload(tables, item, reason, waiting, now)
        self._router.record_forward(peer, item, now)
        return Forward(item.request_id, peer)

    def _refuse_unplaced(
        self, tables: Tables, item: RequestArrived | RequestRow, now: float
    ) -> Refuse:
        """Refuse a request that neither this entry nor a peer can take."""
        if item.forwarded_by is not None:
            return self._refusals.refuse_forwarded(item, RefusalReason.NOT_HOLDER)
        if not is_known_model(tables, item.model):
            return self._refusals.refuse_unknown_model(item)
        since = self._unsendable_since_by_model.setdefault(item.model, now)
        return self._refusals.refuse_outage(item, now - since)

    def _review(self, tables: Tables, now: float) -> list[Order]:
        """Reroute or refuse waiting requests that can't be served here in time."""
        self._refusals.drop_missed_retries(now)
        self._forecast.remove_idle_customers(now)
        orders: list[Order] = []
        for model, queue in self._queues_by_model.items():
            if not self._can_send_soon(tables, model, now):
                rows = sorted(queue, key=lambda row: row.arrived_at)
                orders += chain.from_iterable(self._reroute(tables, row, now) for row in rows)
            orders += self._refuse_late(tables, model, queue, now)
        return orders

    def _can_send_soon(self, tables: Tables, model: str, now: float) -> bool:
        """Return whether a group of the model can be sent to, or could until very recently."""
        if not self._router.available_groups(tables, model):
            return False
        return now < self._unsendable_since_by_model.get(model, now) + REROUTE_DELAY_SECONDS

    def _reroute(self, tables: Tables, row: RequestRow, now: float) -> list[Order]:
        """Forward a waiting request to a peer, or refuse it.

        It stays in the queue if this entry is the best candidate or a new holder is expected.
        """
        groups = self._eligible_groups(tables, row, now)
        candidate = self._router.choose(tables, row, groups, self._queue_length(row.model), now)
        if candidate is not None and candidate.entry_id is None:
            return []
        if candidate is None and self._expects_new_holder(tables, row, now):
            return []
        self._queues_by_model[row.model].remove(row.request_id)
        del tables.requests_by_id[row.request_id]
        if candidate is None or candidate.entry_id is None:
            return [self._refuse_unplaced(tables, row, now)]
        self._router.record_forward(candidate.entry_id, row, now)
        return [Forward(row.request_id, candidate.entry_id)]

    def _refuse_late(self, tables: Tables, model: str, queue: FairQueue, now: float) -> list[Order]:
        """Forward or refuse the waiting requests that are certain to miss their deadlines."""
        late: list[tuple[RequestRow, float]] = []
        for customer, rows in queue.active_queues().items():
            rate = self._forecast.available_rate(model, customer, tables, now)
            ahead = 0.0
            for row in rows:
                cost = request_cost(row)
                if waits_too_long(row, seconds_to_serve(ahead + cost, rate), now):
                    late.append((row, ahead))
                else:
                    ahead += cost
        orders: list[Order] = []
        for row, ahead in late:
            queue.remove(row.request_id)
            del tables.requests_by_id[row.request_id]
            orders.append(self._forward_or_refuse(tables, row, RefusalReason.DEADLINE, ahead, now))
        return orders

    def _dispatch(self, tables: Tables, model: str, now: float) -> list[Order]:
        """Dispatch requests from the head of the queue while a group has capacity for them."""
        queue = self._queues_by_model[model]
        sendable = self._router.sendable_groups(tables, model, now) if len(queue) else []
        orders: list[Order] = []
        while sendable and (head := queue.head()) is not None:
            order = self._dispatch_head(tables, queue, head, sendable, now)
            if order is None:
                break
            orders.append(order)
        return orders

    def _dispatch_head(
        self,
        tables: Tables,
        queue: FairQueue,
        head: RequestRow,
        sendable: list[HeldGroupRow],
        now: float,
    ) -> Order | None:
        """Dispatch, reroute or refuse the head of the queue; return None if it has to wait."""
        if head.deadline <= now:
            queue.remove(head.request_id)
            del tables.requests_by_id[head.request_id]
            reason = RefusalReason.DEADLINE
            return self._refusals.refuse_overload(tables, head, reason, 0.0, now)
        if not _large_enough(tables, sendable, head.tokens):
            return next(iter(self._reroute(tables, head, now)), None)
        fitting = [row for row in sendable if free_capacity(tables, row).fits(head.tokens)]
        if not fitting:
            return None
        row = min(
            fitting, key=lambda row: (self._router.group_score(tables, head, row), row.group_id)
        )
        queue.serve(head)
        self._held.record_dispatch(row, head, now)
        rank_zero = row.members[0]
        instance = tables.instances_by_id[rank_zero]
        return Dispatch(
            head.request_id, row.group_id, rank_zero, instance.address, instance.boot_id
        )


def _make_row(item: RequestArrived, now: float) -> RequestRow:
    """Return the table row of a new request."""
    return RequestRow(
        request_id=item.request_id,
        customer=item.customer,
        model=item.model,
        tokens=item.tokens,
        priority=item.priority,
        arrived_at=now,
        deadline=item.deadline,
        forwarded_by=item.forwarded_by,
        prefixes=item.prefixes,
        excluded=item.excluded,
    )


def _large_enough(tables: Tables, rows: list[HeldGroupRow], tokens: int) -> list[HeldGroupRow]:
    """Return the groups whose total memory fits a request of that many tokens."""
    memories = ((row, upstream_kind(tables, row).memory_tokens) for row in rows)
    return [row for row, memory in memories if not memory or tokens <= memory]
