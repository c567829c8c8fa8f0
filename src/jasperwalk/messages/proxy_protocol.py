"""The PROXY protocol v2 header on datagrams between the fabric, balancers and agents.

Source: "The PROXY protocol, versions 1 & 2" (haproxy.org), section 2.2. Only UDP over IPv4
without extensions is accepted, so that the header is a constant prefix and an address block.
"Packed" end points are the six bytes of `Endpoint.pack`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar, Final

from jasperwalk.addresses import Endpoint
from jasperwalk.errors import JasperwalkError
from jasperwalk.messages.datagrams import ADDRESS_BLOCK_LENGTH

SIGNATURE: Final = b"\r\n\r\n\x00\r\nQUIT\n"
VERSION_2_PROXY: Final = b"\x21"
"""Version 2, command PROXY."""
UDP_OVER_IPV4: Final = b"\x12"

HEADER_PREFIX: Final = (
    SIGNATURE + VERSION_2_PROXY + UDP_OVER_IPV4 + ADDRESS_BLOCK_LENGTH.to_bytes(2, "big")
)
"""The 16 bytes before the address block."""

ADDRESS_BLOCK_START: Final = len(HEADER_PREFIX)
HEADER_LENGTH: Final = ADDRESS_BLOCK_START + ADDRESS_BLOCK_LENGTH
"""28 bytes: the complete header; the caller's datagram, or the response to it, follows."""


@dataclass(eq=False)
class MalformedProxyHeader(JasperwalkError):
    """A datagram that does not begin with a PROXY v2 header for UDP over IPv4."""

    kind: ClassVar[str] = "malformed-proxy-header"
    length: int

    def describe(self) -> str:
        """Name the length of the datagram."""
        return f"datagram of {self.length} bytes has no PROXY v2 header for UDP over IPv4"


def source_of(address_block: bytes) -> bytes:
    """Return the packed source end point of an address block."""
    return address_block[0:4] + address_block[8:10]


def destination_of(address_block: bytes) -> bytes:
    """Return the packed destination end point of an address block."""
    return address_block[4:8] + address_block[10:12]


def pack_header(source: bytes, destination: bytes) -> bytes:
    """Build the header of a datagram between two packed end points."""
    return HEADER_PREFIX + source[:4] + destination[:4] + source[4:] + destination[4:]


def encode_header(source: Endpoint, destination: Endpoint) -> bytes:
    """Build the header of a datagram from `source` to `destination`."""
    return pack_header(source.pack(), destination.pack())


def decode_header(datagram: bytes) -> tuple[Endpoint, Endpoint]:
    """Return source and destination; raise `MalformedProxyHeader` for anything else."""
    if len(datagram) < HEADER_LENGTH or not datagram.startswith(HEADER_PREFIX):
        raise MalformedProxyHeader(length=len(datagram))
    block = datagram[ADDRESS_BLOCK_START:HEADER_LENGTH]
    return Endpoint.unpack(source_of(block)), Endpoint.unpack(destination_of(block))
