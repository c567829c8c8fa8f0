"""Detects that files were replaced, by modification time, inode and size.

Used for certificates and keys, which are renewed while a process runs.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterable
from pathlib import Path

POLL_SECONDS = 5.0
"""Minimum time between two checks of the files."""


class FileMonitor:
    """Reports when one of the files has changed since the last check."""

    def __init__(self, paths: Iterable[Path], clock: Callable[[], float] = time.monotonic) -> None:
        self._paths = tuple(paths)
        self._clock = clock
        self._checked_at = clock()
        self._file_states = self._read()

    def changed(self) -> bool:
        """Check the files, at most once in `POLL_SECONDS`; False in between."""
        now = self._clock()
        if now - self._checked_at < POLL_SECONDS:
            return False
        self._checked_at = now
        file_states = self._read()
        has_changed = file_states != self._file_states
        self._file_states = file_states
        return has_changed

    def _read(self) -> list[tuple[int, int, int]]:
        return [_file_state(path) for path in self._paths]


def _file_state(path: Path) -> tuple[int, int, int]:
    """Return values of which one differs once a file was replaced; zeros while it is missing."""
    try:
        status = os.stat(path)
    except OSError:
        return (0, 0, 0)
    return (status.st_mtime_ns, status.st_ino, status.st_size)
