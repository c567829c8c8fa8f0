"""A seeded simulated network of real Raft cores, on disks that lose what was not synced."""

from __future__ import annotations

import copy
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import pytest

from jasperwalk.consensus.config import InitialMember, RaftConfig
from jasperwalk.consensus.core import RaftNode
from jasperwalk.consensus.durable import DurableState, PersistBatch
from jasperwalk.consensus.entries import EntryKind, LogEntry
from jasperwalk.consensus.messages import RaftMessage, VoteReply
from jasperwalk.consensus.outcomes import Ready

TICK_SECONDS = 0.02


@dataclass
class Faults:
    """Faults of the network; probabilities for one message."""

    loss: float = 0.0
    duplication: float = 0.0
    max_delay_seconds: float = 0.01


class Replica:
    """A runner: a core, its disk and a state machine that is the list of applied commands."""

    def __init__(self, cluster: SimulatedCluster, replica_id: int, disk_id: str) -> None:
        self.cluster = cluster
        self.disk = DurableState(replica_id=replica_id, disk_id=disk_id, fresh=True)
        self.unsynced: Ready | None = None
        self.node: RaftNode | None = None
        self.applied: list[bytes] = []
        self.applied_index = 0
        self.snapshot_every = 0

    def start(self) -> None:
        durable = copy.deepcopy(self.disk)
        durable.reconcile()
        self.applied = []
        self.applied_index = 0
        self.unsynced = None
        if durable.snapshot is not None:
            self.restore(durable.snapshot.index, durable.snapshot.state)
        cluster = self.cluster
        self.node = RaftNode(cluster.config, durable, Random(cluster.random.random()), cluster.now)

    def restore(self, index: int, state: bytes) -> None:
        self.applied = state.split(b"|") if state else []
        self.applied_index = index

    def process_ready(self) -> None:
        """Run the loop that `core` prescribes; a sync may last until a later tick."""
        while self.node is not None and self.unsynced is None:
            ready = self.node.ready()
            if ready.is_empty():
                return
            if ready.persist is not None and self.cluster.random.random() < self.cluster.slow_sync:
                self.unsynced = ready
                return
            self.finish(ready)

    def finish(self, ready: Ready) -> None:
        assert self.node is not None
        if ready.persist is not None:
            self.sync(ready.persist)
            self.node.persisted()
        for outgoing in ready.messages:
            self.cluster.send(self.disk.replica_id, outgoing.to, outgoing.message)
        if ready.install_snapshot is not None:
            self.restore(ready.install_snapshot.index, ready.install_snapshot.state)
        for entry in ready.committed:
            self.apply(entry)

    def sync(self, batch: PersistBatch) -> None:
        self.disk.apply(batch)

    def finish_sync(self) -> None:
        ready, self.unsynced = self.unsynced, None
        if ready is not None:
            self.finish(ready)

    def apply(self, entry: LogEntry) -> None:
        assert entry.index == self.applied_index + 1
        self.cluster.check_committed(entry)
        self.applied_index = entry.index
        if entry.kind is EntryKind.COMMAND:
            self.applied.append(entry.data)
        if self.snapshot_every and entry.index % self.snapshot_every == 0 and self.node:
            self.node.take_snapshot(entry.index, b"|".join(self.applied))


