"""Applies the memory budgets to answers that are buffered for their readers."""

import asyncio
from collections.abc import Callable

from cactuspass._byte_queue import BytesAccount
from cactuspass._component import LoopComponent
from cactuspass._counters import Counters
from cactuspass._memory import MemoryLedger
from cactuspass._requests import CallerRequest
from cactuspass.models import CustomerId, RequestId

CUT_INTERVAL_SECONDS = 0.5
POLL_INTERVAL_SECONDS = 0.02


class AnswerMemory(LoopComponent):
    """Counts the buffered bytes of every answer and cuts answers whose readers are too slow.

    :param clock: returns the monotonic time in seconds.
    """

    def __init__(
        self, ledger: MemoryLedger, clock: Callable[[], float], counters: Counters
    ) -> None:
        super().__init__()
        self.ledger = ledger
        self._clock = clock
        self._counters = counters
        self._cut_callbacks_by_request: dict[RequestId, Callable[[str], None]] = {}

    def account_for(self, request: CallerRequest) -> BytesAccount:
        """Return the memory account of one answer."""
        return _LedgerAccount(self, request.request_id, request.customer)

    def open(self, request_id: RequestId, customer: CustomerId, cut: Callable[[str], None]) -> None:
        """Start counting an answer.

        :param cut: called with a reason to cut the answer.
        """
        self._cut_callbacks_by_request[request_id] = cut
        self.ledger.open(request_id, customer, self._clock())

    def close(self, request_id: RequestId) -> None:
        """Stop counting an answer."""
        self._cut_callbacks_by_request.pop(request_id, None)
        self.ledger.close(request_id)

    def reserve(self, request_id: RequestId, count: int) -> bool:
        """Count bytes as held if the budgets allow them; return whether they do."""
        return self.ledger.reserve(request_id, count, self._clock())

    def release(self, request_id: RequestId, count: int) -> None:
        """Count bytes that the reader has read as no longer held."""
        self.ledger.release(request_id, count, self._clock())

    def is_counted(self, request_id: RequestId) -> bool:
        """Return whether an answer is still being counted."""
        return request_id in self._cut_callbacks_by_request

    async def run_loop(self) -> None:
        """Cut answers and report the held bytes until cancelled."""
        while True:
            for cut in self.ledger.streams_to_cut(self._clock()):
                cut_answer = self._cut_callbacks_by_request.get(cut.request_id)
                self.close(cut.request_id)
                self._counters.count(f"answers.cut.{cut.reason.value}")
                if cut_answer is not None:
                    cut_answer(f"the reader was too slow ({cut.reason.value})")
            self._counters.set_gauge("memory.held_bytes", self.ledger.held_bytes)
            await asyncio.sleep(CUT_INTERVAL_SECONDS)


class _LedgerAccount(BytesAccount):
    """Memory account of one answer in the ledger."""

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
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def try_reserve(self, count: int) -> bool:
        return self._memory.reserve(self._request_id, count)

    async def wait_while_paused(self) -> None:
        while self._memory.is_counted(self._request_id) and self._memory.ledger.should_pause(
            self._request_id
        ):
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def release(self, count: int) -> None:
        self._memory.release(self._request_id, count)
