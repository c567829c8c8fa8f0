from random import Random

import pytest

from jasperwalk.consensus.config import RaftConfig
from jasperwalk.consensus.core import RaftNode
from jasperwalk.consensus.durable import DurableState, HardState
from jasperwalk.consensus.entries import Member, Membership
from jasperwalk.consensus.messages import AppendEntries

MEMBERS = Membership(members=[Member(each, f"disk-{each}", True) for each in (1, 2, 3)])


def start_node(first_election_seconds, seed):
    config = RaftConfig((), 0.1, 1.0, first_election_seconds=first_election_seconds)
    hard_state = HardState(term=3, voted_for=None, founding=MEMBERS)
    durable = DurableState(1, "disk-1", hard_state=hard_state)
    return RaftNode(config, durable, Random(seed), 10.0)


@pytest.mark.parametrize("seed", range(20))
def test_a_process_that_just_started_campaigns_soon(seed):
    assert 10.2 <= start_node(0.4, seed).next_deadline() <= 10.4


@pytest.mark.parametrize("seed", range(20))
def test_without_the_setting_the_normal_wait_holds(seed):
    assert 11.0 <= start_node(None, seed).next_deadline() <= 12.0


def test_the_early_campaign_changes_no_term_before_a_quorum_agrees():
    node = start_node(0.4, 1)
    node.tick(10.5)
    assert node.term == 3
    assert all(sent.message.pre_vote for sent in node.ready().messages)


@pytest.mark.parametrize("seed", range(20))
def test_a_campaign_before_a_quorum_is_there_is_repeated_soon(seed):
    node = start_node(0.4, seed)
    node.tick(10.4)
    assert 10.8 <= node.next_deadline() <= 11.2


def test_failed_campaigns_back_off_to_the_normal_wait():
    node = start_node(0.4, 1)
    now = 10.0
    for _ in range(8):
        now = node.next_deadline()
        node.tick(now)
    assert 1.0 <= node.next_deadline() - now <= 2.0


def test_a_replica_that_had_a_leader_waits_the_normal_time():
    node = start_node(0.4, 1)
    heartbeat = AppendEntries(3, 0, 0, 0, 10.1, 0.0, [])
    node.receive(2, heartbeat, 10.1)
    node.ready()
    now = 10.1
    while node.next_deadline() <= now + 1.0 or now < 10.2:
        now += 0.1
        node.tick(now)
        if node.ready().messages:
            break
    assert 1.0 <= node.next_deadline() - now <= 2.0
