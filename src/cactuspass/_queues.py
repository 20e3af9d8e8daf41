"""Queue of one model: fair between customers by cost, with bounded priority."""

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
    """Requests that may wait for one model.

    :param customer_requests: requests of one customer at most.
    :param total_requests: requests of all customers at most.
    """

    customer_requests: int = CUSTOMER_QUEUE_REQUESTS
    total_requests: int = TOTAL_QUEUE_REQUESTS


def cost_of(row: RequestRow | RequestArrived) -> int:
    """Return the cost of a request, in tokens; at least 1."""
    return max(1, row.tokens)


class CustomerQueue:
    """Waiting requests of one customer, by priority.

    :param start: virtual time at which the customer's next request starts.
    """

    def __init__(self) -> None:
        self.weight = 1.0
        self.start = 0.0
        self.cost = 0
        self._rows_by_priority: dict[Priority, OrderedDict[RequestId, RequestRow]] = {
            priority: OrderedDict() for priority in Priority
        }
        self._run = 0

    def __len__(self) -> int:
        return sum(map(len, self._rows_by_priority.values()))

    def __iter__(self) -> Iterator[RequestRow]:
        """Iterate over the rows, highest priority first, oldest first."""
        return chain.from_iterable(rows.values() for rows in self._rows_by_priority.values())

    def append(self, row: RequestRow) -> None:
        """Add a request at the end of its priority."""
        self._rows_by_priority[row.priority][row.request_id] = row
        self.cost += cost_of(row)

    def head(self) -> RequestRow:
        """Return the next request.

        A lower priority gets its turn after a run of higher ones, so that it never starves.
        """
        heads = [next(iter(rows.values())) for rows in self._rows_by_priority.values() if rows]
        if self._run < PRIORITY_RUN_REQUESTS or len(heads) == 1:
            return heads[0]
        return min(heads[1:], key=lambda row: row.arrived_at)

    def newest_of_lowest(self) -> RequestRow:
        """Return the request that would be served last."""
        lowest = [rows for rows in self._rows_by_priority.values() if rows][-1]
        return next(reversed(lowest.values()))

    def remove(self, row: RequestRow) -> None:
        """Remove a request without charging the customer for it."""
        del self._rows_by_priority[row.priority][row.request_id]
        self.cost -= cost_of(row)

    def serve(self, row: RequestRow) -> None:
        """Remove a request that is being dispatched and charge its cost."""
        highest = min(key for key, rows in self._rows_by_priority.items() if rows)
        self.remove(row)
        lower = (rows for key, rows in self._rows_by_priority.items() if key > row.priority)
        self._run = self._run + 1 if row.priority == highest and any(lower) else 0
        self.start += cost_of(row) / self.weight


class FairQueue:
    """Start-time fair queue over customers.

    Customers share by cost and weight. Priority chooses first among the customers whose
    virtual start lies within ``PRIORITY_LEAD_TOKENS`` of the earliest one, so a flood of high
    priority requests gains at most that much on the others.
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
        """Iterate over all waiting requests, customer by customer."""
        return chain.from_iterable(self._queues_by_customer.values())

    def waiting(self) -> dict[CustomerId, CustomerQueue]:
        """Return the customers that have requests waiting."""
        return {key: queue for key, queue in self._queues_by_customer.items() if len(queue)}

    def is_full_for(self, customer: CustomerId) -> bool:
        """Return whether the customer has reached its own bound."""
        queue = self._queues_by_customer.get(customer)
        return queue is not None and len(queue) >= self._limits.customer_requests

    def push(self, row: RequestRow, weight: float) -> RequestRow | None:
        """Add a request.

        :return: a request that had to leave because the queue is full: the last one of the
            customer that has the most waiting by weight, which may be the new one.
        """
        queue = self._queues_by_customer.get(row.customer)
        if queue is None:
            queue = CustomerQueue()
            self._queues_by_customer[row.customer] = queue
        if not len(queue):
            queue.start = max(queue.start, self._virtual_time)
        queue.weight = weight
        queue.append(row)
        self._rows_by_request[row.request_id] = row
        if len(self) <= self._limits.total_requests:
            return None
        return self._evict()

    def head(self) -> RequestRow | None:
        """Return the request to dispatch next."""
        waiting = self.waiting()
        if not waiting:
            return None
        earliest = min(queue.start for queue in waiting.values())
        heads = (
            (queue.head().priority, queue.start, customer, queue)
            for customer, queue in waiting.items()
            if queue.start <= earliest + PRIORITY_LEAD_TOKENS
        )
        return min(heads, key=lambda item: item[:3])[3].head()

    def serve(self, row: RequestRow) -> None:
        """Remove a request that is being dispatched and charge its customer."""
        waiting = self.waiting()
        earliest = min(queue.start for queue in waiting.values())
        self._virtual_time = max(self._virtual_time, earliest)
        waiting[row.customer].serve(row)
        del self._rows_by_request[row.request_id]
        self._forget_idle()

    def remove(self, request_id: RequestId) -> RequestRow | None:
        """Remove a request that is not dispatched; its customer is not charged."""
        row = self._rows_by_request.pop(request_id, None)
        if row is None:
            return None
        self._queues_by_customer[row.customer].remove(row)
        self._forget_idle()
        return row

    def cost_of_customer(self, customer: CustomerId) -> int:
        """Return the cost that the customer has waiting."""
        queue = self._queues_by_customer.get(customer)
        return queue.cost if queue is not None else 0

    def _evict(self) -> RequestRow:
        """Remove the last request of the customer with the most waiting by weight."""
        waiting = self.waiting()
        longest = max(waiting, key=lambda key: (len(waiting[key]) / waiting[key].weight, key))
        row = waiting[longest].newest_of_lowest()
        self.remove(row.request_id)
        return row

    def _forget_idle(self) -> None:
        """Forget idle customers that are owed nothing and owe nothing."""
        if not self._rows_by_request:
            starts = (queue.start for queue in self._queues_by_customer.values())
            self._virtual_time = max(chain([self._virtual_time], starts))
        idle = [
            customer
            for customer, queue in self._queues_by_customer.items()
            if not len(queue) and queue.start <= self._virtual_time
        ]
        for customer in idle:
            del self._queues_by_customer[customer]
