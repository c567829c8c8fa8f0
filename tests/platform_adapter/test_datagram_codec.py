import pytest
from datagram_codec import PlatformCodec

from jasperwalk.addresses import Endpoint

CODEC = PlatformCodec()
SYN = bytes.fromhex("644000079c4101bbc61200011122334400000000a1b2c3d50000000004000000")
RESET = bytes.fromhex("c612000101bb9c4164400007" + "00" * 16 + "02000000")


def packet(flags, data=b"", ack=0):
    changed = bytearray(SYN)
    changed[16:20] = ack.to_bytes(4, "big")
    changed[28] = flags
    changed[30:32] = len(data).to_bytes(2, "big")
    return bytes(changed) + data


def test_the_reset_of_the_pages_example():
    assert CODEC.reset_for(SYN) == RESET


def test_a_resets_number_is_the_callers_last_acknowledgement():
    assert CODEC.reset_for(packet(16, ack=0x55667788))[12:16] == bytes.fromhex("55667788")


def test_the_ends_of_a_flow():
    key = CODEC.flow_key(SYN)
    assert len(key) == CODEC.flow_key_bytes
    assert CODEC.caller_of(key) == ("100.64.0.7", 40001)
    assert CODEC.listener_of(key) == Endpoint("198.18.0.1", 443).pack()
    assert CODEC.describe(key) == "100.64.0.7:40001>198.18.0.1:443"


def test_a_hosts_packet_has_the_same_key():
    assert CODEC.reverse_flow_key(RESET) == CODEC.flow_key(SYN)


@pytest.mark.parametrize(
    ("flags", "opening", "ending", "reset", "returned"),
    [
        (4, True, False, False, False),
        (4 | 16, False, False, False, False),
        (16, False, False, False, False),
        (16 | 32, False, True, False, False),
        (2, False, False, True, False),
        (4 | 8, True, False, False, True),
    ],
)
def test_flags(flags, opening, ending, reset, returned):
    read = packet(flags)
    assert CODEC.is_opening(read) is opening
    assert CODEC.is_ending(read) is ending
    assert CODEC.is_reset(read) is reset
    assert CODEC.is_returned(read) is returned


@pytest.mark.parametrize(
    ("copy", "age"), [(0, 0.0), (1, 0.2), (2, 0.6), (3, 0.6), (2**32 - 1, 0.6)]
)
def test_a_copy_of_the_opening_packet_tells_its_age(copy, age):
    assert CODEC.opening_age_seconds(packet(4, ack=copy)) == age


def test_the_number_of_a_packets_data():
    assert CODEC.data_number(SYN) == 0x11223344


def test_a_returned_packet_is_as_its_caller_wrote_it():
    sent = packet(16, b"data")
    returned = bytearray(sent)
    returned[24:28] = b"echo"
    returned[28] |= 8
    assert CODEC.restore_returned(bytes(returned)) == sent


@pytest.mark.parametrize("cut", [b"", SYN[:31], SYN + b"x", packet(16, b"data")[:-1]])
def test_truncated_or_overlong_packets_are_incomplete(cut):
    assert not CODEC.is_complete(cut)


def test_complete_packets():
    assert CODEC.is_complete(SYN)
    assert CODEC.is_complete(packet(16, b"data"))
    assert CODEC.payload_bytes(packet(16, b"data")) == 4


@pytest.mark.parametrize(
    ("flags", "number"), [(4 | 16, 0x11223344), (16, None), (4, None), (2, None)]
)
def test_the_number_of_a_hosts_answer(flags, number):
    assert CODEC.opening_answer_number(packet(flags)) == number


@pytest.mark.parametrize(
    ("acknowledged", "follows"),
    [(7, True), (8, True), (7 + 2**16 - 1, True), (7 + 2**16, False), (6, False), (0, False)],
)
def test_a_callers_packet_follows_the_answer_that_it_acknowledges(acknowledged, follows):
    assert CODEC.follows(packet(16, ack=acknowledged), 7) is follows


def test_acknowledged_numbers_wrap_around():
    assert CODEC.follows(packet(16, ack=0), 2**32 - 1)
