"""The log's segment files: append and sync, start a new one when full, remove old ones."""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path

from jasperwalk.consensus.disk.failures import MissingFile
from jasperwalk.consensus.disk.files import (
    read_framed_file,
    replace_file,
    sync_folder,
    write_all,
    write_framed_file,
)
from jasperwalk.consensus.disk.frames import encode_frame, read_frames
from jasperwalk.consensus.disk.records import LogRecord, Manifest, decode_record, encode_record

MANIFEST_NAME = "manifest"
SEGMENT_BYTES = 4 * 1024 * 1024
"""Size of a segment from which a new one is started."""


class SegmentedLog:
    """Numbered segment files in one folder; the newest one is open for appending."""

    def __init__(self, folder: Path, segment_bytes: int = SEGMENT_BYTES) -> None:
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._manifest = Manifest(oldest=1, newest=1)
        self._highest_index: dict[int, int] = {}
        self._descriptor: int | None = None
        self._size = 0
        self.torn_bytes = 0
        """Bytes of a torn last write that were truncated on reading."""

    def path_of(self, number: int) -> Path:
        """Return the file of a segment."""
        return self._folder / f"segment-{number:010d}.log"

    def create(self, first: LogRecord) -> None:
        """Start an empty log whose first record is `first`."""
        replace_file(self.path_of(1), encode_frame(encode_record(first)))
        self._write_manifest(Manifest(oldest=1, newest=1))
        self._highest_index = {1: 0}

    def read(self) -> Iterator[LogRecord]:
        """Yield all records in order, and truncate a torn last write."""
        self._load_manifest()
        for number in range(self._manifest.oldest, self._manifest.newest + 1):
            self._highest_index[number] = 0
            is_newest = number == self._manifest.newest
            yield from self._read_segment(number, is_newest)

    def _load_manifest(self) -> None:
        path = self._folder / MANIFEST_NAME
        manifest = decode_record(path, read_framed_file(path), Manifest)
        if self.path_of(manifest.newest + 1).exists():
            manifest = Manifest(oldest=manifest.oldest, newest=manifest.newest + 1)
            self._write_manifest(manifest)
        self._manifest = manifest
        self._remove(self.path_of(manifest.oldest - 1))

    def _read_segment(self, number: int, is_newest: bool) -> Iterator[LogRecord]:
        path = self.path_of(number)
        try:
            data = path.read_bytes()
        except FileNotFoundError as error:
            raise MissingFile(path=path) from error
        end = 0
        for frame in read_frames(path, data, may_be_torn=is_newest):
            record = decode_record(path, frame.payload, LogRecord)
            self._record_highest_index(number, record)
            end = frame.end
            yield record
        if end == 0:
            # A segment gets its name only once it is complete with its first record.
            raise MissingFile(path=path)
        if end < len(data):
            self._truncate_file(path, end)
            self.torn_bytes = len(data) - end

    def _truncate_file(self, path: Path, size: int) -> None:
        descriptor = os.open(path, os.O_WRONLY)
        try:
            os.ftruncate(descriptor, size)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _record_highest_index(self, number: int, record: LogRecord) -> None:
        if record.entries:
            last = record.entries[-1].index
            self._highest_index[number] = max(self._highest_index[number], last)

    def open(self) -> None:
        """Open the newest segment for appending, after `create` or `read`."""
        path = self.path_of(self._manifest.newest)
        self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
        self._size = os.fstat(self._descriptor).st_size

    def append(self, record: LogRecord) -> None:
        """Write one record and sync it."""
        assert self._descriptor is not None
        frame = encode_frame(encode_record(record))
        write_all(self._descriptor, frame)
        os.fsync(self._descriptor)
        self._size += len(frame)
        self._record_highest_index(self._manifest.newest, record)

    def is_full(self) -> bool:
        """Tell whether a new segment is due."""
        return self._size >= self._segment_bytes

    def roll(self, first: LogRecord) -> None:
        """Start a new segment; `first` repeats what is lost when older segments are removed."""
        number = self._manifest.newest + 1
        replace_file(self.path_of(number), encode_frame(encode_record(first)))
        self._write_manifest(Manifest(oldest=self._manifest.oldest, newest=number))
        self._highest_index[number] = 0
        self.close()
        self.open()

    def discard(self, through: int) -> None:
        """Remove the oldest segments that hold no entry above `through`."""
        oldest = self._manifest.oldest
        while oldest < self._manifest.newest and self._highest_index[oldest] <= through:
            # Written before the removal: a crash in between leaves one file too many, not too few.
            self._write_manifest(Manifest(oldest=oldest + 1, newest=self._manifest.newest))
            self._remove(self.path_of(oldest))
            del self._highest_index[oldest]
            oldest += 1

    def close(self) -> None:
        """Close the open segment."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def _write_manifest(self, manifest: Manifest) -> None:
        write_framed_file(self._folder / MANIFEST_NAME, encode_record(manifest))
        self._manifest = manifest

    def _remove(self, path: Path) -> None:
        path.unlink(missing_ok=True)
        sync_folder(self._folder)
