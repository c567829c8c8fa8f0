"""The encoding of a host's service time in one byte."""

import pytest

from jasperwalk.errors import MalformedMessage
from jasperwalk.flows.frames import (
    AgentReply,
    FrameKind,
    RefusalReason,
    decode_reply,
    encode_reply,
    service_tag,
)
from jasperwalk.flows.service_time import (
    CODES_PER_DOUBLING,
    MAX_SERVICE_TIME_CODE,
    UNKNOWN_SERVICE_TIME,
    decode_service_time,
    encode_service_time,
)
from tests.flows.support import key_of


def reply(kind, flags):
    return AgentReply(kind, flags, service_tag("web"), 1.5, 2, key_of(), b"")


@pytest.mark.parametrize("seconds", [0.0005, 0.004, 0.044, 0.352, 1.0, 20.0])
def test_a_pace_comes_back_within_half_a_step(seconds):
    told = decode_service_time(encode_service_time(seconds))
    assert told == pytest.approx(seconds, rel=2 ** (0.5 / CODES_PER_DOUBLING) - 1)


@pytest.mark.parametrize("seconds", [None, 0.0, -1.0, float("inf"), float("nan")])
def test_what_is_no_time_is_not_known(seconds):
    assert encode_service_time(seconds) == UNKNOWN_SERVICE_TIME


@pytest.mark.parametrize(("seconds", "code"), [(1e-9, 1), (1e9, MAX_SERVICE_TIME_CODE)])
def test_times_beyond_the_scale_are_encoded_as_its_ends(seconds, code):
    assert encode_service_time(seconds) == code


@pytest.mark.parametrize("code", [UNKNOWN_SERVICE_TIME, -1, MAX_SERVICE_TIME_CODE + 1])
def test_a_code_that_says_nothing(code):
    assert decode_service_time(code) is None


@pytest.mark.parametrize("code", range(MAX_SERVICE_TIME_CODE + 1))
def test_an_acceptance_may_carry_any_code(code):
    sent = reply(FrameKind.ACCEPTED, code)
    assert decode_reply(encode_reply(sent), 12).flags == code


def test_a_refusal_of_a_slow_host_is_known_and_one_after_it_is_malformed():
    sent = reply(FrameKind.REFUSED, RefusalReason.SLOW)
    assert decode_reply(encode_reply(sent), 12) == sent
    with pytest.raises(MalformedMessage):
        decode_reply(encode_reply(reply(FrameKind.REFUSED, max(RefusalReason) + 1)), 12)
