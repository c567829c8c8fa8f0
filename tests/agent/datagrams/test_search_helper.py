"""An agent that runs searches on behalf of balancers."""

import random

import pytest

from jasperwalk.agent.datagrams.search_helper import SearchHelper
from jasperwalk.fleet.messages import FleetUpdate
from jasperwalk.fleet.search import ROUND_GRID_SECONDS, ROUND_PAUSE_SECONDS
from jasperwalk.fleet.targets import TargetPool
from jasperwalk.flows.frames import (
    REQUEST_HEAD,
    AgentReply,
    FrameKind,
    LocateVerdict,
    decode_replies,
    encode_locate,
    encode_reply,
    service_tag,
)
from tests.balancer.datagrams.support import address_of, record
from tests.flows.support import PlainCodec, SilentLog, from_caller, key_of

BALANCER = ("10.0.9.1", 7601)
DATA = from_caller(0, b"data")
WEB = service_tag("web")


class Helper:
    """The helper under test, and what it sent."""

    def __init__(self, *records):
        self.sent = []
        self.helper = SearchHelper(
            codec=PlainCodec(),
            pool=TargetPool("a", random.Random(1)),
            send=lambda data, to: self.sent.append((data, to)),
            log=SilentLog(),
        )
        if records:
            self.helper.fleet_changed(FleetUpdate(True, list(records), []), -100.0)

    def locate(self, tags=(WEB,), packet=DATA, now=1.0, balancer=BALANCER):
        self.helper.locate(encode_locate(list(tags), packet), balancer, now)

    def take(self):
        """Return (kind, agent's number, body) of frames to agents, and verdicts to balancers."""
        frames, verdicts = [], []
        for data, to in self.sent:
            if to[0].startswith("10.0.9."):
                (reply,) = decode_replies(data, 12)
                verdicts.append((to, LocateVerdict(reply.flags), reply.packet))
            else:
                number = int(to[0].rpartition(".")[2])
                frames.append((FrameKind(data[0]), number, data[REQUEST_HEAD.size :]))
        self.sent = []
        return frames, verdicts

    def answer(self, number, kind, now, packet=b""):
        endpoint = address_of(number)
        reply = AgentReply(kind, 0, WEB, 0.0, 4, key_of(), packet)
        self.helper.receive_reply(encode_reply(reply), (endpoint.host, endpoint.port), now)


def test_the_holder_gets_the_packet_and_the_balancer_its_address():
    harness = Helper(record(1), record(2))
    harness.locate()
    frames, verdicts = harness.take()
    assert {(kind, number) for kind, number, _ in frames} == {
        (FrameKind.FIND, 1),
        (FrameKind.FIND, 2),
    }
    assert verdicts == []
    harness.answer(2, FrameKind.HELD, 1.01)
    assert harness.take() == (
        [(FrameKind.CARRY, 2, DATA)],
        [(BALANCER, LocateVerdict.FOUND, address_of(2).pack())],
    )
    assert not harness.helper.has_pending()


def test_a_flow_that_every_agent_denies_twice_is_held_nowhere():
    harness = Helper(record(1))
    harness.locate()
    harness.answer(1, FrameKind.NOT_HELD, 1.01)
    harness.helper.tick(1.01 + ROUND_PAUSE_SECONDS + ROUND_GRID_SECONDS)
    harness.take()
    harness.answer(1, FrameKind.NOT_HELD, 1.1)
    assert harness.take() == ([], [(BALANCER, LocateVerdict.NOWHERE, b"")])


def test_a_silent_agent_leaves_the_flow_unknown():
    harness = Helper(record(1))
    harness.locate()
    for step in range(1, 40):
        harness.helper.tick(1.0 + step * 0.02)
    _, verdicts = harness.take()
    assert verdicts == [(BALANCER, LocateVerdict.UNKNOWN, b"")]


def test_hosts_that_cannot_be_known_are_shown_the_packet_one_after_the_other():
    harness = Helper(record(1), record(2))
    harness.locate()
    harness.take()
    harness.answer(1, FrameKind.UNSURE, 1.01)
    harness.answer(2, FrameKind.UNSURE, 1.01)
    ((kind, first, body),), _ = harness.take()
    assert (kind, body) == (FrameKind.CARRY, DATA)
    harness.answer(first, FrameKind.RETURNED, 1.02, DATA)
    ((_, second, _),), _ = harness.take()
    assert {first, second} == {1, 2}


def test_the_balancer_that_asked_last_gets_the_verdict():
    """The caller's packets go to that balancer now; its packet joins the search in progress."""
    other = ("10.0.9.2", 7601)
    harness = Helper(record(1))
    harness.locate()
    harness.locate(balancer=other)
    harness.answer(1, FrameKind.HELD, 1.01)
    frames, verdicts = harness.take()
    assert [kind for kind, _, _ in frames] == [FrameKind.FIND, FrameKind.CARRY, FrameKind.CARRY]
    assert [to for to, _, _ in verdicts] == [other]


def test_an_agent_without_the_directory_says_that_it_is_unable():
    harness = Helper()
    harness.locate()
    assert harness.take() == ([], [(BALANCER, LocateVerdict.UNABLE, b"")])
    assert harness.helper.counters.locate_frames_refused == 1


def test_only_agents_of_the_services_named_are_asked_first():
    harness = Helper(record(1), record(2, service="export"))
    harness.locate(tags=[service_tag("export")])
    frames, _ = harness.take()
    assert [number for _, number, _ in frames] == [2]


@pytest.mark.parametrize(
    "data",
    [
        bytes((FrameKind.LOCATE,)),
        encode_locate([WEB], b""),
        encode_locate([WEB], DATA)[:9],
        encode_locate([WEB], DATA[:-1]),
        REQUEST_HEAD.pack(FrameKind.LOCATE, 255, 0) + DATA,
    ],
    ids=["one byte", "no packet", "cut tag", "cut packet", "fewer tags than named"],
)
def test_a_malformed_question_is_counted_and_goes_nowhere(data):
    harness = Helper(record(1))
    harness.helper.locate(data, BALANCER, 1.0)
    assert harness.sent == []
    assert harness.helper.counters.locate_frames_malformed == 1


def test_answers_that_nobody_waits_for_are_counted():
    harness = Helper(record(1))
    harness.answer(1, FrameKind.HELD, 1.0)
    harness.answer(7, FrameKind.HELD, 1.0)
    harness.helper.receive_reply(b"noise", BALANCER, 1.0)
    counters = harness.helper.counters
    assert (counters.replies_unexpected, counters.replies_malformed) == (2, 1)
    assert harness.sent == []
