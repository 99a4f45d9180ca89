"""Plot the figures of reports as SVG."""

import collections
import pathlib
import statistics
from collections.abc import Sequence
from typing import Any

import matplotlib as mpl
from matplotlib.backends.backend_svg import FigureCanvasSVG
from matplotlib.figure import Figure

from cassiarail.load.report import ReportDocument

PLOTTED_FIGURES = (
    'attainment_per_accelerator',
    'moves',
    'first_token_seconds_p95',
    'inter_token_seconds_p95',
)
_INCHES = (11, 7)
_COLUMNS = 2


def plot_reports(
    reports: Sequence[ReportDocument],
    path: pathlib.Path,
) -> None:
    """Write a bar chart of the mean over seeds by policy, with the range."""
    by_policy: dict[str, list[Any]] = collections.defaultdict(list)
    for report in reports:
        by_policy[report['policy']].append(report)
    figure = Figure(figsize=_INCHES, layout='constrained')
    rows = len(PLOTTED_FIGURES) // _COLUMNS
    for position, name in enumerate(PLOTTED_FIGURES, start=1):
        axes = figure.add_subplot(rows, _COLUMNS, position)
        _draw_bars(axes, name, by_policy)
    path.parent.mkdir(parents=True, exist_ok=True)
    # A fixed salt and no date make the file reproducible.
    with mpl.rc_context({'svg.hashsalt': 'cassiarail'}):
        FigureCanvasSVG(figure).print_svg(str(path), metadata={'Date': None})


def _draw_bars(
    axes: Any,
    name: str,
    by_policy: dict[str, list[Any]],
) -> None:
    policies = sorted(by_policy)
    samples_by_policy = [
        [report[name] for report in by_policy[policy]] for policy in policies
    ]
    means = [statistics.fmean(samples) for samples in samples_by_policy]
    below = [
        mean - min(samples)
        for mean, samples in zip(means, samples_by_policy, strict=True)
    ]
    above = [
        max(samples) - mean
        for mean, samples in zip(means, samples_by_policy, strict=True)
    ]
    axes.bar(policies, means, yerr=(below, above), capsize=4)
    axes.set_title(name)
    axes.set_ylim(bottom=0)
