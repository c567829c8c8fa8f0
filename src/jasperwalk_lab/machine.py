"""Facts about the machine and the checkout on which figures were measured."""

from __future__ import annotations

import platform
import subprocess
from pathlib import Path

import msgspec
import psutil

ROOT = Path(__file__).resolve().parents[2]
RECEIVE_BUFFER_LIMIT = Path("/proc/sys/net/core/rmem_max")
PROCESSOR_LIST = Path("/proc/cpuinfo")
GIT_TIMEOUT_SECONDS = 10


class MachineFacts(msgspec.Struct, frozen=True, kw_only=True):
    """The machine and the versions with which figures were measured.

    `load_average` is the number of runnable processes over the minute before: it shows whether
    other programs used the machine.
    """

    processor: str
    cores: int
    memory_bytes: int
    kernel: str
    python: str
    receive_buffer_limit_bytes: int = 0
    load_average: float = 0.0


def machine_facts() -> MachineFacts:
    """Describe this machine."""
    return MachineFacts(
        processor=_processor(),
        cores=psutil.cpu_count() or 0,
        memory_bytes=psutil.virtual_memory().total,
        kernel=platform.release(),
        python=platform.python_version(),
        receive_buffer_limit_bytes=int(_read(RECEIVE_BUFFER_LIMIT) or 0),
        load_average=psutil.getloadavg()[0],
    )


def commit() -> str:
    """Return the checkout's commit, "" outside a repository."""
    return _git("rev-parse", "HEAD")


def has_uncommitted_changes() -> bool:
    """Return whether files differ from the commit."""
    return bool(_git("status", "--porcelain"))


def write_json(report: object, path: Path) -> None:
    """Write a report (a struct or dataclass) as indented JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=2) + b"\n")


def _processor() -> str:
    for line in _read(PROCESSOR_LIST).splitlines():
        key, _, value = line.partition(":")
        if key.strip() == "model name":
            return value.strip()
    return platform.processor()


def _read(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except OSError:
        return ""


def _git(*arguments: str) -> str:
    """Return git's output, "" outside a repository."""
    try:
        result = subprocess.run(
            ["git", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=GIT_TIMEOUT_SECONDS,
            check=False,
        )
    except (OSError, subprocess.TimeoutExpired):
        return ""
    return result.stdout.strip()
