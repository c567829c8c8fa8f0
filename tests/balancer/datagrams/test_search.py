import pytest

from jasperwalk.fleet.messages import HostPhase
from jasperwalk.fleet.query_batch import KEYS_PER_FRAME
from jasperwalk.fleet.search import (
    ANSWER_TIMEOUT_SECONDS,
    MAX_HELD_PACKETS,
    PROBE_TIMEOUT_SECONDS,
    ROUND_GRID_SECONDS,
    ROUND_PAUSE_SECONDS,
    SETTLING_SECONDS,
)
from jasperwalk.fleet.targets import SEARCHED_CANDIDATE_COUNT
from jasperwalk.flows.frames import AgentReply, FrameKind, encode_answers, service_tag
from jasperwalk.token_bucket import TokenBucket
from tests.balancer.datagrams.support import Harness, address_of, record
from tests.flows.support import CALLER, from_caller, key_of

DATA = from_caller(0, b"data")
MORE = from_caller(0, b"more")
SECOND_ROUND_SECONDS = ROUND_PAUSE_SECONDS + ROUND_GRID_SECONDS
"""Latest start of the second round after the first one."""


def searching(*records, **options):
    """Return a balancer that has just received a packet of an unknown flow."""
    harness = Harness(*records, **options)
    harness.core.receive(DATA, 1.0)
    return harness


def queried(harness):
    sent = harness.take_sent()
    assert all((kind, body) == (FrameKind.FIND, key_of()) for kind, _, body in sent)
    return {number for _, number, _ in sent}


def test_the_agents_are_asked_and_no_host_sees_the_packet_meanwhile():
    harness = searching(record(1), record(2), record(3))
    assert queried(harness) == {1, 2, 3}
    harness.core.receive(MORE, 1.001)
    assert harness.take_sent() == []


def test_the_holder_gets_the_packets_in_their_order_and_all_later_ones():
    harness = searching(record(1), record(2))
    queried(harness)
    harness.core.receive(MORE, 1.001)
    harness.answer(2, FrameKind.HELD, 1.002)
    assert harness.take_sent() == [(FrameKind.CARRY, 2, DATA), (FrameKind.CARRY, 2, MORE)]
    harness.core.receive(MORE, 1.1)
    assert harness.take_sent() == [(FrameKind.CARRY, 2, MORE)]


def test_draining_and_unlisted_agents_are_asked_too():
    harness = Harness(record(1), record(2, HostPhase.DRAINING), record(3))
    harness.update_fleet(removed=[address_of(3)], now=0.5)
    harness.core.receive(DATA, 1.0)
    assert queried(harness) == {1, 2, 3}


def test_a_service_that_the_route_named_before_is_asked_too():
    harness = Harness(record(1), record(2, service="export"))
    harness.route(2, "export")
    harness.core.receive(DATA, 1.0)
    assert queried(harness) == {1, 2}


def deny(harness, numbers, now):
    for number in numbers:
        harness.answer(number, FrameKind.NOT_HELD, now)


def test_a_flow_is_reset_only_after_every_agent_denied_it_twice():
    harness = searching(record(1), record(2))
    deny(harness, queried(harness), 1.01)
    assert harness.resets == []
    harness.core.tick(1.01 + SECOND_ROUND_SECONDS)
    deny(harness, queried(harness), 1.1)
    assert len(harness.resets) == 1


def test_the_second_round_asks_every_service():
    harness = searching(record(1), record(2, service="export"))
    deny(harness, queried(harness), 1.01)
    harness.core.tick(1.01 + SECOND_ROUND_SECONDS)
    assert queried(harness) == {1, 2}


def test_an_agent_that_does_not_answer_keeps_the_flow_from_being_reset():
    harness = searching(record(1), record(2))
    queried(harness)
    deny(harness, [1], 1.01)
    harness.core.tick(1.0 + ANSWER_TIMEOUT_SECONDS)
    harness.core.tick(1.1 + ANSWER_TIMEOUT_SECONDS + SECOND_ROUND_SECONDS)
    assert queried(harness) == {1, 2}
    deny(harness, [1], 1.4)
    harness.core.tick(2.0)
    assert harness.resets == []
    assert not harness.core.has_pending()
    assert "flow-not-found" in harness.log.names()


