"""Tests of the burn report."""

import tempfile
import unittest
from pathlib import Path

from cactuspass._burn import BurnTracker, Objective, burn_rows
from cactuspass._burn_plot import plot_burn
from cactuspass.exceptions import CommandError
from cactuspass.models import CustomerId

LIBRARY = CustomerId("library")


class BurnTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tracker = BurnTracker([Objective("*", "assistant", 0.6, 0.95, 86400.0)])

    def record(self, good: int, missed: int, now: float) -> None:
        for count, seconds in ((good, 0.1), (missed, 0.7)):
            for _ in range(count):
                self.tracker.record(LIBRARY, "assistant", seconds, now)

    def test_rate_of_each_window(self) -> None:
        self.record(good=80, missed=20, now=1000.0)
        self.record(good=100, missed=0, now=10_000.0)
        rows = burn_rows(self.tracker.objectives, self.tracker.points(), 10_001.0)
        rates = {row.window_minutes: row.burn_rate for row in rows}
        self.assertEqual(rates, {5.0: 0.0, 60.0: 0.0, 360.0: 2.0, 1440.0: 2.0})
        self.assertEqual(rows[-1].budget_left, 0.0)

    def test_lost_answer_counts_as_missed_and_other_models_do_not_count(self) -> None:
        self.tracker.record(LIBRARY, "assistant", None, 1.0)
        self.tracker.record(LIBRARY, "other", None, 1.0)
        rows = burn_rows(self.tracker.objectives, self.tracker.points(), 2.0)
        self.assertEqual((rows[0].requests, rows[0].missed), (1, 1))

    def test_plot(self) -> None:
        self.record(good=1, missed=1, now=1.0)
        rows = burn_rows(self.tracker.objectives, self.tracker.points(), 2.0)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "burn.svg")
            plot_burn(rows, path)
            self.assertIn("<svg", path.read_text(encoding="utf-8"))
            with self.assertRaisesRegex(CommandError, "must end in"):
                plot_burn(rows, Path(folder, "burn.txt"))
