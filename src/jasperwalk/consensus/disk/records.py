"""The records inside the frames of a replica's files (MessagePack, checked by msgspec)."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import msgspec

from jasperwalk.consensus.disk.failures import CorruptFile
from jasperwalk.consensus.durable import HardState
from jasperwalk.consensus.entries import LogEntry

RecordType = TypeVar("RecordType")


class Identity(msgspec.Struct, frozen=True, array_like=True):
    """The replica and disk of a data folder; written once, as the last step of its creation."""

    cluster_id: str
    replica_id: int
    disk_id: str


class Manifest(msgspec.Struct, frozen=True, array_like=True):
    """The range of segment numbers that must exist.

    A segment numbered `newest + 1` may exist too, after a crash before the manifest was written.
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
    """Decode a frame's payload; a malformed one with a valid checksum is corrupt too."""
    try:
        return msgspec.msgpack.decode(payload, type=record_type)
    except (msgspec.DecodeError, ValueError) as error:
        raise CorruptFile(path=path, offset=0, reason=str(error)) from error
