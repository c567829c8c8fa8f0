"""Benchmark of consensus: commits per second of three cores in memory, and synced appends."""

from __future__ import annotations

import os
import tempfile
import time
from pathlib import Path
from random import Random

from bench.harness import Figure
from jasperwalk.consensus.config import InitialMember, RaftConfig
from jasperwalk.consensus.core import RaftNode
from jasperwalk.consensus.durable import DurableState, PersistBatch
from jasperwalk.consensus.entries import EntryKind, LogEntry
from jasperwalk.consensus.outcomes import Proposed
from jasperwalk.consensus.storage import FileStorage

COMMAND = b"x" * 200
COMMITS = 20_000
PROPOSALS_PER_ROUND = 64
BATCH_SIZES = (1, 16, 128)
SECONDS_PER_SIZE = 2.0


def measure() -> list[Figure]:
    """Measure the core alone, and the storage against a bare write and fsync."""
    baseline = _bare_commits()
    figures = [
        _measure_commits("consensus.commits.1-at-a-time", 1, baseline),
        _measure_commits("consensus.commits.64-at-a-time", PROPOSALS_PER_ROUND, baseline),
    ]
    return figures + [_measure_storage(size) for size in BATCH_SIZES]


def _bare_commits() -> float:
    """Return commits per second of three plain lists that store entries and count the copies."""
    logs: list[list[LogEntry]] = [[], [], []]
    started = time.perf_counter()
    for index in range(COMMITS):
        entry = LogEntry(index, 1, EntryKind.COMMAND, COMMAND)
        for log in logs:
            log.append(entry)
        held = sum(1 for log in logs if len(log) > index)
        assert held == len(logs)
    return COMMITS / (time.perf_counter() - started)


def _measure_commits(name: str, at_a_time: int, baseline: float) -> Figure:
    """Run three cores in one process; messages are passed as objects, disk writes cost nothing."""
    ids = (1, 2, 3)
    config = RaftConfig(tuple(InitialMember(one) for one in ids))
    nodes = {one: RaftNode(config, DurableState(one, f"d{one}"), Random(one), 0.0) for one in ids}
    now = 0.0
    while not any(node.is_leader for node in nodes.values()):
        now += 0.05
        _exchange(nodes, now)
    leader = next(node for node in nodes.values() if node.is_leader)
    started = time.perf_counter()
    proposed = 0
    while leader.commit_index < COMMITS:
        for _ in range(at_a_time):
            proposed += isinstance(leader.propose(COMMAND, now), Proposed)
        now += 0.0001
        _exchange(nodes, now)
    elapsed = time.perf_counter() - started
    return Figure(name, proposed / elapsed, "commits/s", baseline, "three bare lists")


def _exchange(nodes: dict[int, RaftNode], now: float) -> None:
    """Tick all nodes and deliver messages until there are none."""
    for node in nodes.values():
        node.tick(now)
    busy = True
    while busy:
        busy = False
        for sender, node in nodes.items():
            ready = node.ready()
            if ready.is_empty():
                continue
            busy = True
            if ready.persist is not None:
                node.persisted()
            for outgoing in ready.messages:
                nodes[outgoing.to].receive(sender, outgoing.message, now)


def _measure_storage(batch_size: int) -> Figure:
    """Append batches through the storage, and the same bytes directly, in alternation."""
    with tempfile.TemporaryDirectory() as folder:
        storage = FileStorage(Path(folder) / "data", "bench", 1, "disk")
        storage.load()
        bare = os.open(Path(folder) / "bare", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        stored_seconds = bare_seconds = 0.0
        index = 0
        while stored_seconds < SECONDS_PER_SIZE:
            entries = [
                LogEntry(index + one, 1, EntryKind.COMMAND, COMMAND)
                for one in range(1, batch_size + 1)
            ]
            index += batch_size
            before = time.perf_counter()
            storage.persist(PersistBatch(entries=entries))
            between = time.perf_counter()
            os.write(bare, COMMAND * batch_size)
            os.fsync(bare)
            stored_seconds += between - before
            bare_seconds += time.perf_counter() - between
        os.close(bare)
        storage.close()
    name = f"consensus.storage.synced-batches-of-{batch_size}"
    baseline = index / bare_seconds
    return Figure(name, index / stored_seconds, "entries/s", baseline, "bare write and fsync")
