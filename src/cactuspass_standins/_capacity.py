"""Concurrency limit of an upstream during warm-up, and the history of its load."""

import time
from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class Warmup:
    """Concurrency limit of an upstream, which grows with the completions since boot.

    :param cold_requests: limit directly after boot.
    :param full_requests: limit after warm-up.
    :param warm_step: growth of the limit with each completion.
    """

    cold_requests: int
    full_requests: int
    warm_step: float
    completions: int = 0

    @property
    def concurrency_limit(self) -> float:
        """Return the number of concurrent requests that it can currently handle."""
        return min(self.full_requests, self.cold_requests + self.warm_step * self.completions)


@dataclass(frozen=True, slots=True)
class LoadSample:
    """Running requests and their tokens from the time ``at`` on."""

    at: float
    running: int
    memory_tokens: int


@dataclass(slots=True)
class LoadHistory:
    """Recent load of an upstream, kept so that it can be reported with a lag.

    :param lag: age of the reported load, in seconds.
    """

    lag: float
    samples: deque[LoadSample] = field(default_factory=deque)

    def record(self, running: int, memory_tokens: int) -> None:
        """Record the current load."""
        self.samples.append(LoadSample(time.monotonic(), running, memory_tokens))

    def lagged(self) -> LoadSample:
        """Return the load as it was ``lag`` seconds ago."""
        measured_at = time.monotonic() - self.lag
        while len(self.samples) > 1 and self.samples[1].at <= measured_at:
            self.samples.popleft()
        if not self.samples or self.samples[0].at > measured_at:
            return LoadSample(measured_at, 0, 0)
        return self.samples[0]
