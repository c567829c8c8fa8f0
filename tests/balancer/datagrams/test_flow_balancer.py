import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.datagrams.flow_opener import (
    MAX_PARKING_SECONDS,
    MAX_TRIES,
    OPEN_TIMEOUT_SECONDS,
)
from jasperwalk.fleet.messages import HostPhase
from jasperwalk.fleet.search import CONFIRM_TIMEOUT_SECONDS
from jasperwalk.fleet.target import FAILING_SECONDS
from jasperwalk.flows.frames import (
    REQUEST_HEAD,
    FrameKind,
    RefusalReason,
    opening_terms,
)
from tests.balancer.datagrams.support import Harness, address_of, record
from tests.flows.support import CALLER, OPENING, RESET, PlainCodec, from_caller, key_of

SYN = from_caller(OPENING)
DATA = from_caller(0, b"data")
MORE = from_caller(0, b"more")
RESET_TO_CALLER = (PlainCodec().reset_for(SYN), (CALLER.host, CALLER.port))


def opened(harness, now=1.0):
    """Open a flow and return its agent's number."""
    harness.core.receive(SYN, now)
    ((kind, number, body),) = harness.take_sent()
    assert (kind, body) == (FrameKind.OPEN, SYN)
    harness.answer(number, FrameKind.ACCEPTED, now)
    return number


def test_a_flow_stays_with_the_agent_that_accepted_it():
    harness = Harness(record(1), record(2))
    number = opened(harness)
    harness.core.receive(DATA, 1.1)
    assert harness.take_sent() == [(FrameKind.CARRY, number, DATA)]


def test_a_copy_of_the_opening_packet_goes_to_the_same_agent():
    harness = Harness(record(1), record(2), record(3))
    harness.core.receive(SYN, 1.0)
    ((_, number, _),) = harness.take_sent()
    harness.core.receive(SYN, 1.05)
    assert harness.take_sent() == [(FrameKind.OPEN, number, SYN)]


def test_a_refused_flow_goes_to_another_agent():
    harness = Harness(record(1), record(2))
    harness.core.receive(SYN, 1.0)
    ((_, first, _),) = harness.take_sent()
    harness.refuse(first, 1.01)
    ((kind, second, body),) = harness.take_sent()
    assert (kind, body) == (FrameKind.OPEN, SYN)
    assert second != first


def test_a_flow_that_every_agent_refused_may_wait_at_the_least_busy_one():
    harness = Harness(record(1), record(2))
    harness.core.receive(SYN, 1.0)
    loads = {1: 9.0, 2: 5.0}
    for _ in range(2):
        number, waits = harness.take_opening()
        assert not waits
        harness.answer(number, FrameKind.REFUSED, 1.01, RefusalReason.FULL, load=loads[number])
    assert harness.take_opening() == (2, True)
    harness.answer(2, FrameKind.ACCEPTED, 1.02)
    harness.core.receive(DATA, 1.5)
    assert harness.take_sent() == [(FrameKind.CARRY, 2, DATA)]


def test_a_flow_that_no_agent_lets_wait_is_reset_at_once():
    harness = Harness(record(1), record(2))
    harness.core.receive(SYN, 1.0)
    for _ in range(3):
        assert harness.resets == []
        number, _ = harness.take_opening()
        harness.refuse(number, 1.01)
    assert harness.resets == [RESET_TO_CALLER]
    assert not harness.core.has_pending()


def test_no_more_agents_are_tried_than_the_limit():
    harness = Harness(*(record(number) for number in range(1, 10)))
    harness.core.receive(SYN, 1.0)
    for _ in range(MAX_TRIES):
        number, waits = harness.take_opening()
        assert not waits
        harness.refuse(number, 1.01)
    number, waits = harness.take_opening()
    assert waits
    harness.refuse(number, 1.01)
    assert harness.sent == []
    assert harness.resets == [RESET_TO_CALLER]


