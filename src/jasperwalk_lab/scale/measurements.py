"""The measurements that the capacity page is worked out from, as files under one folder."""

from __future__ import annotations

from pathlib import Path

import msgspec

from jasperwalk_lab.machine import MachineFacts
from jasperwalk_lab.scale.figures import ScaleFigures
from jasperwalk_lab.scale.report import (
    PartsReport,
    ScaleReport,
    read_parts_report,
    read_report,
)
from jasperwalk_lab.scale.slopes import Slopes, fit_slopes

SCALE_FILES = "scale-*.json"
"""Runs at several sizes; one file an invocation."""
PARTS_FILE = "parts.json"
BENCH_FILE = "bench-balancer.json"


class BenchFigure(msgspec.Struct, frozen=True):
    """One figure of `make bench`."""

    name: str
    value: float
    unit: str


class BenchReport(msgspec.Struct, frozen=True):
    """A report of `make bench`."""

    commit: str
    uncommitted_changes: bool
    started_at: str
    machine: MachineFacts
    figures: list[BenchFigure]

    def value(self, name: str) -> float:
        """Return a figure's value; raises `KeyError`."""
        return {figure.name: figure.value for figure in self.figures}[name]


class Measurements(msgspec.Struct, frozen=True):
    """All measurements, with the slopes through the runs; `scale` goes by file name."""

    scale: dict[str, ScaleReport]
    runs: list[ScaleFigures]
    parts: PartsReport
    bench: BenchReport
    slopes: Slopes


def read_measurements(folder: Path) -> Measurements:
    """Read all files; raises `OSError`, `msgspec.DecodeError`, or `ValueError` (few sizes)."""
    scale = {path.name: read_report(path) for path in sorted(folder.glob(SCALE_FILES))}
    runs = [run for report in scale.values() for run in report.runs]
    return Measurements(
        scale=scale,
        runs=runs,
        parts=read_parts_report(folder / PARTS_FILE),
        bench=msgspec.json.decode((folder / BENCH_FILE).read_bytes(), type=BenchReport),
        slopes=fit_slopes(runs),
    )
