"""Counts and latencies of a load."""

from __future__ import annotations

from collections import Counter

import msgspec

from jasperwalk_lab.load.latency import Latencies, LatencySummary
from jasperwalk_lab.operations import Answered, Broken, CallRecord, NotRun, Operation, Unknown


class LoadResult(msgspec.Struct, frozen=True):
    """How the calls of a load ended. Latency is measured from when the arrival was due."""

    seed: int
    seconds: float
    due: int
    overflowed: int
    answered: int
    not_run: int
    unknown: int
    broken: int
    broken_by_reason: dict[str, int]
    flows_opened: int
    latest_start_ms: float
    latencies: dict[str, LatencySummary]


def operation_kind(operation: Operation) -> str:
    """Return the name of an operation's kind."""
    return type(operation).__name__.lower()


class LoadCounts:
    """Counts while a load runs; `overflowed` arrivals were due but not sent."""

    def __init__(self) -> None:
        self.due = 0
        self.overflowed = 0
        self.outstanding = 0
        self.outcomes: Counter[str] = Counter()
        self.broken_by_reason: Counter[str] = Counter()
        self.latest_start_seconds = 0.0
        self.latencies = Latencies()

    def ended(self, record: CallRecord, latency_seconds: float) -> None:
        """Count one call."""
        match record.outcome:
            case Answered():
                self.outcomes["answered"] += 1
                self.latencies.record(operation_kind(record.operation), latency_seconds)
            case NotRun():
                self.outcomes["not-run"] += 1
            case Unknown():
                self.outcomes["unknown"] += 1
            case Broken(reason=reason):
                self.outcomes["broken"] += 1
                self.broken_by_reason[reason] += 1

    def result(self, seed: int, seconds: float, flows_opened: int) -> LoadResult:
        """Return the result so far."""
        return LoadResult(
            seed=seed,
            seconds=seconds,
            due=self.due,
            overflowed=self.overflowed,
            answered=self.outcomes["answered"],
            not_run=self.outcomes["not-run"],
            unknown=self.outcomes["unknown"],
            broken=self.outcomes["broken"],
            broken_by_reason=dict(self.broken_by_reason),
            flows_opened=flows_opened,
            latest_start_ms=self.latest_start_seconds * 1000,
            latencies=dict(self.latencies.summaries()),
        )

    def progress_line(self, elapsed: float) -> str:
        """Describe the state in one line."""
        outcomes = self.outcomes
        return (
            f"t={elapsed:5.1f}s due={self.due} answered={outcomes['answered']} "
            f"not_run={outcomes['not-run']} unknown={outcomes['unknown']} "
            f"broken={outcomes['broken']} outstanding={self.outstanding} "
            f"overflowed={self.overflowed}"
        )
