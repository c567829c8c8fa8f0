"""Failure scenarios of a cluster: partitions, lost replicas and disks, slow or isolated leaders."""

from __future__ import annotations

import math

import pytest

from jasperwalk.consensus.config import InitialMember, RaftConfig
from jasperwalk.consensus.core import RaftNode
from jasperwalk.consensus.members import AddLearner, PromoteLearner, RemoveReplica
from jasperwalk.consensus.messages import FoundingReply, RequestVote
from jasperwalk.consensus.outcomes import (
    CommandTooLarge,
    MembershipRefused,
    NotLeader,
    Overloaded,
    Proposed,
    RefusalReason,
)

SEEDS = range(1, 6)


def commit_change(cluster, wanted):
    """Propose a change of members on the leader until it is accepted, and let it commit."""
    outcome = None
    while not isinstance(outcome, Proposed):
        leader = cluster.await_leader()
        outcome = leader.node.propose_membership(wanted, cluster.now)
        leader.process_ready()
        cluster.run(0.2)
    cluster.run_until(lambda: outcome.index in cluster.committed)


def refusal_reason(cluster, wanted):
    """Return why the leader refuses a change."""
    outcome = cluster.await_leader().node.propose_membership(wanted, cluster.now)
    assert isinstance(outcome, MembershipRefused)
    return outcome.reason


def replace_replica(cluster, lost, new):
    """Replace a replica as an operator does: remove the old one, add and promote a new one."""
    commit_change(cluster, RemoveReplica(lost))
    del cluster.replicas[lost]
    cluster.add(new)
    commit_change(cluster, AddLearner(new))
    cluster.run_until(lambda: has_caught_up(cluster, new))
    commit_change(cluster, PromoteLearner(new))


def has_caught_up(cluster, learner):
    """Tell whether the leader considers the learner caught up."""
    leader = cluster.await_leader()
    progress = leader.node.progress_of(learner)
    return progress is not None and progress.match_index >= leader.node.last_index


def other_than(cluster, *excluded):
    return next(one for one in sorted(cluster.replicas) if one not in excluded)


@pytest.mark.parametrize("size", [1, 2, 3, 4, 5])
def test_a_new_cluster_is_founded_and_commits(make_cluster, size):
    cluster = make_cluster(1, size)
    cluster.commit(b"a")
    cluster.run(1.0)
    assert all(one.applied == [b"a"] for one in cluster.replicas.values())


@pytest.mark.parametrize("seed", SEEDS)
def test_even_split_accepts_nothing_on_either_side(make_cluster, seed):
    cluster = make_cluster(seed, 4)
    cluster.commit(b"before")
    cluster.run(1.0)
    old_leader = cluster.await_leader().disk.replica_id
    cluster.cut({old_leader, other_than(cluster, old_leader)})
    committed = len(cluster.committed)
    for _ in range(20):
        for replica in cluster.replicas.values():
            replica.node.propose(b"during", cluster.now)
        cluster.run(0.2)
    assert len(cluster.committed) == committed
    assert cluster.leader() is None
    cluster.cuts.clear()
    cluster.commit(b"after")


@pytest.mark.parametrize("seed", SEEDS)
def test_second_replica_lost_right_after_a_repair_loses_nothing(make_cluster, seed):
    cluster = make_cluster(seed, 3)
    acknowledged = [b"%d" % number for number in range(12)]
    for command in acknowledged:
        cluster.commit(command)
    lost = other_than(cluster, cluster.await_leader().disk.replica_id)
    cluster.kill(lost)
    replace_replica(cluster, lost, 4)
    cluster.kill(cluster.await_leader().disk.replica_id)
    cluster.commit(b"last")
    cluster.run(1.0)
    cluster.check_nothing_lost([*acknowledged, b"last"])


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("wiped_is_founder", [True, False])
def test_a_wiped_replica_never_votes_and_can_be_replaced(make_cluster, seed, wiped_is_founder):
    cluster = make_cluster(seed, 3)
    cluster.commit(b"kept")
    wiped = 1 if wiped_is_founder else 2
    cluster.kill(wiped)
    cluster.commit(b"kept too")
    empty = cluster.add(wiped)
    holder = next(one for one in cluster.replicas.values() if b"kept too" in one.applied)
    cluster.kill(holder.disk.replica_id)
    cluster.run(10.0)
    assert cluster.leader() is None
    assert empty.disk.disk_id not in cluster.granted_by
    assert empty.node.is_displaced
    holder.start()
    replace_replica(cluster, wiped, 4)
    cluster.commit(b"last")
    cluster.run(1.0)
    assert cluster.replicas[4].applied[-1] == b"last"
    assert cluster.replicas[4].node.membership.voter_ids() == sorted({2, 3, 4, 1} - {wiped})


