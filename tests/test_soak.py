"""A short seeded soak on real processes; longer ones are run by ``python -m tests.soak``.

Every seed that has found a violation is kept in SEEDS, with a comment on its cause.
"""

import asyncio
import unittest

from tests.soak.run import soak

SECONDS = 5.0
SEEDS = (1,)


class SoakTest(unittest.TestCase):
    """Guarantees on responses and executions under overlapping series of faults."""

    def test_seeds(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                soak_run = asyncio.run(soak(seed, SECONDS))
                self.assertEqual(soak_run.results.violations, [], soak_run.faults)


if __name__ == "__main__":
    unittest.main()
