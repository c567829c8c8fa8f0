"""Transfer of leadership before a planned stop."""

import pytest

from jasperwalk.consensus.messages import RequestVote, TimeoutNow
from jasperwalk.consensus.outcomes import NotLeader, Proposed
from jasperwalk.consensus.state import Role

SEEDS = range(1, 11)


def start_transfer(cluster):
    """Commit something, then have the leader transfer its leadership; return it."""
    cluster.commit(b"before")
    leader = cluster.await_leader()
    assert leader.node.transfer_leadership(cluster.now)
    leader.process_ready()
    return leader


@pytest.mark.parametrize("size", [2, 3, 5])
@pytest.mark.parametrize("seed", SEEDS)
def test_another_leads_well_within_an_election_timeout(make_cluster, seed, size):
    cluster = make_cluster(seed, size)
    cluster.commit(b"first")
    leader = cluster.await_leader()
    term = leader.node.term
    # One more entry, which no follower holds yet.
    assert isinstance(leader.node.propose(b"last", cluster.now), Proposed)
    assert leader.node.transfer_leadership(cluster.now)
    assert isinstance(leader.node.propose(b"refused", cluster.now), NotLeader)
    leader.process_ready()
    cluster.run(cluster.config.election_timeout_seconds / 4)
    successor = cluster.leader()
    assert successor is not None and successor is not leader
    assert successor.node.term == term + 1
    assert not leader.node.is_leader
    assert leader.node.leader_id == successor.node.replica_id
    cluster.kill(leader.disk.replica_id)
    if size > 2:
        cluster.commit(b"after")
        assert [each for each in successor.applied if each != b"after"] == [b"first", b"last"]


def test_alone_or_without_contact_a_leader_keeps_its_leadership(make_cluster):
    cluster = make_cluster(1, 1)
    cluster.commit(b"a")
    assert not cluster.await_leader().node.transfer_leadership(cluster.now)
    assert not make_cluster(1, 3).replicas[1].node.transfer_leadership(0.0)


def test_a_transfer_without_an_answer_is_aborted(make_cluster):
    cluster = make_cluster(2, 3)
    cluster.commit(b"before")
    leader = cluster.await_leader()
    faults = cluster.faults
    faults.loss = 1.0
    assert leader.node.transfer_leadership(cluster.now)
    leader.process_ready()
    cluster.run(0.1)
    assert leader.node.is_transferring
    faults.loss = 0.0
    for replica_id in set(cluster.replicas) - {leader.disk.replica_id}:
        # They answer, but ignore the request to campaign.
        cluster.replicas[replica_id].node._election.on_timeout_now = lambda *_: False
    cluster.run(cluster.config.election_timeout_seconds * 1.5)
    assert leader.node.is_leader
    assert not leader.node.is_transferring
    cluster.commit(b"after")


@pytest.mark.parametrize(
    ("sender", "term_offset"), [("stranger", 0), ("leader", -1), ("leader", 1)]
)
def test_only_the_present_leader_can_ask_for_a_campaign(make_cluster, sender, term_offset):
    cluster = make_cluster(3, 3)
    cluster.commit(b"before")
    cluster.run(0.5)
    leader = cluster.await_leader()
    followers = [each for each in cluster.replicas.values() if each is not leader]
    sender_id = {
        "leader": leader.disk.replica_id,
        "stranger": followers[1].disk.replica_id,
    }[sender]
    message = TimeoutNow(leader.node.term + term_offset)
    followers[0].node.receive(sender_id, message, cluster.now)
    assert followers[0].node.role is Role.FOLLOWER


def test_a_leaders_voters_refuse_a_campaign_that_it_did_not_ask_for(make_cluster):
    cluster = make_cluster(4, 3)
    cluster.commit(b"before")
    cluster.run(0.5)
    leader = cluster.await_leader()
    follower = next(each for each in cluster.replicas.values() if each is not leader)
    term = leader.node.term
    request = RequestVote(term + 1, 10**6, 10**6, pre_vote=False)
    for node in (leader.node, follower.node):
        node.receive(9, request, cluster.now)
        assert node.term == term
