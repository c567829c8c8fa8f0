"""The Raft core of one replica, without input or output of its own.

It takes typed messages and the current time, and returns messages to send, state to persist and
entries to apply.

The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with its
pre-vote, check quorum, learners and changes of one member at a time.

The code that drives the core is called the runner here. After each call of `tick`, `receive`,
`propose`, `propose_membership`, `take_snapshot` or `persisted`, it runs this loop until
`ready()` is empty:

    ready = node.ready()
    if ready.persist is not None:
        storage.persist(ready.persist)      # written and synced
        node.persisted()
    send ready.messages; restore ready.install_snapshot; apply ready.committed

Between `ready()` and `persisted()` the runner may continue to call `tick`, `receive` and
`propose`; `ready()` is empty until then. On start the runner restores its state machine from
`durable.snapshot` (if any); committed entries after it are delivered again.
"""

from __future__ import annotations

import math
from random import Random

from jasperwalk.consensus.config import RaftConfig
from jasperwalk.consensus.durable import DurableState, SnapshotData
from jasperwalk.consensus.election import Election
from jasperwalk.consensus.entries import EntryKind, Membership
from jasperwalk.consensus.follower import Follower
from jasperwalk.consensus.founding import Founding
from jasperwalk.consensus.leadership import Leadership
from jasperwalk.consensus.members import MembershipChange
from jasperwalk.consensus.messages import (
    AppendEntries,
    AppendReply,
    FoundingProbe,
    FoundingReply,
    InstallReply,
    InstallSnapshot,
    RaftMessage,
    RequestVote,
    TimeoutNow,
    VoteReply,
)
from jasperwalk.consensus.outcomes import (
    CommandTooLarge,
    InvariantViolation,
    MembershipOutcome,
    NotLeader,
    Overloaded,
    ProposalOutcome,
    Proposed,
    Ready,
)
from jasperwalk.consensus.progress import Progress
from jasperwalk.consensus.ready_builder import ReadyBuilder
from jasperwalk.consensus.state import ReplicaState, Role


