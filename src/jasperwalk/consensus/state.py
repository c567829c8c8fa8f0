"""Raft state that the parts of the core (election, follower, leadership and so on) share."""

from __future__ import annotations

import enum
import math
from random import Random

from jasperwalk.consensus.config import RaftConfig
from jasperwalk.consensus.durable import DurableState, HardState, SnapshotData
from jasperwalk.consensus.entries import EMPTY_MEMBERSHIP, EntryKind, LogEntry, Membership
from jasperwalk.consensus.log import RaftLog
from jasperwalk.consensus.members import MembershipHistory
from jasperwalk.consensus.messages import RaftMessage
from jasperwalk.consensus.outcomes import InvariantViolation, Outgoing
from jasperwalk.consensus.quorum_contact import QuorumContact
from jasperwalk.consensus.stall_grace import StallGrace


class Role(enum.StrEnum):
    """What a replica does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReplicaState:
    """Term, vote, role, log, members and the outbox of one replica."""

    def __init__(
        self, config: RaftConfig, durable: DurableState, random: Random, now: float
    ) -> None:
        self.config = config
        self.replica_id = durable.replica_id
        self.disk_id = durable.disk_id
        self.random = random
        self.now = now
        self.role = Role.FOLLOWER
        self.leader_id: int | None = None
        self.leader_seen_at = -math.inf
        self.quorum_contact = QuorumContact()
        self.hard_state = durable.hard_state
        self.hard_state_changed = False
        self.snapshot = durable.snapshot
        self.snapshot_changed = False
        self.log_reset = False
        self.log = RaftLog(durable)
        self.members = self._load_members()
        self.commit_index = 0 if durable.snapshot is None else durable.snapshot.index
        self.delivered_index = self.commit_index
        self.outbox: list[Outgoing] = []
        self.stall_grace = StallGrace(config.heartbeat_interval_seconds)
        self.election_deadline = now
        self._campaigns_since_start = 0
        self.schedule_campaign(now)

    def _load_members(self) -> MembershipHistory:
        founding = self.hard_state.founding
        history = MembershipHistory(0, EMPTY_MEMBERSHIP if founding is None else founding)
        if self.snapshot is not None:
            history.reset(self.snapshot.index, self.snapshot.membership)
        first = history.latest_index + 1
        for entry in self.log.entries_between(first, self.log.last_index):
            history.record(entry)
        return history

    @property
    def term(self) -> int:
        """The current term."""
        return self.hard_state.term

    @property
    def membership(self) -> Membership:
        """The member list in force."""
        return self.members.latest

    def is_voter(self) -> bool:
        """Tell whether this replica, with this disk, is a voter as far as it knows."""
        member = self.membership.find(self.replica_id)
        return member is not None and member.voting and member.disk_id == self.disk_id

    def may_grant_vote(self) -> bool:
        """Tell whether this replica may vote for others.

        A learner answers too: it may have been promoted without knowing it yet, and the
        candidate counts only voters. A disk other than the one on the list never votes.
        """
        member = self.membership.find(self.replica_id)
        return member is not None and member.disk_id in ("", self.disk_id)

    def send(self, to: int, message: RaftMessage) -> None:
        """Queue a message; it is sent after pending changes have been persisted."""
        self.outbox.append(Outgoing(to=to, message=message))

    def set_hard_state(
        self, term: int, voted_for: int | None, founding: Membership | None = None
    ) -> None:
        """Change term and vote; they become durable before the next message is sent."""
        kept = self.hard_state.founding if founding is None else founding
        self.hard_state = HardState(term=term, voted_for=voted_for, founding=kept)
        self.hard_state_changed = True

    def become_follower(self, term: int, leader_id: int | None) -> None:
        """Follow in `term`; a higher term clears the vote."""
        if term > self.term:
            self.set_hard_state(term, None)
        if self.role is Role.LEADER:
            self.reset_election_timer(self.now)
        self.role = Role.FOLLOWER
        self.leader_id = leader_id

    def reset_election_timer(self, now: float) -> None:
        """Draw the next election deadline, one to two time-outs from now."""
        timeout = self.config.election_timeout_seconds
        self.election_deadline = now + timeout * (1.0 + self.random.random())

    def schedule_campaign(self, now: float) -> None:
        """Draw the next election deadline of a replica without contact with a leader.

        Replicas of a cluster start one after the other: the first ones campaign before a
        quorum is running, and retry soon. The delay doubles up to the normal one, so that
        slow machines have enough time for a round of votes.
        """
        first = self.config.first_election_seconds
        if first is None or self.leader_seen_at > -math.inf:
            self.reset_election_timer(now)
            return
        longest = min(
            first * 2.0**self._campaigns_since_start, 2.0 * self.config.election_timeout_seconds
        )
        self._campaigns_since_start += 1
        self.election_deadline = now + longest * (0.5 + 0.5 * self.random.random())

    def append(self, term: int, kind: EntryKind, data: bytes) -> LogEntry:
        """Append an entry of this leader to its own log."""
        entry = LogEntry(index=self.log.last_index + 1, term=term, kind=kind, data=data)
        self.append_entry(entry)
        return entry

    def append_entry(self, entry: LogEntry) -> None:
        """Append the next entry and put its member list in force."""
        self.log.append(entry)
        self.members.record(entry)

    def truncate_from(self, index: int) -> None:
        """Truncate uncommitted entries."""
        if index <= self.commit_index:
            raise InvariantViolation(reason=f"committed entry {index} conflicts with the leader's")
        self.log.truncate_from(index)
        self.members.truncate_from(index)

    def commit_to(self, index: int) -> None:
        """Raise the commit index; it never goes back."""
        self.commit_index = max(self.commit_index, min(index, self.log.last_index))

    def adopt_snapshot(self, snapshot: SnapshotData) -> None:
        """Replace the whole log by a leader's snapshot."""
        self.snapshot = snapshot
        self.snapshot_changed = True
        self.log_reset = True
        self.log.reset(snapshot.index, snapshot.term)
        self.members.reset(snapshot.index, snapshot.membership)
        self.commit_index = snapshot.index
        self.delivered_index = snapshot.index
