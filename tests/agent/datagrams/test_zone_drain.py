"""An agent refuses new flows for a host whose zone is drained; open flows go on."""

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.datagrams.host import HostAnnouncement
from jasperwalk.fleet.messages import DrainedZones, HostPhase
from jasperwalk.flows.frames import FrameKind, RefusalReason
from tests.agent.datagrams.support import ZONE, Harness
from tests.flows.support import CALLER, RESET, from_caller, from_host

OTHER = Endpoint("100.64.0.9", 9)


def drain(harness, revision, *zones, now=1.0):
    harness.agent.zones_changed(DrainedZones(revision, list(zones)), now)


def test_a_drained_zone_refuses_new_flows_and_keeps_open_ones():
    harness = Harness()
    harness.open()
    drain(harness, 1, ZONE)
    harness.follow_up([CALLER])
    assert harness.open(1.1, caller=OTHER).flags == RefusalReason.ZONE_DRAINED
    harness.frame(FrameKind.CARRY, from_caller(0, b"more"), 1.2)
    assert harness.host_packets == [from_caller(0, b"more")]
    assert harness.agent.counters.flows_refused_zone_drained == 1


def test_no_copy_of_an_opening_packet_reaches_a_host_in_a_drained_zone():
    harness = Harness()
    harness.open()
    drain(harness, 1, ZONE)
    assert harness.open(1.2).flags == RefusalReason.ZONE_DRAINED
    assert len(harness.host_packets) == 1


def test_flows_that_wait_are_reset_at_once_when_the_zone_is_drained():
    harness = Harness()
    harness.fill()
    waiting = harness.wait(1)
    drain(harness, 1, ZONE)
    ((packet, to),) = harness.caller_packets
    assert packet[12] & RESET
    assert to == (waiting.host, waiting.port)


def test_a_restored_zone_takes_flows_again():
    harness = Harness()
    drain(harness, 1, ZONE)
    drain(harness, 2, now=1.5)
    assert harness.open(2.0).kind is FrameKind.ACCEPTED


@pytest.mark.parametrize("revision", [1, 2])
def test_an_update_of_an_older_revision_changes_nothing(revision):
    harness = Harness()
    drain(harness, 2, ZONE)
    drain(harness, revision)
    assert harness.open().flags == RefusalReason.ZONE_DRAINED


def test_a_drain_of_another_zone_has_no_effect():
    harness = Harness()
    drain(harness, 1, "elsewhere")
    assert harness.open().kind is FrameKind.ACCEPTED


def test_the_zone_that_the_host_announces_counts():
    harness = Harness()
    harness.host.announce(HostAnnouncement("h1", HostPhase.READY, 2, 0.0, 2, "elsewhere"), 0.0)
    drain(harness, 1, ZONE)
    assert harness.open().kind is FrameKind.ACCEPTED
    drain(harness, 2, "elsewhere")
    assert harness.open(1.1, OTHER).flags == RefusalReason.ZONE_DRAINED


def test_the_answer_to_an_open_flow_still_leaves_a_drained_zone():
    harness = Harness()
    harness.open()
    harness.follow_up([CALLER])
    drain(harness, 1, ZONE)
    harness.agent.receive_host_packet(from_host(0, b"answer"), 1.1)
    assert harness.caller_packets[-1][0] == from_host(0, b"answer")
