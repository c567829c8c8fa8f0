"""Named failures of a cluster: splits, lost replicas, lost disks, slow and cut-off leaders."""

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


def change(world, wanted):
    """Propose a change of members on the leader until it is taken, and let it commit."""
    outcome = None
    while not isinstance(outcome, Proposed):
        leader = world.await_leader()
        outcome = leader.node.propose_membership(wanted, world.now)
        leader.pump()
        world.run(0.2)
    world.run_until(lambda: outcome.index in world.committed)


def refused(world, wanted):
    """Return why the leader refuses a change."""
    outcome = world.await_leader().node.propose_membership(wanted, world.now)
    assert isinstance(outcome, MembershipRefused)
    return outcome.reason


def replace(world, lost, new):
    """Replace a replica the way an operator does."""
    change(world, RemoveReplica(lost))
    del world.replicas[lost]
    world.add(new)
    change(world, AddLearner(new))
    world.run_until(lambda: has_caught_up(world, new))
    change(world, PromoteLearner(new))


def has_caught_up(world, learner):
    """Tell whether the leader holds the learner for caught up."""
    leader = world.await_leader()
    progress = leader.node.progress_of(learner)
    return progress is not None and progress.match_index >= leader.node.last_index


def other_than(world, *excluded):
    return next(one for one in sorted(world.replicas) if one not in excluded)


@pytest.mark.parametrize("size", [1, 2, 3, 4, 5])
def test_a_cluster_founds_itself_and_commits(make_cluster, size):
    world = make_cluster(1, size)
    world.commit(b"a")
    world.run(1.0)
    assert all(one.applied == [b"a"] for one in world.replicas.values())


@pytest.mark.parametrize("seed", SEEDS)
def test_even_split_accepts_nothing_on_either_side(make_cluster, seed):
    world = make_cluster(seed, 4)
    world.commit(b"before")
    world.run(1.0)
    old_leader = world.await_leader().disk.replica_id
    world.cut({old_leader, other_than(world, old_leader)})
    committed = len(world.committed)
    for _ in range(20):
        for replica in world.replicas.values():
            replica.node.propose(b"during", world.now)
        world.run(0.2)
    assert len(world.committed) == committed
    assert world.leader() is None
    world.cuts.clear()
    world.commit(b"after")


@pytest.mark.parametrize("seed", SEEDS)
def test_second_replica_lost_right_after_a_repair_loses_nothing(make_cluster, seed):
    world = make_cluster(seed, 3)
    acknowledged = [b"%d" % number for number in range(12)]
    for command in acknowledged:
        world.commit(command)
    lost = other_than(world, world.await_leader().disk.replica_id)
    world.kill(lost)
    replace(world, lost, 4)
    world.kill(world.await_leader().disk.replica_id)
    world.commit(b"last")
    world.run(1.0)
    world.check_nothing_lost([*acknowledged, b"last"])


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("wiped_is_founder", [True, False])
def test_a_wiped_replica_never_votes_and_can_be_replaced(make_cluster, seed, wiped_is_founder):
    world = make_cluster(seed, 3)
    world.commit(b"kept")
    wiped = 1 if wiped_is_founder else 2
    world.kill(wiped)
    world.commit(b"kept too")
    empty = world.add(wiped)
    holder = next(one for one in world.replicas.values() if b"kept too" in one.applied)
    world.kill(holder.disk.replica_id)
    world.run(10.0)
    assert world.leader() is None
    assert empty.disk.disk_id not in world.granted_by
    assert empty.node.is_displaced
    holder.start()
    replace(world, wiped, 4)
    world.commit(b"last")
    world.run(1.0)
    assert world.replicas[4].applied[-1] == b"last"
    assert world.replicas[4].node.membership.voter_ids() == sorted({2, 3, 4, 1} - {wiped})


def test_a_replacement_that_is_wiped_under_its_id_is_ignored(make_cluster):
    world = make_cluster(1, 3)
    world.commit(b"kept")
    world.kill(3)
    replace(world, 3, 4)
    world.kill(4)
    empty = world.add(4)
    world.commit(b"more")
    world.run(1.0)
    leader = world.await_leader()
    assert leader.node.displaced_replicas == [4]
    world.kill(leader.disk.replica_id)
    world.run(10.0)
    assert world.leader() is None
    assert empty.disk.disk_id not in world.granted_by


