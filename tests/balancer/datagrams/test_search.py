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
from tests.balancer.datagrams.support import Bench, address_of, record
from tests.flows.support import CALLER, from_caller, key_of

DATA = from_caller(0, b"data")
MORE = from_caller(0, b"more")
SECOND_ROUND_SECONDS = ROUND_PAUSE_SECONDS + ROUND_GRID_SECONDS
"""Latest beginning of the second round, after the first."""


def searching(*records, **options):
    """Return a balancer that has just got a packet of a flow that it does not know."""
    bench = Bench(*records, **options)
    bench.core.receive(DATA, 1.0)
    return bench


def asked(bench):
    sent = bench.take_sent()
    assert all((kind, body) == (FrameKind.FIND, key_of()) for kind, _, body in sent)
    return {number for _, number, _ in sent}


def test_the_agents_are_asked_and_no_host_sees_the_packet_meanwhile():
    bench = searching(record(1), record(2), record(3))
    assert asked(bench) == {1, 2, 3}
    bench.core.receive(MORE, 1.001)
    assert bench.take_sent() == []


def test_the_holder_gets_the_packets_in_their_order_and_all_later_ones():
    bench = searching(record(1), record(2))
    asked(bench)
    bench.core.receive(MORE, 1.001)
    bench.answer(2, FrameKind.HELD, 1.002)
    assert bench.take_sent() == [(FrameKind.CARRY, 2, DATA), (FrameKind.CARRY, 2, MORE)]
    bench.core.receive(MORE, 1.1)
    assert bench.take_sent() == [(FrameKind.CARRY, 2, MORE)]


def test_draining_and_unlisted_agents_are_asked_too():
    bench = Bench(record(1), record(2, HostPhase.DRAINING), record(3))
    bench.learn(removed=[address_of(3)], now=0.5)
    bench.core.receive(DATA, 1.0)
    assert asked(bench) == {1, 2, 3}


def test_a_service_that_the_route_named_before_is_asked_too():
    bench = Bench(record(1), record(2, service="export"))
    bench.route(2, "export")
    bench.core.receive(DATA, 1.0)
    assert asked(bench) == {1, 2}


def deny(bench, numbers, now):
    for number in numbers:
        bench.answer(number, FrameKind.NOT_HELD, now)


def test_a_flow_is_reset_only_after_every_agent_denied_it_twice():
    bench = searching(record(1), record(2))
    deny(bench, asked(bench), 1.01)
    assert bench.resets == []
    bench.core.tick(1.01 + SECOND_ROUND_SECONDS)
    deny(bench, asked(bench), 1.1)
    assert len(bench.resets) == 1


def test_the_second_round_asks_every_service():
    bench = searching(record(1), record(2, service="export"))
    deny(bench, asked(bench), 1.01)
    bench.core.tick(1.01 + SECOND_ROUND_SECONDS)
    assert asked(bench) == {1, 2}


def test_an_agent_that_does_not_answer_keeps_the_flow_from_being_reset():
    bench = searching(record(1), record(2))
    asked(bench)
    deny(bench, [1], 1.01)
    bench.core.tick(1.0 + ANSWER_TIMEOUT_SECONDS)
    bench.core.tick(1.1 + ANSWER_TIMEOUT_SECONDS + SECOND_ROUND_SECONDS)
    assert asked(bench) == {1, 2}
    deny(bench, [1], 1.4)
    bench.core.tick(2.0)
    assert bench.resets == []
    assert not bench.core.has_pending()
    assert "flow-not-found" in bench.log.names()


def test_agents_that_cannot_know_are_shown_one_packet_one_after_the_other():
    bench = searching(record(1), record(2), record(3))
    asked(bench)
    bench.answer(1, FrameKind.UNSURE, 1.01)
    bench.answer(2, FrameKind.NOT_HELD, 1.01)
    bench.answer(3, FrameKind.UNSURE, 1.01)
    ((kind, first, body),) = bench.take_sent()
    assert (kind, body) == (FrameKind.CARRY, DATA)
    bench.answer(first, FrameKind.RETURNED, 1.02, packet=DATA)
    ((_, second, _),) = bench.take_sent()
    assert {first, second} == {1, 3}
    bench.answer(second, FrameKind.HELD, 1.03)
    assert bench.take_sent() == [(FrameKind.CARRY, second, DATA)]


