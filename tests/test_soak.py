"""A short seeded soak on real processes; longer ones run by hand (``python -m tests.soak``).

A seed that ever broke a promise stays here, with a line on its cause.
"""

import asyncio
import unittest

from tests.soak.run import soak

SECONDS = 5.0
SEEDS = (1,)


class SoakTest(unittest.TestCase):
    """Promises under faults that come in series and overlap."""

    def test_seeds(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                found = asyncio.run(soak(seed, SECONDS))
                self.assertEqual(found.ledger.violations, [], found.faults)


if __name__ == "__main__":
    unittest.main()
