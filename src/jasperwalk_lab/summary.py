"""Summary of a demo run: its counts, the promises that it broke, and the printed form of both."""

from __future__ import annotations

import enum
from collections import Counter

import msgspec

from jasperwalk_lab.history import HistoryReport, ViolationKind

MIN_ANSWERED = 1_000
MIN_STREAMS = 50
MAX_IN_FORCE_SECONDS = 10.0
SHOWN_VIOLATIONS = 10


class PromiseKind(enum.StrEnum):
    """Which promise of a run was broken."""

    HISTORY = "history"
    TOO_FEW_ANSWERS = "too-few-answers"
    CHANGE_NOT_IN_FORCE = "change-not-in-force"
    CHANGE_FAILED = "change-failed"
    RUN_TIMED_OUT = "run-timed-out"
    PROCESS_ENDED = "process-ended"


class BrokenPromise(msgspec.Struct, frozen=True):
    """One broken promise with what was observed."""

    kind: PromiseKind
    detail: str


class DemoSummary(msgspec.Struct, frozen=True):
    """Result of a demo; times in seconds. `in_force_seconds` is null if it never was."""

    requests: int
    answered: int
    not_run: int
    unknown: int
    broken_flows: int
    wrong_service: int
    wrong_answer: int
    ran_twice: int
    imbalance: float
    in_force_seconds: float | None
    not_run_but_ran: int
    streams: int
    example: str
    seed: int
    duration_seconds: float
    broken_promises: list[BrokenPromise]


def summarise(
    report: HistoryReport,
    *,
    example: str,
    seed: int,
    imbalance: float,
    in_force_seconds: float | None,
    duration_seconds: float,
    failures: list[BrokenPromise],
) -> DemoSummary:
    """Build the summary of a run, with every promise that it broke."""
    return DemoSummary(
        requests=report.requests,
        answered=report.answered,
        not_run=report.not_run,
        unknown=report.unknown,
        broken_flows=report.count(ViolationKind.BROKEN_FLOW),
        wrong_service=report.count(ViolationKind.WRONG_SERVICE),
        wrong_answer=report.count(ViolationKind.WRONG_ANSWER),
        ran_twice=report.count(ViolationKind.RAN_TWICE),
        imbalance=round(imbalance, 3),
        in_force_seconds=None if in_force_seconds is None else round(in_force_seconds, 3),
        not_run_but_ran=report.count(ViolationKind.NOT_RUN_BUT_RAN),
        streams=report.streams_answered,
        example=example,
        seed=seed,
        duration_seconds=round(duration_seconds, 1),
        broken_promises=broken_promises(report, in_force_seconds, failures),
    )


def broken_promises(
    report: HistoryReport, in_force_seconds: float | None, failures: list[BrokenPromise]
) -> list[BrokenPromise]:
    """Return each promise that a run broke; too few answers are a broken promise too.

    `failures` are those that the run itself recorded.
    """
    counts = Counter(violation.kind for violation in report.violations)
    broken = [
        BrokenPromise(kind=PromiseKind.HISTORY, detail=f"{kind.value}: {count}")
        for kind, count in sorted(counts.items())
    ]
    broken.extend(_too_few_answers(report))
    broken.extend(_slow_change(in_force_seconds))
    return [*broken, *failures]


def _too_few_answers(report: HistoryReport) -> list[BrokenPromise]:
    short_answers = report.answered - report.streams_answered
    broken: list[BrokenPromise] = []
    if short_answers < MIN_ANSWERED:
        detail = f"{short_answers} of at least {MIN_ANSWERED} requests"
        broken.append(BrokenPromise(PromiseKind.TOO_FEW_ANSWERS, detail))
    if report.streams_answered < MIN_STREAMS:
        detail = f"{report.streams_answered} of at least {MIN_STREAMS} long streams"
        broken.append(BrokenPromise(PromiseKind.TOO_FEW_ANSWERS, detail))
    return broken


def _slow_change(in_force_seconds: float | None) -> list[BrokenPromise]:
    if in_force_seconds is None:
        return [BrokenPromise(PromiseKind.CHANGE_NOT_IN_FORCE, "never in force")]
    if in_force_seconds > MAX_IN_FORCE_SECONDS:
        detail = f"only after {in_force_seconds:.1f} s"
        return [BrokenPromise(PromiseKind.CHANGE_NOT_IN_FORCE, detail)]
    return []


def describe(summary: DemoSummary, report: HistoryReport) -> str:
    """Return the summary as text, one fact per line."""
    in_force = "never"
    if summary.in_force_seconds is not None:
        in_force = f"{summary.in_force_seconds:.3f} s"
    lines = [
        f"example               {summary.example} (seed {summary.seed})",
        f"requests              {summary.requests}",
        f"answered completely   {summary.answered} (of them long streams: {summary.streams})",
        f"refused as not run    {summary.not_run} (of them ran: {summary.not_run_but_ran})",
        f"unknown               {summary.unknown}",
        f"broken flows          {summary.broken_flows}",
        f"wrong service         {summary.wrong_service}",
        f"wrong answer          {summary.wrong_answer}",
        f"ran twice             {summary.ran_twice}",
        f"imbalance             {summary.imbalance:.3f} (busiest host over its share)",
        f"change in force after {in_force}",
        f"duration              {summary.duration_seconds:.1f} s",
    ]
    for violation in report.violations[:SHOWN_VIOLATIONS]:
        lines.append(f"  {violation.kind.value} {violation.request_id}: {violation.detail}")
    broken = [f"{promise.kind.value} ({promise.detail})" for promise in summary.broken_promises]
    verdict = "; ".join(broken) or "none"
    return "\n".join([*lines, f"broken promises       {verdict}"])
