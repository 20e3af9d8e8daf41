"""A short seeded soak on real processes; longer ones are run by ``python -m tests.soak``.

Every seed that has found a violation is kept in SEEDS, with a comment on its cause.
"""

import asyncio
import unittest
from pathlib import Path

from tests.soak.run import free_ports, soak
from tests.soak.stops import soak_stops

SECONDS = 5.0
SEEDS = (1,)
STOP_SEEDS = (1,)
STOP_CALLERS = 24  # of each instance, over twice as many as there are slots
EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


class SoakTest(unittest.TestCase):
    """Guarantees on responses and executions under overlapping series of faults."""

    # Guards against an instance whose port a proxy or a connection has taken before it starts; it
    # ends at once, and serves no stream for the whole run.
    def test_ports_of_instances_are_not_given_to_others(self) -> None:
        first_ephemeral = int(EPHEMERAL_RANGE.read_text(encoding="ascii").split()[0])
        ports = free_ports(6)
        self.assertEqual(len(set(ports)), 6)
        self.assertLess(max(ports), first_ephemeral)

    def test_seeds(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                soak_run = asyncio.run(soak(seed, SECONDS))
                self.assertEqual(soak_run.results.violations, [], soak_run.faults)

    # Guards against streams that are cut around a stop since their upstream is silent for a while
    # and all others are full.
    def test_streams_around_stops(self) -> None:
        for seed in STOP_SEEDS:
            with self.subTest(seed=seed):
                results = asyncio.run(soak_stops(seed, STOP_CALLERS))
                self.assertEqual((results.lost, results.cut_elsewhere), ([], []))
                self.assertGreater(results.outcomes["whole"], 0)


if __name__ == "__main__":
    unittest.main()
