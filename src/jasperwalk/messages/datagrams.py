"""Datagrams between balancers and agents (UDP, one message per datagram)."""

from __future__ import annotations

import msgspec

ADDRESS_BLOCK_LENGTH = 12
"""Bytes of an address block: source IPv4, destination IPv4, source port, destination port.

It is the address part of a PROXY protocol v2 header for UDP over IPv4, forwarded unchanged:
the source is the caller, the destination the VIP.
"""


class ForwardedDatagram(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A caller's datagram, forwarded to an agent.

    `candidates` is empty for a packet of an established flow. For a new flow it holds the
    packed end points (six bytes each) of the ordered candidates, first and second choice.
    `revision` is the sender's table revision. `hops` counts hand-overs between agents.
    """

    version: int
    service_id: int
    revision: int
    hops: int
    address_block: bytes
    candidates: list[bytes]
    payload: bytes


class SealedDatagram(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """An encoded `ForwardedDatagram` with its MAC; see `jasperwalk.messages.datagram_seal`.

    `rotation` identifies the fleet's datagram key of the MAC (8 bytes).
    """

    version: int
    rotation: int
    mac: bytes
    datagram: bytes


DatagramMessage = ForwardedDatagram | SealedDatagram
"""All messages that an agent accepts on its forwarding port."""