def test_agents_that_cannot_know_are_shown_one_packet_one_after_the_other():
    harness = searching(record(1), record(2), record(3))
    queried(harness)
    harness.answer(1, FrameKind.UNSURE, 1.01)
    harness.answer(2, FrameKind.NOT_HELD, 1.01)
    harness.answer(3, FrameKind.UNSURE, 1.01)
    ((kind, first, body),) = harness.take_sent()
    assert (kind, body) == (FrameKind.CARRY, DATA)
    harness.answer(first, FrameKind.RETURNED, 1.02, packet=DATA)
    ((_, second, _),) = harness.take_sent()
    assert {first, second} == {1, 3}
    harness.answer(second, FrameKind.HELD, 1.03)
    assert harness.take_sent() == [(FrameKind.CARRY, second, DATA)]


def test_no_host_is_shown_a_packet_while_an_agent_may_still_say_that_it_holds_the_flow():
    harness = searching(record(1), record(2))
    queried(harness)
    harness.answer(1, FrameKind.UNSURE, 1.01)
    assert harness.take_sent() == []
    harness.answer(2, FrameKind.HELD, 1.02)
    assert harness.take_sent() == [(FrameKind.CARRY, 2, DATA)]


def test_the_next_host_is_probed_after_one_that_does_not_answer():
    harness = searching(record(1), record(2))
    queried(harness)
    harness.answer(1, FrameKind.UNSURE, 1.01)
    harness.answer(2, FrameKind.UNSURE, 1.01)
    ((_, first, _),) = harness.take_sent()
    harness.core.tick(1.02 + PROBE_TIMEOUT_SECONDS)
    ((_, second, _),) = harness.take_sent()
    assert first != second
    harness.core.tick(1.5)
    harness.core.tick(2.0)
    harness.core.tick(2.5)
    harness.core.tick(3.0)
    assert harness.resets == []


def test_held_packets_are_bounded():
    harness = searching(record(1))
    queried(harness)
    for _ in range(100):
        harness.core.receive(MORE, 1.01)
    harness.answer(1, FrameKind.HELD, 1.02)
    assert len(harness.take_sent()) == MAX_HELD_PACKETS


@pytest.mark.parametrize("count", [0, 1])
def test_a_search_that_finds_nobody_ends(count):
    harness = searching(*(record(number) for number in range(1, count + 1)))
    for step in range(1, 200):
        harness.core.tick(1.0 + step * 0.02)
    assert not harness.core.has_pending()
    assert harness.resets == []


def many(count=60):
    return [record(number) for number in range(1, count + 1)]


def test_only_candidates_are_asked_first_and_everyone_in_the_second_round():
    harness = searching(*many())
    first = queried(harness)
    assert len(first) == SEARCHED_CANDIDATE_COUNT
    deny(harness, first, 1.01)
    harness.core.tick(1.01 + SECOND_ROUND_SECONDS)
    assert queried(harness) == set(range(1, 61))


def test_a_flow_held_beyond_the_candidates_is_found_in_the_second_round():
    harness = searching(*many())
    first = queried(harness)
    deny(harness, first, 1.01)
    harness.core.tick(1.01 + SECOND_ROUND_SECONDS)
    holder = min(queried(harness) - first)
    harness.answer(holder, FrameKind.HELD, 1.3)
    assert harness.take_sent() == [(FrameKind.CARRY, holder, DATA)]


def test_no_host_beyond_the_candidates_is_shown_a_packet():
    harness = searching(*many())
    first = queried(harness)
    deny(harness, first, 1.01)
    harness.core.tick(1.01 + SECOND_ROUND_SECONDS)
    for number in queried(harness):
        kind = FrameKind.NOT_HELD if number in first else FrameKind.UNSURE
        harness.answer(number, kind, 1.1)
    assert harness.take_sent() == []
    assert len(harness.resets) == 1


def search_many(harness, count):
    """Start searches for flows that all candidates deny; return the callers."""
    callers = [CALLER.__class__("100.64.1.1", port) for port in range(1, count + 1)]
    for caller in callers:
        harness.core.receive(from_caller(0, b"data", caller=caller), 1.0)
        for _, number, _ in harness.take_sent():
            harness.answer(number, FrameKind.NOT_HELD, 1.0, key=key_of(caller))
    harness.core.tick(1.0 + SECOND_ROUND_SECONDS)
    return callers


def keys_in(body):
    return [body[at : at + 12] for at in range(0, len(body), 12)]


