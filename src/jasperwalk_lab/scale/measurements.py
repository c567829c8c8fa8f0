"""The measurements that the capacity page is worked out from, as files under one folder."""

from __future__ import annotations

from pathlib import Path

import msgspec

from jasperwalk_lab.machine import MachineFacts
from jasperwalk_lab.scale.report import (
    PartsReport,
    ScaleReport,
    read_parts_report,
    read_report,
)
from jasperwalk_lab.scale.slopes import Slopes, fit_slopes

SCALE_FILE = "scale.json"
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
    """All measurements, with the slopes through the runs at several sizes."""

    scale: ScaleReport
    parts: PartsReport
    bench: BenchReport
    slopes: Slopes


def read_measurements(folder: Path) -> Measurements:
    """Read all files; raises `OSError`, `msgspec.DecodeError`, or `ValueError` (few sizes)."""
    scale = read_report(folder / SCALE_FILE)
    return Measurements(
        scale=scale,
        parts=read_parts_report(folder / PARTS_FILE),
        bench=msgspec.json.decode((folder / BENCH_FILE).read_bytes(), type=BenchReport),
        slopes=fit_slopes(scale.runs),
    )