def test_a_replacement_that_is_wiped_under_its_id_is_ignored(make_cluster):
    cluster = make_cluster(1, 3)
    cluster.commit(b"kept")
    cluster.kill(3)
    replace_replica(cluster, 3, 4)
    cluster.kill(4)
    empty = cluster.add(4)
    cluster.commit(b"more")
    cluster.run(1.0)
    leader = cluster.await_leader()
    assert leader.node.displaced_replicas == [4]
    cluster.kill(leader.disk.replica_id)
    cluster.run(10.0)
    assert cluster.leader() is None
    assert empty.disk.disk_id not in cluster.granted_by


def test_founding_waits_for_every_initial_member(make_cluster):
    cluster = make_cluster(1, 3)
    cluster.kill(3)
    cluster.run(5.0)
    assert cluster.leader() is None
    cluster.replicas[3].start()
    cluster.commit(b"a")


def test_an_answer_to_an_earlier_disk_founds_nothing(make_cluster):
    cluster = make_cluster(1, 3)
    founder = cluster.replicas[1].node
    for sender in (2, 3):
        founder.receive(sender, FoundingReply("earlier disk", "disk", None), cluster.now)
    assert founder.membership.members == []


@pytest.mark.parametrize("sender", [1, 3])
def test_a_replica_without_members_answers_no_vote_request(make_cluster, sender):
    cluster = make_cluster(1, 3)
    node = cluster.replicas[2].node
    node.receive(sender, RequestVote(1, 0, 0, False), cluster.now)
    assert node.ready().is_empty()


def test_members_change_one_at_a_time_and_ids_are_never_reused(make_cluster):
    cluster = make_cluster(1, 3)
    cluster.commit(b"a")
    follower = other_than(cluster, cluster.await_leader().disk.replica_id)
    assert refusal_reason(cluster, AddLearner(2)) is RefusalReason.REPLICA_EXISTS
    assert refusal_reason(cluster, RemoveReplica(9)) is RefusalReason.REPLICA_UNKNOWN
    assert refusal_reason(cluster, PromoteLearner(2)) is RefusalReason.NOT_A_LEARNER
    cluster.await_leader().node.propose_membership(AddLearner(4), cluster.now)
    assert refusal_reason(cluster, AddLearner(5)) is RefusalReason.CHANGE_IN_PROGRESS
    cluster.run(1.0)
    assert refusal_reason(cluster, PromoteLearner(4)) is RefusalReason.NOT_CAUGHT_UP
    commit_change(cluster, RemoveReplica(follower))
    assert refusal_reason(cluster, AddLearner(follower)) is RefusalReason.REPLICA_ID_USED


def test_a_learner_is_promoted_only_when_it_holds_the_log(make_cluster):
    cluster = make_cluster(1, 3)
    cluster.add(4)
    commit_change(cluster, AddLearner(4))
    cluster.run_until(lambda: has_caught_up(cluster, 4))
    cluster.kill(4)
    for number in range(cluster.config.promotion_lag_entries + 1):
        cluster.commit(b"%d" % number)
    assert refusal_reason(cluster, PromoteLearner(4)) is RefusalReason.NOT_CAUGHT_UP


def test_a_learner_with_a_new_disk_starts_over(make_cluster):
    cluster = make_cluster(1, 3)
    cluster.commit(b"a")
    cluster.add(4)
    commit_change(cluster, AddLearner(4))
    cluster.run_until(lambda: has_caught_up(cluster, 4))
    replacement = cluster.add(4)
    progress = cluster.await_leader().node.progress_of(4)
    cluster.run_until(lambda: progress.disk_id == replacement.disk.disk_id)
    assert progress.match_index == 0
    cluster.run_until(lambda: replacement.applied == [b"a"])


def test_the_last_voter_cannot_be_removed(make_cluster):
    cluster = make_cluster(1, 1)
    cluster.commit(b"a")
    assert refusal_reason(cluster, RemoveReplica(1)) is RefusalReason.LAST_VOTER


def test_a_leader_that_removes_itself_steps_down(make_cluster):
    cluster = make_cluster(1, 3)
    cluster.commit(b"a")
    leader = cluster.await_leader()
    commit_change(cluster, RemoveReplica(leader.disk.replica_id))
    cluster.run(1.0)
    assert not leader.node.is_leader
    del cluster.replicas[leader.disk.replica_id]
    cluster.commit(b"b")


def test_a_new_leader_changes_members_only_after_an_entry_of_its_term(make_cluster):
    cluster = make_cluster(1, 3)
    cluster.cut({1}, {2}, {3})
    cluster.run(0.5)
    cluster.cuts.clear()
    while cluster.leader() is None:
        cluster.step()
    cluster.slow_sync = 1.0
    assert refusal_reason(cluster, AddLearner(4)) is RefusalReason.LEADER_NOT_SETTLED


