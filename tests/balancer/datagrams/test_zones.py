"""Which zones and regions a balancer sends new flows to."""

import msgspec
import pytest

from jasperwalk.fleet.messages import DrainedZones, HostPhase
from jasperwalk.fleet.target import REFUSING_SECONDS
from jasperwalk.flows.frames import FrameKind, RefusalReason
from jasperwalk.flows.routes import FlowRoute, RouteBackend, RouteSet
from tests.balancer.datagrams.support import Harness, record
from tests.flows.support import LISTENER, OPENING, from_caller, key_of

REGIONS = {"a": "here", "b": "here", "c": "there"}


def opened_at(harness, now=10.0):
    harness.core.receive(from_caller(OPENING), now)
    frames = [frame for frame in harness.take_sent() if frame[0] is FrameKind.OPEN]
    return [agent for _, agent, _ in frames]


def drain(harness, revision, *zones, now=10.0):
    return harness.core.zones_changed(DrainedZones(revision, list(zones)), now)


def test_no_new_flow_goes_to_a_drained_zone():
    harness = Harness(record(1, zone="a"), record(2, zone="b"))
    drain(harness, 1, "a")
    assert opened_at(harness) == [2]


def test_an_agent_that_is_learned_later_is_in_a_drained_zone_too():
    harness = Harness(record(2, zone="b"))
    drain(harness, 1, "a")
    harness.update_fleet(record(1, zone="a"), now=9.0)
    assert opened_at(harness) == [2]


def test_the_zone_that_counts_is_the_hosts_own():
    moved = msgspec.structs.replace(record(1, zone="a"), host_zone="b")
    harness = Harness(moved, record(2, zone="a"))
    drain(harness, 1, "b")
    assert opened_at(harness) == [2]


def test_with_every_zone_drained_callers_are_reset_at_once():
    harness = Harness(record(1, zone="a"), record(2, zone="b"))
    drain(harness, 1, "a", "b")
    assert opened_at(harness) == []
    assert len(harness.resets) == 1


def test_a_flow_that_is_open_in_a_drained_zone_is_still_found():
    harness = Harness(record(1, zone="a"))
    drain(harness, 1, "a")
    harness.core.receive(from_caller(0, b"data"), 10.0)
    ((kind, agent, _),) = harness.take_sent()
    assert (kind, agent) == (FrameKind.FIND, 1)


@pytest.mark.parametrize("revision", [1, 2])
def test_what_an_older_home_says_changes_nothing(revision):
    harness = Harness(record(1, zone="a"))
    drain(harness, 2, "a")
    assert not drain(harness, revision)
    assert opened_at(harness) == []


def test_a_restored_zone_gets_flows_again():
    harness = Harness(record(1, zone="a"))
    drain(harness, 1, "a")
    drain(harness, 2)
    assert opened_at(harness) == [1]


@pytest.mark.parametrize("reason", [RefusalReason.WARMING_UP, RefusalReason.ZONE_DRAINED])
def test_an_agent_that_refuses_because_of_its_host_is_avoided_for_a_moment(reason):
    harness = Harness(record(1, zone="a"), record(2, zone="b"))
    assert opened_at(harness) == [1]
    harness.refuse(1, 10.01, reason)
    harness.answer(2, FrameKind.ACCEPTED, 10.02, load=3.0)
    harness.take_sent()
    other = from_caller(OPENING, caller=type(LISTENER)("100.64.0.9", 7))
    harness.core.receive(other, 10.0 + REFUSING_SECONDS / 2)
    assert [agent for _, agent, _ in harness.take_sent()] == [2]
    third = from_caller(OPENING, caller=type(LISTENER)("100.64.0.9", 8))
    harness.core.receive(third, 10.1 + REFUSING_SECONDS)
    assert [agent for _, agent, _ in harness.take_sent()] == [1]


def restrict(harness, *regions, version=2):
    backends = [RouteBackend("web", 1.0)]
    route = FlowRoute("r", LISTENER, backends, allowed_regions=list(regions))
    harness.pool.zone_regions = REGIONS
    harness.routes.replace(RouteSet(version, [route]))


def test_a_flow_goes_to_an_allowed_region_only():
    harness = Harness(record(1, zone="a"), record(2, zone="c"))
    restrict(harness, "there")
    assert opened_at(harness) == [2]


def test_where_no_allowed_region_has_a_host_the_caller_is_reset_at_once():
    harness = Harness(record(1, zone="a"), record(2, HostPhase.UNKNOWN, zone="a"))
    restrict(harness, "there")
    assert opened_at(harness) == []
    assert len(harness.resets) == 1


def test_a_zone_of_no_known_region_is_in_none():
    harness = Harness(record(1, zone="unknown"))
    restrict(harness, "here", "there")
    assert opened_at(harness) == []


def test_a_packet_is_shown_to_no_host_elsewhere_and_to_no_helper():
    harness = Harness(record(1, zone="a"), record(2, zone="c"))
    harness.core.delegated.is_enabled = True
    restrict(harness, "there")
    harness.core.receive(from_caller(0, b"data"), 10.0)
    assert [(kind, agent) for kind, agent, _ in harness.take_sent()] == [(FrameKind.FIND, 2)]
    harness.answer(2, FrameKind.UNSURE, 10.01, key=key_of())
    shown = [(kind, agent) for kind, agent, _ in harness.take_sent()]
    assert shown == [(FrameKind.CARRY, 2)]


def test_a_flow_that_was_opened_before_a_restriction_is_still_found_elsewhere():
    """The queries of the second round go to every region; they carry no packet."""
    harness = Harness(record(1, zone="a"), record(2, zone="c"))
    restrict(harness, "there")
    harness.core.receive(from_caller(0, b"data"), 10.0)
    harness.take_sent()
    harness.answer(2, FrameKind.NOT_HELD, 10.01, key=key_of())
    harness.core.tick(11.0)
    asked = [(kind, agent) for kind, agent, _ in harness.take_sent()]
    assert sorted(asked) == [(FrameKind.FIND, 1), (FrameKind.FIND, 2)]
    harness.answer(1, FrameKind.HELD, 11.01, key=key_of())
    assert [(kind, agent) for kind, agent, _ in harness.take_sent()] == [(FrameKind.CARRY, 1)]
