"""The PROXY protocol v2 header on datagrams between the agent and the fabric."""

from __future__ import annotations

SIGNATURE = b"\r\n\r\n\x00\r\nQUIT\n"
VERSION_AND_COMMAND = 0x21
"""Version 2, command PROXY."""
UDP_OVER_IPV4 = 0x12
ADDRESS_LENGTH = 12
PREFIX = SIGNATURE + bytes([VERSION_AND_COMMAND, UDP_OVER_IPV4]) + ADDRESS_LENGTH.to_bytes(2, "big")


def source_of(address_block: bytes) -> bytes:
    """Return the packed source end point (six bytes) of an address block."""
    return address_block[0:4] + address_block[8:10]


def destination_of(address_block: bytes) -> bytes:
    """Return the packed destination end point (six bytes) of an address block."""
    return address_block[4:8] + address_block[10:12]


def answer_header(vip: bytes, caller: bytes) -> bytes:
    """Build the header of an answer from `vip` to `caller` (packed end points)."""
    return PREFIX + vip[:4] + caller[:4] + vip[4:] + caller[4:]
