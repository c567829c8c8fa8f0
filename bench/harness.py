"""What the benchmarks share: figures, facts of the machine and the report as JSON."""

from __future__ import annotations

import platform
import subprocess
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from datetime import UTC, datetime
from pathlib import Path

import msgspec
import psutil

ROOT = Path(__file__).resolve().parent.parent
RECEIVE_BUFFER_LIMIT = Path("/proc/sys/net/core/rmem_max")
GIT_TIMEOUT_SECONDS = 10


@dataclass(frozen=True)
class Figure:
    """One measured value; `baseline` is what the same run measured to set beside it."""

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
class MachineFacts:
    """The machine and the versions that the figures belong to."""

    python: str
    kernel: str
    processor: str
    cores: int
    memory_bytes: int
    receive_buffer_limit_bytes: int


@dataclass(frozen=True)
class Report:
    """Everything that one run measured."""

    commit: str
    uncommitted_changes: bool
    started_at: str
    seconds: float
    machine: MachineFacts
    figures: tuple[Figure, ...]

    def write(self, path: Path) -> None:
        """Write the report as JSON."""
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(msgspec.json.format(msgspec.json.encode(asdict(self)), indent=2))


def make_report(started_at: datetime, figures: Sequence[Figure]) -> Report:
    """Put figures together with the machine's facts and the commit."""
    return Report(
        commit=_git("rev-parse", "HEAD"),
        uncommitted_changes=bool(_git("status", "--porcelain")),
        started_at=started_at.isoformat(timespec="seconds"),
        seconds=(datetime.now(UTC) - started_at).total_seconds(),
        machine=machine_facts(),
        figures=tuple(figures),
    )


def machine_facts() -> MachineFacts:
    """Collect the facts of this machine."""
    return MachineFacts(
        python=platform.python_version(),
        kernel=platform.release(),
        processor=_processor(),
        cores=psutil.cpu_count() or 0,
        memory_bytes=psutil.virtual_memory().total,
        receive_buffer_limit_bytes=int(_read(RECEIVE_BUFFER_LIMIT) or 0),
    )


def _processor() -> str:
    for line in _read(Path("/proc/cpuinfo")).splitlines():
        key, _, value = line.partition(":")
        if key.strip() == "model name":
            return value.strip()
    return platform.processor()


def _read(path: Path) -> str:
    try:
        return path.read_text()
    except OSError:
        return ""


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
