"""Facts about the machine and the checkout that figures belong to."""

from __future__ import annotations

import platform
import subprocess
from pathlib import Path

import psutil

from jasperwalk_lab.experiments.lines import MachineFacts

ROOT = Path(__file__).resolve().parents[3]
GIT_TIMEOUT_SECONDS = 10


def machine_facts() -> MachineFacts:
    """Describe this machine."""
    return MachineFacts(
        processor=_processor(),
        cores=psutil.cpu_count() or 0,
        memory_bytes=psutil.virtual_memory().total,
        kernel=platform.release(),
        python=platform.python_version(),
    )


def commit() -> str:
    """Return the checkout's commit, "" outside a repository."""
    return _git("rev-parse", "HEAD")


def has_uncommitted_changes() -> bool:
    """Tell whether files differ from the commit."""
    return bool(_git("status", "--porcelain"))


def _processor() -> str:
    for line in Path("/proc/cpuinfo").read_text(encoding="utf-8").splitlines():
        key, _, value = line.partition(":")
        if key.strip() == "model name":
            return value.strip()
    return platform.processor()


def _git(*arguments: str) -> str:
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
