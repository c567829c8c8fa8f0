"""Parses as much of QUIC's packet headers as is needed to route a datagram without its keys.

The sources are RFC 8999 (version-independent properties), RFC 9000 section 17 (version 1)
and RFC 9369 (version 2). Only the first packet of a datagram is parsed: by RFC 9000 section
12.2 all packets of a datagram have the same destination connection ID.
"""

from __future__ import annotations

import enum

import msgspec

from jasperwalk.routing.connection_ids import CONNECTION_ID_LENGTH

LONG_HEADER_BIT = 0x80
FIXED_BIT = 0x40
PACKET_TYPE_MASK = 0x30

VERSION_1 = b"\x00\x00\x00\x01"
VERSION_2 = b"\x6b\x33\x43\xcf"
VERSION_NEGOTIATION = b"\x00\x00\x00\x00"

VERSION_START = 1
LENGTH_START = 5
"""Index of the octet that gives the length of the destination connection ID."""
LONG_CONNECTION_ID_START = 6
SHORT_CONNECTION_ID_START = 1
SHORT_CONNECTION_ID_END = SHORT_CONNECTION_ID_START + CONNECTION_ID_LENGTH

MAX_CONNECTION_ID_BYTES = 20
"""Longest connection ID, in bytes, of versions 1 and 2."""

MIN_INITIAL_CONNECTION_ID_BYTES = 8
"""Shortest connection ID, in bytes, that a client may choose for its first Initial."""

MIN_INITIAL_PAYLOAD_BYTES = 1200
"""Smallest UDP payload, in bytes, that may open a connection (RFC 9000 section 14.1)."""


class PacketKind(enum.Enum):
    """Kind of a packet sent by a client, according to its header."""

    SHORT = "short"
    INITIAL = "initial"
    ZERO_RTT = "0-rtt"
    HANDSHAKE = "handshake"
    UNKNOWN_VERSION = "unknown-version"
    """A long header of an unsupported version: it is answered by Version Negotiation."""
    SERVER_ONLY = "server-only"
    """Retry or Version Negotiation: packets that no client sends."""
    MALFORMED = "malformed"


class PacketHeader(msgspec.Struct, frozen=True, gc=False):
    """Kind and destination connection ID of a packet (empty where it is malformed)."""

    kind: PacketKind
    connection_id: bytes


MALFORMED_HEADER = PacketHeader(kind=PacketKind.MALFORMED, connection_id=b"")

_VERSION_1_KINDS = {
    0x00: PacketKind.INITIAL,
    0x10: PacketKind.ZERO_RTT,
    0x20: PacketKind.HANDSHAKE,
    0x30: PacketKind.SERVER_ONLY,
}
_VERSION_2_KINDS = {
    0x00: PacketKind.SERVER_ONLY,
    0x10: PacketKind.INITIAL,
    0x20: PacketKind.ZERO_RTT,
    0x30: PacketKind.HANDSHAKE,
}
_KINDS_BY_VERSION = {VERSION_1: _VERSION_1_KINDS, VERSION_2: _VERSION_2_KINDS}


def classify(payload: bytes) -> PacketHeader:
    """Classify a UDP payload sent by a client; never raises.

    Short headers are read with the fixed length of a routable connection ID.
    """
    if not payload:
        return MALFORMED_HEADER
    if payload[0] & LONG_HEADER_BIT:
        return _classify_long(payload)
    if not payload[0] & FIXED_BIT or len(payload) <= SHORT_CONNECTION_ID_END:
        return MALFORMED_HEADER
    connection_id = payload[SHORT_CONNECTION_ID_START:SHORT_CONNECTION_ID_END]
    return PacketHeader(kind=PacketKind.SHORT, connection_id=connection_id)


def _classify_long(payload: bytes) -> PacketHeader:
    if len(payload) <= LENGTH_START:
        return MALFORMED_HEADER
    connection_id_end = LONG_CONNECTION_ID_START + payload[LENGTH_START]
    if len(payload) <= connection_id_end:
        return MALFORMED_HEADER
    connection_id = payload[LONG_CONNECTION_ID_START:connection_id_end]
    version = payload[VERSION_START:LENGTH_START]
    if version == VERSION_NEGOTIATION:
        return PacketHeader(kind=PacketKind.SERVER_ONLY, connection_id=connection_id)
    kinds = _KINDS_BY_VERSION.get(version)
    if kinds is None:
        return PacketHeader(kind=PacketKind.UNKNOWN_VERSION, connection_id=connection_id)
    if not payload[0] & FIXED_BIT or len(connection_id) > MAX_CONNECTION_ID_BYTES:
        return MALFORMED_HEADER
    return PacketHeader(kind=kinds[payload[0] & PACKET_TYPE_MASK], connection_id=connection_id)
