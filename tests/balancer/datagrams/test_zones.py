"""Which zones and regions a balancer sends new flows to."""

import msgspec
import pytest

from jasperwalk.fleet.messages import DrainedZones, HostPhase
from jasperwalk.fleet.target import REFUSING_SECONDS
from jasperwalk.flows.frames import FrameKind, RefusalReason
from jasperwalk.flows.routes import FlowRoute, RouteBackend, RouteSet
from tests.balancer.datagrams.support import Bench, record
from tests.flows.support import LISTENER, OPENING, from_caller, key_of

REGIONS = {"a": "here", "b": "here", "c": "there"}


def opened_at(bench, now=10.0):
    bench.core.receive(from_caller(OPENING), now)
    frames = [frame for frame in bench.take_sent() if frame[0] is FrameKind.OPEN]
    return [agent for _, agent, _ in frames]


def drain(bench, revision, *zones, now=10.0):
    return bench.core.zones_changed(DrainedZones(revision, list(zones)), now)


def test_no_new_flow_goes_to_a_drained_zone():
    bench = Bench(record(1, zone="a"), record(2, zone="b"))
    drain(bench, 1, "a")
    assert opened_at(bench) == [2]


def test_an_agent_that_is_learned_later_is_in_a_drained_zone_too():
    bench = Bench(record(2, zone="b"))
    drain(bench, 1, "a")
    bench.learn(record(1, zone="a"), now=9.0)
    assert opened_at(bench) == [2]


def test_the_zone_that_counts_is_the_hosts_own():
    moved = msgspec.structs.replace(record(1, zone="a"), host_zone="b")
    bench = Bench(moved, record(2, zone="a"))
    drain(bench, 1, "b")
    assert opened_at(bench) == [2]


def test_with_every_zone_drained_callers_are_reset_at_once():
    bench = Bench(record(1, zone="a"), record(2, zone="b"))
    drain(bench, 1, "a", "b")
    assert opened_at(bench) == []
    assert len(bench.resets) == 1


def test_a_flow_that_is_open_in_a_drained_zone_is_still_found():
    bench = Bench(record(1, zone="a"))
    drain(bench, 1, "a")
    bench.core.receive(from_caller(0, b"data"), 10.0)
    ((kind, agent, _),) = bench.take_sent()
    assert (kind, agent) == (FrameKind.FIND, 1)


@pytest.mark.parametrize("revision", [1, 2])
def test_what_an_older_home_says_changes_nothing(revision):
    bench = Bench(record(1, zone="a"))
    drain(bench, 2, "a")
    assert not drain(bench, revision)
    assert opened_at(bench) == []


def test_a_restored_zone_gets_flows_again():
    bench = Bench(record(1, zone="a"))
    drain(bench, 1, "a")
    drain(bench, 2)
    assert opened_at(bench) == [1]


@pytest.mark.parametrize("reason", [RefusalReason.WARMING_UP, RefusalReason.ZONE_DRAINED])
def test_an_agent_that_refuses_for_its_hosts_sake_is_passed_over_for_a_moment(reason):
    bench = Bench(record(1, zone="a"), record(2, zone="b"))
    assert opened_at(bench) == [1]
    bench.refuse(1, 10.01, reason)
    bench.answer(2, FrameKind.ACCEPTED, 10.02, load=3.0)
    bench.take_sent()
    other = from_caller(OPENING, caller=type(LISTENER)("100.64.0.9", 7))
    bench.core.receive(other, 10.0 + REFUSING_SECONDS / 2)
    assert [agent for _, agent, _ in bench.take_sent()] == [2]
    third = from_caller(OPENING, caller=type(LISTENER)("100.64.0.9", 8))
    bench.core.receive(third, 10.1 + REFUSING_SECONDS)
    assert [agent for _, agent, _ in bench.take_sent()] == [1]


def restrict(bench, *regions, version=2):
    backends = [RouteBackend("web", 1.0)]
    route = FlowRoute("r", LISTENER, backends, allowed_regions=list(regions))
    bench.pool.zone_regions = REGIONS
    bench.routes.replace(RouteSet(version, [route]))


def test_a_flow_goes_to_an_allowed_region_only():
    bench = Bench(record(1, zone="a"), record(2, zone="c"))
    restrict(bench, "there")
    assert opened_at(bench) == [2]


def test_where_no_allowed_region_has_a_host_the_caller_is_reset_at_once():
    bench = Bench(record(1, zone="a"), record(2, HostPhase.UNKNOWN, zone="a"))
    restrict(bench, "there")
    assert opened_at(bench) == []
    assert len(bench.resets) == 1


def test_a_zone_of_no_known_region_is_in_none():
    bench = Bench(record(1, zone="unknown"))
    restrict(bench, "here", "there")
    assert opened_at(bench) == []


def test_a_packet_is_shown_to_no_host_elsewhere_and_to_no_helper():
    bench = Bench(record(1, zone="a"), record(2, zone="c"))
    bench.core.delegated.is_enabled = True
    restrict(bench, "there")
    bench.core.receive(from_caller(0, b"data"), 10.0)
    assert [(kind, agent) for kind, agent, _ in bench.take_sent()] == [(FrameKind.FIND, 2)]
    bench.answer(2, FrameKind.UNSURE, 10.01, key=key_of())
    shown = [(kind, agent) for kind, agent, _ in bench.take_sent()]
    assert shown == [(FrameKind.CARRY, 2)]


def test_a_flow_that_was_opened_before_a_restriction_is_still_found_elsewhere():
    """The questions of the second round go everywhere; they hold no packet."""
    bench = Bench(record(1, zone="a"), record(2, zone="c"))
    restrict(bench, "there")
    bench.core.receive(from_caller(0, b"data"), 10.0)
    bench.take_sent()
    bench.answer(2, FrameKind.NOT_HELD, 10.01, key=key_of())
    bench.core.tick(11.0)
    asked = [(kind, agent) for kind, agent, _ in bench.take_sent()]
    assert sorted(asked) == [(FrameKind.FIND, 1), (FrameKind.FIND, 2)]
    bench.answer(1, FrameKind.HELD, 11.01, key=key_of())
    assert [(kind, agent) for kind, agent, _ in bench.take_sent()] == [(FrameKind.CARRY, 1)]