def test_a_flow_whose_agents_all_drain_is_reset_without_a_wait():
    harness = Harness(record(1))
    harness.core.receive(SYN, 1.0)
    number, _ = harness.take_opening()
    harness.update_fleet(record(1, HostPhase.DRAINING))
    harness.refuse(number, 1.01, RefusalReason.DRAINING)
    assert harness.resets == [RESET_TO_CALLER]


def test_the_next_agent_is_tried_after_a_silent_one_which_is_then_avoided():
    harness = Harness(record(1), record(2))
    harness.core.receive(SYN, 1.0)
    ((_, silent, _),) = harness.take_sent()
    harness.core.tick(1.0 + OPEN_TIMEOUT_SECONDS / 2)
    assert harness.take_sent() == []
    harness.core.tick(1.0 + OPEN_TIMEOUT_SECONDS)
    ((_, other, _),) = harness.take_sent()
    assert other != silent
    harness.answer(other, FrameKind.ACCEPTED, 1.2, load=3.0)
    caller = CALLER.__class__("100.64.0.9", 1)
    harness.core.receive(from_caller(OPENING, caller=caller), 1.3)
    assert harness.take_sent()[0][1] == other


@pytest.mark.parametrize(
    "records",
    [
        [],
        [record(1, HostPhase.DRAINING)],
        [record(1, HostPhase.UNKNOWN)],
        [record(1, HostPhase.GONE)],
        [record(1, service="export")],
    ],
    ids=["no agent", "draining", "unknown", "gone", "another service"],
)
def test_a_flow_without_a_host_is_reset_at_once(records):
    harness = Harness(*records)
    harness.core.receive(SYN, 1.0)
    assert harness.resets == [RESET_TO_CALLER]
    assert harness.sent == []


def test_a_flow_without_a_route_is_reset():
    harness = Harness(record(1))
    harness.route(2)
    harness.core.receive(SYN, 1.0)
    harness.core.receive(DATA, 1.0)
    assert len(harness.resets) == 2


def test_a_balancer_without_routes_says_nothing():
    harness = Harness(record(1), version=0)
    harness.core.receive(SYN, 1.0)
    harness.core.receive(DATA, 1.0)
    assert harness.resets == harness.sent == []
    assert harness.core.counters.early_packets == 2


def test_a_reset_is_never_answered_by_a_reset():
    harness = Harness(record(1))
    harness.route(2)
    harness.core.receive(from_caller(RESET), 1.0)
    assert harness.resets == []


def test_the_second_service_of_a_route_takes_what_the_first_cannot():
    harness = Harness(record(2, service="export"), services=("web", "export"))
    harness.core.receive(SYN, 1.0)
    assert harness.take_sent() == [(FrameKind.OPEN, 2, SYN)]


def test_an_open_flow_outlives_a_change_of_its_route():
    harness = Harness(record(1), record(2, service="export"))
    number = opened(harness)
    harness.route(2, "export")
    harness.core.receive(DATA, 1.2)
    assert harness.take_sent() == [(FrameKind.CARRY, number, DATA)]


def test_an_open_flow_outlives_its_agents_absence_from_the_directory():
    harness = Harness(record(1))
    number = opened(harness)
    harness.update_fleet(removed=[address_of(number)], now=1.1)
    harness.core.receive(DATA, 1.2)
    assert harness.take_sent() == [(FrameKind.CARRY, number, DATA)]


def test_a_packet_that_comes_back_is_brought_to_the_holder():
    harness = Harness(record(1), record(2))
    number = opened(harness)
    other = 3 - number
    harness.answer(number, FrameKind.RETURNED, 1.2, packet=DATA)
    assert {sent[0] for sent in harness.take_sent()} == {FrameKind.FIND}
    harness.answer(other, FrameKind.HELD, 1.21)
    assert harness.take_sent() == [(FrameKind.CARRY, other, DATA)]
    assert harness.resets == []