def test_no_host_is_shown_a_packet_while_an_agent_may_still_say_that_it_holds_the_flow():
    bench = searching(record(1), record(2))
    asked(bench)
    bench.answer(1, FrameKind.UNSURE, 1.01)
    assert bench.take_sent() == []
    bench.answer(2, FrameKind.HELD, 1.02)
    assert bench.take_sent() == [(FrameKind.CARRY, 2, DATA)]


def test_a_host_that_keeps_a_shown_packet_without_a_word_is_passed_over():
    bench = searching(record(1), record(2))
    asked(bench)
    bench.answer(1, FrameKind.UNSURE, 1.01)
    bench.answer(2, FrameKind.UNSURE, 1.01)
    ((_, first, _),) = bench.take_sent()
    bench.core.tick(1.02 + PROBE_TIMEOUT_SECONDS)
    ((_, second, _),) = bench.take_sent()
    assert first != second
    bench.core.tick(1.5)
    bench.core.tick(2.0)
    bench.core.tick(2.5)
    bench.core.tick(3.0)
    assert bench.resets == []


def test_held_packets_are_bounded():
    bench = searching(record(1))
    asked(bench)
    for _ in range(100):
        bench.core.receive(MORE, 1.01)
    bench.answer(1, FrameKind.HELD, 1.02)
    assert len(bench.take_sent()) == MAX_HELD_PACKETS


@pytest.mark.parametrize("count", [0, 1])
def test_a_search_that_finds_nobody_ends(count):
    bench = searching(*(record(number) for number in range(1, count + 1)))
    for step in range(1, 200):
        bench.core.tick(1.0 + step * 0.02)
    assert not bench.core.has_pending()
    assert bench.resets == []


def many(count=60):
    return [record(number) for number in range(1, count + 1)]


def test_only_candidates_are_asked_first_and_everyone_in_the_second_round():
    bench = searching(*many())
    first = asked(bench)
    assert len(first) == SEARCHED_CANDIDATE_COUNT
    deny(bench, first, 1.01)
    bench.core.tick(1.01 + SECOND_ROUND_SECONDS)
    assert asked(bench) == set(range(1, 61))


def test_a_flow_held_beyond_the_candidates_is_found_in_the_second_round():
    bench = searching(*many())
    first = asked(bench)
    deny(bench, first, 1.01)
    bench.core.tick(1.01 + SECOND_ROUND_SECONDS)
    holder = min(asked(bench) - first)
    bench.answer(holder, FrameKind.HELD, 1.3)
    assert bench.take_sent() == [(FrameKind.CARRY, holder, DATA)]


def test_no_host_beyond_the_candidates_is_shown_a_packet():
    bench = searching(*many())
    first = asked(bench)
    deny(bench, first, 1.01)
    bench.core.tick(1.01 + SECOND_ROUND_SECONDS)
    for number in asked(bench):
        kind = FrameKind.NOT_HELD if number in first else FrameKind.UNSURE
        bench.answer(number, kind, 1.1)
    assert bench.take_sent() == []
    assert len(bench.resets) == 1


def search_many(bench, count):
    """Begin searches of flows that all candidates deny; return the callers."""
    callers = [CALLER.__class__("100.64.1.1", port) for port in range(1, count + 1)]
    for caller in callers:
        bench.core.receive(from_caller(0, b"data", caller=caller), 1.0)
        for _, number, _ in bench.take_sent():
            bench.answer(number, FrameKind.NOT_HELD, 1.0, key=key_of(caller))
    bench.core.tick(1.0 + SECOND_ROUND_SECONDS)
    return callers


def keys_in(body):
    return [body[at : at + 12] for at in range(0, len(body), 12)]


def test_the_second_rounds_of_many_searches_share_their_frames():
    bench = Bench(*many())
    callers = search_many(bench, KEYS_PER_FRAME + 6)
    sent = bench.take_sent()
    assert {kind for kind, _, _ in sent} == {FrameKind.FIND}
    assert len(sent) == 2 * 60
    for number in range(1, 61):
        keys = [key for _, to, body in sent if to == number for key in keys_in(body)]
        assert sorted(keys) == sorted(key_of(caller) for caller in callers)


