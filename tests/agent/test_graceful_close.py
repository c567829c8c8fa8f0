"""Conditions for which a planned closing of an agent's flows has to wait."""

import msgspec
import pytest

from jasperwalk.agent.service_view import ServiceView


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_an_answer_is_undelivered_until_the_caller_acknowledged_it(helpers, certificate, loss):
    endpoint = helpers.make_endpoint(
        certificate, helpers.make_view(helpers.member_entry(helpers.AGENT))
    )
    caller = helpers.Caller(0.0)
    network = helpers.Network(endpoint, caller, 1, loss)
    caller.request("GET", "/download")
    network.run(lambda: endpoint.has_events)
    stream = endpoint.take_events()[0].stream
    assert not endpoint.has_undelivered_answers
    endpoint.send_headers(stream, [(b":status", b"200")], ended=False)
    endpoint.send_data(stream, bytes(50_000), ended=True)
    assert endpoint.has_undelivered_answers
    network.run(lambda: not endpoint.has_undelivered_answers, 20.0)
    assert not endpoint.has_undelivered_answers
    assert caller.responses[0].ended


def test_a_member_that_moves_keeps_its_former_service_for_open_flows(helpers):
    before = helpers.make_view(helpers.member_entry(helpers.AGENT))
    service = msgspec.structs.replace(helpers.service_entry(), service_id=8)
    member = msgspec.structs.replace(helpers.member_entry(helpers.AGENT), service_id=8)
    newer = ServiceView.build(helpers.AGENT, 6, 2, [service, member, *helpers.KEYS])
    after = before.followed_by(newer)
    assert (after.service, after.revision) == (before.service, 6)
    assert after.removed
    assert after.draining
