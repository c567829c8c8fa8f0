"""The PROXY protocol v2 header that the fabric puts before each caller's datagram.

Source: "The PROXY protocol, versions 1 & 2" (haproxy.org), section 2.2. Only UDP over IPv4
without extensions is taken, so that the header is a constant and an address block.
"""

from __future__ import annotations

from typing import Final

from jasperwalk.messages.datagrams import ADDRESS_BLOCK_LENGTH

SIGNATURE: Final = b"\r\n\r\n\x00\r\nQUIT\n"
VERSION_2_PROXY: Final = b"\x21"
UDP_OVER_IPV4: Final = b"\x12"

HEADER_PREFIX: Final = (
    SIGNATURE + VERSION_2_PROXY + UDP_OVER_IPV4 + ADDRESS_BLOCK_LENGTH.to_bytes(2, "big")
)
"""The 16 bytes before the address block."""

ADDRESS_BLOCK_START: Final = len(HEADER_PREFIX)
HEADER_LENGTH: Final = ADDRESS_BLOCK_START + ADDRESS_BLOCK_LENGTH
"""Bytes of the whole header; the caller's datagram follows."""