class RaftNode:
    """One replica's Raft core; times are seconds of the runner's monotonic clock."""

    def __init__(
        self, config: RaftConfig, durable: DurableState, random: Random, now: float
    ) -> None:
        self._state = ReplicaState(config, durable, random, now)
        self._election = Election(self._state)
        self._follower = Follower(self._state)
        self._founding = Founding(self._state)
        self._leadership: Leadership | None = None
        self._ready_builder = ReadyBuilder(self._state)

    # State

    @property
    def replica_id(self) -> int:
        """The ID of this replica."""
        return self._state.replica_id

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads in its term, as far as it knows."""
        return self._state.role is Role.LEADER

    @property
    def first_index_of_leadership(self) -> int | None:
        """Index of the first entry of this leader's own term, None where it does not lead.

        Once it is committed the leader knows everything that earlier leaders committed.
        """
        leadership = self._active_leadership()
        return None if leadership is None else leadership.first_index

    @property
    def is_transferring(self) -> bool:
        """Whether this leader is transferring its leadership and refuses proposals."""
        leadership = self._active_leadership()
        return leadership is not None and leadership.transfer.is_active

    @property
    def role(self) -> Role:
        """The role of this replica."""
        return self._state.role

    @property
    def leader_id(self) -> int | None:
        """The leader of this term, None when unknown."""
        return self._state.leader_id

    @property
    def term(self) -> int:
        """The current term."""
        return self._state.term

    @property
    def commit_index(self) -> int:
        """The last index known to be committed."""
        return self._state.commit_index

    @property
    def last_index(self) -> int:
        """The last index in this replica's log."""
        return self._state.log.last_index

    @property
    def membership(self) -> Membership:
        """The member list in force (its entry may not be committed yet)."""
        return self._state.membership

    @property
    def committed_membership(self) -> Membership:
        """The member list of the last committed change."""
        return self._state.members.at(self._state.commit_index)

    @property
    def is_displaced(self) -> bool:
        """Whether the cluster lists another disk for this replica, which must then be replaced."""
        member = self._state.membership.find(self._state.replica_id)
        other_disk = member is not None and member.disk_id not in ("", self._state.disk_id)
        return self._founding.displaced or other_disk

    @property
    def displaced_replicas(self) -> list[int]:
        """On the leader: members that answered from another disk and need replacing."""
        leadership = self._active_leadership()
        return [] if leadership is None else sorted(leadership.displaced_replicas)

    def progress_of(self, replica_id: int) -> Progress | None:
        """On the leader: what it knows of a follower (read only)."""
        leadership = self._active_leadership()
        return None if leadership is None else leadership.progress.get(replica_id)

    def quorum_age(self, now: float) -> float:
        """Return seconds since the leader last had contact with a quorum; inf when unknown.

        On a follower it is the leader's own figure plus the time since, see `freshness`.
        """
        leadership = self._active_leadership()
        if leadership is not None:
            return leadership.quorum_age(now)
        if self._state.leader_id is None:
            return math.inf
        return self._state.quorum_contact.age(now)

    def next_deadline(self) -> float:
        """Return when `tick` is next due, seconds."""
        leadership = self._active_leadership()
        if leadership is not None:
            return leadership.deadline
        return min(self._state.election_deadline, self._founding.deadline)

    # Inputs

    def tick(self, now: float) -> None:
        """Run timers that are due; cheap when none is."""
        self._state.stall_grace.tick(self.next_deadline(), now)
        self._state.now = now
        self._founding.tick(now)
        leadership = self._active_leadership()
        if leadership is not None:
            leadership.tick(now)
        elif self._election.tick(now):
            self._start_leading()

    def receive(self, sender: int, message: RaftMessage, now: float) -> None:
        """Handle a message from another replica."""
        self._state.now = now
        if isinstance(message, FoundingProbe):
            self._founding.on_probe(sender, message)
        elif isinstance(message, FoundingReply):
            self._founding.on_reply(sender, message)
        elif not self._founding.is_pending():
            self._receive_in_cluster(sender, message, now)

    def _receive_in_cluster(self, sender: int, message: RaftMessage, now: float) -> None:
        if isinstance(message, RequestVote):
            self._election.on_request(sender, message, now)
        elif isinstance(message, VoteReply):
            if self._election.on_reply(sender, message, now):
                self._start_leading()
        elif isinstance(message, TimeoutNow):
            if self._election.on_timeout_now(sender, message, now):
                self._start_leading()
        elif isinstance(message, AppendEntries):
            self._follower.on_append(sender, message, now)
        elif isinstance(message, InstallSnapshot):
            self._receive_chunk(sender, message, now)
        elif isinstance(message, AppendReply | InstallReply):
            self._receive_leader_reply(sender, message)

    def _receive_chunk(self, sender: int, message: InstallSnapshot, now: float) -> None:
        before = self._state.snapshot
        self._follower.on_install(sender, message, now)
        if self._state.snapshot is not before:
            self._ready_builder.install = self._state.snapshot

    def _receive_leader_reply(self, sender: int, message: AppendReply | InstallReply) -> None:
        if message.term > self._state.term:
            self._state.become_follower(message.term, None)
        leadership = self._active_leadership()
        if leadership is None or message.term < self._state.term:
            return
        if isinstance(message, AppendReply):
            leadership.on_append_reply(sender, message)
        else:
            leadership.on_install_reply(sender, message)
        self._after_commit()

    def propose(self, command: bytes, now: float) -> ProposalOutcome:
        """Append a command to the leader's log; it takes effect once committed in that term."""
        self._state.now = now
        if not self.is_leader:
            return NotLeader(leader_id=self._state.leader_id)
        if self.is_transferring:
            return NotLeader(leader_id=None)
        limit_bytes = self._state.config.max_command_bytes
        if len(command) > limit_bytes:
            return CommandTooLarge(size_bytes=len(command), limit_bytes=limit_bytes)
        pending = self._state.log.last_index - self._state.commit_index
        limit = self._state.config.max_pending_entries
        if pending >= limit:
            return Overloaded(pending=pending, limit=limit)
        entry = self._state.append(self._state.term, EntryKind.COMMAND, command)
        return Proposed(term=entry.term, index=entry.index)

    def propose_membership(self, change: MembershipChange, now: float) -> MembershipOutcome:
        """Change one member; refused while another change is uncommitted."""
        self._state.now = now
        leadership = self._active_leadership()
        if leadership is None:
            return NotLeader(leader_id=self._state.leader_id)
        if self.is_transferring:
            return NotLeader(leader_id=None)
        return leadership.propose(change)

    def transfer_leadership(self, now: float) -> bool:
        """Start to transfer leadership to another voter; return False where none can take it.

        Proposals are refused until the transfer completes, or is aborted after an election
        timeout.
        """
        self._state.now = now
        leadership = self._active_leadership()
        return leadership is not None and leadership.transfer.start(now)

    def take_snapshot(self, index: int, state: bytes) -> None:
        """Store `state` as the snapshot of the state machine after entry `index`.

        Entries up to `index` are discarded, except for the last `trailing_entries`. An index
        that is not newer than the current snapshot is ignored.
        """
        own = self._state
        current = 0 if own.snapshot is None else own.snapshot.index
        if index <= current:
            return
        if index > own.delivered_index:
            raise InvariantViolation(reason=f"snapshot at {index} is ahead of the applied entries")
        term = own.log.term_at(index)
        assert term is not None
        own.snapshot = SnapshotData(index, term, own.members.at(index), state)
        own.snapshot_changed = True
        own.members.discard_before(index)
        own.log.compact(index - own.config.trailing_entries)

    # Outputs

    def ready(self) -> Ready:
        """Return what the runner does next; empty while a batch is being persisted."""
        leadership = self._active_leadership()
        if leadership is not None and not self._ready_builder.is_persisting:
            leadership.send_to_all()
        return self._ready_builder.build()

    def persisted(self) -> None:
        """Record that the batch of the last `ready()` is synced to disk."""
        self._ready_builder.persisted()
        leadership = self._active_leadership()
        if leadership is not None:
            leadership.advance_commit()
            self._after_commit()

    # Leadership

    def _active_leadership(self) -> Leadership | None:
        return self._leadership if self._state.role is Role.LEADER else None

    def _start_leading(self) -> None:
        self._leadership = Leadership(
            self._state, self._election.voters(), self._election.started_at
        )

    def _after_commit(self) -> None:
        """Step down once this leader's own removal is committed."""
        state = self._state
        is_member = state.membership.find(state.replica_id) is not None
        if self.is_leader and not is_member and state.members.latest_index <= state.commit_index:
            leadership = self._active_leadership()
            if leadership is not None:
                leadership.send_to_all()
            state.become_follower(state.term, None)
