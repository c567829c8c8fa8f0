"""What an agent answers to balancers that search a flow."""

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.datagrams.flow_knowledge import (
    IDLE_SLACK_SECONDS,
    SILENT_HOST_SECONDS,
)
from jasperwalk.agent.datagrams.host import HostAnnouncement
from jasperwalk.fleet.messages import DrainedZones, HostPhase, WarmUp
from jasperwalk.flows.frames import FrameKind
from tests.agent.datagrams.support import CAPACITY, LIFETIME, ZONE, Harness
from tests.flows.support import (
    CALLER,
    RETURNED,
    from_caller,
    from_host,
    key_of,
)


def test_a_flow_is_unconfirmed_until_its_caller_follows_up():
    """Another host may have answered the caller first; then this host returns the packet."""
    harness = Harness()
    harness.open()
    harness.agent.receive_host_packet(from_host(0, b"hello"), 1.01)
    assert harness.find() is FrameKind.UNSURE
    harness.follow_up([CALLER])
    harness.agent.receive_host_packet(from_host(0, b"answer"), 1.1)
    assert harness.replies[-1][0].kind is FrameKind.HELD
    assert harness.find() is FrameKind.HELD


def test_a_flow_that_opened_at_another_host_is_returned():
    harness = Harness()
    harness.open()
    assert harness.find() is FrameKind.UNSURE
    harness.follow_up([CALLER])
    harness.agent.receive_host_packet(from_caller(RETURNED, b"request"), 1.1)
    assert harness.replies[-1][0].kind is FrameKind.RETURNED
    assert harness.find() is FrameKind.UNSURE


def test_several_flows_are_asked_for_in_one_frame():
    harness = Harness()
    harness.open()
    harness.follow_up([CALLER])
    unknown = key_of(Endpoint("100.64.0.9", 9))
    harness.replies.clear()
    harness.frame(FrameKind.FIND, key_of() + unknown)
    assert [(reply.kind, reply.flow_key) for reply, _ in harness.replies] == [
        (FrameKind.HELD, key_of()),
        (FrameKind.UNSURE, unknown),
    ]


@pytest.mark.parametrize("body", [b"", b"x" * 11, b"x" * 13])
def test_questions_of_a_wrong_length_are_counted(body):
    harness = Harness()
    harness.frame(FrameKind.FIND, body)
    assert harness.replies == []
    assert harness.agent.counters.frames_malformed == 1


def test_no_balancer_is_notified_of_a_flow_it_did_not_ask_for():
    harness = Harness()
    harness.open()
    harness.follow_up([CALLER])
    replies = len(harness.replies)
    harness.agent.receive_host_packet(from_host(0, b"answer"), 1.1)
    assert len(harness.replies) == replies


def test_an_agent_that_restarted_lets_the_host_tell():
    harness = Harness()
    assert harness.find() is FrameKind.UNSURE
    harness.frame(FrameKind.CARRY, from_caller(0, b"data"))
    assert harness.host_packets == [from_caller(0, b"data")]
    assert harness.find() is FrameKind.UNSURE
    harness.agent.receive_host_packet(from_host(0, b"answer"), 1.1)
    assert harness.replies[-1][0].kind is FrameKind.HELD
    assert harness.find() is FrameKind.HELD


def test_an_agent_older_than_any_flow_knows_what_is_not_held():
    harness = Harness()
    late = LIFETIME + 1.0
    assert harness.find(late) is FrameKind.NOT_HELD
    harness.frame(FrameKind.CARRY, from_caller(0, b"data"), late)
    assert harness.replies[-1][0].kind is FrameKind.RETURNED
    assert harness.host_packets == []


def test_an_agent_that_watched_for_the_longest_rest_of_a_flow_knows_them_all():
    harness = Harness()
    harness.agent.flow_idle_seconds = 15.0
    assert harness.find(16.0) is FrameKind.UNSURE
    assert harness.find(15.0 + IDLE_SLACK_SECONDS + 0.1) is FrameKind.NOT_HELD


def replaced(harness, now):
    harness.host.announce(HostAnnouncement("h2", HostPhase.READY, 2, 0.0, 1), now)
    harness.agent.on_new_host(now)


def test_flows_of_a_replaced_host_are_unconfirmed():
    harness = Harness()
    harness.open()
    replaced(harness, 2.0)
    assert harness.agent.meter.busy == 0
    assert harness.find(2.1) is FrameKind.UNSURE
    harness.frame(FrameKind.CARRY, from_caller(0, b"data"), 2.2)
    harness.agent.receive_host_packet(from_caller(RETURNED, b"data"), 2.3)
    assert harness.replies[-1][0].kind is FrameKind.RETURNED
    assert harness.find(2.4) is FrameKind.NOT_HELD


def test_a_flow_that_the_new_host_took_before_it_spoke_is_kept():
    harness = Harness()
    harness.open()
    harness.follow_up([CALLER])
    replaced(harness, 2.0)
    harness.agent.receive_host_packet(from_host(0, b"answer"), 2.1)
    assert harness.find(2.2) is FrameKind.HELD