@dataclass
class SimulatedCluster:
    """Replicas, the network between them, and the invariants that must always hold."""

    seed: int
    size: int
    config: RaftConfig = field(init=False)
    now: float = 0.0
    slow_sync: float = 0.0
    faults: Faults = field(default_factory=Faults)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        initial = tuple(InitialMember(replica_id) for replica_id in range(1, self.size + 1))
        self.config = RaftConfig(
            initial,
            max_batch_entries=4,
            max_in_flight_entries=16,
            max_pending_entries=64,
            snapshot_chunk_bytes=64,
            trailing_entries=4,
            promotion_lag_entries=2,
        )
        self.replicas: dict[int, Replica] = {}
        self.cuts: set[tuple[int, int]] = set()
        self.queue: list[tuple[float, int, int, int, RaftMessage]] = []
        self.counter = itertools.count()
        self.committed: dict[int, LogEntry] = {}
        self.leaders: dict[int, tuple[int, str]] = {}
        self.granted_by: set[str] = set()
        for member in initial:
            self.add(member.replica_id)

    def add(self, replica_id: int) -> Replica:
        replica = Replica(self, replica_id, f"disk-{replica_id}-{next(self.counter)}")
        self.replicas[replica_id] = replica
        replica.start()
        return replica

    def kill(self, replica_id: int) -> None:
        self.replicas[replica_id].node = None
        self.replicas[replica_id].unsynced = None

    def cut(self, *groups: set[int]) -> None:
        everyone = set(self.replicas)
        for group in groups:
            self.cuts |= {(a, b) for a in group for b in everyone - group}
            self.cuts |= {(b, a) for a in group for b in everyone - group}

    def send(self, sender: int, to: int, message: RaftMessage) -> None:
        if isinstance(message, VoteReply) and message.granted:
            self.granted_by.add(message.disk_id)
        copies = 1 + (self.random.random() < self.faults.duplication)
        for _ in range(copies):
            delay = self.random.random() * self.faults.max_delay_seconds
            if self.random.random() >= self.faults.loss:
                item = (self.now + delay, next(self.counter), sender, to, message)
                heapq.heappush(self.queue, item)

    def step(self) -> None:
        """Advance by one tick: deliver what is due, run timers, finish slow syncs."""
        self.now += TICK_SECONDS
        while self.queue and self.queue[0][0] <= self.now:
            _, _, sender, to, message = heapq.heappop(self.queue)
            receiver = self.replicas.get(to)
            if receiver is None or receiver.node is None or (sender, to) in self.cuts:
                continue
            receiver.node.receive(sender, message, self.now)
            receiver.process_ready()
        for replica in list(self.replicas.values()):
            if replica.node is not None:
                replica.finish_sync()
                replica.node.tick(self.now)
                replica.process_ready()
                self.check_leader(replica)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_SECONDS)):
            self.step()

    def run_until(self, condition: Callable[[], bool], seconds: float = 30.0) -> None:
        end = self.now + seconds
        while not condition():
            assert self.now < end, f"seed {self.seed}: not reached within {seconds} s"
            self.step()

    def leader(self, among: set[int] | None = None) -> Replica | None:
        """Return the leader of the highest term, of a subset if given."""
        nodes = [
            replica
            for replica_id, replica in self.replicas.items()
            if replica.node is not None and replica.node.is_leader
            if among is None or replica_id in among
        ]
        return max(nodes, key=lambda one: one.node.term if one.node else 0, default=None)

    def await_leader(self, among: set[int] | None = None) -> Replica:
        self.run_until(lambda: self.leader(among) is not None)
        leader = self.leader(among)
        assert leader is not None
        return leader

    def commit(self, command: bytes, among: set[int] | None = None) -> None:
        """Propose until the command is applied on a leader."""

        def is_applied() -> bool:
            leader = self.leader(among)
            return leader is not None and command in leader.applied

        while not is_applied():
            leader = self.await_leader(among)
            assert leader.node is not None
            leader.node.propose(command, self.now)
            leader.process_ready()
            self.run(0.5)

    # Invariants

    def check_leader(self, replica: Replica) -> None:
        """Election safety: one leader a term."""
        node = replica.node
        if node is not None and node.is_leader:
            found = self.leaders.setdefault(node.term, (node.replica_id, replica.disk.disk_id))
            assert found == (node.replica_id, replica.disk.disk_id), f"seed {self.seed}"

    def check_committed(self, entry: LogEntry) -> None:
        """State machine safety: no two replicas apply different entries at an index."""
        assert self.committed.setdefault(entry.index, entry) == entry, f"seed {self.seed}"

    def check_logs_match(self) -> None:
        """Log matching: equal index and term mean equal entries and equal predecessors."""
        logs = [{e.index: e for e in one.disk.entries} for one in self.replicas.values()]
        for one, other in itertools.combinations(logs, 2):
            common = sorted(set(one) & set(other))
            agreeing = [index for index in common if one[index].term == other[index].term]
            for index in [i for i in common if agreeing and i <= agreeing[-1]]:
                assert one[index] == other[index], f"seed {self.seed}: index {index}"

    def check_nothing_lost(self, acknowledged: list[bytes]) -> None:
        """Leader completeness: every acknowledged command is in every live state machine."""
        for replica in self.replicas.values():
            if replica.node is not None:
                missing = set(acknowledged) - set(replica.applied)
                assert not missing, f"seed {self.seed}: replica {replica.disk.replica_id}"


@pytest.fixture
def make_cluster() -> Callable[[int, int], SimulatedCluster]:
    """Return the constructor of a simulated cluster: (seed, number of replicas)."""
    return SimulatedCluster
