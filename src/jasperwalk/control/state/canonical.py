"""Canonical CBOR: the same bytes for the same content, whatever the order of its maps."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import cbor2
import msgspec

ARRAY_MAJOR_TYPE = 4 << 5
MAX_SHORT_ARRAY_LENGTH = 23
"""Items of an array whose header is one octet."""
ARRAY_LENGTH_FORMS = ((24, 1), (25, 2), (26, 4), (27, 8))
"""Low bits of a longer header, and the octets of the length that follow it."""


def canonical_bytes(content: Any) -> bytes:
    """Encode structs and plain values with sorted map keys (RFC 8949, section 4.2)."""
    builtins = msgspec.to_builtins(content, builtin_types=(bytes,))
    return cbor2.dumps(builtins, canonical=True)


def canonical_chunks(content: Any) -> Iterator[bytes]:
    """Yield the bytes of `canonical_bytes` in many small pieces.

    No single call into the encoder takes long, so that a thread which joins the pieces lets
    other threads run between them. Arrays of lists and of `array_like` structs are taken apart
    down to their items.
    """
    if isinstance(content, list):
        yield _array_header(len(content))
        for item in content:
            yield canonical_bytes(item)
    elif isinstance(content, msgspec.Struct) and content.__struct_config__.array_like:
        config = content.__struct_config__
        values = [getattr(content, name) for name in content.__struct_fields__]
        if config.tag is not None:
            values.insert(0, config.tag)
        yield _array_header(len(values))
        for value in values:
            yield from canonical_chunks(value)
    else:
        yield canonical_bytes(content)


def _array_header(length: int) -> bytes:
    if length <= MAX_SHORT_ARRAY_LENGTH:
        return bytes([ARRAY_MAJOR_TYPE | length])
    for low_bits, octets in ARRAY_LENGTH_FORMS:
        if length < 1 << (8 * octets):
            return bytes([ARRAY_MAJOR_TYPE | low_bits]) + length.to_bytes(octets, "big")
    raise ValueError(f"no array has {length} items")
