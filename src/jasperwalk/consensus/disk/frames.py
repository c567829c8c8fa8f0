"""Checksummed frames: the unit in which the log is written and synced.

A frame is a 16-byte header (magic, payload length, CRC32C of the payload, CRC32C of the
header so far), the payload, and a trailer without zeros. The header's own checksum makes the
length trustworthy, which distinguishes a write torn by a crash from corruption of synced bytes.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import google_crc32c

from jasperwalk.consensus.disk.failures import CorruptFile

HEADER = struct.Struct("<4sIII")
CHECKED_PART = struct.Struct("<4sII")
MAGIC = b"jwf1"
TRAILER = b"end\n"
"""Ends a frame, so that its last sector is never all zeros once it was written."""
SECTOR_BYTES = 512
"""Smallest unit that a disk writes; a torn write leaves whole sectors of zeros."""


@dataclass(frozen=True)
class Frame:
    """A payload and the offset of the byte after its frame."""

    payload: bytes
    end: int


def encode_frame(payload: bytes) -> bytes:
    """Return the frame of a payload."""
    checksum = google_crc32c.value(payload)
    checked = CHECKED_PART.pack(MAGIC, len(payload), checksum)
    return (
        HEADER.pack(MAGIC, len(payload), checksum, google_crc32c.value(checked)) + payload + TRAILER
    )


def read_frames(path: Path, data: bytes, may_be_torn: bool) -> Iterator[Frame]:
    """Yield the frames of a file.

    With `may_be_torn`, iteration ends before a last frame torn by a crash. Any other invalid
    bytes raise `CorruptFile`.
    """
    offset = 0
    while offset < len(data):
        frame = _read_frame(path, data, offset)
        if frame is None:
            if may_be_torn:
                return
            raise CorruptFile(path=path, offset=offset, reason="the last frame is cut short")
        yield frame
        offset = frame.end


def _read_frame(path: Path, data: bytes, offset: int) -> Frame | None:
    """Return the frame at `offset`, None when it is a torn last write."""
    header = data[offset : offset + HEADER.size]
    if len(header) < HEADER.size or not any(header):
        if _is_torn_header(data, offset, header):
            return None
        raise CorruptFile(path=path, offset=offset, reason="the frame header is damaged")
    magic, length, payload_checksum, header_checksum = HEADER.unpack(header)
    checked = CHECKED_PART.pack(magic, length, payload_checksum)
    if magic != MAGIC or google_crc32c.value(checked) != header_checksum:
        raise CorruptFile(path=path, offset=offset, reason="the frame header is damaged")
    start = offset + HEADER.size
    end = start + length + len(TRAILER)
    if end > len(data):
        return None
    payload = data[start : start + length]
    trailer = data[start + length : end]
    if google_crc32c.value(payload) == payload_checksum and trailer == TRAILER:
        return Frame(payload=payload, end=end)
    is_last = not any(data[end:])
    if is_last and _has_zero_sector(data, start, end):
        return None
    raise CorruptFile(path=path, offset=offset, reason="the checksum is wrong")


def _is_torn_header(data: bytes, offset: int, header: bytes) -> bool:
    """Tell whether a short or zero header is the start of an unfinished write."""
    if not any(header):
        return not any(data[offset:])
    return MAGIC.startswith(header[: len(MAGIC)])


def _has_zero_sector(data: bytes, start: int, end: int) -> bool:
    """Tell whether a part of the frame that lies in one sector is all zeros."""
    position = start
    while position < end:
        sector_end = min(end, (position // SECTOR_BYTES + 1) * SECTOR_BYTES)
        if not any(data[position:sector_end]):
            return True
        position = sector_end
    return False
