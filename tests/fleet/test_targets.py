import random
from collections import Counter

import pytest

from jasperwalk.fleet.messages import FleetUpdate, HostPhase
from jasperwalk.fleet.target import (
    LOAD_FRESH_SECONDS,
    LOAD_HALF_LIFE_SECONDS,
    UNLISTED_USABLE_SECONDS,
)
from jasperwalk.fleet.targets import (
    CANDIDATE_COUNT,
    FREE_LOAD_PER_SLOT,
    SEARCHED_CANDIDATE_COUNT,
    TargetPool,
)
from tests.balancer.datagrams.support import SEED, address_of, record

KEY = b"flow key"


def pool(*records, now=0.0):
    made = TargetPool("a", random.Random(SEED))
    made.update(FleetUpdate(True, list(records), []), now)
    return made


def load(made, number, value, now=1.0):
    endpoint = address_of(number)
    made.at((endpoint.host, endpoint.port)).record_load(value, now)


def chosen(made, now=1.0, excluded=()):
    target = made.choose("web", KEY, excluded, now)
    return None if target is None else target.record.name


def test_the_least_loaded_agent_is_chosen_by_its_capacity():
    made = pool(record(1, capacity=2), record(2, capacity=8))
    load(made, 1, 1.0)
    load(made, 2, 2.0)
    assert chosen(made) == "agent-2"


def test_what_was_sent_since_the_last_answer_counts():
    made = pool(record(1), record(2), record(3))
    drawn = Counter()
    for _ in range(30):
        target = made.choose("web", KEY, (), 1.0)
        target.sent_since += 1
        drawn[target.record.name] += 1
    assert set(drawn.values()) == {10}


def test_an_agent_of_the_own_zone_is_preferred_among_equals():
    made = pool(record(1, zone="b"), record(2, zone="a"), record(3, zone="b"))
    assert {chosen(made) for _ in range(20)} == {"agent-2"}


def test_a_busy_agent_of_the_own_zone_is_not_chosen():
    made = pool(record(1, zone="b"), record(2, zone="a"))
    load(made, 2, 3.0)
    assert chosen(made) == "agent-1"


def two_zones(own_load, own_capacity=4):
    """Return a pool with an idle agent of another zone and one of this zone with some load."""
    made = pool(record(1, zone="b"), record(2, zone="a", capacity=own_capacity))
    load(made, 2, own_load)
    return made


def chosen_near(made, excluded=(), now=1.0):
    target = made.choose("web", KEY, excluded, now, prefers_own_zone=True)
    return None if target is None else target.record.name


@pytest.mark.parametrize("capacity", [1, 2, 4])
def test_a_flow_that_prefers_its_own_zone_stays_while_it_has_capacity(capacity):
    busy = FREE_LOAD_PER_SLOT * capacity
    made = two_zones(0.99 * busy, capacity)
    assert {chosen(made) for _ in range(20)} == {"agent-1"}
    assert {chosen_near(made) for _ in range(20)} == {"agent-2"}
    assert {chosen_near(two_zones(busy, capacity)) for _ in range(20)} == {"agent-1"}


def test_flows_that_stay_near_fill_their_zone_and_then_others():
    made = two_zones(0.0)
    drawn = []
    for _ in range(20):
        target = made.choose("web", KEY, (), 1.0, prefers_own_zone=True)
        target.record_sent(1.0)
        drawn.append(target.record.name)
    room = round(4 * FREE_LOAD_PER_SLOT)
    assert set(drawn[:room]) == {"agent-2"}
    assert "agent-1" in drawn[room : room + 2]
    assert 9 <= drawn.count("agent-1") <= 11


def test_a_flow_that_prefers_its_own_zone_avoids_agents_that_refuse_or_do_not_answer():
    for held in ("suspect_until", "refuses_until"):
        made = two_zones(0.0)
        endpoint = address_of(2)
        setattr(made.at((endpoint.host, endpoint.port)), held, 2.0)
        assert chosen_near(made) == "agent-1"


