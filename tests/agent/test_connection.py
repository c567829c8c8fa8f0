"""Contract with aioquic: the internals that `RoutableServerConnection` replaces."""

import pytest

from jasperwalk.agent.http3 import RequestHeaders
from jasperwalk.agent.stateless_reset import reset_packet, reset_token
from jasperwalk.routing.connection_ids import ConnectionIdCodec, RoutableId


def _connected(helpers, certificate, seed=3, loss=0.0):
    endpoint = helpers.make_endpoint(
        certificate, helpers.make_view(helpers.member_entry(helpers.AGENT)), seed
    )
    caller = helpers.Caller(0.0)
    network = helpers.Network(endpoint, caller, seed, loss)
    assert network.run(lambda: caller.quic._handshake_confirmed)
    return endpoint, caller, network


def test_every_connection_id_that_a_caller_gets_is_routable(helpers, certificate):
    endpoint, caller, network = _connected(helpers, certificate)
    codec = ConnectionIdCodec(helpers.KEYS)
    expected = RoutableId(helpers.AGENT, helpers.SERVICE_ID, 1)
    seen = set()
    for _ in range(12):  # more changes than there are connection IDs at once
        network.run(lambda: bool(caller.quic._peer_cid_available), 1.0)
        seen.add(caller.quic._peer_cid.cid)
        assert codec.decode(caller.quic._peer_cid.cid) == expected
        caller.quic.change_connection_id()
        caller.quic.send_ping(1)
        network.run(lambda: False, 0.2)
    assert len(seen) == 12
    assert endpoint.open_flows == 1
    assert caller.terminated is None


def test_tokens_that_a_caller_gets_derive_from_the_fleet_key(helpers, certificate):
    _, caller, _ = _connected(helpers, certificate)
    issued = [caller.quic._peer_cid, *caller.quic._peer_cid_available]
    assert len(issued) > 1
    for connection_id in issued:
        assert connection_id.stateless_reset_token == reset_token(b"r" * 32, connection_id.cid)


def test_early_data_and_resumption_stay_off(helpers, certificate):
    _, caller, network = _connected(helpers, certificate)
    network.run(lambda: False, 1.0)
    assert caller.session_tickets == []


def test_unsent_bytes_counts_what_is_not_acknowledged(helpers, certificate):
    endpoint, caller, network = _connected(helpers, certificate)
    caller.request("GET", "/proof")
    events = []
    network.run(lambda: bool(events.extend(endpoint.take_events()) or events))
    head = next(event for event in events if isinstance(event, RequestHeaders))
    assert endpoint.send_headers(head.stream, [(b":status", b"200")], ended=False)
    assert endpoint.send_data(head.stream, b"x" * 50_000, ended=False)
    assert endpoint.unsent_bytes(head.stream) >= 50_000
    network.run(lambda: endpoint.unsent_bytes(head.stream) == 0)
    assert endpoint.unsent_bytes(head.stream) == 0
    assert endpoint.send_data(head.stream, b"", ended=True)
    assert not endpoint.send_data(head.stream, b"late", ended=True)


@pytest.mark.parametrize(("received", "expected"), [(21, None), (22, 21), (40, 39), (1200, 43)])
def test_a_reset_is_shorter_than_what_caused_it(helpers, received, expected):
    import random

    packet = reset_packet(b"t" * 16, received, random.Random(1))
    assert (None if packet is None else len(packet)) == expected
    assert packet is None or packet.endswith(b"t" * 16)
