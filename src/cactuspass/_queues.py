"""Queue of one model: fair queueing over customers by cost, with bounded priority."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain

from cactuspass._messages import RequestArrived
from cactuspass._tables import RequestRow
from cactuspass.models import CustomerId, Priority, RequestId

CUSTOMER_QUEUE_REQUESTS = 256
TOTAL_QUEUE_REQUESTS = 1024
PRIORITY_LEAD_TOKENS = 4_000
PRIORITY_RUN_REQUESTS = 8


@dataclass(frozen=True, slots=True)
class QueueLimits:
    """Limits on the requests that wait for one model.

    :param customer_requests: most waiting requests of one customer.
    :param total_requests: most waiting requests of all customers.
    """

    customer_requests: int = CUSTOMER_QUEUE_REQUESTS
    total_requests: int = TOTAL_QUEUE_REQUESTS


def request_cost(row: RequestRow | RequestArrived) -> int:
    """Return the cost of a request, in tokens; at least 1."""
    return max(1, row.tokens)


class CustomerQueue:
    """Waiting requests of one customer, by priority.

    ``virtual_start`` is the virtual time at which the customer's next request starts,
    ``cost`` the cost of its waiting requests in tokens.
    """

    def __init__(self) -> None:
        self.weight = 1.0
        self.virtual_start = 0.0
        self.cost = 0
        self._rows_by_priority: dict[Priority, OrderedDict[RequestId, RequestRow]] = {
            priority: OrderedDict() for priority in Priority
        }
        self._higher_priority_run = 0

    def __len__(self) -> int:
        return sum(map(len, self._rows_by_priority.values()))

    def __iter__(self) -> Iterator[RequestRow]:
        """Iterate over the rows, highest priority first, oldest first."""
        return chain.from_iterable(rows.values() for rows in self._rows_by_priority.values())

    def append(self, row: RequestRow) -> None:
        """Append a request to the queue of its priority."""
        self._rows_by_priority[row.priority][row.request_id] = row
        self.cost += request_cost(row)

    def head(self) -> RequestRow:
        """Return the request to serve next.

        After ``PRIORITY_RUN_REQUESTS`` consecutive requests served ahead of lower priorities, the
        oldest head of the lower priorities is next, so that no priority starves.
        """
        heads = [next(iter(rows.values())) for rows in self._rows_by_priority.values() if rows]
        if self._higher_priority_run < PRIORITY_RUN_REQUESTS or len(heads) == 1:
            return heads[0]
        return min(heads[1:], key=lambda row: row.arrived_at)

    def newest_of_lowest_priority(self) -> RequestRow:
        """Return the newest request of the lowest waiting priority."""
        lowest = [rows for rows in self._rows_by_priority.values() if rows][-1]
        return next(reversed(lowest.values()))

    def remove(self, row: RequestRow) -> None:
        """Remove a request without charging the customer for it."""
        del self._rows_by_priority[row.priority][row.request_id]
        self.cost -= request_cost(row)

    def serve(self, row: RequestRow) -> None:
        """Remove a request that is being dispatched and charge the customer its cost."""
        highest = min(key for key, rows in self._rows_by_priority.items() if rows)
        self.remove(row)
        lower = (rows for key, rows in self._rows_by_priority.items() if key > row.priority)
        self._higher_priority_run = (
            self._higher_priority_run + 1 if row.priority == highest and any(lower) else 0
        )
        self.virtual_start += request_cost(row) / self.weight


class FairQueue:
    """Start-time fair queue over customers.

    Customers share capacity in proportion to their weights, measured by cost. Among the
    customers whose virtual start lies within ``PRIORITY_LEAD_TOKENS`` of the earliest one, the
    highest priority is served first. A flood of high priority requests therefore gets at most
    that many tokens ahead of the other customers.
    """

    def __init__(self, limits: QueueLimits | None = None) -> None:
        self._limits = limits or QueueLimits()
        self._queues_by_customer: dict[CustomerId, CustomerQueue] = {}
        self._rows_by_request: dict[RequestId, RequestRow] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._rows_by_request)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._rows_by_request

    def __iter__(self) -> Iterator[RequestRow]:
        """Iterate over all waiting requests, grouped by customer."""
        return chain.from_iterable(self._queues_by_customer.values())

    def active_queues(self) -> dict[CustomerId, CustomerQueue]:
        """Return the queues of the customers that have waiting requests, by customer."""
        return {key: queue for key, queue in self._queues_by_customer.items() if len(queue)}

    def is_full_for(self, customer: CustomerId) -> bool:
        """Return whether the customer has reached its own limit of waiting requests."""
        queue = self._queues_by_customer.get(customer)
        return queue is not None and len(queue) >= self._limits.customer_requests

    def push(self, row: RequestRow, weight: float) -> RequestRow | None:
        """Add a request.

        :return: the request that was evicted because the queue is full, or None. It is the last
            request of the customer with the most waiting requests by weight, and may be the new
            one.
        """
        queue = self._queues_by_customer.get(row.customer)
        if queue is None:
            queue = CustomerQueue()
            self._queues_by_customer[row.customer] = queue
        if not len(queue):
            queue.virtual_start = max(queue.virtual_start, self._virtual_time)
        queue.weight = weight
        queue.append(row)
        self._rows_by_request[row.request_id] = row
        if len(self) <= self._limits.total_requests:
            return None
        return self._evict()

    def head(self) -> RequestRow | None:
        """Return the request to dispatch next."""
        active = self.active_queues()
        if not active:
            return None
        earliest = min(queue.virtual_start for queue in active.values())
        heads = (
            (queue.head().priority, queue.virtual_start, customer, queue)
            for customer, queue in active.items()
            if queue.virtual_start <= earliest + PRIORITY_LEAD_TOKENS
        )
        return min(heads, key=lambda item: item[:3])[3].head()

    def serve(self, row: RequestRow) -> None:
        """Remove a request that is being dispatched and charge its customer."""
        active = self.active_queues()
        earliest = min(queue.virtual_start for queue in active.values())
        self._virtual_time = max(self._virtual_time, earliest)
        active[row.customer].serve(row)
        del self._rows_by_request[row.request_id]
        self._remove_idle_customers()

    def remove(self, request_id: RequestId) -> RequestRow | None:
        """Remove a request that is not dispatched, without charging its customer."""
        row = self._rows_by_request.pop(request_id, None)
        if row is None:
            return None
        self._queues_by_customer[row.customer].remove(row)
        self._remove_idle_customers()
        return row

    def cost_of_customer(self, customer: CustomerId) -> int:
        """Return the cost of the customer's waiting requests, in tokens."""
        queue = self._queues_by_customer.get(customer)
        return queue.cost if queue is not None else 0

    def _evict(self) -> RequestRow:
        """Remove the last request of the customer with the most waiting requests by weight."""
        active = self.active_queues()
        longest = max(active, key=lambda key: (len(active[key]) / active[key].weight, key))
        row = active[longest].newest_of_lowest_priority()
        self.remove(row.request_id)
        return row

    def _remove_idle_customers(self) -> None:
        """Remove customers without requests whose virtual start has passed.

        A customer with a later virtual start stays, so that leaving the queue and returning
        does not cancel the cost of its earlier requests.
        """
        if not self._rows_by_request:
            starts = (queue.virtual_start for queue in self._queues_by_customer.values())
            self._virtual_time = max(chain([self._virtual_time], starts))
        idle = [
            customer
            for customer, queue in self._queues_by_customer.items()
            if not len(queue) and queue.virtual_start <= self._virtual_time
        ]
        for customer in idle:
            del self._queues_by_customer[customer]
