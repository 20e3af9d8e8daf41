"""When the steps of an instance's stop are due."""

import unittest

from cactuspass._stop_signal import SignalTime
from cactuspass.fleet._stop_bounds import StopBounds

GRACE_SECONDS = 8.0
LAST_SIXTH_AT = GRACE_SECONDS * 5 / 6


class StopBoundsTest(unittest.TestCase):
    """Bounds of stops whose signal was sent up to some time before it was received."""

    # Guards against requests that still run when the platform kills the process, and against
    # ending them before the last sixth of the grace time, which alone excuses it.
    def test_requests_end_in_the_last_sixth_whenever_the_signal_was_sent(self) -> None:
        for uncertainty in (0.0, 0.1, 0.5, 0.7, 3.0):
            with self.subTest(uncertainty=uncertainty):
                bounds = StopBounds.of(SignalTime(0.0, uncertainty), GRACE_SECONDS)
                self.assertGreaterEqual(bounds.ends_at, uncertainty + LAST_SIXTH_AT)
                if uncertainty < 1.0:
                    self.assertLess(bounds.ends_at, GRACE_SECONDS)

    def test_last_requests_count_from_the_earliest_moment(self) -> None:
        bounds = StopBounds.of(SignalTime(10.0, 10.5), GRACE_SECONDS)
        self.assertAlmostEqual(bounds.notice_end - bounds.earliest_notice_end, 0.5)

    def test_short_grace_time_leaves_time_to_close(self) -> None:
        bounds = StopBounds.of(SignalTime(0.0, 0.0), 1.0)
        self.assertAlmostEqual(bounds.ends_at, 0.75)
        self.assertLess(bounds.notice_end, bounds.ends_at)


if __name__ == "__main__":
    unittest.main()
