"""A replica's data folder: identity, log segments and snapshot.

The folder holds `identity`, `manifest`, `segment-NNNNNNNNNN.log` files, `snapshot` and `lock`.
Each batch is one checksummed frame in the newest segment, written and synced together (group
commit). A last write torn by a crash was never acknowledged and is truncated on load; any other
corruption raises a `StorageError`.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from jasperwalk.consensus.disk.failures import (
    CorruptFile,
    FolderInUse,
    IdentityMismatch,
    MissingFile,
    StorageError,
    WriteFailed,
)
from jasperwalk.consensus.disk.files import read_framed_file, sync_folder, write_framed_file
from jasperwalk.consensus.disk.frames import encode_frame
from jasperwalk.consensus.disk.records import Identity, LogRecord, decode_record, encode_record
from jasperwalk.consensus.disk.segments import SEGMENT_BYTES, SegmentedLog
from jasperwalk.consensus.durable import DurableState, HardState, PersistBatch, SnapshotData

IDENTITY_NAME = "identity"
SNAPSHOT_NAME = "snapshot"
LOCK_NAME = "lock"


def stored_replica_id(folder: Path) -> int | None:
    """Return the replica ID of a data folder, None if incomplete; raise `StorageError`."""
    path = folder / IDENTITY_NAME
    if not path.exists():
        return None
    return decode_record(path, read_framed_file(path), Identity).replica_id


class FileStorage:
    """Loads a replica's state and makes batches durable; blocking, one caller at a time.

    `new_disk_id` (a random string from the calling code) is its disk ID if it is created now.
    """

    def __init__(
        self,
        folder: Path,
        cluster_id: str,
        replica_id: int,
        new_disk_id: str,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        self._folder = folder
        self._identity = Identity(cluster_id, replica_id, new_disk_id)
        self._log = SegmentedLog(folder, segment_bytes)
        self._hard_state = HardState()
        self._snapshot_index = 0
        self._sequence = 0
        self._lock: int | None = None
        self._failure: str | None = None

    @property
    def torn_bytes(self) -> int:
        """Bytes of a torn last write that `load` truncated."""
        return self._log.torn_bytes

    def load(self) -> DurableState:
        """Open the folder, creating it if needed; raise `StorageError` if it is damaged."""
        self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        sync_folder(self._folder.parent)
        self._take_lock()
        try:
            return self._load_locked()
        except StorageError:
            self.close()
            raise

    def _load_locked(self) -> DurableState:
        is_fresh = not (self._folder / IDENTITY_NAME).exists()
        if is_fresh:
            self._create()
        self._check_identity()
        durable = DurableState(self._identity.replica_id, self._identity.disk_id, is_fresh)
        durable.snapshot = self._read_snapshot()
        self._replay(durable)
        self._log.open()
        self._reconcile(durable)
        return durable

    def _take_lock(self) -> None:
        self._lock = os.open(self._folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            self.close()
            raise FolderInUse(path=self._folder) from error

    def _create(self) -> None:
        """Create the files; the identity is written last and marks the folder as complete."""
        if self._has_content():
            raise MissingFile(path=self._folder / IDENTITY_NAME)
        self._log.create(self._first_record())
        write_framed_file(self._folder / IDENTITY_NAME, encode_record(self._identity))

    def _has_content(self) -> bool:
        """Tell whether there is more than an interrupted creation leaves behind."""
        if (self._folder / SNAPSHOT_NAME).exists():
            return True
        created = encode_frame(encode_record(self._first_record()))
        segments = self._folder.glob("segment-*.log")
        return any(segment.read_bytes() != created for segment in segments)

    def _first_record(self) -> LogRecord:
        """Return the first record of a new segment, which repeats term and vote."""
        return self._next_record(PersistBatch(hard_state=self._hard_state))

    def _next_record(self, batch: PersistBatch) -> LogRecord:
        return LogRecord(
            sequence=self._sequence + 1,
            snapshot_index=self._snapshot_index,
            hard_state=batch.hard_state,
            reset_index=batch.reset_index,
            entries=batch.entries,
        )

    def _check_identity(self) -> None:
        path = self._folder / IDENTITY_NAME
        found = decode_record(path, read_framed_file(path), Identity)
        wanted = self._identity
        if (found.cluster_id, found.replica_id) != (wanted.cluster_id, wanted.replica_id):
            raise IdentityMismatch(
                path=self._folder,
                found_cluster_id=found.cluster_id,
                found_replica_id=found.replica_id,
            )
        self._identity = found

    def _read_snapshot(self) -> SnapshotData | None:
        path = self._folder / SNAPSHOT_NAME
        if not path.exists():
            return None
        snapshot = decode_record(path, read_framed_file(path), SnapshotData)
        self._snapshot_index = snapshot.index
        return snapshot

    def _replay(self, durable: DurableState) -> None:
        needed_snapshot = 0
        for record in self._log.read():
            needed_snapshot = record.snapshot_index
            self._check_order(record)
            self._check_contiguous(durable, record)
            batch = PersistBatch(record.hard_state, None, record.reset_index, record.entries)
            durable.apply(batch)
        if needed_snapshot > self._snapshot_index:
            raise MissingFile(path=self._folder / SNAPSHOT_NAME)
        self._hard_state = durable.hard_state

    def _check_order(self, record: LogRecord) -> None:
        expected = self._sequence + 1
        if self._sequence and record.sequence != expected:
            reason = f"found record {record.sequence}, expected {expected}"
            raise CorruptFile(path=self._folder, offset=0, reason=reason)
        self._sequence = record.sequence

    def _check_contiguous(self, durable: DurableState, record: LogRecord) -> None:
        if record.reset_index is not None or not record.entries or not durable.entries:
            return
        first = record.entries[0].index
        if first > durable.entries[-1].index + 1:
            raise CorruptFile(
                path=self._folder, offset=0, reason=f"entries before {first} are missing"
            )

    def _reconcile(self, durable: DurableState) -> None:
        """Make log and snapshot consistent after a crash between the two writes."""
        first = durable.entries[0].index if durable.entries else 1
        if first > self._snapshot_index + 1:
            raise CorruptFile(
                path=self._folder, offset=0, reason=f"entries before {first} are missing"
            )
        if durable.reconcile():
            self.persist(PersistBatch(reset_index=self._snapshot_index))

    def persist(self, batch: PersistBatch) -> None:
        """Make a batch durable; after a `WriteFailed` all further batches are refused.

        After a failed sync the kernel may have dropped the written pages and yet report
        success to the next sync, so the process has to stop and load again.
        """
        if self._failure is not None:
            raise WriteFailed(path=self._folder, reason=self._failure)
        try:
            self._write(batch)
        except OSError as error:
            self._failure = str(error)
            raise WriteFailed(path=self._folder, reason=self._failure) from error

    def _write(self, batch: PersistBatch) -> None:
        if batch.snapshot is not None:
            path = self._folder / SNAPSHOT_NAME
            write_framed_file(path, encode_record(batch.snapshot))
            self._snapshot_index = batch.snapshot.index
        self._log.append(self._next_record(batch))
        self._sequence += 1
        if batch.hard_state is not None:
            self._hard_state = batch.hard_state
        if self._log.is_full():
            self._log.roll(self._first_record())
            self._sequence += 1
        self._log.discard(batch.discard_through)

    def close(self) -> None:
        """Close the files and unlock the folder."""
        self._log.close()
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None