def test_one_frame_answers_for_many_searches():
    bench = Bench(record(1))
    callers = search_many(bench, 3)
    ((_, _, body),) = bench.take_sent()
    kinds = [FrameKind.NOT_HELD, FrameKind.HELD, FrameKind.NOT_HELD]
    answers = [
        AgentReply(kind, 0, service_tag("web"), 1.0, 4, key, b"")
        for kind, key in zip(kinds, keys_in(body), strict=True)
    ]
    endpoint = address_of(1)
    bench.core.receive_reply(encode_answers(answers), (endpoint.host, endpoint.port), 1.4)
    assert [to for _, to in bench.resets] == [
        (callers[0].host, callers[0].port),
        (callers[2].host, callers[2].port),
    ]
    assert [kind for kind, _, _ in bench.take_sent()] == [FrameKind.CARRY]


def test_questions_to_everyone_are_bounded_and_no_flow_is_reset_without_them():
    bench = Bench(*many())
    bench.core.searches._broadcast_budget = TokenBucket(0.0, 59.0, 1.0)
    callers = search_many(bench, 5)
    for _, number, body in bench.take_sent():
        for key in keys_in(body):
            bench.answer(number, FrameKind.NOT_HELD, 1.3, key=key)
    assert bench.resets == []
    assert not bench.core.has_pending()
    assert len(callers) == bench.core.counters.searches_given_up


def unanswered_twice(unlisted_at, phase=HostPhase.READY):
    """Search while agent 2 is silent, and unlisted since a time."""
    bench = Bench(record(1), record(2, phase))
    bench.learn(removed=[address_of(2)], now=unlisted_at)
    bench.core.receive(DATA, 10.0)
    asked(bench)
    deny(bench, [1], 10.01)
    bench.core.tick(10.1)
    bench.core.tick(10.2 + SECOND_ROUND_SECONDS)
    asked(bench)
    deny(bench, [1], 10.5)
    bench.core.tick(11.0)
    return bench


def test_a_lost_agent_that_does_not_answer_keeps_no_caller_waiting():
    assert len(unanswered_twice(5.0).resets) == 1


def test_a_leaving_host_whose_agent_vanished_may_still_serve_its_flows():
    """Its agent was told to stop before it had said goodbye: seen as a broken flow."""
    assert unanswered_twice(5.0, HostPhase.DRAINING).resets == []
    assert len(unanswered_twice(-1.0, HostPhase.DRAINING).resets) == 1


def test_an_agent_that_only_just_lost_its_link_may_still_hold_the_flow():
    assert unanswered_twice(9.5).resets == []


def test_no_host_is_shown_a_packet_while_a_candidates_answer_is_missing():
    bench = searching(record(1), record(2), record(3))
    asked(bench)
    bench.answer(1, FrameKind.UNSURE, 1.01)
    bench.answer(2, FrameKind.UNSURE, 1.01)
    for step in range(1, 100):
        bench.core.tick(1.0 + step * 0.02)
    assert {kind for kind, _, _ in bench.take_sent()} == {FrameKind.FIND}


def test_a_host_that_returned_a_packet_is_not_shown_the_next_one():
    bench = searching(record(1), record(2))
    asked(bench)
    bench.answer(1, FrameKind.UNSURE, 1.01)
    bench.answer(2, FrameKind.UNSURE, 1.01)
    ((_, first, _),) = bench.take_sent()
    bench.answer(first, FrameKind.RETURNED, 1.02, packet=DATA)
    for step in range(1, 100):
        bench.core.tick(1.02 + step * 0.02)
    bench.take_sent()
    assert not bench.core.has_pending()
    bench.core.receive(MORE, 3.5)
    for number in asked(bench):
        bench.answer(number, FrameKind.UNSURE, 3.51)
    ((_, shown, _),) = bench.take_sent()
    assert shown != first


