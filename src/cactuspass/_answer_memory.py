"""Applies the memory budgets to answers that wait for their readers."""

import asyncio
from collections.abc import Callable

from cactuspass._byte_queue import BytesAccount
from cactuspass._component import LoopComponent
from cactuspass._counters import Counters
from cactuspass._memory import MemoryLedger
from cactuspass._requests import CallerRequest
from cactuspass.models import CustomerId, RequestId

REVIEW_SECONDS = 0.5
WAIT_SECONDS = 0.02


class AnswerMemory(LoopComponent):
    """Counts every answer held by this process and cuts the readers that hold too much.

    :param clock: monotonic time in seconds.
    """

    def __init__(
        self, ledger: MemoryLedger, clock: Callable[[], float], counters: Counters
    ) -> None:
        super().__init__()
        self.ledger = ledger
        self._clock = clock
        self._counters = counters
        self._cuts_by_request: dict[RequestId, Callable[[str], None]] = {}

    def account_for(self, request: CallerRequest) -> BytesAccount:
        """Return the account of one answer."""
        return _LedgerAccount(self, request.request_id, request.customer)

    def open(self, request_id: RequestId, customer: CustomerId, cut: Callable[[str], None]) -> None:
        """Begin to count an answer."""
        self._cuts_by_request[request_id] = cut
        self.ledger.open(request_id, customer, self._clock())

    def close(self, request_id: RequestId) -> None:
        """End the counting of an answer."""
        self._cuts_by_request.pop(request_id, None)
        self.ledger.close(request_id)

    def reserve(self, request_id: RequestId, count: int) -> bool:
        """Count bytes if the budgets allow it."""
        return self.ledger.reserve(request_id, count, self._clock())

    def release(self, request_id: RequestId, count: int) -> None:
        """Count bytes that a reader took."""
        self.ledger.release(request_id, count, self._clock())

    def is_counted(self, request_id: RequestId) -> bool:
        """Return whether an answer is still being counted."""
        return request_id in self._cuts_by_request

    async def run_loop(self) -> None:
        """Work until cancelled."""
        while True:
            for cut in self.ledger.streams_to_cut(self._clock()):
                end = self._cuts_by_request.get(cut.request_id)
                self.close(cut.request_id)
                self._counters.count(f"answers.cut.{cut.reason.value}")
                if end is not None:
                    end(f"the reader was too slow ({cut.reason.value})")
            self._counters.level("memory.held_bytes", self.ledger.held_bytes)
            await asyncio.sleep(REVIEW_SECONDS)


class _LedgerAccount(BytesAccount):
    """Account of one answer in the ledger."""

    def __init__(self, memory: AnswerMemory, request_id: RequestId, customer: CustomerId) -> None:
        self._memory = memory
        self._request_id = request_id
        self._customer = customer

    def open(self, cut: Callable[[str], None]) -> None:
        self._memory.open(self._request_id, self._customer, cut)

    def close(self) -> None:
        self._memory.close(self._request_id)

    async def reserve(self, count: int) -> None:
        while not self._memory.reserve(self._request_id, count):
            if not self._memory.is_counted(self._request_id):
                return
            await asyncio.sleep(WAIT_SECONDS)

    def try_reserve(self, count: int) -> bool:
        return self._memory.reserve(self._request_id, count)

    async def wait_while_paused(self) -> None:
        while self._memory.is_counted(self._request_id) and self._memory.ledger.should_pause(
            self._request_id
        ):
            await asyncio.sleep(WAIT_SECONDS)

    def release(self, count: int) -> None:
        self._memory.release(self._request_id, count)
