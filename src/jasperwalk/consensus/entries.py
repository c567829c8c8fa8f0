"""Entries of the replicated log and the member list that some of them carry."""

from __future__ import annotations

import enum
from collections.abc import Iterable

import msgspec


class EntryKind(enum.IntEnum):
    """What an entry is for; only `COMMAND` entries are applied to the state machine."""

    COMMAND = 0
    LEADERSHIP = 1
    MEMBERSHIP = 2


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry; `data` is the command, an encoded `Membership`, or empty (leadership)."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One replica of the cluster.

    `disk_id` names the data folder that holds the replica's vote and log; empty for a learner
    without any contact yet. `address` is opaque to the core (the replica's peer end point).
    A member with `voting` False is a learner: it gets the log but counts in no quorum.
    """

    replica_id: int
    disk_id: str
    voting: bool
    address: str = ""


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """The members in force from the entry that carries them on, ordered by replica ID.

    `removed` holds the replica IDs of former members; they are never used again.
    """

    members: list[Member]
    removed: list[int] = []

    def find(self, replica_id: int) -> Member | None:
        """Return the member with this replica ID, or None."""
        for member in self.members:
            if member.replica_id == replica_id:
                return member
        return None

    def replica_ids(self) -> list[int]:
        """Return the IDs of all members, learners too."""
        return [member.replica_id for member in self.members]

    def voter_ids(self) -> list[int]:
        """Return the IDs of the voting members."""
        return [member.replica_id for member in self.members if member.voting]

    def quorum_size(self) -> int:
        """Return how many voters make a majority."""
        return len(self.voter_ids()) // 2 + 1

    def has_quorum(self, replica_ids: Iterable[int]) -> bool:
        """Tell whether these replicas hold a majority of the votes."""
        voters = set(self.voter_ids())
        return bool(voters) and len(voters.intersection(replica_ids)) >= self.quorum_size()

    def with_member(self, member: Member) -> Membership:
        """Return a copy in which `member` replaces or joins the others."""
        others = [other for other in self.members if other.replica_id != member.replica_id]
        members = sorted([*others, member], key=lambda one: one.replica_id)
        return Membership(members=members, removed=self.removed)

    def without(self, replica_id: int) -> Membership:
        """Return a copy without this replica, whose ID counts as used from now on."""
        members = [member for member in self.members if member.replica_id != replica_id]
        return Membership(members=members, removed=[*self.removed, replica_id])


EMPTY_MEMBERSHIP = Membership(members=[])


def encode_membership(membership: Membership) -> bytes:
    """Encode a member list as the data of a log entry."""
    return msgspec.msgpack.encode(membership)


def decode_membership(data: bytes) -> Membership:
    """Decode the data of a `MEMBERSHIP` entry."""
    return msgspec.msgpack.decode(data, type=Membership)
