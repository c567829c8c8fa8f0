"""Encodes forwarded datagrams by concatenating parts that were encoded before.

The result equals `codec.encode(ForwardedDatagram(...))`, without running a general encoder for
each packet. The parts, in the order of the struct's fields:

    array head, tag, version, service ID, revision, hops, head of the address block  (prefix)
    address block                                                      (from the datagram)
    candidates                          (constant when empty, else encoded for the new flow)
    head of the payload                                            (table by payload length)
    payload                                                            (from the datagram)
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from jasperwalk.messages.codec import PROTOCOL_VERSION
from jasperwalk.messages.datagrams import ADDRESS_BLOCK_LENGTH

MAX_PAYLOAD_BYTES: Final = 2048
"""Largest caller's datagram that is forwarded; QUIC paths carry some 1500 bytes."""

DATAGRAM_TAG: Final = 1
FIELD_COUNT: Final = 8
"""Array elements: the tag and the seven fields of `ForwardedDatagram`."""

# Major types and argument sizes of CBOR, RFC 8949 section 3.
UNSIGNED: Final = 0
BYTE_STRING: Final = 2
ARRAY: Final = 4
MAJOR_TYPE_SHIFT: Final = 5
MAX_IMMEDIATE: Final = 23
ARGUMENT_SIZES: Final = ((24, 1), (25, 2), (26, 4), (27, 8))
"""Additional information and bytes of the arguments that do not fit the first octet."""


def cbor_head(major_type: int, argument: int) -> bytes:
    """Return the shortest CBOR head of a major type (0 to 7) and an argument below 2**64."""
    if argument <= MAX_IMMEDIATE:
        return bytes([major_type << MAJOR_TYPE_SHIFT | argument])
    for additional, size in ARGUMENT_SIZES:
        if argument < 1 << 8 * size:
            return bytes([major_type << MAJOR_TYPE_SHIFT | additional]) + argument.to_bytes(size)
    raise OverflowError(argument)


def encode_prefix(service_id: int, revision: int) -> bytes:
    """Encode the part before the address block, for a service at a revision."""
    return (
        cbor_head(ARRAY, FIELD_COUNT)
        + cbor_head(UNSIGNED, DATAGRAM_TAG)
        + cbor_head(UNSIGNED, PROTOCOL_VERSION)
        + cbor_head(UNSIGNED, service_id)
        + cbor_head(UNSIGNED, revision)
        + cbor_head(UNSIGNED, 0)
        + cbor_head(BYTE_STRING, ADDRESS_BLOCK_LENGTH)
    )


def encode_candidates(packed_addresses: Sequence[bytes]) -> bytes:
    """Encode the list of candidates (packed end points, first choice first)."""
    items = [cbor_head(BYTE_STRING, len(packed)) + packed for packed in packed_addresses]
    return cbor_head(ARRAY, len(items)) + b"".join(items)


PAYLOAD_HEADS: Final = tuple(
    cbor_head(BYTE_STRING, length) for length in range(MAX_PAYLOAD_BYTES + 1)
)
"""Heads of the payload's byte string, by its length."""

ESTABLISHED_HEADS: Final = tuple(encode_candidates(()) + head for head in PAYLOAD_HEADS)
"""Empty candidates and the payload's head, by the payload's length."""
