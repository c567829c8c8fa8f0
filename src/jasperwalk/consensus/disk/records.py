"""What the files contain, inside their frames (MessagePack, checked by msgspec)."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import msgspec

from jasperwalk.consensus.disk.failures import CorruptFile
from jasperwalk.consensus.durable import HardState
from jasperwalk.consensus.entries import LogEntry

RecordType = TypeVar("RecordType")


class Identity(msgspec.Struct, frozen=True, array_like=True):
    """Whose data folder this is; written once, last of all when the folder is created."""

    cluster_id: str
    replica_id: int
    disk_id: str


class Manifest(msgspec.Struct, frozen=True, array_like=True):
    """The range of segment numbers that must be there.

    A segment numbered `newest + 1` may exist too: a crash came before the manifest.
    """

    oldest: int
    newest: int


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """One synced batch.

    `sequence` counts the records of the folder without gaps. `snapshot_index` is the snapshot
    on disk when the record was written.
    """

    sequence: int
    snapshot_index: int
    hard_state: HardState | None
    reset_index: int | None
    entries: list[LogEntry]


def encode_record(record: msgspec.Struct) -> bytes:
    """Encode a record for its frame."""
    return msgspec.msgpack.encode(record)


def decode_record(path: Path, payload: bytes, record_type: type[RecordType]) -> RecordType:
    """Decode a frame's payload; a wrong shape under a right checksum is damage too."""
    try:
        return msgspec.msgpack.decode(payload, type=record_type)
    except (msgspec.DecodeError, ValueError) as error:
        raise CorruptFile(path=path, offset=0, reason=str(error)) from error
