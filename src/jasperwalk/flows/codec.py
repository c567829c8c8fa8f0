"""What the datagram plane asks of a packet codec.

The plane never looks into a packet by itself. A flow key names a flow as its caller sees it
(the caller's end point and the listener's); its bytes are opaque but for the calls below.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

SocketAddress = tuple[str, int]
"""An IPv4 address as text and a port, as sockets take them."""
DatagramSender = Callable[[bytes, SocketAddress], None]
"""Sends one datagram, or drops it."""


class PacketCodec(Protocol):
    """Reads the heads of a fabric's packets; every method but `is_complete` wants whole ones."""

    flow_key_bytes: int
    """Length of a flow key."""

    def is_complete(self, packet: bytes) -> bool:
        """Tell whether the packet has a full head and the length that its head names."""

    def flow_key(self, packet: bytes) -> bytes:
        """Return the flow's key, from a packet that its caller sent."""

    def reverse_flow_key(self, packet: bytes) -> bytes:
        """Return the flow's key, from a packet that its back end sent."""

    def listener_of(self, flow_key: bytes) -> bytes:
        """Return the six bytes (address, port) of the listener, as `Endpoint.pack` gives them."""

    def caller_of(self, flow_key: bytes) -> SocketAddress:
        """Return where packets for the caller are sent, but for the fabric's own port."""

    def is_opening(self, packet: bytes) -> bool:
        """Tell whether the packet asks for a new flow."""

    def opening_age_seconds(self, packet: bytes) -> float:
        """Return how long before an opening packet its caller began, as far as it tells."""

    def is_returned(self, packet: bytes) -> bool:
        """Tell whether a back end handed a caller's packet back."""

    def restore_returned(self, packet: bytes) -> bytes:
        """Return the caller's packet from one that was handed back."""

    def is_reset(self, packet: bytes) -> bool:
        """Tell whether the packet ends its flow at once."""

    def is_ending(self, packet: bytes) -> bool:
        """Tell whether the packet is its sender's last."""

    def payload_bytes(self, packet: bytes) -> int:
        """Return the length of the data that the packet carries."""

    def data_number(self, packet: bytes) -> int:
        """Return the 32-bit number of the packet's data, which rises from packet to packet.

        A packet that is sent again has the same number; it wraps around.
        """

    def opening_answer_number(self, packet: bytes) -> int | None:
        """Return the number of a back end's answer to an opening packet, None for others.

        Back ends draw it at random, so it tells them apart.
        """

    def follows(self, packet: bytes, answer_number: int) -> bool:
        """Tell whether a caller's packet follows this answer to its opening packet up."""

    def reset_for(self, packet: bytes) -> bytes:
        """Return the packet that resets the flow of a caller's packet."""

    def describe(self, flow_key: bytes) -> str:
        """Return the flow's ID in logs: caller and listener as text."""
