"""Runs an instance on the users' platform from a checkout."""

import sys

from cactuspass.platform.entry import main

if __name__ == "__main__":
    sys.exit(main())
