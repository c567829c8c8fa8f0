"""A drain sends GOAWAY on open flows, in bounded turns, and breaks none of them."""

import dataclasses

import msgspec
import pytest
from aioquic.buffer import Buffer
from aioquic.h3.connection import FrameType
from aioquic.quic.events import StreamDataReceived

from jasperwalk.agent import go_away
from jasperwalk.agent.go_away import PendingGoAways
from jasperwalk.agent.http3 import GO_AWAY_STREAM_ID, RequestHeaders
from jasperwalk.config.table_entries import AdminState

CONTROL_STREAM = 0


def draining(view):
    member = msgspec.structs.replace(view.member, admin_state=AdminState.DRAINING)
    return dataclasses.replace(view, member=member)


def record_control_stream(caller):
    """Return the data received on the agent's control stream; it grows as data arrives."""
    received, handle = {}, caller._handle

    def record(event):
        if isinstance(event, StreamDataReceived) and event.stream_id & 3 == 3:
            received.setdefault(event.stream_id, bytearray()).extend(event.data)
        handle(event)

    caller._handle = record
    return received


def go_aways_in(received):
    """Read the frames of the control stream; return the stream IDs of its GOAWAYs."""
    (data,) = (bytes(data) for data in received.values() if data[0] == CONTROL_STREAM)
    buffer, found = Buffer(data=data[1:]), []
    while not buffer.eof():
        kind, length = buffer.pull_uint_var(), buffer.pull_uint_var()
        payload = Buffer(data=buffer.pull_bytes(length))
        if kind == FrameType.GOAWAY:
            found.append(payload.pull_uint_var())
    return found


STARTS_OF_A_DRAIN = {
    "drained": draining,
    "stopping": lambda view: dataclasses.replace(view, stopping=True),
    "taken out": lambda view: dataclasses.replace(view, removed=True),
}


@pytest.mark.parametrize("loss", [0.0, 0.2])
@pytest.mark.parametrize("case", STARTS_OF_A_DRAIN)
def test_a_drain_asks_callers_for_another_flow_and_goes_on_serving_this_one(
    helpers, certificate, case, loss
):
    view = helpers.make_view(helpers.member_entry(helpers.AGENT))
    endpoint = helpers.make_endpoint(certificate, view)
    caller = helpers.Caller(0.0)
    received = record_control_stream(caller)
    network = helpers.Network(endpoint, caller, 5, loss)
    stream_id = caller.request("GET", "/stream")
    events = []
    assert network.run(lambda: bool(events.extend(endpoint.take_events()) or events))
    assert not endpoint.maintenance.send_some_go_aways()
    for _ in range(2):  # the same drain, seen again, sends GOAWAY once
        endpoint.set_view(STARTS_OF_A_DRAIN[case](view))
        endpoint.maintenance.send_some_go_aways()
    later = caller.request("GET", "/lookup")
    assert network.run(lambda: bool(events.extend(endpoint.take_events()) or len(events) > 1))
    assert [type(event) for event in events] == [RequestHeaders] * 2
    for event in events:
        endpoint.send_headers(event.stream, [(b":status", b"200")], ended=False)
        endpoint.send_data(event.stream, b"whole", ended=True)
    ended = [caller.responses[each] for each in (stream_id, later)]
    assert network.run(lambda: all(response.ended for response in ended))
    network.run(lambda: False, 2.0)
    assert go_aways_in(received) == [GO_AWAY_STREAM_ID]
    assert caller.terminated is None


def test_flows_get_go_away_in_bounded_turns_and_not_after_the_drain_ended(helpers, monkeypatch):
    monkeypatch.setattr(go_away, "FLOWS_PER_TURN", 2)
    view = helpers.make_view(helpers.member_entry(helpers.AGENT))
    go_aways = PendingGoAways()
    go_aways.view_changed(view, view, [1, 2, 3])
    assert go_aways.take() == []
    go_aways.view_changed(view, draining(view), [1, 2, 3])
    assert (go_aways.take(), go_aways.take(), go_aways.take()) == ([1, 2], [3], [])
    go_aways.view_changed(view, draining(view), [1, 2, 3])
    go_aways.view_changed(draining(view), view, [1, 2, 3])
    assert go_aways.take() == []
