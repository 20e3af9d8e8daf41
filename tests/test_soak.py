"""A short seeded soak on real processes; longer ones are run by ``python -m tests.soak``.

Every seed that has found a violation is kept in SEEDS, with a comment on its cause.
"""

import asyncio
import unittest
from pathlib import Path

from tests.soak.run import free_ports, soak

SECONDS = 5.0
SEEDS = (1,)
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


if __name__ == "__main__":
    unittest.main()
