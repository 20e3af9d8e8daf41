"""SIGTERM that reaches an instance after its handler is set and before its listener is open."""

import asyncio
import os
import signal
import unittest
from unittest import mock

from tests.test_fleet_instance import InstanceCase

START_SECONDS = 0.5
MAX_SECONDS = 12.0


class StopDuringStartTest(InstanceCase):
    """An instance whose start takes some time, as while the store is slow."""

    # Guards against requests that are taken long after SIGTERM, since the time of a stop counts
    # from the end of the start.
    async def test_instance_that_is_to_stop_accepts_no_callers(self) -> None:
        instance = self.build_instance("front-1")
        start = instance._application.start

        async def start_slowly() -> None:
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.sleep(START_SECONDS)
            await start()

        with mock.patch.object(instance._application, "start", start_slowly):
            await asyncio.wait_for(instance.run(), MAX_SECONDS)
        self.assertEqual(instance.caller_address, ("", 0))


if __name__ == "__main__":
    unittest.main()
