"""Command line of the soak test: ``python -m tests.soak --seeds 50 --seconds 15``."""

import asyncio
import sys

import fire

from tests.soak.run import soak


def run(first: int = 1, seeds: int = 1, seconds: float = 15.0) -> None:
    """Run one soak per seed, one after the other; exit with 1 when a guarantee was violated.

    :param first: first seed.
    :param seeds: number of consecutive seeds.
    :param seconds: period in which faults are started.
    """
    failed_seeds = 0
    for seed in range(first, first + seeds):
        soak_run = asyncio.run(soak(seed, seconds))
        print(
            f"seed {seed}: {len(soak_run.faults)} faults; {dict(soak_run.results.outcomes)}; "
            f"at most {soak_run.peak_memory_kib} KiB in an instance",
            flush=True,
        )
        for violation in soak_run.results.violations:
            print(f"  broken: {violation}", flush=True)
        failed_seeds += bool(soak_run.results.violations)
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    fire.Fire(run)
