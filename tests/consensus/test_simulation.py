"""Safety properties of Raft under random faults; a failure names its seed."""

from __future__ import annotations

import pytest

from jasperwalk.consensus.members import AddLearner, PromoteLearner, RemoveReplica
from jasperwalk.consensus.outcomes import Proposed

SEEDS = range(1, 25)
ROUNDS = 80


def is_caught_up(cluster) -> bool:
    """Tell whether all replicas hold all that was committed."""
    newest = max(cluster.committed, default=0)
    return all(one.applied_index >= newest for one in cluster.replicas.values())


def inject_fault(cluster) -> None:
    """Start or end one random fault."""
    fault = cluster.random.randrange(7)
    victim = cluster.random.choice(sorted(cluster.replicas))
    if fault == 0:
        cluster.kill(victim)
    elif fault == 1:
        others = sorted(set(cluster.replicas) - {victim})
        cluster.cut({victim, cluster.random.choice(others)})
    elif fault == 6:
        leader = cluster.leader()
        if leader is not None:
            leader.node.transfer_leadership(cluster.now)
            leader.process_ready()
    elif fault == 2:
        # A one-way cut: the victim receives nothing, but its messages arrive.
        cluster.cuts |= {(other, victim) for other in cluster.replicas}
    else:
        cluster.cuts.clear()
        restart_all(cluster)


def restart_all(cluster) -> None:
    """Start every replica that is down."""
    for replica in cluster.replicas.values():
        if replica.node is None:
            replica.start()


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("seed", SEEDS)
def test_random_faults_break_no_safety_property(make_cluster, size, seed):
    cluster = make_cluster(seed, size)
    cluster.slow_sync = 0.2
    cluster.faults.loss = 0.05
    cluster.faults.duplication = 0.05
    cluster.faults.max_delay_seconds = 0.2
    proposed: dict[int, tuple[int, bytes]] = {}
    for round_number in range(ROUNDS):
        for replica in cluster.replicas.values():
            replica.snapshot_every = 10
            if replica.node is None:
                continue
            command = b"%d-%d" % (replica.disk.replica_id, round_number)
            outcome = replica.node.propose(command, cluster.now)
            if isinstance(outcome, Proposed):
                proposed[outcome.index] = (outcome.term, command)
        cluster.run(0.4)
        inject_fault(cluster)
        cluster.check_logs_match()
    acknowledged = [
        command
        for index, (term, command) in proposed.items()
        if index in cluster.committed and cluster.committed[index].term == term
    ]
    cluster.cuts.clear()
    cluster.faults.loss = 0.0
    restart_all(cluster)
    cluster.commit(b"last")
    cluster.run_until(lambda: is_caught_up(cluster))
    cluster.check_logs_match()
    cluster.check_nothing_lost([*acknowledged, b"last"])
    assert len(acknowledged) > 5, f"seed {seed}: the run committed almost nothing"


class Operator:
    """Replaces a wiped replica under a new ID, step by step, whatever the faults."""

    def __init__(self, cluster) -> None:
        self.cluster = cluster
        self.lost: int | None = None
        self.new = 0
        self.next_id = cluster.size + 1

    def wipe(self, victim: int) -> None:
        """Wipe a voter's disk; it comes back empty under its old ID."""
        self.cluster.add(victim)
        self.lost = victim
        self.new = self.next_id
        self.next_id += 1
        self.cluster.add(self.new)

    def step(self) -> None:
        """Propose the next change of members; the leader may refuse it."""
        leader = self.cluster.leader()
        if leader is None or self.lost is None:
            return
        node = leader.node
        member = node.membership.find(self.new)
        if node.membership.find(self.lost) is not None:
            change = RemoveReplica(self.lost)
        elif member is None:
            change = AddLearner(self.new)
        else:
            change = PromoteLearner(self.new)
        if member is not None and member.voting:
            self.finish(node)
            return
        node.propose_membership(change, self.cluster.now)
        leader.process_ready()

    def finish(self, node) -> None:
        """Shut the lost replica down once the last change is committed."""
        if node.membership == node.committed_membership:
            del self.cluster.replicas[self.lost]
            self.lost = None


@pytest.mark.parametrize("seed", SEEDS)
def test_wiped_replicas_are_replaced_under_faults_and_nothing_is_lost(make_cluster, seed):
    cluster = make_cluster(seed, 3)
    cluster.commit(b"first")
    cluster.slow_sync = 0.2
    cluster.faults.loss = 0.05
    cluster.faults.duplication = 0.05
    cluster.faults.max_delay_seconds = 0.2
    operator = Operator(cluster)
    acknowledged = [b"first"]
    repairs = 0
    for round_number in range(ROUNDS):
        for replica in cluster.replicas.values():
            replica.snapshot_every = 7
        command = b"%d" % round_number
        leader = cluster.leader()
        if leader is not None:
            leader.node.propose(command, cluster.now)
        cluster.run(0.4)
        if any(entry.data == command for entry in cluster.committed.values()):
            acknowledged.append(command)
        if operator.lost is None:
            inject_fault(cluster)
            if cluster.random.random() < 0.3:
                repairs += 1
                operator.wipe(cluster.random.choice(sorted(cluster.replicas)))
        else:
            cluster.cuts.clear()
            restart_all(cluster)
            operator.step()
    cluster.cuts.clear()
    restart_all(cluster)
    while operator.lost is not None:
        operator.step()
        cluster.run(0.4)
        assert cluster.now < 200.0, f"seed {seed}: the repair does not end"
    cluster.commit(b"last")
    cluster.run_until(lambda: is_caught_up(cluster))
    cluster.check_nothing_lost([*acknowledged, b"last"])
    assert repairs > 2, f"seed {seed}: almost nothing was repaired"
