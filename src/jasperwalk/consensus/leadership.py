"""The leader's side of replication: sending, acknowledgements, commitment, quorum check."""

from __future__ import annotations

import math

from jasperwalk.consensus.entries import EntryKind, Member, encode_membership
from jasperwalk.consensus.members import MembershipChange, change_members
from jasperwalk.consensus.messages import AppendEntries, AppendReply, InstallReply, InstallSnapshot
from jasperwalk.consensus.outcomes import MembershipRefused, Proposed, RefusalReason
from jasperwalk.consensus.progress import Progress, ProgressMode
from jasperwalk.consensus.state import ReplicaState, Role
from jasperwalk.consensus.transfer import LeadershipTransfer

QUORUM_CHECK_TIMEOUTS = 2
"""Election timeouts without contact with a quorum after which a leader steps down. Followers
without contact campaign within the same time; a leader that stepped down earlier would do so for
a transient delay in the others' event loops. Quorum ages are accurate meanwhile."""


class Leadership:
    """The leader's state and message handlers; a new object for each term that it wins."""

    def __init__(self, state: ReplicaState, voters: set[int], voted_since: float) -> None:
        self._state = state
        self.progress: dict[int, Progress] = {}
        self.displaced_replicas: set[int] = set()
        """Members that answered from another disk than the listed one; they need replacing."""
        self.transfer = LeadershipTransfer(state, self.progress)
        state.role = Role.LEADER
        state.leader_id = state.replica_id
        self._leading_since = state.now
        self._heartbeat_deadline = state.now
        first = state.append(state.term, EntryKind.LEADERSHIP, b"")
        self.first_index = first.index
        self.update_followers()
        for replica_id in voters.intersection(self.progress):
            self.progress[replica_id].contact_at = voted_since
        self.advance_commit()

    @property
    def deadline(self) -> float:
        """When the next heartbeat is due."""
        return self._heartbeat_deadline

    def update_followers(self) -> None:
        """Start or stop replication to followers as the member list in force says."""
        listed = self._state.membership.members
        for member in listed:
            if member.replica_id not in self.progress and not self._is_self(member):
                self.progress[member.replica_id] = Progress(
                    next_index=self._state.log.last_index + 1, disk_id=member.disk_id
                )
        for replica_id in set(self.progress) - {member.replica_id for member in listed}:
            del self.progress[replica_id]

    def _is_self(self, member: Member) -> bool:
        return member.replica_id == self._state.replica_id

    def propose(self, change: MembershipChange) -> Proposed | MembershipRefused:
        """Append a change of one member, which puts it in force; refuse it where that is unsafe."""
        state = self._state
        # A change must not overtake one that an earlier leader left uncommitted (Ongaro's
        # correction of 2015): an entry of the own term has to be committed first.
        if state.commit_index < self.first_index:
            return MembershipRefused(RefusalReason.LEADER_NOT_SETTLED)
        if state.members.latest_index > state.commit_index:
            return MembershipRefused(RefusalReason.CHANGE_IN_PROGRESS)
        min_match_index = max(state.log.last_index - state.config.promotion_lag_entries, 1)
        progress = self.progress.get(change.replica_id)
        changed = change_members(state.membership, change, progress, min_match_index)
        if isinstance(changed, RefusalReason):
            return MembershipRefused(changed)
        entry = state.append(state.term, EntryKind.MEMBERSHIP, encode_membership(changed))
        self.update_followers()
        return Proposed(term=entry.term, index=entry.index)

    def tick(self, now: float) -> None:
        """Send heartbeats when due; step down without contact with a quorum."""
        if self._lacks_quorum(now) and not self._state.stall_grace.is_running(now):
            self._state.become_follower(self._state.term, None)
            return
        if now < self._heartbeat_deadline:
            return
        self._heartbeat_deadline = now + self._state.config.heartbeat_interval_seconds
        self.transfer.tick(now)
        for replica_id, progress in self.progress.items():
            progress.awaiting_reply = False
            self._send_next(replica_id, progress)
            self._send_heartbeat(replica_id, progress)

    def _lacks_quorum(self, now: float) -> bool:
        contact = max(self._leading_since, now - self.quorum_age(now))
        limit = QUORUM_CHECK_TIMEOUTS * self._state.config.election_timeout_seconds
        return now - contact > limit

    def quorum_age(self, now: float) -> float:
        """Return seconds since a quorum (this replica included) was last known to follow."""
        contacts = [
            now if self._is_self(member) else self.progress[member.replica_id].contact_at
            for member in self._state.membership.members
            if member.voting
        ]
        if not contacts:
            return math.inf
        contacts.sort(reverse=True)
        return now - contacts[self._state.membership.quorum_size() - 1]

    def send_to_all(self) -> None:
        """Send each follower the entries or snapshot chunk that flow control allows now."""
        for replica_id, progress in self.progress.items():
            self._send_next(replica_id, progress)

    def _send_next(self, replica_id: int, progress: Progress) -> None:
        if progress.mode is not ProgressMode.SNAPSHOT:
            self._send_pending_entries(replica_id, progress)
        if progress.mode is ProgressMode.SNAPSHOT and not progress.awaiting_reply:
            self._send_chunk(replica_id, progress)

    def _send_pending_entries(self, replica_id: int, progress: Progress) -> None:
        if progress.next_index <= self._state.log.base_index:
            self._start_transfer(progress)
            return
        while self._may_send_entries(progress):
            self._send_entries(replica_id, progress)
        commit_advanced = progress.sent_commit_index < self._state.commit_index
        if commit_advanced and progress.mode is ProgressMode.REPLICATE:
            self._send_append(replica_id, progress, progress.next_index, 0)

    def _may_send_entries(self, progress: Progress) -> bool:
        if progress.mode is ProgressMode.PROBE:
            return not progress.awaiting_reply
        in_flight = progress.next_index - progress.match_index - 1
        has_entries = progress.next_index <= self._state.log.last_index
        has_capacity = in_flight < self._state.config.max_in_flight_entries
        return progress.mode is ProgressMode.REPLICATE and has_entries and has_capacity

    def _send_entries(self, replica_id: int, progress: Progress) -> None:
        limit = self._state.config.max_batch_entries
        sent = self._send_append(replica_id, progress, progress.next_index, limit)
        if progress.mode is ProgressMode.PROBE:
            progress.awaiting_reply = True
        else:
            progress.next_index += sent

    def _send_append(self, to: int, progress: Progress, first: int, max_entries: int) -> int:
        """Send up to `max_entries` entries from `first` on; return how many were sent."""
        state = self._state
        entries = state.log.batch_from(first, max_entries, state.config.max_batch_bytes)
        previous_term = state.log.term_at(first - 1)
        assert previous_term is not None
        message = AppendEntries(
            term=state.term,
            previous_index=first - 1,
            previous_term=previous_term,
            commit_index=state.commit_index,
            sent_at=state.now,
            quorum_age=self.quorum_age(state.now),
            entries=entries,
        )
        progress.sent_commit_index = state.commit_index
        state.send(to, message)
        return len(entries)

    def _send_heartbeat(self, replica_id: int, progress: Progress) -> None:
        """Send an empty append; in replicate mode it also reveals lost batches."""
        if progress.mode is ProgressMode.REPLICATE:
            self._send_append(replica_id, progress, progress.next_index, 0)
            return
        state = self._state
        age = self.quorum_age(state.now)
        state.send(replica_id, AppendEntries(state.term, 0, 0, 0, state.now, age, []))

    def _start_transfer(self, progress: Progress) -> None:
        snapshot = self._state.snapshot
        assert snapshot is not None
        progress.start_transfer(snapshot)

    def _send_chunk(self, replica_id: int, progress: Progress) -> None:
        transfer = progress.transfer
        assert transfer is not None
        state = self._state
        snapshot = transfer.snapshot
        end = transfer.offset + state.config.snapshot_chunk_bytes
        message = InstallSnapshot(
            term=state.term,
            index=snapshot.index,
            index_term=snapshot.term,
            membership=snapshot.membership,
            checksum=transfer.checksum,
            total_bytes=len(snapshot.state),
            offset=transfer.offset,
            data=snapshot.state[transfer.offset : end],
            sent_at=state.now,
        )
        progress.awaiting_reply = True
        state.send(replica_id, message)

    def on_append_reply(self, sender: int, reply: AppendReply) -> None:
        """Handle an acknowledgement or a refusal."""
        progress = self._known_progress(sender, reply.disk_id)
        if progress is None:
            return
        progress.contact_at = max(progress.contact_at, reply.sent_at)
        if progress.mode is ProgressMode.SNAPSHOT:
            return
        if reply.success:
            self._on_match(progress, reply.match_index)
            return
        progress.record_rejection(reply.rejected_index, reply.next_index)

    def _on_match(self, progress: Progress, match_index: int) -> None:
        # Heartbeats outside replicate mode carry index 0 and so match at 0 only; they are
        # no answer to a probe.
        if match_index == 0 and progress.next_index > 1:
            return
        progress.record_match(match_index)
        self.advance_commit()
        if self.transfer.is_active:
            self.transfer.advance()

    def on_install_reply(self, sender: int, reply: InstallReply) -> None:
        """Move on to the next chunk, or to the entries after the snapshot."""
        progress = self._known_progress(sender, reply.disk_id)
        if progress is None:
            return
        progress.contact_at = max(progress.contact_at, reply.sent_at)
        transfer = progress.transfer
        if transfer is None or transfer.snapshot.index != reply.index:
            return
        if reply.done:
            progress.finish_transfer(reply.index)
            self.advance_commit()
            return
        if reply.next_offset != transfer.offset:
            transfer.offset = min(reply.next_offset, len(transfer.snapshot.state))
            progress.awaiting_reply = False

    def _known_progress(self, sender: int, disk_id: str) -> Progress | None:
        """Return the sender's progress, None when it answers from another disk."""
        progress = self.progress.get(sender)
        member = self._state.membership.find(sender)
        if progress is None or member is None:
            return None
        if member.disk_id and member.disk_id != disk_id:
            self.displaced_replicas.add(sender)
            return None
        if progress.disk_id != disk_id:
            progress.reset(self._state.log.last_index + 1, disk_id)
        return progress

    def advance_commit(self) -> None:
        """Commit what a quorum of voters holds, if the last entry is of this leader's own term."""
        state = self._state
        matches = [
            state.log.stable_index
            if self._is_self(member)
            else self.progress[member.replica_id].match_index
            for member in state.membership.members
            if member.voting
        ]
        if not matches:
            return
        matches.sort(reverse=True)
        quorum_index = matches[state.membership.quorum_size() - 1]
        if quorum_index > state.commit_index and state.log.term_at(quorum_index) == state.term:
            state.commit_to(quorum_index)
