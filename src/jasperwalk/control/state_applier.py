"""Applies the committed log to the state machine without blocking the event loop.

Work that takes long at a region's size (rendering all tenants of a template, serialising the state,
restoring it) runs in worker threads. None of it races with the state: entries are applied one after
the other on the event loop, a template is rendered while nothing changes the state, and a snapshot
is encoded from a copy.
"""

from __future__ import annotations

import asyncio
import gc
from collections import deque
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

from jasperwalk.consensus.durable import SnapshotData
from jasperwalk.consensus.entries import EntryKind, LogEntry
from jasperwalk.control.applied import AppliedEntries, AppliedEntry
from jasperwalk.control.state.frozen_state import FrozenState
from jasperwalk.control.state.machine import ControlState
from jasperwalk.control.state.outcomes import Outcome

WORKER_COUNT = 2
"""One thread for the entries that are applied, one for the snapshot."""

SnapshotTaker = Callable[[int, bytes], None]
"""Receives the index and the bytes of a serialised state."""


class AppliedListener(Protocol):
    """Is notified of the state machine's progress."""

    def entry_applied(self, entry: AppliedEntry[Outcome]) -> None:
        """Handle one applied entry."""

    def batch_applied(self) -> None:
        """Handle the end of a batch of applied entries."""

    def state_replaced(self) -> None:
        """Handle the replacement of the state machine by a snapshot."""


class StateApplier:
    """Owns the state machine; `run` applies submitted work in order.

    A leader's snapshot replaces the object `state`.
    """

    def __init__(
        self,
        listener: AppliedListener,
        snapshot_interval_entries: int,
        take_snapshot: SnapshotTaker | None = None,
    ) -> None:
        self.state = ControlState()
        self.applied: AppliedEntries[Outcome] = AppliedEntries()
        self._listener = listener
        self._snapshot_interval_entries = snapshot_interval_entries
        self._take_snapshot: SnapshotTaker = take_snapshot or _refuse_snapshot
        self._snapshot_index = 0
        self._snapshot_task: asyncio.Task[None] | None = None
        self._waiting: deque[SnapshotData | Sequence[LogEntry]] = deque()
        self._wake = asyncio.Event()
        self._workers = ThreadPoolExecutor(WORKER_COUNT, thread_name_prefix="state")

    def bind(self, take_snapshot: SnapshotTaker) -> None:
        """Set the receiver of serialised states; called once, before anything else."""
        self._take_snapshot = take_snapshot

    def load(self, snapshot: SnapshotData) -> None:
        """Start from a snapshot, before anything runs; raises `MalformedState`."""
        self._replace(snapshot, _restore(snapshot.state))

    def submit_snapshot(self, snapshot: SnapshotData) -> None:
        """Continue from a leader's snapshot, after everything submitted before."""
        self._submit(snapshot)

    def submit(self, entries: Sequence[LogEntry]) -> None:
        """Apply these committed entries, after everything submitted before."""
        if entries:
            self._submit(entries)

    @property
    def applied_index(self) -> int:
        """Index of the newest applied entry."""
        return self.applied.index

    async def run(self) -> None:
        """Apply until cancelled; raises `MalformedState` for a malformed snapshot."""
        while True:
            self._wake.clear()
            while self._waiting:
                await self._process(self._waiting.popleft())
            self._raise_failed_snapshot()
            await self._wake.wait()

    def close(self) -> None:
        """Cancel a running snapshot and wait for the threads."""
        if self._snapshot_task is not None:
            self._snapshot_task.cancel()
        self._workers.shutdown(wait=True, cancel_futures=True)

    def _submit(self, work: SnapshotData | Sequence[LogEntry]) -> None:
        self._waiting.append(work)
        self._wake.set()

    async def _process(self, work: SnapshotData | Sequence[LogEntry]) -> None:
        if isinstance(work, SnapshotData):
            loop = asyncio.get_running_loop()
            state = await loop.run_in_executor(self._workers, _restore, work.state)
            self._replace(work, state)
            self._listener.state_replaced()
            return
        for entry in work:
            outcome = await self._apply(entry) if entry.kind is EntryKind.COMMAND else None
            applied: AppliedEntry[Outcome] = AppliedEntry(
                index=entry.index, term=entry.term, outcome=outcome
            )
            self._listener.entry_applied(applied)
            self.applied.record(applied)
        self._listener.batch_applied()
        self._start_snapshot_when_due()

    async def _apply(self, entry: LogEntry) -> Outcome:
        plan_job = self.state.background_plan(entry.index, entry.data)
        if plan_job is None:
            return self.state.apply_encoded(entry.index, entry.data)
        loop = asyncio.get_running_loop()
        plan = await loop.run_in_executor(self._workers, plan_job)
        return self.state.apply_encoded(entry.index, entry.data, plan)

    def _replace(self, snapshot: SnapshotData, state: ControlState) -> None:
        self.state = state
        self._snapshot_index = snapshot.index
        self.applied.skip_to(snapshot.index)

    def _start_snapshot_when_due(self) -> None:
        index = self.applied.index
        is_running = self._snapshot_task is not None and not self._snapshot_task.done()
        if is_running or index - self._snapshot_index < self._snapshot_interval_entries:
            return
        self._snapshot_index = index
        self._snapshot_task = asyncio.create_task(self._serialise(index, self.state.freeze()))
        self._snapshot_task.add_done_callback(lambda _task: self._wake.set())

    async def _serialise(self, index: int, frozen: FrozenState) -> None:
        loop = asyncio.get_running_loop()
        self._take_snapshot(index, await loop.run_in_executor(self._workers, frozen.serialise))

    def _raise_failed_snapshot(self) -> None:
        task = self._snapshot_task
        if task is not None and task.done() and not task.cancelled():
            task.result()


def _refuse_snapshot(index: int, state: bytes) -> None:
    raise RuntimeError(f"no receiver is set for the state at index {index} ({len(state)} bytes)")


def _restore(data: bytes) -> ControlState:
    """Restore a state; raises `MalformedState`.

    The garbage collector is disabled meanwhile: it would scan the partly built state again and
    again, which stops all threads and frees nothing.
    """
    gc.disable()
    try:
        return ControlState.restore(data)
    finally:
        gc.enable()
