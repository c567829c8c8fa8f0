"""Stateless reset tokens and packets (RFC 9000, section 10.3).

A token is derived from the connection ID and a fleet key, so an agent that has restarted and
lost the state of a flow can still end the flow at once.
"""

from __future__ import annotations

import hashlib
import hmac
import random

TOKEN_LENGTH = 16
MIN_PACKET_BYTES = 21
"""Bytes of the smallest reset that looks like a valid short-header packet."""
MAX_PACKET_BYTES = 43
FIXED_BIT = 0x40
FIXED_BIT_MASK = 0x3F


def reset_token(secret: bytes, connection_id: bytes) -> bytes:
    """Derive the token of a connection ID by HMAC-SHA-256, truncated to 16 bytes."""
    return hmac.new(secret, connection_id, hashlib.sha256).digest()[:TOKEN_LENGTH]


def reset_packet(token: bytes, received_length: int, source: random.Random) -> bytes | None:
    """Build a reset for a packet of `received_length` bytes; `None` if the packet is too short.

    The reset is shorter than the packet that caused it, so two endpoints can't loop.
    """
    length = min(received_length - 1, MAX_PACKET_BYTES)
    if length < MIN_PACKET_BYTES:
        return None
    noise = source.randbytes(length - TOKEN_LENGTH)
    first = FIXED_BIT | (noise[0] & FIXED_BIT_MASK)
    return bytes([first]) + noise[1:] + token
