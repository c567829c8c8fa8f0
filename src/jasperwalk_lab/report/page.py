"""Puts an experiment's plots and tables together on one page."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from html import escape
from pathlib import Path

from jasperwalk_lab.experiments.breaks import LossFigures
from jasperwalk_lab.experiments.lines import ExperimentResults, RunLine, read_results
from jasperwalk_lab.report.figures import causes_of_breaks, measures, runs_by_variant
from jasperwalk_lab.report.plots import (
    bars_plot,
    breaks_plot,
    imbalance_plot,
    in_force_plot,
    latency_plot,
)
from jasperwalk_lab.report.statistics import estimate

PAGE_FILE = "report.html"
STYLE = (
    "body{font-family:sans-serif;max-width:60rem;margin:1rem auto}"
    "table{border-collapse:collapse}td,th{border:1px solid #999;padding:.2rem .5rem;"
    "text-align:right}th:first-child,td:first-child{text-align:left}svg{max-width:100%}"
)


def write_report(folder: Path) -> Path:
    """Write the page of a result folder; raise `LabSettingsError` for an unusable one."""
    path = folder / PAGE_FILE
    path.write_text(render_page(read_results(folder)), encoding="utf-8")
    return path


def render_page(results: ExperimentResults) -> str:
    """Return the whole page."""
    header = results.header
    title = f"Experiment {header.experiment}"
    parts = [
        "<!doctype html>",
        '<html lang="en"><head><meta charset="utf-8">',
        f"<title>{escape(title)}</title><style>{STYLE}</style></head><body>",
        f"<h1>{escape(title)}</h1><p>{escape(header.question)}</p>",
        _machine_paragraph(results),
        "<h2>Variants side by side</h2>",
        _comparison(results),
        *_plots(results),
        "<h2>Broken flows by cause, and callers of lost hosts</h2>",
        _breaks_table(results),
        "<h2>Runs</h2>",
        _runs_table(results.runs),
        f"<h2>Definition</h2><pre>{escape(header.definition)}</pre>",
        "</body></html>",
    ]
    return "\n".join(parts)


def _machine_paragraph(results: ExperimentResults) -> str:
    header, machine = results.header, results.header.machine
    changed = " with uncommitted changes" if header.uncommitted_changes else ""
    return (
        f"<p>Began {escape(header.began_at)}; commit {escape(header.commit)}{changed}; "
        f"{machine.cores} cores, {escape(machine.processor)}, "
        f"{machine.memory_bytes / 2**30:.0f} GiB, kernel {escape(machine.kernel)}, "
        f"Python {escape(machine.python)}.</p>"
    )


def _comparison(results: ExperimentResults) -> str:
    grouped = runs_by_variant(results)
    rows = [
        [
            each.heading,
            *(str(estimate([each.value(run) for run in runs])) for runs in grouped.values()),
        ]
        for each in measures(results)
    ]
    caption = "Mean over repetitions and 95% interval (Student's t)."
    return f"<p>{caption}</p>" + _table(["measure", *grouped], rows)


def _breaks_table(results: ExperimentResults) -> str:
    grouped = runs_by_variant(results)
    by_variant = {name: causes_of_breaks(runs) for name, runs in grouped.items()}
    causes = sorted({cause for each in by_variant.values() for cause in each})
    rows = [[cause, *(str(each.get(cause, 0)) for each in by_variant.values())] for cause in causes]
    rows.append(["flows lost with a host", *_loss_cells(grouped, lambda loss: str(loss.flows))])
    rows.append(["callers that knew", *_loss_cells(grouped, lambda loss: str(loss.known))])
    rows.append(["seconds until they knew", *_loss_cells(grouped, _describe_seconds)])
    return "<p>All repetitions, seed by seed below the causes.</p>" + _table(
        ["cause", *grouped], rows
    )


def _loss_cells(
    grouped: Mapping[str, Sequence[RunLine]], describe: Callable[[LossFigures], str]
) -> list[str]:
    return ["; ".join(describe(run.loss) for run in runs) for runs in grouped.values()]


def _describe_seconds(loss: LossFigures) -> str:
    if not loss.seconds:
        return "none knew"
    return f"{loss.seconds[0]:.2f} to {loss.seconds[-1]:.2f}"


def _plots(results: ExperimentResults) -> list[str]:
    grouped = runs_by_variant(results)
    shares = {name: [run.waiting_share for run in runs] for name, runs in grouped.items()}
    services = sorted({point.service for run in results.runs for point in run.series})
    kinds = sorted({kind for run in results.runs for kind in run.load.latencies})
    plots = [bars_plot("Share that waited or was refused while a slot was free", shares)]
    plots += [imbalance_plot(results, service) for service in services]
    plots += [latency_plot(results, kind) for kind in kinds]
    plots.append(breaks_plot(results))
    if any(event.in_force_seconds for run in results.runs for event in run.events):
        plots.append(in_force_plot(results))
    return plots


def _runs_table(runs: Sequence[RunLine]) -> str:
    headings = [
        "variant",
        "seed",
        "due",
        "answered",
        "not run",
        "unknown",
        "broken",
        "overflowed",
        "waiting share",
        "machine load",
        "promises broken",
    ]
    rows = [
        [
            run.variant,
            str(run.seed),
            str(run.load.due),
            str(run.load.answered),
            str(run.load.not_run),
            str(run.load.unknown),
            str(run.load.broken),
            str(run.load.overflowed),
            f"{run.waiting_share:.4f}",
            f"{run.machine_load_before:.1f} to {run.machine_load_after:.1f}",
            "; ".join(run.violation_examples) or "none",
        ]
        for run in runs
    ]
    return _table(headings, rows)


def _table(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    head = "".join(f"<th>{escape(each)}</th>" for each in headings)
    body = "".join(
        "<tr>" + "".join(f"<td>{escape(cell)}</td>" for cell in row) + "</tr>" for row in rows
    )
    return f"<table><tr>{head}</tr>{body}</table>"
