"""What an upstream bears at a moment, and what it holds."""

import time
from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class Warmup:
    """Requests that an upstream bears at once, which grow with completions since boot."""

    cold_requests: int
    full_requests: int
    warm_step: float
    completions: int = 0

    @property
    def bearable(self) -> float:
        """Return the requests it bears at present."""
        return min(self.full_requests, self.cold_requests + self.warm_step * self.completions)


@dataclass(frozen=True, slots=True)
class LoadSample:
    """Requests and tokens held from a time on."""

    at: float
    running: int
    memory_tokens: int


@dataclass(slots=True)
class LoadHistory:
    """Load of the last seconds, to report it with a lag.

    :param lag: age of the reported load, in seconds.
    """

    lag: float
    samples: deque[LoadSample] = field(default_factory=deque)

    def record(self, running: int, memory_tokens: int) -> None:
        """Note the load from now on."""
        self.samples.append(LoadSample(time.monotonic(), running, memory_tokens))

    def lagged(self) -> LoadSample:
        """Return the load as it was ``lag`` seconds ago."""
        measured_at = time.monotonic() - self.lag
        while len(self.samples) > 1 and self.samples[1].at <= measured_at:
            self.samples.popleft()
        if not self.samples or self.samples[0].at > measured_at:
            return LoadSample(measured_at, 0, 0)
        return self.samples[0]
