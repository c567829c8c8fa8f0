"""The page's plots, each as an SVG that stands in the page itself."""

from __future__ import annotations

import io
import math
from collections import defaultdict
from collections.abc import Mapping, Sequence
from statistics import fmean

import matplotlib as mpl
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from jasperwalk_lab.experiments.lines import ExperimentResults, RunLine
from jasperwalk_lab.report.figures import causes_of_breaks, runs_by_variant
from jasperwalk_lab.report.statistics import estimate

mpl.rcParams["svg.hashsalt"] = "jasperwalk"
"""Makes the SVG's inner names the same on every rendering."""
WIDTH_INCHES = 9.0
HEIGHT_INCHES = 3.2
EVENT_LABEL_HEIGHT = 0.02
"""Where names of events begin, as a part of the plot's height."""
PERCENTILES = ("p50_ms", "p90_ms", "p99_ms", "max_ms")


def imbalance_plot(results: ExperimentResults, service: str) -> str:
    """Plot the imbalance of work over time, the mean over repetitions."""
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
    axes = figure.subplots()
    for variant, runs in runs_by_variant(results).items():
        points: dict[float, list[float]] = defaultdict(list)
        for run in runs:
            for point in run.series:
                if point.service == service and point.work is not None:
                    points[point.at].append(point.work)
        times = sorted(points)
        axes.plot(times, [fmean(points[at]) for at in times], label=variant, linewidth=1)
    _mark_events(axes, results.runs)
    axes.set(xlabel="seconds", ylabel="max / mean", title=f"Imbalance of work, {service}")
    axes.legend(fontsize="small")
    return _svg(figure)


def bars_plot(title: str, values: Mapping[str, Sequence[float]]) -> str:
    """Plot one measure for each variant, with its 95% interval over repetitions."""
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
    axes = figure.subplots()
    estimates = {variant: estimate(each) for variant, each in values.items()}
    axes.bar(
        list(estimates),
        [each.mean for each in estimates.values()],
        yerr=[each.half_width for each in estimates.values()],
        capsize=4,
    )
    axes.set(title=f"{title} (mean and 95% interval)")
    axes.set_ylim(bottom=0)
    return _svg(figure)


def latency_plot(results: ExperimentResults, kind: str) -> str:
    """Plot the latency percentiles of one kind of operation, the mean over repetitions."""
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
    axes = figure.subplots()
    for variant, runs in runs_by_variant(results).items():
        known = [run.load.latencies[kind] for run in runs if kind in run.load.latencies]
        if known:
            means = [fmean(getattr(each, name) for each in known) for name in PERCENTILES]
            axes.plot(
                [name.removesuffix("_ms") for name in PERCENTILES], means, "o-", label=variant
            )
    axes.set(ylabel="milliseconds", title=f"Latency since due, {kind}")
    axes.set_yscale("log")
    axes.legend(fontsize="small")
    return _svg(figure)


def breaks_plot(results: ExperimentResults) -> str:
    """Plot broken flows by cause, summed over repetitions."""
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
    axes = figure.subplots()
    by_variant = {name: causes_of_breaks(runs) for name, runs in runs_by_variant(results).items()}
    below = dict.fromkeys(by_variant, 0)
    for cause in sorted({cause for causes in by_variant.values() for cause in causes}):
        counts = [by_variant[variant].get(cause, 0) for variant in by_variant]
        axes.bar(list(by_variant), counts, bottom=list(below.values()), label=cause)
        below = {name: below[name] + by_variant[name].get(cause, 0) for name in by_variant}
    axes.set(title="Broken flows by cause, all repetitions")
    if any(below.values()):
        axes.legend(fontsize="small")
    else:
        axes.bar(list(by_variant), [0] * len(by_variant))
        axes.set_ylim(0, 1)
    return _svg(figure)


def in_force_plot(results: ExperimentResults) -> str:
    """Plot the time until each change was in force."""
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
    axes = figure.subplots()
    for variant, runs in runs_by_variant(results).items():
        events = [event for run in runs for event in run.events]
        axes.plot(
            [f"{event.action} {event.target}" for event in events],
            [_nan_if_none(event.in_force_seconds) for event in events],
            "o",
            label=variant,
        )
    axes.set(ylabel="seconds", title="Time until a change was in force everywhere")
    axes.set_ylim(bottom=0)
    axes.legend(fontsize="small")
    return _svg(figure)


def _mark_events(axes: Axes, runs: Sequence[RunLine]) -> None:
    """Mark the first run's events; their names stand inside the plot, at its foot."""
    for event in runs[0].events if runs else []:
        axes.axvline(event.at, color="grey", linewidth=0.8, linestyle=":")
        name = axes.text(
            event.at,
            EVENT_LABEL_HEIGHT,
            f" {event.action} {event.target}",
            transform=axes.get_xaxis_transform(),
            fontsize="x-small",
            rotation=90,
            clip_on=True,
        )
        name.set_in_layout(False)


def _svg(figure: Figure) -> str:
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg", metadata={"Date": None})
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def _nan_if_none(seconds: float | None) -> float:
    """Return NaN, which leaves a gap in a plot, for a time that is not known."""
    return math.nan if seconds is None else seconds
