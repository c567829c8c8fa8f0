"""What a planned end of an agent's flows has to wait for."""

import msgspec
import pytest

from jasperwalk.agent.service_view import ServiceView


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_an_answer_is_undelivered_until_the_caller_acknowledged_it(kit, certificate, loss):
    endpoint = kit.make_endpoint(certificate, kit.make_view(kit.member_entry(kit.AGENT)))
    caller = kit.Caller(0.0)
    network = kit.Network(endpoint, caller, 1, loss)
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


def test_a_member_that_moves_keeps_its_former_service_for_open_flows(kit):
    before = kit.make_view(kit.member_entry(kit.AGENT))
    service = msgspec.structs.replace(kit.service_entry(), service_id=8)
    member = msgspec.structs.replace(kit.member_entry(kit.AGENT), service_id=8)
    newer = ServiceView.build(kit.AGENT, 6, 2, [service, member, *kit.KEYS])
    after = before.followed_by(newer)
    assert (after.service, after.revision) == (before.service, 6)
    assert after.removed
    assert after.draining
