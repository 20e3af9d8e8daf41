"""Child processes of a trial, each controlled by its process id."""

import json
import os
import selectors
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.05


class TrialError(Exception):
    """A step of the trial failed."""


def wait_until(condition: Callable[[], bool], what: str, timeout: float) -> float:
    """Wait until a condition holds.

    :param what: description of the condition for the error message.
    :param timeout: seconds to wait at most.
    :return: seconds that it took.
    :raises TrialError: if it does not hold in time.
    """
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout:
            raise TrialError(f"timed out after {timeout:g} s: {what}")
        time.sleep(POLL_SECONDS)
    return time.monotonic() - started


class Child:
    """A child process that writes standard error to a log file.

    :ivar is_paused: whether the last signal that stops or continues it was SIGSTOP.
    """

    def __init__(self, name: str, arguments: list[str], log: Path) -> None:
        self.name = name
        self.log = log
        self.is_paused = False
        with log.open("a", encoding="utf-8") as stream:
            self._process = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=stream,
                text=True,
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process has not exited."""
        return self._process.poll() is None

    def read_json_line(self, timeout: float = START_TIMEOUT_SECONDS) -> dict[str, Any]:
        """Return the JSON object that the process prints as its first line.

        :raises TrialError: if it prints nothing in time or exits before.
        """
        stdout = self._process.stdout
        assert stdout is not None
        with selectors.DefaultSelector() as selector:
            selector.register(stdout, selectors.EVENT_READ)
            if not selector.select(timeout):
                raise TrialError(f"{self.name} printed nothing; its log: {self.log.read_text()}")
        line = stdout.readline()
        if not line:
            raise TrialError(f"{self.name} exited without output; its log: {self.log.read_text()}")
        found: dict[str, Any] = json.loads(line)
        return found

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if not self.is_running:
            return
        os.kill(self.pid, number)
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self.is_paused = number is signal.SIGSTOP

    def wait(self, timeout: float = STOP_TIMEOUT_SECONDS) -> int:
        """Wait for the process to exit and return its exit code.

        :raises TrialError: if it does not exit in time.
        """
        try:
            return self._process.wait(timeout)
        except subprocess.TimeoutExpired as error:
            raise TrialError(f"{self.name} did not exit within {timeout:g} s") from error

    def terminate(self) -> int:
        """Send SIGTERM and return the exit code."""
        self.send(signal.SIGTERM)
        return self.wait()

    def kill(self) -> None:
        """Kill the process, even if SIGSTOP has paused it."""
        if self.is_running:
            self._process.kill()
            self._process.wait()
        if self._process.stdout is not None:
            self._process.stdout.close()
