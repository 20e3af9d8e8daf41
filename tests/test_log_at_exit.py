"""Log lines of a process that ends while the reader of its output is slow."""

import subprocess
import sys
import time
import unittest

LINES = 1_000
SLOW_SECONDS = 0.1
PROGRAM = f"""
from cactuspass.fleet._decision_log import DecisionLog
log = DecisionLog("front-1")
for number in range({LINES}):
    log.alarm("request-task-failed", number=number, error="e" * 200)
"""


class LogAtExitTest(unittest.TestCase):
    """A process that writes more than the pipe holds, and ends."""

    # Guards against losing the last lines before the end, which name the requests that a stop cuts.
    def test_lines_are_written_when_the_process_ends(self) -> None:
        with subprocess.Popen([sys.executable, "-c", PROGRAM], stdout=subprocess.PIPE) as process:
            assert process.stdout is not None
            while process.poll() is None and not process.stdout.peek(1):  # type: ignore[attr-defined]
                time.sleep(SLOW_SECONDS / 10)
            time.sleep(SLOW_SECONDS)
            lines = process.stdout.read().splitlines()
        self.assertEqual((len(lines), process.returncode), (LINES, 0))


if __name__ == "__main__":
    unittest.main()
