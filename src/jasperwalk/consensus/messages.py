"""Messages between replicas.

Tags start at 101, so that these types can share a union with messages of other kinds.
Replies carry `disk_id`: a vote or an acknowledgement counts only when it comes from the data
folder that the member list names, so a replica that lost its disk counts for nothing.
`sent_at` is the leader's clock in seconds; followers echo it, and the leader takes it as the
time of contact (a late answer proves only that the follower was reachable when asked).
"""

from __future__ import annotations

import msgspec

from jasperwalk.consensus.entries import LogEntry, Membership


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag=101):
    """A candidate asks for a vote; with `pre_vote`, whether it would get one in `term`.

    `transferred` tells that the leader itself asked for this campaign.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    transferred: bool = False


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag=102):
    """Answer to `RequestVote`; a granted pre-vote repeats the candidate's proposed term."""

    term: int
    granted: bool
    pre_vote: bool
    disk_id: str


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag=103):
    """Entries after (`previous_index`, `previous_term`); without entries, a heartbeat.

    `quorum_age` is the time in seconds since the leader last had contact with a quorum.
    """

    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    sent_at: float
    quorum_age: float
    entries: list[LogEntry]


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag=104):
    """Answer to `AppendEntries`.

    On success `match_index` is the last index known to match the leader's log. Otherwise
    `next_index` is where the leader should try next and `rejected_index` the refused
    `previous_index`.
    """

    term: int
    success: bool
    match_index: int
    rejected_index: int
    next_index: int
    sent_at: float
    disk_id: str


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag=105):
    """One chunk of the leader's snapshot, at byte `offset` of `total_bytes`."""

    term: int
    index: int
    index_term: int
    membership: Membership
    checksum: int
    total_bytes: int
    offset: int
    data: bytes
    sent_at: float


class InstallReply(msgspec.Struct, frozen=True, array_like=True, tag=106):
    """The follower's next wanted byte of snapshot `index`; `done` when it is installed."""

    term: int
    index: int
    next_offset: int
    done: bool
    sent_at: float
    disk_id: str


class FoundingProbe(msgspec.Struct, frozen=True, array_like=True, tag=107):
    """A replica with an empty disk asks an initial member whether the cluster exists."""

    disk_id: str


class FoundingReply(msgspec.Struct, frozen=True, array_like=True, tag=108):
    """Answer to `FoundingProbe`, for the disk that asked.

    `founding` is the first member list, or None while the answering replica knows of none.
    """

    asker_disk_id: str
    disk_id: str
    founding: Membership | None


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag=109):
    """The leader of `term` asks a voter to campaign at once."""

    term: int


RaftMessage = (
    RequestVote
    | VoteReply
    | AppendEntries
    | AppendReply
    | InstallSnapshot
    | InstallReply
    | FoundingProbe
    | FoundingReply
    | TimeoutNow
)
"""Every message that one replica's core sends to another's."""
