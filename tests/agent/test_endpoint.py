"""Flows end to end over a lossy, reordering network, and datagrams that have to be refused."""

import msgspec
import pytest
from aioquic.h3.connection import ErrorCode

from jasperwalk.agent.assembly import MAX_BODY_BYTES, RequestAssembler, RequestReady
from jasperwalk.agent.datagram_filter import DropReason
from jasperwalk.agent.handover import ANSWER_SECONDS
from jasperwalk.agent.service_view import ServiceView
from jasperwalk.config.table_entries import AdminState
from jasperwalk.messages.codec import Decoder
from jasperwalk.messages.datagrams import ForwardedDatagram

DOWNLOAD = bytes(range(256)) * 400


def _echo(endpoint):
    """Answer every complete request with its own body and a download."""
    assembler = RequestAssembler("test")

    def serve():
        for event in endpoint.take_events():
            for item in assembler.handle(event, 1000):
                if isinstance(item, RequestReady):
                    status = [(b":status", b"200"), (b"x-path", item.request.path.encode())]
                    endpoint.send_headers(item.stream, status, ended=False)
                    endpoint.send_data(item.stream, item.request.body + DOWNLOAD, ended=True)

    return serve


@pytest.mark.parametrize("seed", range(12))
def test_answers_are_complete_over_a_lossy_reordering_network(helpers, certificate, seed):
    view = helpers.make_view(helpers.member_entry(helpers.AGENT))
    endpoint = helpers.make_endpoint(certificate, view, seed)
    caller = helpers.Caller(0.0)
    network = helpers.Network(endpoint, caller, seed, loss=0.05)
    network.serve = _echo(endpoint)
    bodies = [bytes([number]) * (number * 9_000) for number in range(1, 6)]
    streams = [caller.request("POST", f"/submit/{n}", body) for n, body in enumerate(bodies)]
    responses = [caller.responses[stream] for stream in streams]
    assert network.run(lambda: caller.quic._handshake_confirmed)
    caller.quic.change_connection_id()
    assert network.run(lambda: all(response.ended for response in responses))
    for number, (response, body) in enumerate(zip(responses, bodies, strict=True)):
        assert response.status == 200
        assert response.headers["x-path"] == f"/submit/{number}"
        assert response.body == body + DOWNLOAD
    assert endpoint.open_flows == 1


REBINDINGS = {
    "another port": ["127.2.0.1:50001"],
    "another address": ["127.2.0.9:50000"],
    "there and back": ["127.2.0.9:4444", "127.2.0.1:50000"],
    "again and again": [f"127.2.0.9:{port}" for port in range(4_000, 4_006)],
}


@pytest.mark.parametrize("loss", [0.0, 0.05])
@pytest.mark.parametrize("case", REBINDINGS)
def test_a_flow_goes_on_when_the_address_of_its_caller_changes(helpers, certificate, case, loss):
    endpoint = helpers.make_endpoint(
        certificate, helpers.make_view(helpers.member_entry(helpers.AGENT))
    )
    caller = helpers.Caller(0.0)
    network = helpers.Network(endpoint, caller, 3, loss)
    network.serve = _echo(endpoint)
    assert network.run(lambda: caller.quic._handshake_confirmed)
    for text in REBINDINGS[case]:
        response = caller.responses[caller.request("POST", "/submit", b"names" * 2_000)]
        network.run(lambda response=response: response.body, 5.0)  # in the middle of the answer
        host, port = text.split(":")
        network.caller_address = helpers.Endpoint(host, int(port))
        caller.quic.send_ping(1)
        assert network.run(lambda response=response: response.ended)
        assert response.body == b"names" * 2_000 + DOWNLOAD
        network.run(lambda: False, 2.0)
        network.answered_to.clear()
        later = caller.responses[caller.request("GET", "/lookup")]
        assert network.run(lambda later=later: later.ended)
        assert network.answered_to == {network.caller_address}
    assert endpoint.open_flows == 1
    assert caller.terminated is None


