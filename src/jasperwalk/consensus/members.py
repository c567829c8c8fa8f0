"""The member lists that the log carries, and the rules for changing them.

A member list is in force from the moment its entry is in the log, committed or not. Only one
change may be uncommitted at a time, which keeps any two quorums overlapping.
"""

from __future__ import annotations

from dataclasses import dataclass

from jasperwalk.consensus.entries import (
    EMPTY_MEMBERSHIP,
    EntryKind,
    LogEntry,
    Member,
    Membership,
    decode_membership,
)
from jasperwalk.consensus.outcomes import RefusalReason
from jasperwalk.consensus.progress import Progress


@dataclass(frozen=True)
class AddLearner:
    """Add a replica that gets the log but has no vote. Replica IDs are never used again."""

    replica_id: int
    address: str = ""


@dataclass(frozen=True)
class PromoteLearner:
    """Give a caught-up learner a vote, bound to its current disk."""

    replica_id: int


@dataclass(frozen=True)
class RemoveReplica:
    """Remove a voter or learner; a leader that removes itself leads until that commits."""

    replica_id: int


MembershipChange = AddLearner | PromoteLearner | RemoveReplica


class MembershipHistory:
    """The member lists by the index from which each is in force."""

    def __init__(self, index: int, membership: Membership) -> None:
        self._lists: list[tuple[int, Membership]] = [(index, membership)]

    @property
    def latest(self) -> Membership:
        """The member list in force now."""
        return self._lists[-1][1]

    @property
    def latest_index(self) -> int:
        """The index from which the latest list is in force."""
        return self._lists[-1][0]

    def at(self, index: int) -> Membership:
        """Return the member list that was in force at `index`."""
        found = EMPTY_MEMBERSHIP
        for first_index, membership in self._lists:
            if first_index <= index:
                found = membership
        return found

    def record(self, entry: LogEntry) -> None:
        """Record the member list of an appended entry, if it carries one."""
        if entry.kind is EntryKind.MEMBERSHIP:
            self._lists.append((entry.index, decode_membership(entry.data)))

    def truncate_from(self, index: int) -> None:
        """Discard the lists of truncated entries."""
        kept = [item for item in self._lists if item[0] < index]
        self._lists = kept or [(0, EMPTY_MEMBERSHIP)]

    def reset(self, index: int, membership: Membership) -> None:
        """Start from a snapshot's (or the founding) member list."""
        self._lists = [(index, membership)]

    def discard_before(self, index: int) -> None:
        """Discard lists that were replaced at or before `index`."""
        while len(self._lists) > 1 and self._lists[1][0] <= index:
            del self._lists[0]


def change_members(
    current: Membership, change: MembershipChange, progress: Progress | None, min_match_index: int
) -> Membership | RefusalReason:
    """Return the list after `change`, or why it is refused.

    `progress` is what the leader knows of the replica in question, and `min_match_index` the
    index that a learner must hold to be promoted.
    """
    member = current.find(change.replica_id)
    if isinstance(change, AddLearner):
        return _add(current, change)
    if member is None:
        return RefusalReason.REPLICA_UNKNOWN
    if isinstance(change, PromoteLearner):
        return _promote(current, member, progress, min_match_index)
    if member.voting and len(current.voter_ids()) == 1:
        return RefusalReason.LAST_VOTER
    return current.without(change.replica_id)


def _add(current: Membership, change: AddLearner) -> Membership | RefusalReason:
    if current.find(change.replica_id) is not None:
        return RefusalReason.REPLICA_EXISTS
    if change.replica_id in current.removed:
        return RefusalReason.REPLICA_ID_USED
    return current.with_member(Member(change.replica_id, "", False, change.address))


def _promote(
    current: Membership, member: Member, progress: Progress | None, min_match_index: int
) -> Membership | RefusalReason:
    if member.voting:
        return RefusalReason.NOT_A_LEARNER
    if progress is None or not progress.disk_id or progress.match_index < min_match_index:
        return RefusalReason.NOT_CAUGHT_UP
    return current.with_member(Member(member.replica_id, progress.disk_id, True, member.address))
