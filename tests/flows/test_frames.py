import pytest

from jasperwalk.errors import MalformedMessage
from jasperwalk.flows.frames import (
    FLAG_REPEATABLE,
    FLAG_WAIT,
    AgentReply,
    FrameKind,
    OpeningTerms,
    RefusalReason,
    decode_replies,
    decode_reply,
    encode_answers,
    encode_reply,
    opening_flags,
    opening_terms,
    service_tag,
)
from tests.flows.support import key_of


def reply(**changes):
    fields = {
        "kind": FrameKind.REFUSED,
        "flags": RefusalReason.FULL,
        "tag": service_tag("web"),
        "load": 3.5,
        "capacity": 4,
        "flow_key": key_of(),
        "packet": b"",
    }
    return AgentReply(**{**fields, **changes})


@pytest.mark.parametrize(
    "sent",
    [
        reply(),
        reply(kind=FrameKind.RETURNED, packet=b"packet"),
        reply(kind=FrameKind.HELD, flags=0, load=0.0),
    ],
)
def test_a_reply_comes_back_as_sent(sent):
    assert decode_reply(encode_reply(sent), 12) == sent


def test_a_load_over_the_field_is_cut_to_its_highest():
    assert decode_reply(encode_reply(reply(load=1e9)), 12).load == pytest.approx(655.35)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x0b",
        encode_reply(reply())[:-1],
        b"\x01" + encode_reply(reply())[1:],
        b"\xff" * 40,
        encode_reply(reply(flags=99)),
    ],
    ids=["empty", "short", "cut", "request's kind", "unknown kind", "unknown refusal"],
)
def test_a_malformed_reply_is_a_typed_failure(data):
    with pytest.raises(MalformedMessage):
        decode_reply(data, 12)


def test_services_have_different_tags():
    assert service_tag("web") != service_tag("export")


@pytest.mark.parametrize(
    ("age", "decoded"), [(-1.0, 0.0), (0.0, 0.0), (0.25, 0.2), (0.6, 0.6), (1.5, 1.5), (99.0, 1.5)]
)
@pytest.mark.parametrize("waits", [False, True])
@pytest.mark.parametrize("repeatable", [False, True])
def test_the_terms_of_an_opening_packet_fit_into_the_flags(age, decoded, waits, repeatable):
    flags = opening_flags(OpeningTerms(waits, repeatable, age))
    assert 0 <= flags <= 0xFF
    terms = opening_terms(flags)
    assert terms.age_seconds == pytest.approx(decoded)
    assert bool(flags & FLAG_WAIT) is terms.waits is waits
    assert terms.repeatable is repeatable


@pytest.mark.parametrize("flags", range(0, 0x100, 4))
def test_bits_of_a_newer_version_change_nothing(flags):
    known = FLAG_WAIT | FLAG_REPEATABLE | 0xF0
    assert opening_terms(flags) == opening_terms(flags & known)


def answers(count):
    return [
        reply(kind=FrameKind.HELD, flags=0, flow_key=bytes((number,)) * 12)
        for number in range(count)
    ]


@pytest.mark.parametrize("count", [1, 2, 64])
def test_several_answers_come_back(count):
    assert decode_replies(encode_answers(answers(count)), 12) == answers(count)


def test_one_reply_alone_is_a_list_of_one():
    assert decode_replies(encode_reply(reply()), 12) == [reply()]


@pytest.mark.parametrize(
    "data",
    [
        b"",
        encode_answers(answers(1))[:-1],
        encode_answers(answers(2)) + b"x",
        encode_answers(answers(1))[:9],
        encode_answers(answers(1))[:10],
        encode_answers([reply(kind=FrameKind.ACCEPTED, flags=0)]),
        encode_answers(answers(1))[:10] + b"\xff" * 13,
    ],
)
def test_malformed_answers_are_refused(data):
    with pytest.raises(MalformedMessage):
        decode_replies(data, 12)
