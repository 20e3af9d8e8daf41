"""Counters, gauges and durations of the daemon, kept in memory and sent to statsd."""

from collections import Counter
from collections.abc import Mapping

from statsd import StatsClient

from cactuspass._component import Component

MAX_PACKET_BYTES = 512


class Counters(Component):
    """Counts events by name and sends each to statsd over UDP if an address is given.

    :param address: ``host:port`` of the statsd server; None to count in memory only.
    :param prefix: prefix of all names sent to statsd.
    """

    def __init__(self, address: str | None = None, prefix: str = "cactuspass") -> None:
        self._address = address
        self._prefix = prefix
        self._client: StatsClient | None = None
        self._counts: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}

    async def start(self) -> None:
        """Open the UDP socket."""
        if self._address is not None:
            host, _, port = self._address.rpartition(":")
            self._client = StatsClient(host, int(port), self._prefix, MAX_PACKET_BYTES)

    async def stop(self) -> None:
        """Close the UDP socket."""
        if self._client is not None:
            self._client.close()
            self._client = None

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value
        if self._client is not None:
            self._client.gauge(name, value)

    def record_duration(self, name: str, seconds: float) -> None:
        """Send a duration to statsd and count it."""
        self._counts[f"{name}.count"] += 1
        if self._client is not None:
            self._client.timing(name, seconds * 1000)

    def values(self) -> Mapping[str, float]:
        """Return all counters and gauges by name."""
        return {**self._counts, **self._gauges}
