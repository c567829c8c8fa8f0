"""Applying the log beside what takes long: order, and an event loop that goes on."""

import asyncio
import threading
from types import SimpleNamespace

import pytest

from jasperwalk.consensus.durable import SnapshotData
from jasperwalk.consensus.entries import EMPTY_MEMBERSHIP, EntryKind, LogEntry
from jasperwalk.control import state_applier
from jasperwalk.control.state.commands import ApplyTemplate, RemoveTenant, encode_command
from jasperwalk.control.state.frozen_state import FrozenState
from jasperwalk.control.state.machine import ControlState
from jasperwalk.control.state.state_image import MalformedState

LIMIT_SECONDS = 20.0


def entry(index, command):
    return LogEntry(index=index, term=1, kind=EntryKind.COMMAND, data=encode_command(command))


def removal(index):
    return entry(index, RemoveTenant(f"change-{index}", None, "nobody"))


def snapshot(index, state):
    return SnapshotData(index=index, term=1, membership=EMPTY_MEMBERSHIP, state=state)


class RunningApplier:
    """An applier that runs, and what it told its listener."""

    def __init__(self, snapshot_interval_entries=1_000_000):
        self.notifications, self.snapshots = [], []
        listener = SimpleNamespace(
            entry_applied=lambda applied: self.notifications.append(applied.index),
            batch_applied=lambda: None,
            state_replaced=lambda: self.notifications.append("replaced"),
        )
        self.applier = state_applier.StateApplier(
            listener, snapshot_interval_entries, lambda *taken: self.snapshots.append(taken)
        )

    async def __aenter__(self):
        self.task = asyncio.create_task(self.applier.run())
        return self

    async def __aexit__(self, *_failure):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.applier.close()


@pytest.fixture
def blocked(monkeypatch):
    """Make serialising, restoring and planning wait until `release` is set (from the loop)."""
    release, started = threading.Event(), threading.Event()

    def wait_first(work):
        def waiting(*arguments):
            started.set()
            assert release.wait(LIMIT_SECONDS)
            return work(*arguments)

        return waiting

    background_plan = ControlState.background_plan

    def blocked_plan(state, index, data):
        job = background_plan(state, index, data)
        return job and wait_first(job)

    monkeypatch.setattr(ControlState, "long_plan", blocked_plan)
    monkeypatch.setattr(FrozenState, "serialise", wait_first(FrozenState.serialise))
    monkeypatch.setattr(state_applier, "_restore", wait_first(state_applier._restore))
    return SimpleNamespace(release=release, started=started)


async def until(condition):
    async with asyncio.timeout(LIMIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.001)


def test_slow_work_keeps_the_order_and_does_not_block_the_loop(blocked):
    source = ControlState()
    source.apply(3, RemoveTenant("earlier", None, "nobody"))
    restored = source.freeze()
    blocked.release.set()
    data = restored.serialise()
    blocked.release.clear()
    blocked.started.clear()

    async def scenario():
        async with RunningApplier() as running:
            running.applier.submit_snapshot(snapshot(4, data))
            running.applier.submit([removal(5), entry(6, ApplyTemplate("t", None, "broken"))])
            running.applier.submit([removal(7)])
            await until(blocked.started.is_set)
            assert running.notifications == []
            blocked.release.set()
            await until(lambda: len(running.notifications) == 4)
            assert running.notifications == ["replaced", 5, 6, 7]
            assert running.applier.state.outcome_of("earlier") is not None

    asyncio.run(scenario())


def test_entries_are_applied_while_a_snapshot_is_encoded(blocked):
    async def scenario():
        async with RunningApplier(snapshot_interval_entries=2) as running:
            running.applier.submit([removal(1), removal(2)])
            await until(blocked.started.is_set)
            running.applier.submit([removal(3), removal(4), removal(5)])
            await until(lambda: running.notifications == [1, 2, 3, 4, 5])
            assert running.snapshots == []
            blocked.release.set()
            await until(lambda: running.snapshots)
            index, data = running.snapshots[0]
            state = ControlState.restore(data)
            assert (index, state.last_index) == (2, 2)
            assert state.outcome_of("change-3") is None

    asyncio.run(scenario())


def test_a_malformed_snapshot_ends_the_run():
    async def scenario():
        async with RunningApplier() as running:
            running.applier.submit_snapshot(snapshot(4, b"no state"))
            with pytest.raises(MalformedState):
                async with asyncio.timeout(LIMIT_SECONDS):
                    await running.task

    asyncio.run(scenario())
