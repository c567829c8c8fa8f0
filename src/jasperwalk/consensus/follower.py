"""The follower's side of replication: matching the leader's log and installing snapshots."""

from __future__ import annotations

from jasperwalk.consensus.durable import SnapshotData
from jasperwalk.consensus.entries import LogEntry
from jasperwalk.consensus.messages import AppendEntries, AppendReply, InstallReply, InstallSnapshot
from jasperwalk.consensus.outcomes import InvariantViolation
from jasperwalk.consensus.state import ReplicaState, Role


class Follower:
    """Handles the messages of a leader."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._chunks = bytearray()
        self._chunks_of: tuple[int, int, int] | None = None

    def accept_leader(self, leader_id: int, term: int, now: float) -> bool:
        """Follow the sender if its term is current; return False for a stale leader."""
        state = self._state
        if term < state.term:
            return False
        if term == state.term and state.role is Role.LEADER:
            raise InvariantViolation(reason=f"replica {leader_id} also leads term {term}")
        state.become_follower(term, leader_id)
        state.leader_seen_at = now
        state.reset_election_timer(now)
        return True

    def on_append(self, sender: int, message: AppendEntries, now: float) -> None:
        """Append entries that match the log, refuse others, and update the commit index."""
        state = self._state
        if not self.accept_leader(sender, message.term, now):
            # The higher term in the answer makes a stale leader step down.
            self._refuse(sender, message, 0)
            return
        state.quorum_contact.record_leader_message(
            sender, message.term, message.sent_at, message.quorum_age, now
        )
        if message.previous_index < state.log.base_index:
            self._append_above_base(sender, message)
            return
        if state.log.term_at(message.previous_index) != message.previous_term:
            self._refuse(sender, message, self._next_index_hint(message.previous_index))
            return
        self._append_entries(message.entries)
        last = message.previous_index + len(message.entries)
        state.commit_to(min(message.commit_index, last))
        self._accept(sender, message, last)

    def _append_above_base(self, sender: int, message: AppendEntries) -> None:
        """Skip entries that a snapshot covers: they are committed and match any leader's log."""
        state = self._state
        entries = [entry for entry in message.entries if entry.index > state.log.base_index]
        self._append_entries(entries)
        last = message.previous_index + len(message.entries)
        state.commit_to(min(message.commit_index, last))
        self._accept(sender, message, last)

    def _append_entries(self, entries: list[LogEntry]) -> None:
        """Append entries, truncating a conflicting tail of another term."""
        for entry in entries:
            held_term = self._state.log.term_at(entry.index)
            if held_term == entry.term:
                continue
            if held_term is not None:
                self._state.truncate_from(entry.index)
            self._state.append_entry(entry)

    def _next_index_hint(self, previous_index: int) -> int:
        """Return where the leader should try next: skip the whole conflicting term."""
        log = self._state.log
        if previous_index > log.last_index:
            return log.last_index + 1
        return max(log.first_index_of_term_at(previous_index), self._state.commit_index + 1)

    def _accept(self, to: int, message: AppendEntries, match_index: int) -> None:
        state = self._state
        reply = AppendReply(state.term, True, match_index, 0, 0, message.sent_at, state.disk_id)
        state.send(to, reply)

    def _refuse(self, to: int, message: AppendEntries, next_index: int) -> None:
        state = self._state
        rejected = message.previous_index
        sent_at = message.sent_at
        reply = AppendReply(state.term, False, 0, rejected, next_index, sent_at, state.disk_id)
        state.send(to, reply)

    def on_install(self, sender: int, message: InstallSnapshot, now: float) -> None:
        """Collect chunks; install the snapshot when it is complete and its checksum matches."""
        state = self._state
        if not self.accept_leader(sender, message.term, now):
            self._answer_chunk(sender, message, 0, done=False)
            return
        if message.index <= state.commit_index:
            self._answer_chunk(sender, message, 0, done=True)
            return
        # A leader's log that matches at the snapshot's position makes the state unnecessary,
        # and entries after it may already count for a quorum: they must stay.
        if state.log.term_at(message.index) == message.index_term:
            state.commit_to(message.index)
            self._answer_chunk(sender, message, 0, done=True)
            return
        self._collect(message)
        done = len(self._chunks) == message.total_bytes and self._install(message)
        self._answer_chunk(sender, message, len(self._chunks), done)

    def _collect(self, message: InstallSnapshot) -> None:
        transfer = (message.index, message.index_term, message.checksum)
        if self._chunks_of != transfer:
            self._chunks_of = transfer
            self._chunks = bytearray()
        if message.offset == len(self._chunks):
            self._chunks += message.data

    def _install(self, message: InstallSnapshot) -> bool:
        """Install the collected snapshot; start over when its checksum is wrong."""
        snapshot = SnapshotData(
            message.index, message.index_term, message.membership, bytes(self._chunks)
        )
        self._chunks = bytearray()
        self._chunks_of = None
        if snapshot.checksum() != message.checksum:
            return False
        self._state.adopt_snapshot(snapshot)
        return True

    def _answer_chunk(self, to: int, message: InstallSnapshot, offset: int, done: bool) -> None:
        state = self._state
        reply = InstallReply(
            state.term, message.index, offset, done, message.sent_at, state.disk_id
        )
        state.send(to, reply)