def with_unanswered_agents():
    """Return a balancer, an agent that did not answer in time, and the one tried after it."""
    harness = Harness(record(1), record(2))
    harness.core.receive(SYN, 1.0)
    ((_, silent, _),) = harness.take_sent()
    harness.core.tick(1.0 + OPEN_TIMEOUT_SECONDS)
    ((_, other, _),) = harness.take_sent()
    return harness, silent, other


@pytest.mark.parametrize("answers", ["silent", "other", "silent other", "other silent", ""])
def test_the_agents_that_may_have_taken_a_flow_are_given_its_callers_next_packet(answers):
    """The caller has followed up one of their hosts; the other one must not get its packets.

    No other agent is queried, and the holder gets the first packet with the `CONFIRM` frame.
    """
    harness, silent, other = with_unanswered_agents()
    for name in answers.split():
        harness.answer({"silent": silent, "other": other}[name], FrameKind.ACCEPTED, 1.2)
    harness.core.receive(DATA, 1.3)
    assert sorted(harness.take_sent()) == sorted(
        [(FrameKind.CONFIRM, silent, DATA), (FrameKind.CONFIRM, other, DATA)]
    )
    harness.core.receive(MORE, 1.305)
    harness.answer(other, FrameKind.NOT_HELD, 1.31)
    assert harness.take_sent() == []
    harness.answer(silent, FrameKind.HELD, 1.31)
    assert harness.take_sent() == [(FrameKind.CARRY, silent, MORE)]
    harness.core.receive(DATA, 1.4)
    assert harness.take_sent() == [(FrameKind.CARRY, silent, DATA)]


@pytest.mark.parametrize("denied", [True, False], ids=["denied", "unanswered"])
def test_a_flow_that_none_of_the_agents_asked_confirms_is_searched(denied):
    harness, silent, other = with_unanswered_agents()
    harness.core.receive(DATA, 1.3)
    harness.take_sent()
    if denied:
        harness.answer(other, FrameKind.NOT_HELD, 1.31)
        harness.answer(silent, FrameKind.NOT_HELD, 1.31)
    else:
        harness.core.tick(1.3 + CONFIRM_TIMEOUT_SECONDS)
    assert {(kind, number) for kind, number, _ in harness.take_sent()} == {
        (FrameKind.FIND, silent),
        (FrameKind.FIND, other),
    }
    now = 1.32 if denied else 1.31 + CONFIRM_TIMEOUT_SECONDS
    harness.answer(other, FrameKind.NOT_HELD, now)
    harness.answer(silent, FrameKind.UNSURE, now)
    assert harness.take_sent() == [(FrameKind.CARRY, silent, DATA)]


def test_a_late_refusal_leaves_the_flow_to_the_agent_asked_after():
    harness, silent, other = with_unanswered_agents()
    harness.refuse(silent, 1.2)
    harness.answer(other, FrameKind.ACCEPTED, 1.2)
    harness.core.receive(DATA, 1.3)
    assert harness.take_sent() == [(FrameKind.CARRY, other, DATA)]


def test_a_late_acceptance_counts_where_the_agent_asked_after_refuses():
    harness, silent, other = with_unanswered_agents()
    harness.answer(silent, FrameKind.ACCEPTED, 1.2)
    harness.refuse(other, 1.21)
    assert harness.sent == harness.resets == []
    harness.core.receive(DATA, 1.3)
    assert harness.take_sent() == [(FrameKind.CARRY, silent, DATA)]


def test_a_refusal_of_a_copy_revokes_no_acceptance():
    harness = Harness(record(1), record(2))
    number = opened(harness)
    harness.refuse(number, 1.2, RefusalReason.DRAINING)
    harness.core.receive(DATA, 1.3)
    assert harness.take_sent() == [(FrameKind.CARRY, number, DATA)]


