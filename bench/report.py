"""Result lines of the benchmarks, printed as a table and written as JSON and plots."""

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
    """One measured figure.

    :param matter: benchmark that it belongs to.
    :param measure: name of the figure.
    :param ours: value of the product.
    :param baseline: value of the baseline; None without a baseline.
    :param target: description of the target; empty without a target.
    :param met: whether the target is met; None without a target.
    :param taken: False for an alternative that the product does not use.
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
        """Return whether the product itself misses the target."""
        return self.taken and self.met is False

    @property
    def result(self) -> str:
        """Return the result as it is printed."""
        if self.met is None:
            return NO_TARGET
        if self.taken:
            return MET if self.met else MISSED
        return "would meet" if self.met else "would miss"

    @property
    def ratio(self) -> float | None:
        """Return our value over the baseline's; None without a baseline."""
        if self.baseline is None or not self.baseline or math.isnan(self.baseline):
            return None
        return self.ours / self.baseline


@dataclass(frozen=True, slots=True)
class _TableRow:
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
    """Return a line whose value must not exceed a limit."""
    return Line(matter, measure, ours, baseline, f"at most {limit:g}", ours <= limit)


def at_least(
    matter: str, measure: str, ours: float, limit: float, baseline: float | None = None
) -> Line:
    """Return a line whose value must not fall below a limit."""
    return Line(matter, measure, ours, baseline, f"at least {limit:g}", ours >= limit)


def share_of_baseline(
    matter: str, measure: str, ours: float, baseline: float, limit: float
) -> Line:
    """Return a line whose value must not exceed a share of the baseline's."""
    met = ours <= limit * baseline
    return Line(matter, measure, ours, baseline, f"at most {limit:.2f} of baseline", met)


def print_lines(lines: Sequence[Line]) -> None:
    """Print all lines as one table."""
    rows = (
        _TableRow(
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
    print(as_table(row_set(_TableRow, rows)))


def write_json(lines: Sequence[Line], figures: dict[str, Any], path: Path) -> None:
    """Write the lines and the figures of each benchmark as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    document = {"lines": [asdict(line) for line in lines], "figures": figures}
    path.write_text(json.dumps(document, indent=2, default=str) + "\n", encoding="utf-8")


def write_plots(lines: Sequence[Line], folder: Path) -> None:
    """Plot our values over the baseline's, one file for each benchmark."""
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
