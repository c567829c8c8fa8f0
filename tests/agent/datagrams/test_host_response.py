import pytest

from jasperwalk.agent.datagrams.host_response import (
    HOST_SILENCE_SECONDS,
    RARE_TRIAL_INTERVAL_SECONDS,
    TRIAL_INTERVAL_SECONDS,
    HostResponse,
)


def opening_sent_at(now):
    response = HostResponse()
    response.record_opening(now)
    return response


def test_a_host_that_was_never_asked_is_not_silent():
    assert not HostResponse().is_silent(1e6)
    assert not HostResponse().refuses(0.0, 1e6)


def test_a_host_that_answers_is_not_silent():
    response = opening_sent_at(1.0)
    response.record_packet()
    assert not response.is_silent(9.0)


def test_a_host_that_does_not_answer_is_silent_after_a_while():
    response = opening_sent_at(1.0)
    assert not response.is_silent(1.0 + HOST_SILENCE_SECONDS)
    assert response.is_silent(1.01 + HOST_SILENCE_SECONDS)


def test_further_packets_do_not_extend_the_timeout():
    response = opening_sent_at(1.0)
    response.record_opening(1.3)
    assert response.is_silent(1.01 + HOST_SILENCE_SECONDS)


@pytest.mark.parametrize(
    ("announced_at", "pause"), [(0.5, RARE_TRIAL_INTERVAL_SECONDS), (1.2, TRIAL_INTERVAL_SECONDS)]
)
def test_a_silent_host_is_tried_now_and_then(announced_at, pause):
    response = opening_sent_at(1.0)
    assert response.refuses(announced_at, 0.99 + pause)
    assert not response.refuses(announced_at, 1.01 + pause)
    response.record_opening(1.01 + pause)
    assert response.refuses(announced_at, 1.02 + pause)


def test_a_host_that_answers_again_gets_flows_at_once():
    response = opening_sent_at(1.0)
    assert response.refuses(0.0, 2.0)
    assert response.record_packet()
    assert not response.refuses(0.0, 2.0)
    assert not response.record_packet()
