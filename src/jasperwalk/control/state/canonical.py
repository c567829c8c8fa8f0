"""Canonical CBOR: the same bytes for the same content, whatever the order of its maps."""

from __future__ import annotations

from typing import Any

import cbor2
import msgspec


def canonical_bytes(content: Any) -> bytes:
    """Encode structs and plain values with sorted map keys (RFC 8949, section 4.2)."""
    builtins = msgspec.to_builtins(content, builtin_types=(bytes,))
    return cbor2.dumps(builtins, canonical=True)