def test_a_balancer_that_has_just_heard_of_agents_resets_nothing_yet():
    """Others may be missing in what a home tells right after a start of its own."""
    bench = Bench(version=1)
    bench.core.pool.directory_since = None
    bench.learn(record(1), whole=True, now=0.95)
    bench.core.receive(DATA, 1.0)
    deny(bench, asked(bench), 1.01)
    bench.core.tick(1.01 + SECOND_ROUND_SECONDS)
    assert bench.take_sent() == []
    bench.learn(record(2), now=1.2)
    bench.core.tick(0.95 + SETTLING_SECONDS + ROUND_GRID_SECONDS)
    assert asked(bench) == {1, 2}


def test_an_agent_that_was_learnt_during_the_search_is_shown_the_packet():
    """A balancer that has just started knows no agent; agents that restarted do not know."""
    bench = searching()
    bench.core.tick(1.0 + ANSWER_TIMEOUT_SECONDS)
    bench.learn(record(1), whole=True, now=1.1)
    bench.core.tick(1.0 + ANSWER_TIMEOUT_SECONDS + SETTLING_SECONDS)
    assert asked(bench) == {1}
    bench.answer(1, FrameKind.UNSURE, 1.35)
    assert bench.take_sent() == [(FrameKind.CARRY, 1, DATA)]
    bench.answer(1, FrameKind.HELD, 1.36)
    assert bench.resets == []
    bench.core.receive(MORE, 1.4)
    assert (FrameKind.CARRY, 1, MORE) in bench.take_sent()


def play_until(bench, until, deny_by=()):
    """Let time pass from 1.0 s; the agents named in `deny_by` answer each question at once."""
    for step in range(1, round((until - 1.0) / 0.02) + 1):
        now = 1.0 + step * 0.02
        bench.core.tick(now)
        for _, number, _ in bench.take_sent():
            if number in deny_by:
                bench.answer(number, FrameKind.NOT_HELD, now)


def fleet_with_a_silent_agent(phase):
    """Search among 60 agents of which the last, beyond the candidates, says nothing."""
    numbers = list(range(1, 60))
    silent = record(60, phase, service="export")
    bench = searching(*(record(number) for number in numbers), silent)
    deny(bench, asked(bench), 1.0)
    return bench, numbers


def test_an_agent_without_a_host_that_falls_silent_does_not_keep_callers_of_dead_flows_waiting():
    """After a loss of power, machines of hosts that had left came back for some seconds."""
    bench, numbers = fleet_with_a_silent_agent(HostPhase.UNKNOWN)
    play_until(bench, 2.0, deny_by=numbers)
    assert len(bench.resets) == 1
    assert not bench.core.has_pending()


def test_the_next_search_knows_already_that_the_agent_is_silent():
    bench, numbers = fleet_with_a_silent_agent(HostPhase.UNKNOWN)
    play_until(bench, 2.0, deny_by=numbers)
    other = CALLER.__class__("100.64.1.1", 7)
    bench.core.receive(from_caller(0, b"data", caller=other), 2.0)
    for now in (2.0, 2.1, 2.2, 2.3):
        bench.core.tick(now)
        for _, number, _ in bench.take_sent():
            if number in numbers:
                bench.answer(number, FrameKind.NOT_HELD, now, key=key_of(other))
    assert len(bench.resets) == 2


@pytest.mark.parametrize("phase", [HostPhase.READY, HostPhase.DRAINING])
def test_an_agent_with_a_host_that_falls_silent_may_hold_the_flow(phase):
    bench, numbers = fleet_with_a_silent_agent(phase)
    play_until(bench, 3.0, deny_by=numbers)
    assert bench.resets == []
    assert not bench.core.has_pending()


def test_a_candidate_without_a_host_that_falls_silent_may_hold_the_flow():
    bench = searching(record(1), record(2, HostPhase.UNKNOWN))
    deny(bench, [1], 1.0)
    play_until(bench, 3.0, deny_by=[1])
    assert bench.resets == []


def test_one_lost_answer_is_no_silence():
    """The second question to an agent that never saw its host is answered."""
    bench, numbers = fleet_with_a_silent_agent(HostPhase.UNKNOWN)
    play_until(bench, 1.1, deny_by=numbers)
    bench.core.tick(1.18)
    assert [number for _, number, _ in bench.take_sent()] == [60]
    bench.answer(60, FrameKind.HELD, 1.19)
    assert bench.resets == []
    assert bench.take_sent() == [(FrameKind.CARRY, 60, DATA)]