def test_a_replica_far_behind_catches_up_by_chunked_snapshot(make_cluster):
    cluster = make_cluster(1, 3)
    cluster.commit(b"first")
    late = other_than(cluster, cluster.await_leader().disk.replica_id)
    cluster.kill(late)
    for replica in cluster.replicas.values():
        replica.snapshot_every = 5
    for number in range(30):
        cluster.commit(b"command number %d" % number)
    assert len(cluster.await_leader().disk.snapshot.state) > 4 * cluster.config.snapshot_chunk_bytes
    assert cluster.await_leader().disk.entries[0].index > cluster.replicas[late].applied_index + 1
    cluster.faults.loss = 0.2
    cluster.replicas[late].start()
    cluster.run_until(lambda: b"command number 29" in cluster.replicas[late].applied)
    assert cluster.replicas[late].disk.snapshot is not None


def test_a_cut_off_leader_steps_down_and_everyones_quorum_age_grows(make_cluster):
    cluster = make_cluster(1, 3)
    cluster.commit(b"a")
    cluster.run(1.0)
    leader = cluster.await_leader()
    nodes = [one.node for one in cluster.replicas.values()]
    assert all(node.quorum_age(cluster.now) < 0.3 for node in nodes)
    cluster.cut({1}, {2}, {3})
    cluster.run(0.8)
    assert leader.node.is_leader
    assert all(node.quorum_age(cluster.now) > 0.6 for node in nodes)
    cluster.run(1.5)
    assert not leader.node.is_leader
    assert isinstance(leader.node.propose(b"late", cluster.now), NotLeader)
    assert all(node.quorum_age(cluster.now) == math.inf for node in nodes)


def test_a_follower_knows_that_its_leader_lacks_a_quorum(make_cluster):
    cluster = make_cluster(1, 5)
    cluster.commit(b"a")
    cluster.run(1.0)
    leader = cluster.await_leader()
    follower = cluster.replicas[other_than(cluster, leader.disk.replica_id)]
    cluster.cut({leader.disk.replica_id, follower.disk.replica_id})
    cluster.run(0.8)
    assert follower.node.leader_id == leader.disk.replica_id
    assert follower.node.quorum_age(cluster.now) > 0.6


def test_heartbeats_read_late_after_a_freeze_do_not_look_fresh(make_cluster):
    cluster = make_cluster(1, 3)
    cluster.commit(b"a")
    cluster.run(2.0)
    leader = cluster.await_leader()
    frozen = cluster.replicas[other_than(cluster, leader.disk.replica_id)]
    frozen_id = frozen.disk.replica_id
    cluster.run_until(lambda: any(item[3] == frozen_id for item in cluster.queue))
    buffered = [item for item in cluster.queue if item[3] == frozen_id]
    for _, _, sender, _, message in buffered:
        frozen.node.receive(sender, message, cluster.now + 3.0)
    assert frozen.node.quorum_age(cluster.now + 3.0) > 2.5


def test_a_returning_replica_does_not_depose_the_leader(make_cluster):
    cluster = make_cluster(1, 3)
    cluster.commit(b"a")
    leader = cluster.await_leader()
    term = leader.node.term
    away = other_than(cluster, leader.disk.replica_id)
    cluster.cut({away})
    cluster.run(10.0)
    cluster.cuts.clear()
    cluster.run(3.0)
    assert (leader.node.is_leader, leader.node.term) == (True, term)


def test_proposals_are_bounded_in_number_and_size(make_cluster):
    cluster = make_cluster(1, 3)
    node = cluster.await_leader().node
    limit = cluster.config.max_pending_entries
    outcomes = [node.propose(b"x", cluster.now) for _ in range(limit + 1)]
    assert isinstance(outcomes[0], Proposed)
    assert outcomes[-1] == Overloaded(pending=limit, limit=limit)
    size = cluster.config.max_command_bytes + 1
    assert isinstance(node.propose(b"x" * size, cluster.now), CommandTooLarge)


def test_a_vote_is_on_disk_before_it_is_sent(make_cluster):
    cluster = make_cluster(1, 3)
    cluster.commit(b"a")
    cluster.run(1.0)
    voter = cluster.replicas[other_than(cluster, cluster.await_leader().disk.replica_id)]
    term = voter.node.term + 1
    candidate = voter.node.leader_id
    voter.node.receive(candidate, RequestVote(term, 100, term, False), cluster.now + 60.0)
    ready = voter.node.ready()
    assert [one.message.granted for one in ready.messages] == [True]
    assert (ready.persist.hard_state.term, ready.persist.hard_state.voted_for) == (term, candidate)


def test_a_joining_replica_waits_and_never_campaigns(make_cluster):
    cluster = make_cluster(1, 1)
    config = RaftConfig(initial_members=(InitialMember(1),))
    node = RaftNode(config, cluster.add(7).disk, cluster.random, 0.0)
    node.tick(100.0)
    assert node.ready().is_empty()