def test_a_flow_that_stays_near_is_not_held_to_an_agent_that_was_asked():
    made = two_zones(0.0)
    endpoint = address_of(2)
    assert chosen_near(made, [made.at((endpoint.host, endpoint.port))]) == "agent-1"


def test_where_a_zone_has_no_agents_flows_that_stay_near_go_to_others():
    assert chosen_near(pool(record(1, zone="b"))) == "agent-1"


def test_an_unlisted_agent_is_usable_for_a_while():
    made = pool(record(1))
    made.update(FleetUpdate(False, [], [address_of(1)]), 1.0)
    assert chosen(made, 1.0 + UNLISTED_USABLE_SECONDS / 2) == "agent-1"
    assert chosen(made, 1.0 + UNLISTED_USABLE_SECONDS) is None


def test_a_home_that_knows_few_agents_yet_takes_none_away_at_once():
    made = pool(record(1), record(2))
    made.update(FleetUpdate(True, [record(2)], []), 1.0)
    assert {chosen(made, 2.0, ()) for _ in range(20)} == {"agent-1", "agent-2"}


def test_a_restarted_agent_keeps_its_flows_target():
    made = pool(record(1))
    before = made.choose("web", KEY, (), 1.0)
    made.update(FleetUpdate(False, [record(1, incarnation=2)], []), 1.0)
    assert made.choose("web", KEY, (), 1.0) is before
    assert not before.departed


def test_an_address_that_another_service_took_is_another_target():
    made = pool(record(1))
    before = made.choose("web", KEY, (), 1.0)
    made.update(FleetUpdate(False, [record(1, service="export", incarnation=2)], []), 1.0)
    assert before.departed
    assert made.choose("web", KEY, (), 1.0) is None
    assert made.choose("export", KEY, (), 1.0) is not None


def test_a_host_that_is_gone_ends_its_target():
    made = pool(record(1))
    before = made.choose("web", KEY, (), 1.0)
    made.update(FleetUpdate(False, [record(1, HostPhase.GONE)], []), 1.0)
    assert before.departed
    assert made.all_targets() == []


def test_agents_that_left_are_forgotten_after_the_longest_flow():
    made = pool(record(1))
    made.update(FleetUpdate(False, [], [address_of(1)]), 1.0)
    made.remove_old(50.0, 60.0)
    assert len(made) == 1
    made.remove_old(62.0, 60.0)
    assert len(made) == 0


def test_new_flows_go_to_few_candidates_that_follow_from_the_key():
    records = [record(number) for number in range(1, 61)]
    made, other = pool(*records), pool(*reversed(records))
    for key in (b"one", b"two", b"three"):
        drawn = set()
        for _ in range(300):
            target = made.choose("web", key, (), 1.0)
            target.sent_since += 1
            drawn.add(target.record.name)
        assert len(drawn) == CANDIDATE_COUNT
        searched = {each.record.name for each in other.candidates(["web"], key)}
        assert len(searched) == SEARCHED_CANDIDATE_COUNT
        assert drawn < searched


def test_a_flows_agent_is_searched_after_a_few_agents_came_and_left():
    made = pool(*(record(number) for number in range(1, 41)))
    holder = made.choose("web", KEY, (), 1.0)
    newcomers = [record(number) for number in range(41, 46)]
    leaving = [record(number, HostPhase.DRAINING) for number in range(1, 6)]
    made.update(FleetUpdate(False, [*newcomers, *leaving], []), 1.0)
    assert holder in made.candidates(["web"], KEY)


def test_candidates_differ_between_keys():
    made = pool(*(record(number) for number in range(1, 61)))
    first, second = (
        {each.record.name for each in made.candidates(["web"], key)} for key in (b"a", b"b")
    )
    assert first != second


