"""Seals: accepted throughout a key rotation, and refused where forged."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jasperwalk.config.table_entries import KeyEntry, KeyPurpose
from jasperwalk.messages.codec import Decoder, encode
from jasperwalk.messages.datagram_seal import DatagramSeal
from jasperwalk.messages.datagrams import DatagramMessage, ForwardedDatagram, SealedDatagram

OLD, NEW = b"o" * 16, b"n" * 16
INNER = b"an encoded datagram"
DECODER = Decoder(DatagramMessage)


def key(rotation, secret, active):
    return KeyEntry(KeyPurpose.DATAGRAM, rotation, secret, active)


def open_sealed(data):
    message = DECODER.decode(data)
    assert isinstance(message, SealedDatagram)
    return message


KEYS_BY_STAGE = {
    "before": [key(0, OLD, True)],
    "installed": [key(0, OLD, True), key(1, NEW, False)],
    "activated": [key(0, OLD, False), key(1, NEW, True)],
    "retired": [key(1, NEW, True)],
}
NEXT_STEPS = [
    ("before", "installed"),
    ("installed", "activated"),
    ("activated", "retired"),
]


@pytest.mark.parametrize(("earlier", "later"), NEXT_STEPS)
@pytest.mark.parametrize("reverse", [False, True])
def test_processes_one_step_of_a_rotation_apart_accept_each_other(earlier, later, reverse):
    sender, receiver = (later, earlier) if reverse else (earlier, later)
    sealed = open_sealed(DatagramSeal(KEYS_BY_STAGE[sender]).seal(INNER))
    assert sealed.datagram == INNER
    assert DatagramSeal(KEYS_BY_STAGE[receiver]).accepts(sealed)


FORGERIES = {
    "other datagram": lambda sealed: (sealed.rotation, sealed.mac, INNER + b"!"),
    "changed mac": lambda sealed: (sealed.rotation, sealed.mac[:-1] + b"\0", sealed.datagram),
    "short mac": lambda sealed: (sealed.rotation, sealed.mac[:4], sealed.datagram),
    "no mac": lambda sealed: (sealed.rotation, b"", sealed.datagram),
    "unknown rotation": lambda sealed: (6, sealed.mac, sealed.datagram),
    "other rotation": lambda sealed: (0, sealed.mac, sealed.datagram),
}


@pytest.mark.parametrize("forge", FORGERIES.values(), ids=FORGERIES)
def test_a_forged_seal_is_not_accepted(forge):
    sealer = DatagramSeal(KEYS_BY_STAGE["activated"])
    rotation, mac, datagram = forge(open_sealed(sealer.seal(INNER)))
    assert not sealer.accepts(SealedDatagram(1, rotation, mac, datagram))


@pytest.mark.parametrize("keys", [[], [KeyEntry(KeyPurpose.TICKET, 0, OLD, True)]])
def test_without_a_datagram_key_nothing_is_sealed(keys):
    sealer = DatagramSeal(keys)
    assert not sealer.has_keys
    assert sealer.seal(INNER) == INNER


@settings(max_examples=200, derandomize=True)
@given(st.binary(max_size=2048), st.integers(0, 6), st.binary(min_size=16, max_size=64))
def test_any_datagram_survives_sealing(datagram, rotation, secret):
    sealer = DatagramSeal([key(rotation, secret, True)])
    sealed = open_sealed(sealer.seal(datagram))
    assert (sealed.rotation, sealed.datagram) == (rotation, datagram)
    assert sealer.accepts(sealed)


def test_a_plain_datagram_is_decoded_as_such():
    plain = ForwardedDatagram(1, 2, 3, 0, b"a" * 12, [], b"payload")
    assert DECODER.decode(encode(plain)) == plain