def test_a_callers_follow_up_replaces_a_late_answer():
    harness = Harness(record(1), record(2))
    harness.core.receive(SYN, 1.0)
    ((_, number, _),) = harness.take_sent()
    harness.core.receive(DATA, 1.05)
    assert harness.take_sent() == [(FrameKind.CARRY, number, DATA)]
    harness.core.tick(1.0 + OPEN_TIMEOUT_SECONDS)
    assert harness.sent == harness.resets == []
    assert harness.core.counters.flows_opened == 1


def test_a_flow_that_an_agent_may_have_taken_is_never_reset():
    harness, _silent, other = with_unanswered_agents()
    harness.refuse(other, 1.2)
    number, waits = harness.take_opening()
    assert (number, waits) == (other, True)
    harness.refuse(other, 1.21, RefusalReason.DRAINING)
    assert harness.resets == []
    assert not harness.core.has_pending()


def test_an_agent_that_is_known_to_be_full_is_asked_to_let_the_flow_wait_at_once():
    harness = Harness(record(1))
    opened(harness)
    harness.answer(1, FrameKind.HELD, 1.1, load=8.0)
    harness.core.receive(from_caller(OPENING, caller=CALLER.__class__("100.64.0.9", 1)), 1.2)
    assert harness.take_opening() == (1, True)


def test_an_opening_frame_carries_the_age_of_the_callers_attempt():
    harness = Harness(record(1))
    copy = from_caller(OPENING, bytes((6,)))
    harness.core.receive(copy, 1.0)
    ((data, _),) = harness.sent
    _, flags, _ = REQUEST_HEAD.unpack_from(data)
    assert opening_terms(flags).age_seconds == pytest.approx(0.6)


@pytest.mark.parametrize("packet", [b"", b"x", DATA[:-1], DATA + b"x"])
def test_malformed_packets_are_counted_and_go_nowhere(packet):
    harness = Harness(record(1))
    harness.core.receive(packet, 1.0)
    assert harness.core.counters.packets_malformed == 1
    assert harness.sent == harness.resets == []


def test_malformed_and_strange_replies_change_nothing():
    harness = Harness(record(1))
    harness.core.receive_reply(b"noise", ("10.0.0.1", 7602), 1.0)
    assert harness.core.counters.replies_malformed == 1
    harness.answer(9, FrameKind.ACCEPTED, 1.0)
    harness.answer(1, FrameKind.ACCEPTED, 1.0, key=key_of(CALLER.__class__("1.2.3.4", 5)))
    assert len(harness.core) == 0


def test_flows_without_packets_are_removed_after_their_lifetime():
    harness = Harness(record(1))
    opened(harness)
    harness.core.sweep(30.0)
    assert len(harness.core) == 1
    harness.core.sweep(100.0)
    assert len(harness.core) == 0


def test_every_decision_is_logged_with_its_flow():
    harness = Harness(record(1))
    opened(harness)
    other = CALLER.__class__("100.64.0.9", 1)
    harness.core.receive(from_caller(OPENING, caller=other), 1.0)
    assert harness.log.names() == ["flow-opened"]
    for _ in range(2):
        reason = RefusalReason.FULL
        harness.answer(1, FrameKind.REFUSED, 1.1, flags=reason, key=key_of(other))
    assert harness.log.names() == ["flow-opened", "flow-refused", "flow-refused", "flow-reset"]
    assert all("flow" in fields for _, fields in harness.log.events)


@pytest.mark.parametrize("known", [[], [record(1, HostPhase.UNKNOWN)]])
def test_a_new_flow_waits_for_a_host_that_is_expected_in_a_moment(known):
    harness = Harness(version=1)
    harness.pool.directory_since = None
    harness.update_fleet(*known, now=0.9)
    harness.core.receive(SYN, 1.0)
    harness.core.receive(SYN, 1.2)
    harness.core.tick(1.3)
    assert harness.sent == harness.resets == []
    harness.update_fleet(record(1), now=1.4)
    assert harness.take_sent() == [(FrameKind.OPEN, 1, SYN)]


