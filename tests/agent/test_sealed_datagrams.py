"""Only processes of the fleet can open flows at an agent or make it forward datagrams."""

import dataclasses

import pytest

from jasperwalk.agent.datagram_filter import DropReason
from jasperwalk.config.table_entries import AdminState, KeyEntry, KeyPurpose
from jasperwalk.messages.codec import Decoder, encode
from jasperwalk.messages.datagram_seal import DatagramSeal
from jasperwalk.messages.datagrams import DatagramMessage, SealedDatagram

KEY = KeyEntry(KeyPurpose.DATAGRAM, 0, b"d" * 16, True)
NEXT_KEY = KeyEntry(KeyPurpose.DATAGRAM, 1, b"e" * 16, False)
OTHER_KEY = KeyEntry(KeyPurpose.DATAGRAM, 0, b"x" * 16, True)


def agent(helpers, certificate, *keys, **member):
    own = helpers.member_entry(helpers.AGENT, **member)
    view = helpers.make_view(own, helpers.member_entry(helpers.OTHER_AGENT))
    return helpers.make_endpoint(certificate, dataclasses.replace(view, keys=(*view.keys, *keys)))


def initial(helpers):
    (data,) = helpers.Caller(0.0).datagrams(0.0)[:1]
    return helpers.forwarded(data, (helpers.AGENT, helpers.OTHER_AGENT))


SENDERS = {
    "unsealed": (lambda data: data, DropReason.NOT_SEALED),
    "sealed with another key": (DatagramSeal([OTHER_KEY]).seal, DropReason.WRONG_SEAL),
    "seal of another datagram": (
        lambda data: encode(
            SealedDatagram(
                1, 0, Decoder(SealedDatagram).decode(DatagramSeal([KEY]).seal(b"")).mac, data
            )
        ),
        DropReason.WRONG_SEAL,
    ),
    "sealed twice": (
        lambda data: DatagramSeal([KEY]).seal(DatagramSeal([KEY]).seal(data)),
        DropReason.MALFORMED,
    ),
}


@pytest.mark.parametrize("state", list(AdminState))
@pytest.mark.parametrize(("send", "reason"), SENDERS.values(), ids=SENDERS)
def test_a_forged_new_flow_is_dropped(helpers, certificate, send, reason, state):
    endpoint = agent(helpers, certificate, KEY, admin_state=state)
    endpoint.datagram_received(send(initial(helpers)), 0.0)
    endpoint.flush(0.0)
    assert dict(endpoint.drops) == {reason: 1}
    assert endpoint.open_flows == 0
    assert endpoint.take_outgoing() == []


def test_an_unsealed_version_negotiation_is_not_answered(helpers, certificate):
    endpoint = agent(helpers, certificate, KEY)
    payload = b"\xc0\x1a\x2a\x3a\x4a" + b"\x08" + b"d" * 8 + b"\x08" + b"s" * 8
    data = helpers.forwarded(payload.ljust(1200, b"\0"))
    endpoint.datagram_received(data, 0.0)
    assert endpoint.take_outgoing() == []
    endpoint.datagram_received(DatagramSeal([KEY]).seal(data), 0.0)
    assert len(endpoint.take_outgoing()) == 1


@pytest.mark.parametrize("sender", [KEY, NEXT_KEY])
def test_keys_that_are_known_open_flows(helpers, certificate, sender):
    endpoint = agent(helpers, certificate, KEY, NEXT_KEY)
    active = KeyEntry(sender.purpose, sender.rotation, sender.secret, True)
    endpoint.datagram_received(DatagramSeal([active]).seal(initial(helpers)), 0.0)
    assert endpoint.open_flows == 1


def test_a_flow_that_is_handed_over_is_sealed_again(helpers, certificate):
    draining = agent(helpers, certificate, KEY, admin_state=AdminState.DRAINING)
    draining.datagram_received(DatagramSeal([KEY]).seal(initial(helpers)), 0.0)
    (handed,) = draining.take_outgoing()
    message = Decoder(DatagramMessage).decode(handed.data)
    assert isinstance(message, SealedDatagram)
    assert DatagramSeal([KEY]).accepts(message)
    assert Decoder(DatagramMessage).decode(message.datagram).hops == 1
