"""Runs soaks by hand: ``python -m tests.soak --seeds 50 --seconds 15``."""

import asyncio
import sys

import fire

from tests.soak.run import soak


def run(first: int = 1, seeds: int = 1, seconds: float = 15.0) -> None:
    """Run soaks with seeds one after the other; exit 1 when a promise was broken.

    :param first: first seed.
    :param seeds: number of seeds.
    :param seconds: time during which faults begin.
    """
    broken = 0
    for seed in range(first, first + seeds):
        found = asyncio.run(soak(seed, seconds))
        print(
            f"seed {seed}: {len(found.faults)} faults; {dict(found.ledger.outcomes)}; "
            f"at most {found.peak_memory} KiB in an instance",
            flush=True,
        )
        for violation in found.ledger.violations:
            print(f"  broken: {violation}", flush=True)
        broken += bool(found.ledger.violations)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    fire.Fire(run)
