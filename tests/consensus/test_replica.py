"""The core of a single replica, without a network: one test for each safety rule."""

from __future__ import annotations

from random import Random

import pytest

from jasperwalk.consensus.config import InitialMember, RaftConfig
from jasperwalk.consensus.core import RaftNode
from jasperwalk.consensus.durable import DurableState, HardState, SnapshotData
from jasperwalk.consensus.entries import (
    EntryKind,
    LogEntry,
    Member,
    Membership,
    encode_membership,
)
from jasperwalk.consensus.log import RaftLog
from jasperwalk.consensus.messages import (
    AppendEntries,
    AppendReply,
    FoundingReply,
    InstallSnapshot,
    RequestVote,
    VoteReply,
)
from jasperwalk.consensus.state import Role

FOUNDING = Membership([Member(number, f"disk-{number}", True) for number in (1, 2, 3)])
WITH_LEARNER = FOUNDING.with_member(Member(4, "", False))
CONFIG = RaftConfig(tuple(InitialMember(number) for number in (1, 2, 3)), trailing_entries=0)


def command(index, term):
    return LogEntry(index, term, EntryKind.COMMAND, b"%d" % index)


def make_node(entries=(), term=1, founding=FOUNDING, disk_id="disk-1"):
    durable = DurableState(1, disk_id, False, HardState(term, None, founding), None, [*entries])
    return RaftNode(CONFIG, durable, Random(1), 0.0)


def finish(node):
    """Run the runner's loop, and return the messages and the committed entries."""
    messages, committed = [], []
    while not (ready := node.ready()).is_empty():
        if ready.persist is not None:
            node.persisted()
        messages += [one.message for one in ready.messages]
        committed += ready.committed
    return messages, committed


def elect(node, now=10.0):
    """Let the node win an election with the vote of replica 2."""
    node.tick(now)
    term = node.term + 1
    node.receive(2, VoteReply(term, True, True, "disk-2"), now)
    node.receive(2, VoteReply(term, True, False, "disk-2"), now)
    assert node.is_leader


def append(node, term, previous, entries, commit_index=0, now=1.0, sender=2):
    """Let the node receive entries; `previous` is (index, term)."""
    message = AppendEntries(term, *previous, commit_index, now, 0.0, list(entries))
    node.receive(sender, message, now)


def acknowledge(node, index, sent_at, now):
    node.receive(2, AppendReply(node.term, True, index, 0, 0, sent_at, "disk-2"), now)


def test_an_entry_of_an_earlier_term_commits_only_with_one_of_the_own_term():
    node = make_node([command(1, 1), command(2, 1)])
    elect(node)
    finish(node)
    acknowledge(node, 2, 10.0, 10.0)
    assert node.commit_index == 0
    acknowledge(node, 3, 10.0, 10.0)
    assert node.commit_index == 3


def test_a_single_replica_commits_only_what_is_on_disk():
    alone = Membership([Member(1, "disk-1", True)])
    node = make_node(founding=alone)
    node.tick(10.0)
    assert node.is_leader
    ready = node.ready()
    assert [one.kind for one in ready.persist.entries] == [EntryKind.LEADERSHIP]
    assert (ready.committed, node.commit_index) == ([], 0)
    assert node.ready().is_empty()
    node.persisted()
    assert [one.index for one in node.ready().committed] == [1]


@pytest.mark.parametrize("pre_vote", [True, False])
def test_a_follower_that_hears_its_leader_keeps_its_term(pre_vote):
    node = make_node()
    append(node, 1, (0, 0), [])
    finish(node)
    node.receive(3, RequestVote(9, 9, 9, pre_vote), 1.5)
    messages, _ = finish(node)
    assert [(one.term, one.granted) for one in messages] == [(1, False)]
    assert node.term == 1


@pytest.mark.parametrize("pre_vote", [True, False])
def test_votes_of_other_disks_do_not_count(pre_vote):
    node = make_node()
    node.tick(10.0)
    if not pre_vote:
        node.receive(2, VoteReply(2, True, True, "disk-2"), 10.0)
    before = node.role
    node.receive(3, VoteReply(2, True, pre_vote, "another disk"), 10.0)
    assert node.role is before


def test_a_wiped_replica_takes_no_founding_list_that_names_its_old_disk():
    node = make_node(term=0, founding=None, disk_id="new disk")
    finish(node)
    node.receive(2, FoundingReply("new disk", "disk-2", FOUNDING), 1.0)
    append(node, 1, (0, 0), [command(1, 1)])
    node.receive(2, RequestVote(1, 0, 0, False), 1.0)
    assert node.ready().is_empty()
    assert node.is_displaced
    assert node.membership.members == []