def test_a_body_beyond_the_limit_is_refused_at_once_and_its_rest_not_wanted(helpers, certificate):
    endpoint = helpers.make_endpoint(
        certificate, helpers.make_view(helpers.member_entry(helpers.AGENT))
    )
    caller = helpers.Caller(0.0)
    network = helpers.Network(endpoint, caller, 4, 0.0)
    assembler, ready = RequestAssembler("test"), []

    def serve():
        for event in endpoint.take_events():
            for item in assembler.handle(event, 1000):
                if isinstance(item, RequestReady):
                    ready.append(item.request)
                    continue
                head = [(b":status", str(item.answer.status).encode())]
                endpoint.send_headers(item.stream, head, ended=False)
                endpoint.send_data(item.stream, item.answer.body, ended=True)

    network.serve = serve
    oversized_body = b"n" * (MAX_BODY_BYTES + 1_000_000)
    response = caller.responses[caller.request("POST", "/submit", oversized_body)]
    assert network.run(lambda: response.ended and response.stopped is not None)
    assert (response.status, response.stopped) == (413, ErrorCode.H3_NO_ERROR)
    caller.request("POST", "/lookup", b"short")
    assert network.run(lambda: ready)
    assert [request.body for request in ready] == [b"short"]
    assert endpoint.open_flows == 1


def _initial(helpers):
    return helpers.Caller(0.0).datagrams(0.0)[0]


def _short_packet(helpers, first):
    return bytes([0x40]) + first + b"\x00" * 40


def _foreign_connection_id(helpers, **changes):
    from jasperwalk.routing.connection_ids import ConnectionIdCodec, RoutableId

    fields = {
        "address": helpers.AGENT,
        "service_id": helpers.SERVICE_ID,
        "incarnation": 1,
        **changes,
    }
    return ConnectionIdCodec(helpers.KEYS).encode(RoutableId(**fields), b"12345")


REFUSED = {
    "garbage": (lambda helpers: b"\xff\x00garbage", DropReason.MALFORMED, 0),
    "another service": (
        lambda helpers: helpers.forwarded(_initial(helpers), service_id=8),
        DropReason.OTHER_SERVICE,
        0,
    ),
    "another listener": (
        lambda helpers: helpers.forwarded(_initial(helpers), vip=helpers.OTHER_AGENT),
        DropReason.OTHER_LISTENER,
        0,
    ),
    "connection ID of another agent": (
        lambda helpers: helpers.forwarded(
            _short_packet(helpers, _foreign_connection_id(helpers, address=helpers.OTHER_AGENT))
        ),
        DropReason.OTHER_ADDRESS,
        0,
    ),
    "connection ID of another service at this address": (
        lambda helpers: helpers.forwarded(
            _short_packet(helpers, _foreign_connection_id(helpers, service_id=9))
        ),
        DropReason.OTHER_SERVICE,
        0,
    ),
    "flow of an earlier incarnation is reset": (
        lambda helpers: helpers.forwarded(
            _short_packet(helpers, _foreign_connection_id(helpers, incarnation=9))
        ),
        DropReason.UNKNOWN_FLOW,
        1,
    ),
    "unroutable short packet": (
        lambda helpers: helpers.forwarded(_short_packet(helpers, b"\x00" * 17)),
        DropReason.NOT_ROUTABLE,
        0,
    ),
    "Initial too short to be a caller's": (
        lambda helpers: helpers.forwarded(_initial(helpers)[:600]),
        DropReason.NOT_ROUTABLE,
        0,
    ),
}


@pytest.mark.parametrize("case", REFUSED)
def test_refused_datagrams(helpers, certificate, case):
    build, reason, resets = REFUSED[case]
    endpoint = helpers.make_endpoint(
        certificate, helpers.make_view(helpers.member_entry(helpers.AGENT))
    )
    endpoint.datagram_received(build(helpers), 0.0)
    endpoint.flush(0.0)
    assert dict(endpoint.drops) == {reason: 1}
    assert len(endpoint.take_outgoing()) == resets
    assert endpoint.open_flows == 0


def test_a_restarted_agent_ends_the_flows_of_its_last_start(helpers, certificate):
    view = helpers.make_view(helpers.member_entry(helpers.AGENT))
    caller = helpers.Caller(0.0)
    network = helpers.Network(helpers.make_endpoint(certificate, view), caller, 5, 0.0)
    assert network.run(lambda: caller.quic._handshake_confirmed)
    network.run(lambda: False, 0.5)
    second_start = helpers.make_view(helpers.member_entry(helpers.AGENT, incarnation=2))
    network.endpoint = helpers.make_endpoint(certificate, second_start, seed=9)
    caller.request("GET", "/lookup")
    assert network.run(lambda: caller.reset_by_token, 1.0)
    assert network.endpoint.resets_sent >= 1


