"""The report of scale runs as JSON, with the machine and the commit that they belong to."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path

import msgspec

from jasperwalk_lab.machine import (
    MachineFacts,
    commit,
    has_uncommitted_changes,
    machine_facts,
    write_json,
)
from jasperwalk_lab.scale.figures import ScaleFigures
from jasperwalk_lab.scale.parts import Parts


class ScaleReport(msgspec.Struct, frozen=True):
    """Runs at one or more sizes, with the command that made them."""

    command: str
    commit: str
    uncommitted_changes: bool
    finished_at: str
    machine: MachineFacts
    runs: list[ScaleFigures]


class PartsReport(msgspec.Struct, frozen=True):
    """Parts measured alone, with the command that did it."""

    command: str
    commit: str
    uncommitted_changes: bool
    finished_at: str
    machine: MachineFacts
    parts: Parts


def make_parts_report(command: str, parts: Parts) -> PartsReport:
    """Put parts together with the facts of this machine and of the checkout."""
    return PartsReport(
        command=command,
        commit=commit(),
        uncommitted_changes=has_uncommitted_changes(),
        finished_at=datetime.now(UTC).isoformat(timespec="seconds"),
        machine=machine_facts(),
        parts=parts,
    )


def make_report(command: str, runs: list[ScaleFigures]) -> ScaleReport:
    """Put runs together with the facts of this machine and of the checkout."""
    return ScaleReport(
        command=command,
        commit=commit(),
        uncommitted_changes=has_uncommitted_changes(),
        finished_at=datetime.now(UTC).isoformat(timespec="seconds"),
        machine=machine_facts(),
        runs=runs,
    )


def write_report(report: ScaleReport | PartsReport, path: Path) -> None:
    """Write a report as indented JSON."""
    write_json(report, path)


def read_report(path: Path) -> ScaleReport:
    """Read a report; raises `OSError` or `msgspec.DecodeError`."""
    return msgspec.json.decode(path.read_bytes(), type=ScaleReport)


def read_parts_report(path: Path) -> PartsReport:
    """Read a report of parts; raises `OSError` or `msgspec.DecodeError`."""
    return msgspec.json.decode(path.read_bytes(), type=PartsReport)
