"""Base of tests that move data centres, entries and upstreams under traffic."""

import signal
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, ClassVar

from tests.fleet_case import IN_FORCE_SECONDS, FleetCase
from trial.__main__ import Traffic
from trial.calls import stream_completion, unary_completion
from trial.fleet import Fleet, FleetPlan

CALLS = 6


class ReadyTraffic(Traffic):
    """Traffic behind a balancer, which sends only to entries that say that they are ready."""

    def __init__(self, fleet: Fleet, skipped: str = "") -> None:
        super().__init__(fleet)
        self._fleet = fleet
        self._all = [
            entry.callers
            for entry in fleet.entries_by_name.values()
            if not skipped or entry.data_centre != skipped
        ]
        self._addresses = _ReadyAddresses(fleet, self._all)  # type: ignore[assignment]


class _ReadyAddresses:
    """Chooses a ready entry each time that one is asked for."""

    def __init__(self, fleet: Fleet, addresses: list[str]) -> None:
        self._fleet = fleet
        self._addresses = addresses

    def __len__(self) -> int:
        return len(self._addresses)

    def __getitem__(self, index: int) -> str:
        turned = self._addresses[index:] + self._addresses[:index]
        is_ready = (item for item in turned if self._fleet.status(item, "/readyz") == 200)
        return next(is_ready, turned[0])


class OperationsCase(FleetCase):
    """Each test begins and ends with a whole fleet in which nothing is taken out."""

    model_groups: ClassVar[int] = 3

    def tearDown(self) -> None:
        fleet = self.fleet
        if fleet.plan.has_relays:
            fleet.heal()
        for name, entry in fleet.entries_by_name.items():
            if entry.child is None or not entry.child.is_running:
                fleet.start_entry(name)
        for name in fleet.entries_by_name:
            fleet.wait_ready(name)
        self.wait(self.is_agreed, "all entries have the same configuration")
        for row in fleet.rows("take outs"):
            self.order(f"return {row['kind'].replace('-', ' ')} {row['target']}")
        for name in fleet.entries_by_name:
            fleet.wait_seated(name)
        self.wait(lambda: len(self.serving()) == self.model_groups, "all groups serve")

    def is_agreed(self) -> bool:
        """Tell whether all entries confirm one revision and every take-out is committed."""
        pending = self.fleet.rows("take outs where committed = false")
        rows = self.fleet.rows("in force")
        return bool(rows) and not pending and all(row["confirmed"] for row in rows)

    def start_again(self, name: str) -> None:
        """Kill an entry without notice and start it as a new process."""
        self.end_entry(name)
        self.fleet.start_entry(name)

    def end_entry(self, name: str) -> None:
        """Kill an entry without notice."""
        child = self.fleet.entries_by_name[name].child
        assert child is not None
        child.send(signal.SIGKILL)
        child.wait()

    def names_in(self, data_centre: str) -> list[str]:
        """Return the entries of a data centre."""
        entries = self.fleet.entries_by_name.values()
        return [entry.name for entry in entries if entry.data_centre == data_centre]

    def names_outside(self, data_centre: str) -> list[str]:
        """Return the entries of the other data centres."""
        return [
            name for name in self.fleet.entries_by_name if name not in self.names_in(data_centre)
        ]

    def arrivals(self, prefix: str) -> int:
        """Return the requests that came to upstreams whose name begins with a prefix."""
        return self.counts().total("arrived", prefix)

    def call(self, *names: str) -> None:
        """Send requests through entries, and check that each gets its whole answer."""
        for name in names:
            for number in range(CALLS):
                address = self.fleet.entries_by_name[name].callers
                unary_completion(address, f"question {number} at {name}", max_tokens=2)

    def assert_no_new_work(self, prefix: str, *names: str) -> None:
        """Check that requests through the entries don't come to the named upstreams."""
        before = self.arrivals(prefix)
        self.call(*(names or tuple(self.fleet.entries_by_name)))
        self.assertEqual(self.arrivals(prefix), before)

    @contextmanager
    def traffic(self, skipped: str = "") -> Iterator[Traffic]:
        """Send requests through the ready entries; every one must be answered whole."""
        traffic = ReadyTraffic(self.fleet, skipped)
        traffic.start()
        try:
            yield traffic
        finally:
            traffic.stop()
        self.assertEqual(traffic.failures, [])

    @contextmanager
    def long_stream(self, name: str, group_prefix: str, max_tokens: int = 300) -> Iterator[None]:
        """Run a stream on a group during the body; it must be whole at the end."""
        entry = self.fleet.entries_by_name[name]
        stream = Background(lambda: stream_completion(entry.callers, f"long {name}", max_tokens))
        self.wait(
            lambda: any(
                row["requests"] and row["group"].startswith(group_prefix)
                for row in self.fleet.rows("groups")
            ),
            f"a stream runs in {group_prefix}",
        )
        yield
        self.assertEqual(len(str(stream.result()).split()), max_tokens)


class Background:
    """An action on a thread of its own."""

    def __init__(self, action: Callable[[], Any]) -> None:
        self._action = action
        self._found: Any = None
        self._error: Exception | None = None
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def result(self) -> Any:
        """Return what the action returned, or raise what it raised."""
        self._thread.join()
        if self._error is not None:
            raise self._error
        return self._found

    def _run(self) -> None:
        try:
            self._found = self._action()
        except Exception as error:
            self._error = error


__all__ = ["IN_FORCE_SECONDS", "Background", "FleetPlan", "OperationsCase"]