def test_a_quiet_open_stream_outlives_the_idle_time_outs(helpers, certificate):
    endpoint = helpers.make_endpoint(
        certificate, helpers.make_view(helpers.member_entry(helpers.AGENT))
    )
    caller = helpers.Caller(0.0)
    network = helpers.Network(endpoint, caller, 1, 0.05)
    caller.request("GET", "/stream")
    network.run(lambda: endpoint.has_events)
    stream = endpoint.take_events()[0].stream
    network.run(lambda: caller.terminated is not None, 150.0)
    assert caller.terminated is None
    assert endpoint.send_headers(stream, [(b":status", b"200")], ended=True)
    assert network.run(lambda: caller.responses[0].ended)


def test_a_handshake_that_is_not_completed_times_out(helpers, certificate):
    endpoint = helpers.make_endpoint(
        certificate, helpers.make_view(helpers.member_entry(helpers.AGENT))
    )
    endpoint.datagram_received(helpers.forwarded(_initial(helpers)), 0.0)
    endpoint.flush(0.0)
    while endpoint.open_flows:
        due = endpoint.next_timer()
        assert due is not None
        assert due <= 10.0
        endpoint.handle_timers(due)
        endpoint.flush(due)
    assert due == 10.0


def test_a_flow_is_not_reached_through_another_service(helpers, certificate):
    endpoint = helpers.make_endpoint(
        certificate, helpers.make_view(helpers.member_entry(helpers.AGENT))
    )
    initial = _initial(helpers)
    endpoint.datagram_received(helpers.forwarded(initial), 0.0)
    assert endpoint.open_flows == 1
    service = msgspec.structs.replace(helpers.service_entry(), service_id=8)
    member = msgspec.structs.replace(helpers.member_entry(helpers.AGENT), service_id=8)
    view = ServiceView.build(helpers.AGENT, 6, 2, [service, member, *helpers.KEYS])
    endpoint.set_view(view)
    endpoint.datagram_received(helpers.forwarded(initial, service_id=8), 0.0)
    assert dict(endpoint.drops) == {DropReason.OTHER_SERVICE: 1}


HANDOVERS = {
    # own member's changes, other members, incarnation, expected target
    "draining, second candidate": ({"admin_state": AdminState.DRAINING}, (7_002,), 1, 7_002),
    "no incarnation yet": ({}, (7_002,), 0, 7_002),
    "second candidate not eligible": ({"admin_state": AdminState.DRAINING}, (7_003,), 1, 7_003),
    "draining and alone: accepted": ({"admin_state": AdminState.DRAINING}, (), 1, None),
    "ready: accepted": ({}, (7_002,), 1, None),
}


@pytest.mark.parametrize("case", HANDOVERS)
def test_new_flows_of_an_agent_that_takes_none(helpers, certificate, case):
    changes, ports, incarnation, target = HANDOVERS[case]
    others = [helpers.member_entry(helpers.Endpoint("127.0.0.1", port)) for port in ports]
    own = helpers.member_entry(helpers.AGENT, **changes)
    view = helpers.make_view(own, *others, incarnation=incarnation)
    endpoint = helpers.make_endpoint(certificate, view)
    initial = _initial(helpers)
    datagram = helpers.forwarded(initial, (helpers.AGENT, helpers.OTHER_AGENT))
    endpoint.datagram_received(datagram, 0.0)
    endpoint.set_view(helpers.make_view(helpers.member_entry(helpers.AGENT), *others))
    soon = ANSWER_SECONDS - 0.1
    endpoint.datagram_received(datagram, soon)  # a retransmission follows the first choice
    endpoint.flush(soon)
    handed = [out for out in endpoint.take_outgoing() if isinstance(out, helpers.ToAgent)]
    assert [out.address.port for out in handed] == ([] if target is None else [target] * 2)
    assert endpoint.open_flows == (1 if target is None else 0)
    endpoint.datagram_received(datagram, 9.0)  # no answer came: the agent now takes new work
    endpoint.flush(9.0)
    assert not any(isinstance(out, helpers.ToAgent) for out in endpoint.take_outgoing())
    assert endpoint.open_flows == 1
    for out in handed:
        passed_on = Decoder(ForwardedDatagram).decode(out.data)
        assert (passed_on.hops, passed_on.payload) == (1, initial)
        second = helpers.make_endpoint(
            certificate, helpers.make_view(own, *others), seed=4
        )  # draining too, but at most one hop is allowed
        second.datagram_received(out.data, 9.0)
        second.flush(9.0)
        assert not any(isinstance(out, helpers.ToAgent) for out in second.take_outgoing())
