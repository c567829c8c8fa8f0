"""What a replica keeps on disk, and the batches that change it."""

from __future__ import annotations

from dataclasses import dataclass, field

import google_crc32c
import msgspec

from jasperwalk.consensus.entries import LogEntry, Membership


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """Term, vote and first member list; durable before any message that depends on it.

    `founding` is the member list that the cluster was founded with, None until this replica
    knows it (and always on replicas that joined later).
    """

    term: int = 0
    voted_for: int | None = None
    founding: Membership | None = None


class SnapshotData(msgspec.Struct, frozen=True, array_like=True):
    """The serialised state machine after entry `index`, and the member list at that index."""

    index: int
    term: int
    membership: Membership
    state: bytes

    def checksum(self) -> int:
        """Return the CRC32C of the state."""
        return int(google_crc32c.value(self.state))


@dataclass(frozen=True)
class PersistBatch:
    """Changes that go to disk together, in the order of the fields.

    `reset_index` discards all stored entries; the next one follows this index. An entry
    replaces any stored entry with the same or a higher index. Entries up to
    `discard_through` are no longer needed.
    """

    hard_state: HardState | None = None
    snapshot: SnapshotData | None = None
    reset_index: int | None = None
    entries: list[LogEntry] = field(default_factory=list)
    discard_through: int = 0


@dataclass
class DurableState:
    """What was loaded from disk.

    `disk_id` is generated once, when the data folder is created. `fresh` tells that this load
    created the folder. Entries are contiguous and may start at or below the snapshot.
    """

    replica_id: int
    disk_id: str
    fresh: bool = False
    hard_state: HardState = field(default_factory=HardState)
    snapshot: SnapshotData | None = None
    entries: list[LogEntry] = field(default_factory=list)

    def apply(self, batch: PersistBatch) -> None:
        """Apply a batch as a disk would; for replaying the log and for simulated disks."""
        if batch.hard_state is not None:
            self.hard_state = batch.hard_state
        if batch.snapshot is not None:
            self.snapshot = batch.snapshot
        if batch.reset_index is not None:
            self.entries.clear()
        self.store(batch.entries)
        self.discard(batch.discard_through)

    def reconcile(self) -> bool:
        """Discard entries that the snapshot replaced; return True if there were any.

        A crash between the writing of a leader's snapshot and of the log leaves entries that
        end before the snapshot or contradict it. Entries that agree with it stay.
        """
        if self.snapshot is None or not self.entries:
            return False
        position = self.snapshot.index - self.entries[0].index
        if position < 0:
            return False
        if position < len(self.entries) and self.entries[position].term == self.snapshot.term:
            return False
        self.entries.clear()
        return True

    def store(self, entries: list[LogEntry]) -> None:
        """Append entries; the first one replaces any stored entry from its index on."""
        if not entries:
            return
        if self.entries:
            keep = entries[0].index - self.entries[0].index
            del self.entries[max(keep, 0) :]
        self.entries.extend(entries)

    def discard(self, through: int) -> None:
        """Discard entries up to and including index `through`."""
        if self.entries and self.entries[0].index <= through:
            del self.entries[: through - self.entries[0].index + 1]