def test_founding_waits_for_every_initial_member(make_cluster):
    world = make_cluster(1, 3)
    world.kill(3)
    world.run(5.0)
    assert world.leader() is None
    world.replicas[3].start()
    world.commit(b"a")


def test_an_answer_to_an_earlier_disk_founds_nothing(make_cluster):
    world = make_cluster(1, 3)
    founder = world.replicas[1].node
    for sender in (2, 3):
        founder.receive(sender, FoundingReply("earlier disk", "disk", None), world.now)
    assert founder.membership.members == []


@pytest.mark.parametrize("sender", [1, 3])
def test_a_replica_without_members_answers_no_vote_request(make_cluster, sender):
    world = make_cluster(1, 3)
    node = world.replicas[2].node
    node.receive(sender, RequestVote(1, 0, 0, False), world.now)
    assert node.ready().is_empty()


def test_members_change_one_at_a_time_and_ids_are_never_reused(make_cluster):
    world = make_cluster(1, 3)
    world.commit(b"a")
    follower = other_than(world, world.await_leader().disk.replica_id)
    assert refused(world, AddLearner(2)) is RefusalReason.REPLICA_EXISTS
    assert refused(world, RemoveReplica(9)) is RefusalReason.REPLICA_UNKNOWN
    assert refused(world, PromoteLearner(2)) is RefusalReason.NOT_A_LEARNER
    world.await_leader().node.propose_membership(AddLearner(4), world.now)
    assert refused(world, AddLearner(5)) is RefusalReason.CHANGE_IN_PROGRESS
    world.run(1.0)
    assert refused(world, PromoteLearner(4)) is RefusalReason.NOT_CAUGHT_UP
    change(world, RemoveReplica(follower))
    assert refused(world, AddLearner(follower)) is RefusalReason.REPLICA_ID_USED


def test_a_learner_is_promoted_only_when_it_holds_the_log(make_cluster):
    world = make_cluster(1, 3)
    world.add(4)
    change(world, AddLearner(4))
    world.run_until(lambda: has_caught_up(world, 4))
    world.kill(4)
    for number in range(world.config.promotion_lag_entries + 1):
        world.commit(b"%d" % number)
    assert refused(world, PromoteLearner(4)) is RefusalReason.NOT_CAUGHT_UP


def test_a_learner_with_a_new_disk_starts_over(make_cluster):
    world = make_cluster(1, 3)
    world.commit(b"a")
    world.add(4)
    change(world, AddLearner(4))
    world.run_until(lambda: has_caught_up(world, 4))
    replacement = world.add(4)
    progress = world.await_leader().node.progress_of(4)
    world.run_until(lambda: progress.disk_id == replacement.disk.disk_id)
    assert progress.match_index == 0
    world.run_until(lambda: replacement.applied == [b"a"])


def test_last_voter_stays(make_cluster):
    world = make_cluster(1, 1)
    world.commit(b"a")
    assert refused(world, RemoveReplica(1)) is RefusalReason.LAST_VOTER


def test_a_leader_that_removes_itself_hands_over(make_cluster):
    world = make_cluster(1, 3)
    world.commit(b"a")
    leader = world.await_leader()
    change(world, RemoveReplica(leader.disk.replica_id))
    world.run(1.0)
    assert not leader.node.is_leader
    del world.replicas[leader.disk.replica_id]
    world.commit(b"b")


def test_a_new_leader_changes_members_only_after_an_entry_of_its_term(make_cluster):
    world = make_cluster(1, 3)
    world.cut({1}, {2}, {3})
    world.run(0.5)
    world.cuts.clear()
    while world.leader() is None:
        world.step()
    world.slow_sync = 1.0
    assert refused(world, AddLearner(4)) is RefusalReason.LEADER_NOT_SETTLED


