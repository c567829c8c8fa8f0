"""A codec for the tests and builders of packets: the cores know no platform's packet heads."""

from __future__ import annotations

import struct
from zlib import crc32

from jasperwalk.addresses import Endpoint

HEAD = struct.Struct("!6s6sBH")
GREETING = b"hello "
OPENING, ENDING, RESET, RETURNED = 1, 2, 4, 8
LISTENER = Endpoint("198.18.0.1", 443)
CALLER = Endpoint("100.64.0.7", 40001)


class PlainCodec:
    """Sender, receiver, flags, length of the data; a flow key is sender and receiver."""

    flow_key_bytes = 12

    def is_complete(self, packet):
        return len(packet) >= HEAD.size and len(packet) == HEAD.size + self.payload_bytes(packet)

    def flow_key(self, packet):
        return packet[:12]

    def reverse_flow_key(self, packet):
        return packet[6:12] + packet[:6]

    def listener_of(self, flow_key):
        return flow_key[6:12]

    def caller_of(self, flow_key):
        caller = Endpoint.unpack(flow_key[:6])
        return caller.host, caller.port

    def is_opening(self, packet):
        return bool(packet[12] & OPENING)

    def opening_age_seconds(self, packet):
        """The data of a copy of an opening packet is its age in tenths of a second."""
        return packet[HEAD.size] / 10 if len(packet) > HEAD.size else 0.0

    def is_returned(self, packet):
        return bool(packet[12] & RETURNED)

    def restore_returned(self, packet):
        return packet[:12] + bytes((packet[12] & ~RETURNED,)) + packet[13:]

    def is_reset(self, packet):
        return bool(packet[12] & RESET)

    def is_ending(self, packet):
        return bool(packet[12] & ENDING)

    def payload_bytes(self, packet):
        return HEAD.unpack_from(packet)[3]

    def data_number(self, packet):
        """The first byte of the data is its number."""
        return packet[HEAD.size]

    def opening_answer_number(self, packet):
        """A host greets its caller with its name; the caller's packets end with @NAME."""
        data = packet[HEAD.size :]
        return crc32(data[len(GREETING) :]) if data.startswith(GREETING) else None

    def follows(self, packet, answer_number):
        return crc32(packet.rpartition(b"@")[2]) == answer_number

    def reset_for(self, packet):
        return HEAD.pack(packet[6:12], packet[:6], RESET, 0)

    def describe(self, flow_key):
        return f"{Endpoint.unpack(flow_key[:6])}>{Endpoint.unpack(flow_key[6:12])}"


class SilentLog:
    """Collects logged decisions instead of writing them."""

    def __init__(self):
        self.events = []

    def note(self, event, **fields):
        self.events.append((event, fields))

    def names(self):
        return [event for event, _ in self.events]


def from_caller(flags=0, data=b"", caller=CALLER, listener=LISTENER):
    return HEAD.pack(caller.pack(), listener.pack(), flags, len(data)) + data


def from_host(flags=0, data=b"", caller=CALLER, listener=LISTENER):
    return HEAD.pack(listener.pack(), caller.pack(), flags, len(data)) + data


def key_of(caller=CALLER, listener=LISTENER):
    return caller.pack() + listener.pack()