def test_an_agent_whose_host_never_spoke_holds_nothing():
    harness = Harness(HostPhase.UNKNOWN)
    assert harness.find(SILENT_HOST_SECONDS - 0.1) is FrameKind.UNSURE
    assert harness.find(SILENT_HOST_SECONDS + 0.1) is FrameKind.NOT_HELD


COLD_SECONDS = 2.0


def cold_host(harness, left_seconds, now, number=4, host="h1"):
    """Announce a host that stays in slow start for `left_seconds`."""
    announcement = HostAnnouncement(host, HostPhase.READY, CAPACITY, left_seconds, number)
    harness.host.announce(announcement, now)
    harness.agent.warm_up.configure(1, WarmUp(COLD_SECONDS, 0.0))


def test_an_agent_that_came_back_together_with_its_host_knows_all_flows():
    """After a loss of power the host may be up a moment before its agent."""
    harness = Harness(HostPhase.UNKNOWN, started_at=10.0)
    assert harness.find(10.05) is FrameKind.UNSURE
    cold_host(harness, COLD_SECONDS - 0.3, 10.1)
    assert harness.find(10.2) is FrameKind.NOT_HELD


@pytest.mark.parametrize("left_seconds", [0.0, 0.5])
def test_an_agent_that_came_back_alone_does_not_know_what_its_host_holds(left_seconds):
    harness = Harness(HostPhase.UNKNOWN, started_at=10.0)
    cold_host(harness, left_seconds, 10.1)
    assert harness.find(10.2) is FrameKind.UNSURE


def test_an_announcement_that_was_late_makes_no_host_younger():
    harness = Harness(HostPhase.UNKNOWN, started_at=10.0)
    cold_host(harness, 0.5, 10.1, number=4)
    cold_host(harness, COLD_SECONDS, 10.2, number=5)
    assert harness.find(10.3) is FrameKind.UNSURE


def assert_host_may_hold_flows(harness, now):
    """A query is answered with UNSURE, and the host gets a packet of an unknown flow."""
    assert harness.find(now) is FrameKind.UNSURE
    harness.frame(FrameKind.CARRY, from_caller(0, b"data"), now)
    assert harness.host_packets[-1] == from_caller(0, b"data")


@pytest.mark.parametrize("first_call", [2, 20])
def test_a_host_that_goes_cold_after_its_agents_restart_keeps_its_flows(first_call):
    """Guards against resets of open flows when a drained zone is restored: hosts go cold then."""
    harness = Harness(HostPhase.UNKNOWN, started_at=10.0)
    cold_host(harness, 0.0, 10.3, number=first_call)
    cold_host(harness, COLD_SECONDS, 14.0, number=first_call + 1)
    assert_host_may_hold_flows(harness, 14.1)


def test_a_host_that_went_cold_right_before_its_agents_restart_keeps_its_flows():
    """Guards against the same resets where the agent has only ever heard a cold host."""
    harness = Harness(HostPhase.UNKNOWN, started_at=10.0)
    cold_host(harness, COLD_SECONDS - 0.3, 10.1, number=20)
    assert_host_may_hold_flows(harness, 10.2)


@pytest.mark.parametrize("drained", [[], [ZONE]], ids=["restored", "drained"])
def test_a_young_host_that_may_be_cold_from_a_drain_keeps_its_flows(drained):
    """Guards against the same resets where the host took flows, was drained and cooled at once."""
    harness = Harness(HostPhase.UNKNOWN, started_at=10.0)
    harness.agent.zones_changed(DrainedZones(2, drained), 10.1)
    cold_host(harness, COLD_SECONDS - 0.3, 10.1)
    assert_host_may_hold_flows(harness, 10.2)


def test_a_late_call_of_a_crashed_host_does_not_make_the_present_one_younger():
    """Guards against resets of open flows after an agent's restart: a late call came first."""
    harness = Harness(HostPhase.UNKNOWN, started_at=10.0)
    harness.host.announce(HostAnnouncement("crashed", HostPhase.READY, CAPACITY, 0.0, 1), 10.1)
    harness.host.announce(HostAnnouncement("h1", HostPhase.READY, CAPACITY, 0.0, 7), 10.4)
    harness.agent.on_new_host(10.4)
    assert_host_may_hold_flows(harness, 10.5)


def test_an_agent_without_a_host_holds_no_flow():
    harness = Harness(HostPhase.UNKNOWN, started_at=10.0)
    harness.agent.record_host_absent(10.01)
    assert harness.find(10.2) is FrameKind.NOT_HELD


def test_a_host_that_has_announced_itself_is_not_absent():
    harness = Harness(HostPhase.READY, started_at=10.0)
    harness.agent.record_host_absent(10.01)
    assert harness.find(10.2) is FrameKind.UNSURE


def test_an_absent_host_is_announced_as_absent_until_it_speaks():
    harness = Harness(HostPhase.UNKNOWN, started_at=10.0)
    assert harness.agent.knowledge.host_phase() is HostPhase.UNKNOWN
    harness.agent.record_host_absent(10.01)
    assert harness.agent.knowledge.host_phase() is HostPhase.ABSENT
    harness.say(HostPhase.READY, 1)
    assert harness.agent.knowledge.host_phase() is HostPhase.READY