def test_the_second_rounds_of_many_searches_share_their_frames():
    harness = Harness(*many())
    callers = search_many(harness, KEYS_PER_FRAME + 6)
    sent = harness.take_sent()
    assert {kind for kind, _, _ in sent} == {FrameKind.FIND}
    assert len(sent) == 2 * 60
    for number in range(1, 61):
        keys = [key for _, to, body in sent if to == number for key in keys_in(body)]
        assert sorted(keys) == sorted(key_of(caller) for caller in callers)


def test_one_frame_answers_for_many_searches():
    harness = Harness(record(1))
    callers = search_many(harness, 3)
    ((_, _, body),) = harness.take_sent()
    kinds = [FrameKind.NOT_HELD, FrameKind.HELD, FrameKind.NOT_HELD]
    answers = [
        AgentReply(kind, 0, service_tag("web"), 1.0, 4, key, b"")
        for kind, key in zip(kinds, keys_in(body), strict=True)
    ]
    endpoint = address_of(1)
    harness.core.receive_reply(encode_answers(answers), (endpoint.host, endpoint.port), 1.4)
    assert [to for _, to in harness.resets] == [
        (callers[0].host, callers[0].port),
        (callers[2].host, callers[2].port),
    ]
    assert [kind for kind, _, _ in harness.take_sent()] == [FrameKind.CARRY]


def test_queries_to_all_agents_are_bounded_and_no_flow_is_reset_without_them():
    harness = Harness(*many())
    harness.core.searches._broadcast_budget = TokenBucket(0.0, 59.0, 1.0)
    callers = search_many(harness, 5)
    for _, number, body in harness.take_sent():
        for key in keys_in(body):
            harness.answer(number, FrameKind.NOT_HELD, 1.3, key=key)
    assert harness.resets == []
    assert not harness.core.has_pending()
    assert len(callers) == harness.core.counters.searches_given_up


def silent_in_both_rounds(unlisted_at, phase=HostPhase.READY):
    """Search while agent 2 is silent, and unlisted since `unlisted_at`."""
    harness = Harness(record(1), record(2, phase))
    harness.update_fleet(removed=[address_of(2)], now=unlisted_at)
    harness.core.receive(DATA, 10.0)
    queried(harness)
    deny(harness, [1], 10.01)
    harness.core.tick(10.1)
    harness.core.tick(10.2 + SECOND_ROUND_SECONDS)
    queried(harness)
    deny(harness, [1], 10.5)
    harness.core.tick(11.0)
    return harness


def test_a_lost_agent_that_does_not_answer_keeps_no_caller_waiting():
    assert len(silent_in_both_rounds(5.0).resets) == 1


def test_a_leaving_host_whose_agent_vanished_may_still_serve_its_flows():
    """Guards against a flow broken because the host's agent stopped before it had deregistered."""
    assert silent_in_both_rounds(5.0, HostPhase.DRAINING).resets == []
    assert len(silent_in_both_rounds(-1.0, HostPhase.DRAINING).resets) == 1


def test_an_agent_that_only_just_lost_its_link_may_still_hold_the_flow():
    assert silent_in_both_rounds(9.5).resets == []


def test_no_host_is_shown_a_packet_while_a_candidates_answer_is_missing():
    harness = searching(record(1), record(2), record(3))
    queried(harness)
    harness.answer(1, FrameKind.UNSURE, 1.01)
    harness.answer(2, FrameKind.UNSURE, 1.01)
    for step in range(1, 100):
        harness.core.tick(1.0 + step * 0.02)
    assert {kind for kind, _, _ in harness.take_sent()} == {FrameKind.FIND}


def test_a_host_that_returned_a_packet_is_not_shown_the_next_one():
    harness = searching(record(1), record(2))
    queried(harness)
    harness.answer(1, FrameKind.UNSURE, 1.01)
    harness.answer(2, FrameKind.UNSURE, 1.01)
    ((_, first, _),) = harness.take_sent()
    harness.answer(first, FrameKind.RETURNED, 1.02, packet=DATA)
    for step in range(1, 100):
        harness.core.tick(1.02 + step * 0.02)
    harness.take_sent()
    assert not harness.core.has_pending()
    harness.core.receive(MORE, 3.5)
    for number in queried(harness):
        harness.answer(number, FrameKind.UNSURE, 3.51)
    ((_, shown, _),) = harness.take_sent()
    assert shown != first


