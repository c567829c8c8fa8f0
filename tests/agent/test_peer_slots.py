"""Which peer a waiting request asks for a slot, and when it pauses."""

import random

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.peer_slots import (
    FULL_BACKOFF_SECONDS,
    KNOWLEDGE_TTL_SECONDS,
    UNREACHABLE_BACKOFF_SECONDS,
    PeerSlots,
)
from jasperwalk.agent.slot_search import (
    INITIAL_PAUSE_SECONDS,
    MAX_CONSECUTIVE_REQUESTS,
    MAX_PAUSE_SECONDS,
    MAX_SAVED_REQUESTS,
    Pause,
    RequestSlot,
    SlotRequestBudget,
    SlotSearch,
)

SEED = 20


def _members(helpers, count):
    return [helpers.member_entry(Endpoint("127.0.0.1", 7_100 + number)) for number in range(count)]


LEARNED = {
    "refused": (
        lambda known, member: known.record_free_slots(member, 0, 0.0),
        FULL_BACKOFF_SECONDS,
    ),
    "gave no answer": (
        lambda known, member: known.record_unreachable(member, 0.0),
        UNREACHABLE_BACKOFF_SECONDS,
    ),
}


@pytest.mark.parametrize("case", LEARNED)
def test_a_member_without_a_slot_is_not_asked_again_for_a_while(helpers, case):
    learn, seconds = LEARNED[case]
    (member,) = _members(helpers, 1)
    peers = PeerSlots(random.Random(SEED))
    learn(peers, member.address)
    assert peers.choose([member], [], seconds * 0.9) is None
    assert peers.choose([member], [], seconds * 1.1) == member.address


def test_a_known_free_slot_counts_once_and_for_a_short_time(helpers):
    (member,) = _members(helpers, 1)
    peers = PeerSlots(random.Random(SEED))
    peers.record_free_slots(member.address, 1, 0.0)
    assert not peers.take_known_slot(member.address, KNOWLEDGE_TTL_SECONDS)
    assert peers.take_known_slot(member.address, 0.0)
    assert not peers.take_known_slot(member.address, 0.0)
    peers.record_free_slots(member.address, 1, 0.0)
    peers.keep_only([])
    assert not peers.take_known_slot(member.address, 0.0)


def test_a_search_asks_some_members_once_each_then_pauses_longer_and_longer(helpers):
    members = _members(helpers, 5)
    search = SlotSearch(PeerSlots(random.Random(SEED)), SlotRequestBudget())
    pauses = []
    for _ in range(5):
        steps = [search.next(members, 0.0) for _ in range(MAX_CONSECUTIVE_REQUESTS + 1)]
        asked = {step.member for step in steps[:-1] if isinstance(step, RequestSlot)}
        assert len(asked) == MAX_CONSECUTIVE_REQUESTS
        assert isinstance(steps[-1], Pause)
        pauses.append(steps[-1].seconds)
    assert (pauses[0], pauses[-1]) == (INITIAL_PAUSE_SECONDS, MAX_PAUSE_SECONDS)
    assert pauses == sorted(pauses)


def test_the_searches_of_an_agent_share_a_budget_that_arrivals_fill(helpers):
    members, budget = _members(helpers, 3), SlotRequestBudget()
    peers = PeerSlots(random.Random(SEED))

    def asks():
        steps = [SlotSearch(peers, budget).next(members, 0.0) for _ in range(100)]
        return sum(isinstance(step, RequestSlot) for step in steps)

    assert asks() == MAX_SAVED_REQUESTS
    budget.earn()
    assert asks() == 2