def test_an_agent_that_a_new_balancer_learns_as_lost_may_still_hold_flows():
    made = pool()
    made.update(FleetUpdate(True, [record(1), record(2)], [address_of(2)]), 1.0)
    assert len(made.candidates(["web"], KEY)) == 2
    assert made.at(("10.0.0.2", 7602)).unlisted_since == 1.0
    assert made.at(("10.0.0.1", 7602)).unlisted_since is None


def test_an_agent_that_was_lost_long_ago_counts_as_lost_at_once():
    """A balancer that starts after an outage must not wait the full time again."""
    made = pool()
    lost = [address_of(1), address_of(2)]
    made.update(FleetUpdate(True, [record(1), record(2)], lost, [4.0, 0.5]), 10.0)
    assert made.at(("10.0.0.1", 7602)).is_lost(10.0)
    assert not made.at(("10.0.0.2", 7602)).is_lost(10.0)


@pytest.mark.parametrize(("busy", "expected"), [(0, 1), (3, 1), (5, 2)])
def test_an_upload_leaves_its_zone_only_where_hosts_there_are_much_busier(busy, expected):
    """All its packets would cross zones; other flows move at a fraction of that difference."""
    made = pool(record(1, zone="a"), record(2, zone="b"))
    load(made, 1, busy)
    target = made.choose("web", KEY, (), 1.0, is_bulk=True)
    assert target.record.name == f"agent-{expected}"
    if busy:
        assert chosen(made) == "agent-2"


def test_an_agent_without_a_host_is_asked_for_no_flow_and_gets_none():
    """After a loss of power, machines of hosts that had left come back and leave silently again."""
    made = pool(record(1), record(2, HostPhase.ABSENT))
    assert [each.record.name for each in made.all_targets()] == ["agent-1"]
    assert [each.record.name for each in made.candidates(["web"], KEY)] == ["agent-1"]
    assert chosen(made, excluded=made.all_targets()) is None


def test_a_host_that_starts_beside_an_agent_that_had_none_gets_flows():
    made = pool(record(1, HostPhase.ABSENT))
    assert made.expects_hosts(["web"], 1.0)
    made.update(FleetUpdate(False, [record(1)], []), 1.0)
    assert chosen(made) == "agent-1"
    assert len(made.all_targets()) == 1


UNABLE = 64.0
"""The load in the answers of an agent whose host returns openings or is silent."""


def test_an_agent_that_once_seemed_unable_is_asked_again():
    """Guards against an idle host that never gets new flows again (soak, seed 304).

    An agent that had answered `reason=returned load=64.0` was not tried again with that load, and
    only an answer replaced the load. So its host stayed without new flows after it had recovered
    (`host-takes-openings`), even after a restart of the agent.
    """
    made = pool(record(1), record(2), record(3))
    load(made, 1, UNABLE, now=1.0)
    assert {chosen(made, 1.5) for _ in range(20)} == {"agent-2", "agent-3"}
    later = 1.0 + LOAD_FRESH_SECONDS + 12 * LOAD_HALF_LIFE_SECONDS
    load(made, 2, 0.5, now=later)
    load(made, 3, 0.5, now=later)
    assert chosen(made, later) == "agent-1"


def test_what_was_sent_without_an_answer_ages_as_well():
    """Answers may be lost: an agent whose answers to new flows were lost is not busy forever."""
    made = pool(record(1), record(2))
    for _ in range(10):
        made.at(("10.0.0.1", 7602)).record_sent(1.0)
    assert chosen(made, 1.0) == "agent-2"
    later = 1.0 + LOAD_FRESH_SECONDS + 12 * LOAD_HALF_LIFE_SECONDS
    load(made, 2, 0.5, now=later)
    assert chosen(made, later) == "agent-1"


@pytest.mark.parametrize("age", [0.0, LOAD_FRESH_SECONDS])
def test_a_fresh_load_counts_fully(age):
    made = pool(record(1, capacity=1), record(2, capacity=1))
    load(made, 1, 0.5, now=5.0 - age)
    load(made, 2, 0.4, now=5.0)
    assert {chosen(made, 5.0) for _ in range(20)} == {"agent-2"}
