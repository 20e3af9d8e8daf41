"""Draws the burn report to a PNG or SVG file."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib

from cactuspass._burn import BurnRow
from cactuspass.exceptions import CommandError

matplotlib.use("Agg")

from matplotlib.figure import Figure

SUFFIXES = (".png", ".svg")
SUSTAINABLE_BURN_RATE = 1.0


def plot_burn(rows: Sequence[BurnRow], path: Path) -> None:
    """Draw burn rates by window, one line for each customer, model and objective.

    :raises CommandError: for a file name that is neither PNG nor SVG.
    """
    if path.suffix not in SUFFIXES:
        raise CommandError(f"{path}: the plot's file name must end in .png or .svg")
    figure = Figure(figsize=(8, 4.5))
    axes = figure.subplots()
    keys = dict.fromkeys((row.customer, row.model, row.objective) for row in rows)
    for key in keys:
        rows_of_key = [row for row in rows if (row.customer, row.model, row.objective) == key]
        axes.plot(
            [row.window_minutes for row in rows_of_key],
            [row.burn_rate for row in rows_of_key],
            marker="o",
            label=f"{key[0]} / {key[1]}: {key[2]}",
        )
    axes.axhline(
        SUSTAINABLE_BURN_RATE, color="grey", linestyle="--", label="budget lasts its period"
    )
    axes.set_xscale("log")
    axes.set_xlabel("window (minutes)")
    axes.set_ylabel("burn rate")
    axes.set_title("Service-level burn")
    axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path)
