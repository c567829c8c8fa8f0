"""IPv4 end points: parsing, formatting and the six-byte wire form."""

from __future__ import annotations

import struct

import msgspec

from jasperwalk.errors import InvalidAddress

PACKED_ENDPOINT_LENGTH = 6
"""Bytes of a packed end point: four of address, two of port, network byte order."""

MAX_PORT = 65_535


IPV4_OCTETS = 4
MAX_OCTET_DIGITS = 3
"""Digits of an octet."""
MAX_OCTET = 255
MAX_PORT_DIGITS = 100
"""Digits of a port, leading zeros included; Python refuses to parse thousands of digits."""


def _is_ipv4(host: str) -> bool:
    """Tell whether text is a dotted-decimal IPv4 address, without leading zeros.

    The standard library's `ipaddress` does the same; importing it takes 1% of a balancer's start.
    """
    parts = host.split(".")
    return len(parts) == IPV4_OCTETS and all(_is_octet(part) for part in parts)


def _is_octet(text: str) -> bool:
    if not (text.isascii() and text.isdecimal()) or len(text) > MAX_OCTET_DIGITS:
        return False
    return text == str(int(text)) and int(text) <= MAX_OCTET


class Endpoint(msgspec.Struct, frozen=True, gc=False, array_like=True, order=True):
    """An IPv4 address and a port (0 to 65535)."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Endpoint:
        """Parse `IPV4:PORT`; raise `InvalidAddress` for anything else."""
        host, separator, port_text = text.rpartition(":")
        if not separator or not port_text.isdecimal() or len(port_text) > MAX_PORT_DIGITS:
            raise InvalidAddress(text=text)
        port = int(port_text)
        if port > MAX_PORT:
            raise InvalidAddress(text=text)
        if not _is_ipv4(host):
            raise InvalidAddress(text=text)
        return cls(host=host, port=port)

    @classmethod
    def unpack(cls, packed: bytes) -> Endpoint:
        """Decode the six-byte form; raise `InvalidAddress` for another length."""
        if len(packed) != PACKED_ENDPOINT_LENGTH:
            raise InvalidAddress(text=packed.hex())
        first, second, third, fourth, port = struct.unpack("!BBBBH", packed)
        return cls(host=f"{first}.{second}.{third}.{fourth}", port=port)

    def pack(self) -> bytes:
        """Encode into six bytes, network byte order."""
        return struct.pack("!BBBBH", *map(int, self.host.split(".")), self.port)

    def __str__(self) -> str:
        """Return `IPV4:PORT`."""
        return f"{self.host}:{self.port}"