def test_a_new_flow_waits_while_the_host_of_a_restarted_agent_has_not_announced_itself():
    harness = Harness(record(1))
    harness.update_fleet(record(1, HostPhase.UNKNOWN, incarnation=2), now=0.9)
    harness.core.receive(SYN, 1.0)
    assert harness.resets == []
    harness.update_fleet(record(1, incarnation=2), now=1.2)
    assert harness.take_sent() == [(FrameKind.OPEN, 1, SYN)]


def test_a_flow_whose_host_does_not_appear_is_reset_before_its_caller_gives_up():
    harness = Harness(record(1))
    harness.update_fleet(record(1, HostPhase.UNKNOWN, incarnation=2), now=0.9)
    harness.core.receive(SYN, 1.0)
    harness.core.tick(1.0 + MAX_PARKING_SECONDS - 0.01)
    assert harness.resets == []
    harness.core.tick(1.01 + MAX_PARKING_SECONDS)
    assert harness.resets == [RESET_TO_CALLER]
    assert not harness.core.has_pending()


def test_an_agent_without_an_announced_host_lets_no_flow_wait():
    harness = Harness(record(1, HostPhase.UNKNOWN))
    harness.core.receive(SYN, 1.0)
    assert harness.resets == [RESET_TO_CALLER]


def test_a_flow_that_its_host_returns_after_the_agent_accepted_it_goes_to_another():
    """Such hosts attracted new flows and opened none (lsl-hanoi-edge-large, fresh-8c70)."""
    harness = Harness(record(1), record(2))
    first = opened(harness)
    harness.refuse(first, 1.01, RefusalReason.RETURNED)
    ((kind, second, body),) = harness.take_sent()
    assert (kind, body) == (FrameKind.OPEN, SYN)
    assert second != first
    harness.answer(second, FrameKind.ACCEPTED, 1.02)
    harness.core.receive(DATA, 1.1)
    assert harness.take_sent() == [(FrameKind.CARRY, second, DATA)]
    assert harness.core.counters.openings_returned == 1


def test_a_flow_that_the_only_host_returns_is_reset_at_once():
    harness = Harness(record(1))
    opened(harness)
    harness.refuse(1, 1.01, RefusalReason.RETURNED)
    assert harness.take_opening() == (1, True)
    harness.refuse(1, 1.02, RefusalReason.RETURNED)
    assert len(harness.resets) == 1
    assert not harness.core.has_pending()


def test_a_flow_that_its_caller_has_followed_up_is_not_revoked():
    harness = Harness(record(1), record(2))
    number = opened(harness)
    harness.core.receive(DATA, 1.1)
    harness.take_sent()
    harness.refuse(number, 1.2, RefusalReason.RETURNED)
    assert harness.take_sent() == []
    harness.core.receive(DATA, 1.3)
    assert harness.take_sent() == [(FrameKind.CARRY, number, DATA)]


def test_an_agent_whose_host_fails_is_avoided_for_a_while_and_then_tried_again():
    harness = Harness(record(1), record(2), record(3))
    asked = opening_to(harness, 1, 1.0)
    key = key_of(caller=Endpoint("100.64.0.9", 1))
    harness.answer(asked, FrameKind.REFUSED, 1.0, RefusalReason.FAILING, key=key)
    for port in range(2, 30):
        now = 1.0 + FAILING_SECONDS * port / 31
        assert opening_to(harness, port, now) != asked
    later = {opening_to(harness, port, 1.01 + FAILING_SECONDS) for port in range(30, 90)}
    assert asked in later


def opening_to(harness, port, now):
    """Open a flow; return the agent that was tried."""
    harness.take_sent()
    harness.core.receive(from_caller(OPENING, caller=Endpoint("100.64.0.9", port)), now)
    kind, number, _ = harness.take_sent()[0]
    assert kind is FrameKind.OPEN
    return number
