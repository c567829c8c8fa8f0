"""Assembles a snapshot from its parts."""

from __future__ import annotations

from jasperwalk.config.table_entries import TableEntry
from jasperwalk.messages.distribution import Snapshot

MAX_SNAPSHOT_PARTS = 65_536
"""Maximum number of parts that one snapshot may announce."""


class SnapshotAssembly:
    """Collects the parts of one snapshot, which arrive in order on one connection."""

    def __init__(self) -> None:
        self.revision = 0
        self._parts = 0
        self._next_part = 0
        self._entries: list[TableEntry] = []

    def add(self, snapshot: Snapshot) -> bool:
        """Add one part; return False when it does not continue the parts before."""
        if snapshot.part == 0:
            self._start(snapshot)
        fits = (
            snapshot.revision == self.revision
            and snapshot.parts == self._parts
            and snapshot.part == self._next_part
            and 0 <= snapshot.part < snapshot.parts <= MAX_SNAPSHOT_PARTS
        )
        if not fits:
            self.reset()
            return False
        self._entries.extend(snapshot.entries)
        self._next_part += 1
        return True

    def take(self) -> list[TableEntry] | None:
        """Return the entries once all parts are there, None before."""
        if self._parts == 0 or self._next_part < self._parts:
            return None
        entries = self._entries
        self.reset()
        return entries

    def reset(self) -> None:
        """Discard the collected parts."""
        self._parts = 0
        self._next_part = 0
        self._entries = []

    def _start(self, snapshot: Snapshot) -> None:
        self.reset()
        self.revision = snapshot.revision
        self._parts = snapshot.parts