def test_a_balancer_that_has_just_received_its_first_agents_resets_nothing_yet():
    """A home that has itself just started may not list all agents."""
    harness = Harness(version=1)
    harness.core.pool.directory_since = None
    harness.update_fleet(record(1), is_snapshot=True, now=0.95)
    harness.core.receive(DATA, 1.0)
    deny(harness, queried(harness), 1.01)
    harness.core.tick(1.01 + SECOND_ROUND_SECONDS)
    assert harness.take_sent() == []
    harness.update_fleet(record(2), now=1.2)
    harness.core.tick(0.95 + SETTLING_SECONDS + ROUND_GRID_SECONDS)
    assert queried(harness) == {1, 2}


def test_an_agent_that_was_learnt_during_the_search_is_shown_the_packet():
    """A balancer that has just started knows no agent; restarted agents answer `UNSURE`."""
    harness = searching()
    harness.core.tick(1.0 + ANSWER_TIMEOUT_SECONDS)
    harness.update_fleet(record(1), is_snapshot=True, now=1.1)
    harness.core.tick(1.0 + ANSWER_TIMEOUT_SECONDS + SETTLING_SECONDS)
    assert queried(harness) == {1}
    harness.answer(1, FrameKind.UNSURE, 1.35)
    assert harness.take_sent() == [(FrameKind.CARRY, 1, DATA)]
    harness.answer(1, FrameKind.HELD, 1.36)
    assert harness.resets == []
    harness.core.receive(MORE, 1.4)
    assert (FrameKind.CARRY, 1, MORE) in harness.take_sent()


def run_until(harness, until, deny_by=()):
    """Let time pass from 1.0 s; the agents in `deny_by` deny each query at once."""
    for step in range(1, round((until - 1.0) / 0.02) + 1):
        now = 1.0 + step * 0.02
        harness.core.tick(now)
        for _, number, _ in harness.take_sent():
            if number in deny_by:
                harness.answer(number, FrameKind.NOT_HELD, now)


def fleet_with_a_silent_agent(phase):
    """Search among 60 agents of which the last, no candidate, does not answer."""
    numbers = list(range(1, 60))
    silent = record(60, phase, service="export")
    harness = searching(*(record(number) for number in numbers), silent)
    deny(harness, queried(harness), 1.0)
    return harness, numbers


def test_an_agent_without_a_host_that_falls_silent_does_not_keep_callers_of_dead_flows_waiting():
    """After a loss of power, machines of hosts that had left are back for some seconds."""
    harness, numbers = fleet_with_a_silent_agent(HostPhase.UNKNOWN)
    run_until(harness, 2.0, deny_by=numbers)
    assert len(harness.resets) == 1
    assert not harness.core.has_pending()


def test_the_next_search_knows_already_that_the_agent_is_silent():
    harness, numbers = fleet_with_a_silent_agent(HostPhase.UNKNOWN)
    run_until(harness, 2.0, deny_by=numbers)
    other = CALLER.__class__("100.64.1.1", 7)
    harness.core.receive(from_caller(0, b"data", caller=other), 2.0)
    for now in (2.0, 2.1, 2.2, 2.3):
        harness.core.tick(now)
        for _, number, _ in harness.take_sent():
            if number in numbers:
                harness.answer(number, FrameKind.NOT_HELD, now, key=key_of(other))
    assert len(harness.resets) == 2


@pytest.mark.parametrize("phase", [HostPhase.READY, HostPhase.DRAINING])
def test_an_agent_with_a_host_that_falls_silent_may_hold_the_flow(phase):
    harness, numbers = fleet_with_a_silent_agent(phase)
    run_until(harness, 3.0, deny_by=numbers)
    assert harness.resets == []
    assert not harness.core.has_pending()


def test_a_candidate_without_a_host_that_falls_silent_may_hold_the_flow():
    harness = searching(record(1), record(2, HostPhase.UNKNOWN))
    deny(harness, [1], 1.0)
    run_until(harness, 3.0, deny_by=[1])
    assert harness.resets == []


def test_one_lost_answer_is_no_silence():
    """An agent whose host never announced itself answers the second query."""
    harness, numbers = fleet_with_a_silent_agent(HostPhase.UNKNOWN)
    run_until(harness, 1.1, deny_by=numbers)
    harness.core.tick(1.18)
    assert [number for _, number, _ in harness.take_sent()] == [60]
    harness.answer(60, FrameKind.HELD, 1.19)
    assert harness.resets == []
    assert harness.take_sent() == [(FrameKind.CARRY, 60, DATA)]
