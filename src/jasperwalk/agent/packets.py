"""The fields of a QUIC packet that an agent reads before it finds the connection (RFC 8999)."""

from __future__ import annotations

from dataclasses import dataclass

from aioquic._buffer import Buffer
from aioquic.quic.packet import QuicPacketType, pull_quic_header

from jasperwalk.routing.connection_ids import CONNECTION_ID_LENGTH

LONG_HEADER_BIT = 0x80
MIN_INITIAL_DATAGRAM_BYTES = 1200
"""Bytes of the smallest datagram that may carry a caller's Initial (RFC 9000, 14.1)."""


@dataclass(frozen=True, slots=True)
class PacketHead:
    """The first packet's connection IDs; `version` is `None` with a short header."""

    destination: bytes
    source: bytes
    version: int | None
    initial: bool


def read_head(payload: bytes) -> PacketHead | None:
    """Read the head of a datagram's first packet; `None` where it is not QUIC."""
    if not payload:
        return None
    if not payload[0] & LONG_HEADER_BIT:
        destination = payload[1 : 1 + CONNECTION_ID_LENGTH]
        if len(destination) < CONNECTION_ID_LENGTH:
            return None
        return PacketHead(destination, b"", None, initial=False)
    try:
        header = pull_quic_header(Buffer(data=payload), host_cid_length=CONNECTION_ID_LENGTH)
    except ValueError:
        return None
    if header.packet_type is QuicPacketType.VERSION_NEGOTIATION:
        return None
    initial = header.packet_type is QuicPacketType.INITIAL
    return PacketHead(header.destination_cid, header.source_cid, header.version, initial)
