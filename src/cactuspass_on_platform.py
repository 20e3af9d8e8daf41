"""Runs an instance on the users' platform from a checkout."""

import signal
import sys


def run() -> int:
    """Run an instance; return the exit status.

    SIGHUP is ignored until the instance handles it: its default action would end the process while
    the modules are loaded, which takes longest. Nothing in force is missed: changed settings take
    effect only at the next start.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from cactuspass.platform.entry import main

    return main()


if __name__ == "__main__":
    sys.exit(run())
