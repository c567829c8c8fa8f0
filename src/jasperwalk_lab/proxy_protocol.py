"""PROXY protocol v2 headers for UDP over IPv4, as the fabric and agents exchange them.

Source: "The PROXY protocol, versions 1 and 2", section 2.2 (HAProxy project).
"""

from __future__ import annotations

from jasperwalk.addresses import PACKED_ENDPOINT_LENGTH, Endpoint
from jasperwalk_lab.errors import MalformedProxyHeader

SIGNATURE = b"\r\n\r\n\x00\r\nQUIT\n"
VERSION_2_PROXY_COMMAND = 0x21
UDP_OVER_IPV4 = 0x12
ADDRESS_LENGTH = 2 * PACKED_ENDPOINT_LENGTH
PREFIX = SIGNATURE + bytes([VERSION_2_PROXY_COMMAND, UDP_OVER_IPV4, 0, ADDRESS_LENGTH])
HEADER_LENGTH = len(PREFIX) + ADDRESS_LENGTH
"""28 bytes: signature 12, version and command 1, family 1, length 2, addresses 12."""


def encode_header(source: Endpoint, destination: Endpoint) -> bytes:
    """Encode the header of a datagram from `source` to `destination`."""
    packed_source = source.pack()
    packed_destination = destination.pack()
    hosts = packed_source[:4] + packed_destination[:4]
    return PREFIX + hosts + packed_source[4:] + packed_destination[4:]


def decode_header(datagram: bytes) -> tuple[Endpoint, Endpoint]:
    """Return source and destination; raise `MalformedProxyHeader` for anything else."""
    if len(datagram) < HEADER_LENGTH or not datagram.startswith(PREFIX):
        raise MalformedProxyHeader(length=len(datagram))
    block = datagram[len(PREFIX) : HEADER_LENGTH]
    source = Endpoint.unpack(block[0:4] + block[8:10])
    destination = Endpoint.unpack(block[4:8] + block[10:12])
    return source, destination
