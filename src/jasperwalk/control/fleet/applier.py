"""Applies the committed log to the versioned state, on the event loop.

An entry takes microseconds and a state has some kilobytes, so no thread is needed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from jasperwalk.consensus.durable import SnapshotData
from jasperwalk.consensus.entries import EntryKind, LogEntry
from jasperwalk.control.applied import AppliedEntries, AppliedEntry
from jasperwalk.control.fleet.versioned_state import Outcome, VersionedState

SNAPSHOT_INTERVAL_ENTRIES = 128
"""Applied entries after which the state is written as a snapshot."""


class VersionedApplier:
    """The `EntryApplier` of the datagram plane; `on_change` is called when its state changed."""

    def __init__(self, on_change: Callable[[], None]) -> None:
        self.state = VersionedState()
        self.applied: AppliedEntries[Outcome] = AppliedEntries()
        self._on_change = on_change
        self._take_snapshot: Callable[[int, bytes], None] | None = None
        self._snapshot_index = 0

    def bind(self, take_snapshot: Callable[[int, bytes], None]) -> None:
        """Set the function that receives serialised states."""
        self._take_snapshot = take_snapshot

    def load(self, snapshot: SnapshotData) -> None:
        """Start from a snapshot; raises `MalformedMessage`."""
        self.state = VersionedState.restore(snapshot.state)
        self._snapshot_index = snapshot.index
        self.applied.skip_to(snapshot.index)

    def submit_snapshot(self, snapshot: SnapshotData) -> None:
        """Continue from a leader's snapshot."""
        self.load(snapshot)
        self._on_change()

    def submit(self, entries: Sequence[LogEntry]) -> None:
        """Apply committed entries and wake up the callers that wait for them."""
        position = self.state.position()
        for entry in entries:
            is_command = entry.kind is EntryKind.COMMAND
            outcome = self.state.apply(entry.data) if is_command else None
            self.applied.record(AppliedEntry(entry.index, entry.term, outcome))
        if self.state.position() != position:
            self._on_change()
        self._snapshot_when_due()

    def _snapshot_when_due(self) -> None:
        index = self.applied.index
        if self._take_snapshot is None or index - self._snapshot_index < SNAPSHOT_INTERVAL_ENTRIES:
            return
        self._snapshot_index = index
        self._take_snapshot(index, self.state.serialise())

    @property
    def applied_index(self) -> int:
        """Index of the newest applied entry."""
        return self.applied.index

    async def run(self) -> None:
        """Wait to be cancelled: entries are applied as they are submitted."""
        await asyncio.Event().wait()

    def close(self) -> None:
        """There are no resources to release."""
