"""Searches that agents run on a balancer's behalf."""

import pytest

from jasperwalk.balancer.datagrams.delegated_searches import ANSWER_TIMEOUT_SECONDS
from jasperwalk.fleet.search import MAX_HELD_PACKETS
from jasperwalk.flows.frames import (
    FrameKind,
    LocateVerdict,
    decode_locate,
    encode_request,
    service_tag,
)
from tests.balancer.datagrams.support import Harness, address_of, record
from tests.flows.support import from_caller

DATA = from_caller(0, b"data")
MORE = from_caller(0, b"more")


def delegating(count=3, **options):
    """Return a balancer that delegates searches and has received a packet of an unknown flow."""
    harness = Harness(*(record(number) for number in range(1, count + 1)), **options)
    harness.core.delegated.is_enabled = True
    harness.core.receive(DATA, 1.0)
    return harness


def helper_of(harness):
    """Return the agent to which the one search was delegated."""
    ((data, (host, _port)),) = harness.sent
    harness.sent = []
    request = decode_locate(data)
    assert data[0] == FrameKind.LOCATE
    assert (request.service_tags, request.packet) == ((service_tag("web"),), DATA)
    return int(host.rpartition(".")[2])


def verdict(harness, helper, kind, holder=None, now=1.01):
    packed = b"" if holder is None else address_of(holder).pack()
    harness.answer(helper, FrameKind.LOCATED, now, flags=kind, packet=packed)


@pytest.mark.parametrize("agents", [12, 48, 136])
def test_a_lost_flow_costs_one_question_whatever_the_number_of_agents(agents):
    harness = delegating(agents)
    sent_bytes = sum(len(data) for data, _ in harness.sent)
    helper_of(harness)
    assert sent_bytes == len(encode_request(FrameKind.LOCATE, 1, 0, b"")) + 4 + len(DATA)
    assert harness.core.counters.searches_delegated == 1
    assert harness.core.counters.search_questions == 0


def test_the_holder_gets_what_followed_the_first_packet_and_all_later_ones():
    harness = delegating()
    helper = helper_of(harness)
    harness.core.receive(MORE, 1.005)
    assert harness.take_sent() == []
    verdict(harness, helper, LocateVerdict.FOUND, holder=2)
    assert harness.take_sent() == [(FrameKind.CARRY, 2, MORE)]
    harness.core.receive(DATA, 1.1)
    assert harness.take_sent() == [(FrameKind.CARRY, 2, DATA)]
    assert not harness.core.has_pending()


def test_a_flow_that_is_held_nowhere_is_reset():
    harness = delegating()
    verdict(harness, helper_of(harness), LocateVerdict.NOWHERE)
    assert len(harness.resets) == 1


@pytest.mark.parametrize("holder", [None, 9], ids=["unknown", "at an agent not known here"])
def test_without_a_known_holder_the_next_packet_starts_another_search(holder):
    harness = delegating()
    kind = LocateVerdict.UNKNOWN if holder is None else LocateVerdict.FOUND
    verdict(harness, helper_of(harness), kind, holder)
    assert harness.resets == harness.sent == []
    harness.core.receive(DATA, 1.2)
    helper_of(harness)


def test_an_agent_that_cannot_search_leaves_it_to_the_balancer():
    harness = delegating()
    verdict(harness, helper_of(harness), LocateVerdict.UNABLE)
    assert {kind for kind, _, _ in harness.take_sent()} == {FrameKind.FIND}


def test_an_agent_that_does_not_answer_is_avoided():
    harness = delegating()
    first = helper_of(harness)
    harness.core.tick(1.0 + ANSWER_TIMEOUT_SECONDS)
    assert not harness.core.has_pending()
    assert harness.core.counters.searches_unanswered == 1
    harness.core.receive(DATA, 1.05 + ANSWER_TIMEOUT_SECONDS)
    assert helper_of(harness) != first


def test_only_the_agent_that_was_asked_is_believed():
    harness = delegating()
    helper = helper_of(harness)
    verdict(harness, helper % 3 + 1, LocateVerdict.NOWHERE)
    assert harness.resets == []
    assert harness.core.has_pending()


@pytest.mark.parametrize(
    ("flags", "packet"),
    [(0, b""), (9, b""), (LocateVerdict.FOUND, b""), (LocateVerdict.NOWHERE, b"x")],
    ids=["no verdict", "unknown verdict", "found nowhere", "nowhere with a holder"],
)
def test_a_malformed_verdict_is_counted_and_changes_nothing(flags, packet):
    harness = delegating()
    helper = helper_of(harness)
    harness.answer(helper, FrameKind.LOCATED, 1.01, flags=flags, packet=packet)
    assert harness.core.counters.replies_malformed == 1
    assert harness.resets == harness.sent == []
    assert harness.core.has_pending()


def test_held_packets_are_bounded():
    harness = delegating()
    helper = helper_of(harness)
    for _ in range(100):
        harness.core.receive(MORE, 1.005)
    verdict(harness, helper, LocateVerdict.FOUND, holder=2)
    assert len(harness.take_sent()) == MAX_HELD_PACKETS - 1


def test_a_helper_is_sought_in_the_own_zone_first_and_never_among_lost_agents():
    harness = Harness(record(1, zone="b"), record(2), record(3))
    harness.core.delegated.is_enabled = True
    harness.update_fleet(removed=[address_of(3)], now=0.5)
    harness.core.receive(DATA, 1.0)
    assert helper_of(harness) == 2
