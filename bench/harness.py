"""Shared parts of the benchmarks: figures, the start of processes, and the report."""

from __future__ import annotations

import multiprocessing
import statistics
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime

from jasperwalk_lab.machine import (
    ROOT,
    MachineFacts,
    commit,
    has_uncommitted_changes,
    machine_facts,
)

MICROSECONDS = 1e6
TIMED_ROUNDS = 9
MEBIBYTE = 1024 * 1024
DEFAULT_OUTPUT = ROOT / "build" / "bench.json"

spawning = multiprocessing.get_context("spawn")
"""Starts the measured processes, which inherit nothing from the benchmark."""


@dataclass(frozen=True)
class Figure:
    """One measured value; `baseline` is the value of the same run to compare it with."""

    name: str
    value: float
    unit: str
    baseline: float | None = None
    baseline_name: str | None = None
    samples: tuple[float, ...] = ()

    def line(self) -> str:
        """Return the figure as one line for the terminal."""
        text = f"{self.name:<48} {self.value:>14,.3f} {self.unit}"
        if self.baseline is not None:
            text += f"   ({self.baseline_name}: {self.baseline:,.3f})"
        return text


@dataclass(frozen=True)
class Report:
    """All figures of one run, with machine and commit."""

    commit: str
    uncommitted_changes: bool
    started_at: str
    seconds: float
    machine: MachineFacts
    machine_at_end: MachineFacts
    figures: tuple[Figure, ...]


def median_microseconds(prepare: Callable[[], Callable[[int], object]], operations: int) -> float:
    """Return the processor time of an operation, the median of some rounds.

    `prepare` creates the state of a round and returns the operation, which takes its number.
    """
    times = []
    for _ in range(TIMED_ROUNDS):
        operate = prepare()
        started = time.process_time()
        for number in range(operations):
            operate(number)
        times.append(MICROSECONDS * (time.process_time() - started) / operations)
    return statistics.median(times)


def make_report(started_at: datetime, machine: MachineFacts, figures: Sequence[Figure]) -> Report:
    """Combine figures with the commit and the facts of the machine at start and end."""
    return Report(
        commit=commit(),
        uncommitted_changes=has_uncommitted_changes(),
        started_at=started_at.isoformat(timespec="seconds"),
        seconds=(datetime.now(UTC) - started_at).total_seconds(),
        machine=machine,
        machine_at_end=machine_facts(),
        figures=tuple(figures),
    )
