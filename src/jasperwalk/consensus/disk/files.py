"""Durable file operations: a file or a name is durable once it and its folder are synced."""

from __future__ import annotations

import os
from pathlib import Path

from jasperwalk.consensus.disk.failures import CorruptFile, MissingFile
from jasperwalk.consensus.disk.frames import encode_frame, read_frames

TEMPORARY_SUFFIX = ".tmp"


def sync_folder(folder: Path) -> None:
    """Make creations, renames and removals in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes, however many calls it takes."""
    view = memoryview(data)
    while view:
        written = os.write(descriptor, view)
        view = view[written:]


def replace_file(path: Path, data: bytes) -> None:
    """Write a file so that after a crash either the old or the new content is there."""
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        write_all(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(temporary, path)
    sync_folder(path.parent)


def write_framed_file(path: Path, payload: bytes) -> None:
    """Replace a file that holds one frame."""
    replace_file(path, encode_frame(payload))


def read_framed_file(path: Path) -> bytes:
    """Return the payload of a file of one frame; raise `StorageError` if missing or corrupt."""
    try:
        data = path.read_bytes()
    except FileNotFoundError as error:
        raise MissingFile(path=path) from error
    frames = list(read_frames(path, data, may_be_torn=False))
    if len(frames) != 1:
        raise CorruptFile(path=path, offset=0, reason=f"{len(frames)} frames, expected 1")
    return frames[0].payload
