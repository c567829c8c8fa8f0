"""A simulated disk: synced data survives a crash, a batch that is being written may be torn."""

from __future__ import annotations

import dataclasses
from random import Random

from jasperwalk.consensus.durable import DurableState, PersistBatch

LOST_BATCH_SHARE = 0.5
"""Probability that a crash loses the whole batch that is being written."""


class Disk:
    """The data folder of one control replica; it survives restarts of the process."""

    def __init__(self, replica_id: int, disk_id: str, random: Random) -> None:
        self.state = DurableState(replica_id=replica_id, disk_id=disk_id, fresh=True)
        self._random = random
        self._batch_in_flight: PersistBatch | None = None

    def load(self) -> DurableState:
        """Return the durable state, as a starting process reads it."""
        loaded = dataclasses.replace(self.state, entries=list(self.state.entries))
        loaded.reconcile()
        self.state.fresh = False
        return loaded

    def write(self, batch: PersistBatch) -> None:
        """Start to write a batch; until `sync`, a crash may lose it or a part of it."""
        self._batch_in_flight = batch

    def sync(self) -> None:
        """Make the batch that is being written durable."""
        if self._batch_in_flight is not None:
            self.apply_synced(self._batch_in_flight)
            self._batch_in_flight = None

    def apply_synced(self, batch: PersistBatch) -> None:
        """Apply a synced batch to the durable state."""
        self.state.apply(batch)

    def crash(self) -> None:
        """Lose the batch that is being written, except for a prefix that reached the disk."""
        batch, self._batch_in_flight = self._batch_in_flight, None
        if batch is None or self._random.random() < LOST_BATCH_SHARE:
            return
        if batch.snapshot is not None or batch.reset_index is not None:
            # A rename replaces the entire log atomically: only the hard state may be written.
            self.apply_synced(PersistBatch(hard_state=batch.hard_state))
            return
        count = self._random.randint(0, len(batch.entries))
        self.apply_synced(PersistBatch(hard_state=batch.hard_state, entries=batch.entries[:count]))
