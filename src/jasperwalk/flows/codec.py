"""The interface of a packet codec, which reads packets for the datagram plane.

The plane itself never parses a packet. A flow key identifies a flow as its caller sees it (the
caller's end point and the listener's); its bytes are opaque except to the methods below.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

SocketAddress = tuple[str, int]
"""An IPv4 address as text and a port, as the socket API takes them."""
DatagramSender = Callable[[bytes, SocketAddress], None]
"""Sends one datagram; drops it if the kernel does not take it."""


class PacketCodec(Protocol):
    """Reads the heads of a fabric's packets; all methods but `is_complete` need complete ones."""

    flow_key_bytes: int
    """Length of a flow key."""

    def is_complete(self, packet: bytes) -> bool:
        """Tell whether the packet has a full head and the length that its head states."""

    def flow_key(self, packet: bytes) -> bytes:
        """Return the flow's key, from a packet that its caller sent."""

    def reverse_flow_key(self, packet: bytes) -> bytes:
        """Return the flow's key, from a packet that its host sent."""

    def listener_of(self, flow_key: bytes) -> bytes:
        """Return the six bytes (address, port) of the listener, as `Endpoint.pack` gives them."""

    def caller_of(self, flow_key: bytes) -> SocketAddress:
        """Return the address for packets to the caller; the fabric may use another port."""

    def is_opening(self, packet: bytes) -> bool:
        """Tell whether the packet asks for a new flow."""

    def opening_age_seconds(self, packet: bytes) -> float:
        """Return the age of its caller's attempt that an opening packet states."""

    def is_returned(self, packet: bytes) -> bool:
        """Tell whether a host returned a caller's packet."""

    def restore_returned(self, packet: bytes) -> bytes:
        """Return the caller's packet from one that was returned."""

    def is_reset(self, packet: bytes) -> bool:
        """Tell whether the packet ends its flow at once."""

    def is_ending(self, packet: bytes) -> bool:
        """Tell whether the packet is the last one of its sender."""

    def payload_bytes(self, packet: bytes) -> int:
        """Return the length of the data that the packet carries."""

    def data_number(self, packet: bytes) -> int:
        """Return the 32-bit number of the packet's data, which rises from packet to packet.

        A packet that is sent again has the same number; it wraps around.
        """

    def opening_answer_number(self, packet: bytes) -> int | None:
        """Return the number of a host's answer to an opening packet, None for other packets.

        Hosts draw it at random, so it identifies the host that answered.
        """

    def follows(self, packet: bytes, answer_number: int) -> bool:
        """Tell whether a caller's packet follows up this answer to its opening packet."""

    def reset_for(self, packet: bytes) -> bytes:
        """Return the packet that resets the flow of a caller's packet."""

    def describe(self, flow_key: bytes) -> str:
        """Return the flow's name in logs: caller and listener as text."""
