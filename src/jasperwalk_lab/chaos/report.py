"""The result of a chaos run as one JSON object, and as text."""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Sequence

import msgspec

from jasperwalk_lab.chaos.faults import FaultRecord
from jasperwalk_lab.chaos.observations import Recovery
from jasperwalk_lab.chaos.violations import ChaosPromise, ChaosViolation

MIN_REQUESTS = 500
MIN_FAULT_KINDS = 4
SHOWN_VIOLATIONS = 20


class Spread(msgspec.Struct, frozen=True):
    """Summary of durations in seconds; null where there was none."""

    count: int
    median: float | None
    maximum: float | None


class RecoveryFigure(msgspec.Struct, frozen=True):
    """A process that missed changes and had the newest one `seconds` after its restart."""

    process: str
    changes_missed: int
    seconds: float


class ChangeFigures(msgspec.Struct, frozen=True):
    """Operators' changes by outcome."""

    submitted: int
    accepted: int
    refused: int
    undecided: int
    resent: int
    races: int


class ChaosReport(msgspec.Struct, frozen=True):
    """Result of one run; times in seconds.

    The load averages are the machine's runnable processes over a minute, before the start of the
    fleet and after the run: times of a run on a busy machine are less reliable.
    """

    example: str
    seed: int
    seconds: float
    violations: list[ChaosViolation]
    violation_count: int
    faults: dict[str, int]
    requests: int
    answered: int
    not_run: int
    unknown: int
    broken_flows_by_cause: dict[str, int]
    streams_answered: int
    leaving_hosts: Spread
    in_force: Spread
    in_force_never_known: int
    """Waits that ended without control's report, including those that faults excuse."""
    changes: ChangeFigures
    recoveries: list[RecoveryFigure]
    processes: int
    revision_samples: int
    duration_seconds: float
    load_average_before: float
    load_average_after: float
    cores: int


def spread(values: Sequence[float]) -> Spread:
    """Summarise seconds."""
    if not values:
        return Spread(0, None, None)
    return Spread(len(values), round(statistics.median(values), 3), round(max(values), 3))


def recovery_figures(recoveries: Sequence[Recovery]) -> list[RecoveryFigure]:
    """Round the recoveries for the report."""
    return [RecoveryFigure(r.process, r.changes_missed, round(r.seconds, 3)) for r in recoveries]


def count_faults(happened: Sequence[FaultRecord]) -> dict[str, int]:
    """Count the faults that took place without a failure, by kind."""
    done = [fault.kind.value for fault in happened if fault.failure is None]
    return dict(sorted(Counter(done).items()))


def check_size(requests: int, faults: dict[str, int]) -> list[ChaosViolation]:
    """Check that the run was large enough for a verdict."""
    found = []
    if requests < MIN_REQUESTS:
        detail = f"{requests} of at least {MIN_REQUESTS}"
        found.append(ChaosViolation(ChaosPromise.TOO_FEW_REQUESTS, detail))
    if len(faults) < MIN_FAULT_KINDS:
        detail = f"{len(faults)} kinds of at least {MIN_FAULT_KINDS}"
        found.append(ChaosViolation(ChaosPromise.TOO_FEW_FAULTS, detail))
    return found


def describe(report: ChaosReport) -> str:
    """Return the report as text, one fact per line."""
    faults = ", ".join(f"{kind} {count}" for kind, count in report.faults.items())
    broken = ", ".join(f"{k} {n}" for k, n in report.broken_flows_by_cause.items()) or "none"
    lines = [
        f"example              {report.example} (seed {report.seed}, {report.seconds:.0f} s)",
        f"faults               {faults}",
        f"requests             {report.requests}",
        f"answered completely  {report.answered} (long streams: {report.streams_answered})",
        f"refused as not run   {report.not_run}",
        f"unknown              {report.unknown}",
        f"broken, by cause     {broken}",
        f"last work on leaving {_describe_spread(report.leaving_hosts)}",
        f"known in force       {_describe_spread(report.in_force)}, "
        f"never: {report.in_force_never_known}",
        f"changes              {report.changes.submitted} submitted, "
        f"{report.changes.accepted} accepted, {report.changes.refused} refused, "
        f"{report.changes.undecided} undecided, {report.changes.resent} resent",
    ]
    lines += [
        f"up to date again     {r.process}: {r.seconds:.3f} s after {r.changes_missed} changes"
        for r in report.recoveries
    ]
    lines.append(
        f"machine load         {report.load_average_before:.1f} before, "
        f"{report.load_average_after:.1f} after, on {report.cores} cores"
    )
    lines.append(f"violations           {report.violation_count}")
    shown = report.violations[:SHOWN_VIOLATIONS]
    return "\n".join(lines + [f"  {each.kind}: {each.detail}" for each in shown])


def _describe_spread(figures: Spread) -> str:
    if figures.median is None or figures.maximum is None:
        return "not measured"
    return f"{figures.median:.3f} s median, {figures.maximum:.3f} s at most ({figures.count} times)"
