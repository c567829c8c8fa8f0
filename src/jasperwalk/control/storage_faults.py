"""Injects storage faults into a running replica, for failure tests.

The settings name a file; while it exists, each write to the log is first delayed or failed as its
one line says: `slow SECONDS`, `full` or `sync-fails`. Without the setting nothing is injected, and
with it the process logs that at its start.
"""

from __future__ import annotations

import enum
import time
from collections.abc import Callable
from pathlib import Path

import structlog

from jasperwalk.consensus.disk.failures import WriteFailed
from jasperwalk.consensus.durable import PersistBatch

MAX_DELAY_SECONDS = 10.0

logger = structlog.get_logger(__name__)


class StorageFault(enum.StrEnum):
    """What happens before a write, or instead of it."""

    SLOW = "slow"
    FULL = "full"
    SYNC_FAILS = "sync-fails"


class StorageFaults:
    """Reads the file at every write, in the storage thread."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def wrap(self, write: Callable[[PersistBatch], None]) -> Callable[[PersistBatch], None]:
        """Return a write function that first injects the fault in the file."""

        def write_after_fault(batch: PersistBatch) -> None:
            self.before_write()
            write(batch)

        return write_after_fault

    def before_write(self) -> None:
        """Wait or raise `WriteFailed`, as the file says; an unknown line is ignored."""
        try:
            words = self._path.read_text(encoding="ascii").split()
        except (OSError, UnicodeDecodeError):
            return
        if not words:
            return
        if words[0] == StorageFault.SLOW:
            time.sleep(min(_seconds(words), MAX_DELAY_SECONDS))
        elif words[0] in (StorageFault.FULL, StorageFault.SYNC_FAILS):
            raise WriteFailed(path=self._path, reason=words[0])
        else:
            logger.warning("storage-fault-unknown", fault=words[0][:40])


def _seconds(words: list[str]) -> float:
    try:
        return float(words[1])
    except (IndexError, ValueError):
        return 0.0
