"""Builds the core's output: what to persist, send, install and apply next."""

from __future__ import annotations

from jasperwalk.consensus.durable import PersistBatch, SnapshotData
from jasperwalk.consensus.entries import LogEntry
from jasperwalk.consensus.outcomes import Outgoing, Ready
from jasperwalk.consensus.state import ReplicaState


class ReadyBuilder:
    """Collects the state's changes into one `Ready` after another.

    While a batch is being persisted nothing is returned, since newer output may depend on a
    later batch. `install` is a leader's snapshot that the runner has yet to restore.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._persisting_through = 0
        self.is_persisting = False
        self.install: SnapshotData | None = None

    def build(self) -> Ready:
        """Return what the runner does next."""
        if self.is_persisting:
            return Ready()
        return Ready(
            persist=self._take_persist(),
            messages=self._take_messages(),
            install_snapshot=self._take_install(),
            committed=self._take_committed(),
        )

    def persisted(self) -> None:
        """Record that the last batch is on disk."""
        self.is_persisting = False
        self._state.log.mark_stable(self._persisting_through)

    def _take_persist(self) -> PersistBatch | None:
        state = self._state
        changed = state.hard_state_changed or state.snapshot_changed
        if not changed and not state.log.has_unpersisted():
            return None
        batch = PersistBatch(
            hard_state=state.hard_state if state.hard_state_changed else None,
            snapshot=state.snapshot if state.snapshot_changed else None,
            reset_index=state.log.base_index if state.log_reset else None,
            entries=state.log.take_unpersisted(),
            discard_through=state.log.base_index,
        )
        state.hard_state_changed = False
        state.snapshot_changed = False
        state.log_reset = False
        self.is_persisting = True
        self._persisting_through = state.log.last_index
        return batch

    def _take_messages(self) -> list[Outgoing]:
        messages = self._state.outbox
        self._state.outbox = []
        return messages

    def _take_install(self) -> SnapshotData | None:
        snapshot = self.install
        self.install = None
        return snapshot

    def _take_committed(self) -> list[LogEntry]:
        state = self._state
        limit = state.config.max_committed_per_ready
        last = min(state.commit_index, state.delivered_index + limit)
        if last <= state.delivered_index:
            return []
        entries = state.log.entries_between(state.delivered_index + 1, last)
        state.delivered_index = last
        return entries
