"""The report of scale runs as JSON, with the machine and the commit that they belong to."""

from __future__ import annotations

import platform
import subprocess
from datetime import UTC, datetime
from pathlib import Path

import msgspec
import psutil

from jasperwalk_lab.scale.figures import ScaleFigures

ROOT = Path(__file__).resolve().parents[3]
GIT_TIMEOUT_SECONDS = 10


class Machine(msgspec.Struct, frozen=True):
    """The machine and the versions that the figures belong to."""

    python: str
    kernel: str
    processor: str
    cores: int
    memory_bytes: int


class ScaleReport(msgspec.Struct, frozen=True):
    """Runs at one or more sizes, with the command that made them."""

    command: str
    commit: str
    uncommitted_changes: bool
    finished_at: str
    machine: Machine
    runs: list[ScaleFigures]


def make_report(command: str, runs: list[ScaleFigures]) -> ScaleReport:
    """Put runs together with the facts of this machine and of the checkout."""
    return ScaleReport(
        command=command,
        commit=_git("rev-parse", "HEAD"),
        uncommitted_changes=bool(_git("status", "--porcelain")),
        finished_at=datetime.now(UTC).isoformat(timespec="seconds"),
        machine=Machine(
            python=platform.python_version(),
            kernel=platform.release(),
            processor=_processor(),
            cores=psutil.cpu_count() or 0,
            memory_bytes=psutil.virtual_memory().total,
        ),
        runs=runs,
    )


def write_report(report: ScaleReport, path: Path) -> None:
    """Write a report as indented JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=2) + b"\n")


def read_report(path: Path) -> ScaleReport:
    """Read a report; raises `OSError` or `msgspec.DecodeError`."""
    return msgspec.json.decode(path.read_bytes(), type=ScaleReport)


def _processor() -> str:
    for line in Path("/proc/cpuinfo").read_text(encoding="utf-8").splitlines():
        key, _, value = line.partition(":")
        if key.strip() == "model name":
            return value.strip()
    return platform.processor()


def _git(*arguments: str) -> str:
    """Return git's answer, "" outside a repository."""
    try:
        result = subprocess.run(
            ["git", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=GIT_TIMEOUT_SECONDS,
            check=False,
        )
    except OSError:
        return ""
    return result.stdout.strip()
