"""The report of a soak: JSON, text, and an HTML page with plots."""

from __future__ import annotations

import io
import statistics
from collections import Counter, defaultdict
from html import escape
from pathlib import Path

import msgspec
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from jasperwalk_lab.soak.checks import SoakViolation
from jasperwalk_lab.soak.history import (
    MachineStall,
    RequestOutcome,
    RequestRefused,
    SoakHistory,
)

SHOWN_VIOLATIONS = 20
WIDTH_INCHES, HEIGHT_INCHES = 9.0, 3.2
STYLE = (
    "body{font-family:sans-serif;max-width:60rem;margin:1rem auto}svg{max-width:100%}"
    "table{border-collapse:collapse}td,th{border:1px solid #999;padding:.2rem .5rem}"
)


class SoakReport(msgspec.Struct, frozen=True):
    """The result of a soak; times in seconds. `faults` counts those that were injected, by kind."""

    plane: str
    seed: int
    seconds: float
    violations: list[SoakViolation]
    faults: dict[str, int]
    faults_failed: int
    requests: dict[str, int]
    refused: dict[str, int]
    """Refused tries: by priority where the system refused them, and those refused by hosts."""
    broken: dict[str, int]
    """Violations by promise."""
    median_milliseconds: float
    configurations_acknowledged: int
    zone_orders: int
    stalls: list[MachineStall]


def make_report(
    seed: int, seconds: float, history: SoakHistory, violations: list[SoakViolation]
) -> SoakReport:
    """Summarise a run."""
    answered = [
        each.at - each.began_at
        for each in history.requests
        if each.outcome is RequestOutcome.ANSWERED
    ]
    done = [each for each in history.faults if not each.failure]
    return SoakReport(
        plane="datagrams",
        seed=seed,
        seconds=seconds,
        violations=violations,
        faults=dict(sorted(Counter(each.planned.kind.value for each in done).items())),
        faults_failed=len(history.faults) - len(done),
        requests=dict(sorted(Counter(each.outcome.value for each in history.requests).items())),
        refused=dict(sorted(Counter(_refuser(each) for each in history.refused).items())),
        broken=dict(sorted(Counter(each.promise.value for each in violations).items())),
        median_milliseconds=round(1000 * statistics.median(answered), 1) if answered else 0.0,
        configurations_acknowledged=len(history.acknowledged),
        zone_orders=len(history.zones),
        stalls=history.stalls,
    )


def _refuser(refused: RequestRefused) -> str:
    return "by hosts" if refused.is_by_host else f"of priority {refused.priority}"


def describe(report: SoakReport) -> str:
    """Return the report as text, one fact per line."""
    longest = max((each.seconds for each in report.stalls), default=0.0)
    lines = [
        f"seed             {report.seed}, {report.seconds:.0f} s, plane {report.plane}",
        "faults           " + ", ".join(f"{k} {n}" for k, n in report.faults.items()),
        "requests         " + ", ".join(f"{k} {n}" for k, n in report.requests.items()),
        "tries refused    " + ", ".join(f"{k} {n}" for k, n in report.refused.items()),
        f"median           {report.median_milliseconds} ms",
        f"configurations   {report.configurations_acknowledged} acknowledged",
        f"zone orders      {report.zone_orders}",
        f"machine stalls   {len(report.stalls)}, the longest {longest} s",
        f"violations       {len(report.violations)}",
        *(f"  {count} x {promise}" for promise, count in report.broken.items()),
    ]
    shown = report.violations[:SHOWN_VIOLATIONS]
    return "\n".join(
        lines + [f"  {each.at:7.2f} s  {each.promise}: {each.detail}" for each in shown]
    )


def write_page(path: Path, report: SoakReport, history: SoakHistory) -> None:
    """Write the HTML page."""
    rows = "".join(
        f"<tr><td>{each.at:.2f}</td><td>{escape(each.promise)}</td><td>{escape(each.detail)}</td></tr>"
        for each in report.violations[:SHOWN_VIOLATIONS]
    )
    parts = [
        '<!doctype html><html lang="en"><head><meta charset="utf-8">',
        f"<title>Soak, seed {report.seed}</title><style>{STYLE}</style></head><body>",
        f"<h1>Soak, seed {report.seed}</h1><pre>{escape(describe(report))}</pre>",
        _requests_plot(history),
        _latency_plot(history),
        "<h2>Violations</h2><table><tr><th>second</th><th>promise</th><th>seen</th></tr>",
        rows,
        "</table></body></html>",
    ]
    path.write_text("\n".join(parts), encoding="utf-8")


def _requests_plot(history: SoakHistory) -> str:
    """Plot requests per second by outcome."""
    figure, axes = _axes("Requests a second", "requests")
    for outcome in RequestOutcome:
        counts = Counter(int(each.at) for each in history.requests if each.outcome is outcome)
        seconds = range(int(history.ends_at) + 1)
        axes.plot(seconds, [counts[second] for second in seconds], label=outcome.value, linewidth=1)
    _mark_faults(axes, history)
    axes.legend(fontsize="small")
    return _svg(figure)


def _latency_plot(history: SoakHistory) -> str:
    """Plot the median and 95th percentile latency of answered requests, by second."""
    figure, axes = _axes("Latency of answered requests", "milliseconds")
    by_second: dict[int, list[float]] = defaultdict(list)
    for each in history.requests:
        if each.outcome is RequestOutcome.ANSWERED:
            by_second[int(each.at)].append(1000 * (each.at - each.began_at))
    seconds = sorted(by_second)
    for share, label in ((0.5, "median"), (0.95, "95%")):
        values = [sorted(by_second[at])[int(share * (len(by_second[at]) - 1))] for at in seconds]
        axes.plot(seconds, values, label=label, linewidth=1)
    axes.set_yscale("log")
    _mark_faults(axes, history)
    axes.legend(fontsize="small")
    return _svg(figure)


def _axes(title: str, unit: str) -> tuple[Figure, Axes]:
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
    axes = figure.subplots()
    axes.set(title=title, xlabel="seconds", ylabel=unit)
    return figure, axes


def _mark_faults(axes: Axes, history: SoakHistory) -> None:
    """Show each fault as a band, planned work lighter."""
    for fault in history.faults:
        ends_at = fault.ended_at or history.ends_at
        color = "tab:green" if fault.planned.is_planned else "tab:red"
        axes.axvspan(fault.began_at, max(ends_at, fault.began_at + 0.1), color=color, alpha=0.12)


def _svg(figure: Figure) -> str:
    page = io.StringIO()
    figure.savefig(page, format="svg")
    return page.getvalue().partition("<svg")[1] + page.getvalue().partition("<svg")[2]
