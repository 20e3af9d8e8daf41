"""A part of prompts crashes each server that begins to write an answer on it."""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit-2"))
from poison import Engine, run_fleet  # noqa: E402
from standins import run_script  # noqa: E402


class WritingEngine(Engine):
    """Ends right behind the first event of its answer; before it with WRITES=0, to compare."""

    events_before = int(os.environ.get("WRITES", "1"))


async def main(record, folder, disturb):
    return await run_fleet(WritingEngine, record, folder, disturb)


if __name__ == "__main__":
    # With TROUBLE=0 the script does the same without the disruption.
    run_script(__file__, main, disturb=os.environ.get("TROUBLE", "1") != "0")
