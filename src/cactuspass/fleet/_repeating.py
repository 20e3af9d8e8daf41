"""Base of the components that repeat one step and continue after a step has failed."""

import asyncio
from abc import abstractmethod

from cactuspass._component import LoopComponent
from cactuspass.fleet._decision_log import DecisionLog

PAUSE_AFTER_FAILURE_SECONDS = 0.2


class RepeatingComponent(LoopComponent):
    """Repeats a step until it is stopped; logs an unexpected error and repeats the step."""

    def __init__(self, log: DecisionLog) -> None:
        super().__init__()
        self._log = log

    async def run_loop(self) -> None:
        """Repeat the step until cancelled."""
        while True:
            try:
                await self.step()
            except Exception as error:
                self._log.alarm(
                    "step-failed",
                    component=type(self).__name__,
                    error=f"{type(error).__name__}: {error}",
                )
                await asyncio.sleep(PAUSE_AFTER_FAILURE_SECONDS)

    @abstractmethod
    async def step(self) -> None:
        """Do one unit of work, including the pause before or after it."""
