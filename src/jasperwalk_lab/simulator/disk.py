"""A simulated disk: it keeps what was synced, and loses the rest when its process dies."""

from __future__ import annotations

import dataclasses
from random import Random

from jasperwalk.consensus.durable import DurableState, PersistBatch

LOST_BATCH_SHARE = 0.5
"""Share of the crashes in which nothing of the batch under way reached the disk."""


class Disk:
    """The data folder of one control replica, which outlives its processes."""

    def __init__(self, replica_id: int, disk_id: str, random: Random) -> None:
        self.state = DurableState(replica_id=replica_id, disk_id=disk_id, fresh=True)
        self._random = random
        self._batch_in_flight: PersistBatch | None = None

    def load(self) -> DurableState:
        """Return what is on the disk, as a starting process reads it."""
        loaded = dataclasses.replace(self.state, entries=list(self.state.entries))
        loaded.reconcile()
        self.state.fresh = False
        return loaded

    def write(self, batch: PersistBatch) -> None:
        """Note a batch that is being written; it may be torn by a crash."""
        self._batch_in_flight = batch

    def sync(self) -> None:
        """Make the batch under way durable."""
        if self._batch_in_flight is not None:
            self.apply_synced(self._batch_in_flight)
            self._batch_in_flight = None

    def apply_synced(self, batch: PersistBatch) -> None:
        """Apply a synced batch to the disk."""
        self.state.apply(batch)

    def crash(self) -> None:
        """Lose the batch under way, but for a beginning of it that may have reached the disk."""
        batch, self._batch_in_flight = self._batch_in_flight, None
        if batch is None or self._random.random() < LOST_BATCH_SHARE:
            return
        if batch.snapshot is not None or batch.reset_index is not None:
            # The log is replaced as a whole, by a rename: only the first file may be there.
            self.apply_synced(PersistBatch(hard_state=batch.hard_state))
            return
        count = self._random.randint(0, len(batch.entries))
        self.apply_synced(PersistBatch(hard_state=batch.hard_state, entries=batch.entries[:count]))