def test_a_far_behind_replica_catches_up_by_chunked_snapshot(make_cluster):
    world = make_cluster(1, 3)
    world.commit(b"first")
    late = other_than(world, world.await_leader().disk.replica_id)
    world.kill(late)
    for replica in world.replicas.values():
        replica.snapshot_every = 5
    for number in range(30):
        world.commit(b"command number %d" % number)
    assert len(world.await_leader().disk.snapshot.state) > 4 * world.config.snapshot_chunk_bytes
    assert world.await_leader().disk.entries[0].index > world.replicas[late].applied_index + 1
    world.faults.loss = 0.2
    world.replicas[late].start()
    world.run_until(lambda: b"command number 29" in world.replicas[late].applied)
    assert world.replicas[late].disk.snapshot is not None


def test_a_cut_off_leader_steps_down_and_everyones_quorum_age_grows(make_cluster):
    world = make_cluster(1, 3)
    world.commit(b"a")
    world.run(1.0)
    leader = world.await_leader()
    nodes = [one.node for one in world.replicas.values()]
    assert all(node.quorum_age(world.now) < 0.3 for node in nodes)
    world.cut({1}, {2}, {3})
    world.run(0.8)
    assert leader.node.is_leader
    assert all(node.quorum_age(world.now) > 0.6 for node in nodes)
    world.run(1.5)
    assert not leader.node.is_leader
    assert isinstance(leader.node.propose(b"late", world.now), NotLeader)
    assert all(node.quorum_age(world.now) == math.inf for node in nodes)


def test_a_follower_of_a_leader_without_quorum_knows(make_cluster):
    world = make_cluster(1, 5)
    world.commit(b"a")
    world.run(1.0)
    leader = world.await_leader()
    follower = world.replicas[other_than(world, leader.disk.replica_id)]
    world.cut({leader.disk.replica_id, follower.disk.replica_id})
    world.run(0.8)
    assert follower.node.leader_id == leader.disk.replica_id
    assert follower.node.quorum_age(world.now) > 0.6


def test_heartbeats_read_late_after_a_freeze_do_not_look_fresh(make_cluster):
    world = make_cluster(1, 3)
    world.commit(b"a")
    world.run(2.0)
    leader = world.await_leader()
    frozen = world.replicas[other_than(world, leader.disk.replica_id)]
    frozen_id = frozen.disk.replica_id
    world.run_until(lambda: any(item[3] == frozen_id for item in world.queue))
    buffered = [item for item in world.queue if item[3] == frozen_id]
    for _, _, sender, _, message in buffered:
        frozen.node.receive(sender, message, world.now + 3.0)
    assert frozen.node.quorum_age(world.now + 3.0) > 2.5


def test_a_returning_replica_does_not_depose_the_leader(make_cluster):
    world = make_cluster(1, 3)
    world.commit(b"a")
    leader = world.await_leader()
    term = leader.node.term
    away = other_than(world, leader.disk.replica_id)
    world.cut({away})
    world.run(10.0)
    world.cuts.clear()
    world.run(3.0)
    assert (leader.node.is_leader, leader.node.term) == (True, term)


def test_proposals_are_bounded_in_number_and_size(make_cluster):
    world = make_cluster(1, 3)
    node = world.await_leader().node
    limit = world.config.max_pending_entries
    outcomes = [node.propose(b"x", world.now) for _ in range(limit + 1)]
    assert isinstance(outcomes[0], Proposed)
    assert outcomes[-1] == Overloaded(pending=limit, limit=limit)
    size = world.config.max_command_bytes + 1
    assert isinstance(node.propose(b"x" * size, world.now), CommandTooLarge)


def test_a_vote_is_on_disk_before_it_is_sent(make_cluster):
    world = make_cluster(1, 3)
    world.commit(b"a")
    world.run(1.0)
    voter = world.replicas[other_than(world, world.await_leader().disk.replica_id)]
    term = voter.node.term + 1
    candidate = voter.node.leader_id
    voter.node.receive(candidate, RequestVote(term, 100, term, False), world.now + 60.0)
    ready = voter.node.ready()
    assert [one.message.granted for one in ready.messages] == [True]
    assert (ready.persist.hard_state.term, ready.persist.hard_state.voted_for) == (term, candidate)


def test_a_joining_replica_waits_and_never_campaigns(make_cluster):
    world = make_cluster(1, 1)
    config = RaftConfig(initial_members=(InitialMember(1),))
    node = RaftNode(config, world.add(7).disk, world.random, 0.0)
    node.tick(100.0)
    assert node.ready().is_empty()