def test_a_snapshot_that_matches_the_log_keeps_the_entries_after_it():
    node = make_node([command(index, 1) for index in range(1, 6)])
    snapshot = SnapshotData(3, 1, FOUNDING, b"state")
    chunk = InstallSnapshot(1, 3, 1, FOUNDING, snapshot.checksum(), 5, 0, b"state", 1.0)
    node.receive(2, chunk, 1.0)
    assert (node.last_index, node.commit_index) == (5, 3)


@pytest.mark.parametrize(("checksum_error", "installed"), [(0, 3), (1, 0)])
def test_a_snapshot_is_installed_only_with_the_right_checksum(checksum_error, installed):
    node = make_node()
    checksum = SnapshotData(3, 1, FOUNDING, b"state").checksum()
    chunk = InstallSnapshot(1, 3, 1, FOUNDING, checksum ^ checksum_error, 5, 0, b"state", 1.0)
    node.receive(2, chunk, 1.0)
    assert node.commit_index == installed
    messages, _ = finish(node)
    assert messages[0].done is (installed > 0)


def test_late_replies_prove_contact_only_when_they_were_asked_for():
    node = make_node()
    elect(node, 10.0)
    finish(node)
    acknowledge(node, 1, 10.1, 10.8)
    assert node.quorum_age(10.8) == pytest.approx(0.7)


def test_a_member_list_that_was_cut_off_is_no_longer_in_force():
    grown = LogEntry(2, 1, EntryKind.MEMBERSHIP, encode_membership(WITH_LEARNER))
    node = make_node([command(1, 1), grown])
    assert node.membership == WITH_LEARNER
    append(node, 2, (1, 1), [command(2, 2)])
    assert node.membership == FOUNDING


def test_a_snapshot_carries_the_member_list_of_its_index():
    grown = LogEntry(2, 1, EntryKind.MEMBERSHIP, encode_membership(WITH_LEARNER))
    node = make_node([command(1, 1), grown])
    append(node, 1, (2, 1), [], commit_index=1)
    finish(node)
    node.take_snapshot(1, b"state")
    assert node.ready().persist.snapshot == SnapshotData(1, 1, FOUNDING, b"state")


def test_entries_cut_off_while_being_written_do_not_count_as_stable():
    log = RaftLog(DurableState(1, "disk-1"))
    for index in (1, 2, 3):
        log.append(command(index, 1))
    log.take_unpersisted()
    log.truncate_from(2)
    log.append(command(2, 2))
    log.mark_stable(3)
    assert log.stable_index == 1
    assert log.take_unpersisted() == [command(2, 2)]


@pytest.mark.parametrize(
    ("held", "previous", "hint"),
    [
        ([1, 1, 1], (9, 1), 4),
        ([1, 2, 2, 2], (4, 3), 2),
        ([], (1, 1), 1),
    ],
)
def test_a_refusal_skips_the_conflicting_term(held, previous, hint):
    node = make_node([command(number, term) for number, term in enumerate(held, 1)], term=3)
    append(node, 3, previous, [])
    (reply,), _ = finish(node)
    assert (reply.success, reply.rejected_index, reply.next_index) == (False, previous[0], hint)


def test_a_stale_leader_is_told_the_newer_term():
    node = make_node(term=5)
    append(node, 4, (0, 0), [command(1, 4)])
    (reply,), _ = finish(node)
    assert (reply.term, reply.success, node.last_index) == (5, False, 0)


def test_a_stalled_follower_reads_buffered_messages_before_it_campaigns():
    node = make_node()
    append(node, 1, (0, 0), [], now=1.0)
    finish(node)
    node.tick(60.0)
    assert node.role is Role.FOLLOWER
    append(node, 1, (0, 0), [], now=60.1)
    node.tick(60.9)
    assert (node.role, node.leader_id) == (Role.FOLLOWER, 2)


def test_a_follower_whose_ticks_are_always_late_still_campaigns():
    node = make_node()
    append(node, 1, (0, 0), [], now=1.0)
    finish(node)
    for now in (60.0, 61.0):
        node.tick(now)
    assert node.role is Role.PRE_CANDIDATE


@pytest.mark.parametrize(("answered_at", "leads"), [(60.1, True), (None, False)])
def test_a_stalled_leader_reads_buffered_messages_before_it_steps_down(answered_at, leads):
    node = make_node()
    elect(node)
    finish(node)
    node.tick(10.0)
    node.tick(60.0)
    assert node.is_leader
    if answered_at is not None:
        acknowledge(node, 1, 60.0, answered_at)
    node.tick(60.3)
    assert node.is_leader is leads


def test_a_leader_steps_down_when_followers_would_have_campaigned():
    node = make_node()
    elect(node)
    for tenths in range(1, 20):
        node.tick(10.0 + tenths / 10)
    assert node.is_leader
    assert node.quorum_age(11.9) == pytest.approx(1.9)
    node.tick(12.1)
    assert not node.is_leader
