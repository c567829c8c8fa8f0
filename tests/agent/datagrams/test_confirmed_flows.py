"""Several hosts may have answered a caller; its next packet shows which one it has chosen."""

import pytest

from jasperwalk.flows.frames import FrameKind
from tests.agent.datagrams.support import BALANCER, OTHER_BALANCER, Harness
from tests.flows.support import GREETING, from_caller, from_host

MINE = from_caller(0, b"hello@h1")
OTHERS = from_caller(0, b"hello@h2")


def half_open(answered=True):
    """Return an agent that admitted a flow; its host has `answered` the caller or not yet."""
    harness = Harness()
    harness.open()
    if answered:
        harness.agent.receive_host_packet(from_host(0, GREETING + b"h1"), 1.01)
    harness.host_packets.clear()
    harness.replies.clear()
    return harness


def confirm(harness, packet, service="web"):
    harness.frame(FrameKind.CONFIRM, packet, 1.1, service, OTHER_BALANCER)
    return [(reply.kind, to) for reply, to in harness.replies]


def test_the_host_that_the_caller_has_chosen_gets_the_packet():
    harness = half_open()
    assert confirm(harness, MINE) == [(FrameKind.HELD, OTHER_BALANCER)]
    assert harness.host_packets == [MINE]
    assert harness.find() is FrameKind.HELD


def test_another_host_does_not_get_it_and_its_agent_forgets_the_flow():
    harness = half_open()
    assert confirm(harness, OTHERS) == [(FrameKind.NOT_HELD, OTHER_BALANCER)]
    assert harness.host_packets == []
    assert (len(harness.agent), harness.agent.meter.busy) == (0, 0)
    assert harness.agent.counters.flows_opened_elsewhere == 1


def test_a_host_that_has_not_answered_cannot_have_been_chosen():
    harness = half_open(answered=False)
    assert confirm(harness, MINE) == [(FrameKind.NOT_HELD, OTHER_BALANCER)]
    assert harness.host_packets == []


def test_a_flow_that_waits_for_room_cannot_be_open_here():
    harness = Harness()
    harness.fill()
    caller = harness.wait(7)
    harness.replies.clear()
    assert confirm(harness, from_caller(0, b"x@h2", caller=caller)) == [
        (FrameKind.NOT_HELD, OTHER_BALANCER)
    ]
    assert len(harness.agent.queue) == 0


def test_an_agent_that_restarted_is_not_sure():
    harness = Harness()
    assert confirm(harness, MINE) == [(FrameKind.UNSURE, OTHER_BALANCER)]
    assert harness.host_packets == []


def test_a_flow_that_was_followed_up_before_is_held():
    harness = half_open()
    harness.frame(FrameKind.CARRY, MINE)
    harness.host_packets.clear()
    harness.replies.clear()
    assert confirm(harness, from_caller(0, b"more")) == [(FrameKind.HELD, OTHER_BALANCER)]
    assert harness.host_packets == [from_caller(0, b"more")]


def test_a_balancer_of_another_service_learns_nothing_of_the_flow():
    harness = half_open()
    assert confirm(harness, MINE, service="export") == [(FrameKind.NOT_HELD, OTHER_BALANCER)]
    assert harness.host_packets == []
    assert len(harness.agent) == 1


@pytest.mark.parametrize("copies", [1, 3])
def test_each_answer_to_a_copy_of_the_opening_packet_counts(copies):
    harness = half_open()
    for copy in range(copies):
        harness.agent.receive_host_packet(from_host(0, GREETING + b"copy%d" % copy), 1.02)
    assert confirm(harness, from_caller(0, b"hello@copy0")) == [(FrameKind.HELD, OTHER_BALANCER)]


def test_a_packet_that_follows_another_host_up_is_returned():
    harness = half_open()
    harness.frame(FrameKind.CARRY, OTHERS, 1.1)
    ((reply, to),) = harness.replies
    assert (reply.kind, reply.packet, to) == (FrameKind.RETURNED, OTHERS, BALANCER)
    assert harness.host_packets == []
