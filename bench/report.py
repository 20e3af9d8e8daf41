"""The lines that the benchmarks print, and their form in JSON, as a table and as plots."""

import json
import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from itertools import groupby
from pathlib import Path
from typing import Any

from matplotlib.figure import Figure

from cactuspass._output import as_table
from cactuspass._rows import row_set

MET, MISSED, NO_TARGET = "met", "MISSED", "-"


@dataclass(frozen=True, slots=True)
class Line:
    """One measure of one matter.

    :param ours: the product's figure.
    :param baseline: the same figure of the plain baseline; None without one.
    :param target: the target in words; empty without one.
    :param met: whether the target was met; None without one.
    :param taken: False for a way that was measured and not taken.
    """

    matter: str
    measure: str
    ours: float
    baseline: float | None = None
    target: str = ""
    met: bool | None = None
    taken: bool = True

    @property
    def is_missed(self) -> bool:
        """Return whether the way taken misses its target."""
        return self.taken and self.met is False

    @property
    def result(self) -> str:
        """Return the result in a word."""
        if self.met is None:
            return NO_TARGET
        if self.taken:
            return MET if self.met else MISSED
        return "would meet" if self.met else "would miss"

    @property
    def ratio(self) -> float | None:
        """Return our figure as a share of the baseline's."""
        if self.baseline is None or not self.baseline or math.isnan(self.baseline):
            return None
        return self.ours / self.baseline


@dataclass(frozen=True, slots=True)
class _Printed:
    matter: str
    measure: str
    ours: float
    baseline: float | None
    ratio: float | None
    target: str
    result: str


def at_most(
    matter: str, measure: str, ours: float, limit: float, baseline: float | None = None
) -> Line:
    """Return a line whose figure must not be above a limit."""
    return Line(matter, measure, ours, baseline, f"at most {limit:g}", ours <= limit)


def at_least(
    matter: str, measure: str, ours: float, limit: float, baseline: float | None = None
) -> Line:
    """Return a line whose figure must not be below a limit."""
    return Line(matter, measure, ours, baseline, f"at least {limit:g}", ours >= limit)


def share_of_baseline(
    matter: str, measure: str, ours: float, baseline: float, limit: float
) -> Line:
    """Return a line whose figure must be below a share of the baseline's."""
    met = ours <= limit * baseline
    return Line(matter, measure, ours, baseline, f"at most {limit:.2f} of baseline", met)


def print_lines(lines: Sequence[Line]) -> None:
    """Print all lines as one table."""
    printed = (
        _Printed(
            line.matter,
            line.measure,
            line.ours,
            line.baseline,
            line.ratio,
            line.target,
            line.result,
        )
        for line in lines
    )
    print(as_table(row_set(_Printed, printed)))


def write_json(lines: Sequence[Line], figures: dict[str, Any], path: Path) -> None:
    """Write the lines and all figures behind them."""
    path.parent.mkdir(parents=True, exist_ok=True)
    document = {"lines": [asdict(line) for line in lines], "figures": figures}
    path.write_text(json.dumps(document, indent=2, default=str) + "\n", encoding="utf-8")


def write_plots(lines: Sequence[Line], folder: Path) -> None:
    """Draw, for each matter, our figures as shares of the baseline's."""
    folder.mkdir(parents=True, exist_ok=True)
    compared = [line for line in lines if line.ratio is not None]
    for matter, grouped in groupby(compared, key=lambda line: line.matter):
        own = list(grouped)
        figure = Figure(figsize=(8, 1 + 0.5 * len(own)))
        axes = figure.subplots()
        axes.barh([line.measure for line in own], [line.ratio or 0.0 for line in own])
        axes.axvline(1.0, color="grey", linestyle="--")
        axes.set_xlabel("share of the baseline's figure")
        axes.set_title(matter)
        figure.tight_layout()
        figure.savefig(folder / f"{matter.replace(' ', '-')}.svg")
