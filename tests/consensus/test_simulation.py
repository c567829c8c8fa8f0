"""Random faults against the safety properties of Raft; a failure names its seed."""

from __future__ import annotations

import pytest

from jasperwalk.consensus.members import AddLearner, PromoteLearner, RemoveReplica
from jasperwalk.consensus.outcomes import Proposed

SEEDS = range(1, 25)
ROUNDS = 80


def is_caught_up(world) -> bool:
    """Tell whether all replicas hold all that was committed."""
    newest = max(world.committed, default=0)
    return all(one.applied_index >= newest for one in world.replicas.values())


def provoke(world) -> None:
    """Let one random fault begin or end."""
    fault = world.random.randrange(7)
    victim = world.random.choice(sorted(world.replicas))
    if fault == 0:
        world.kill(victim)
    elif fault == 1:
        others = sorted(set(world.replicas) - {victim})
        world.cut({victim, world.random.choice(others)})
    elif fault == 6:
        leader = world.leader()
        if leader is not None:
            leader.node.transfer_leadership(world.now)
            leader.pump()
    elif fault == 2:
        # A one-way cut: the victim hears nobody, but is heard.
        world.cuts |= {(other, victim) for other in world.replicas}
    else:
        world.cuts.clear()
        restart_all(world)


def restart_all(world) -> None:
    """Start every replica that is down."""
    for replica in world.replicas.values():
        if replica.node is None:
            replica.start()


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("seed", SEEDS)
def test_random_faults_break_no_safety_property(make_cluster, size, seed):
    world = make_cluster(seed, size)
    world.slow_sync = 0.2
    world.faults.loss = 0.05
    world.faults.duplication = 0.05
    world.faults.longest_delay_seconds = 0.2
    proposed: dict[int, tuple[int, bytes]] = {}
    for round_number in range(ROUNDS):
        for replica in world.replicas.values():
            replica.snapshot_every = 10
            if replica.node is None:
                continue
            command = b"%d-%d" % (replica.disk.replica_id, round_number)
            outcome = replica.node.propose(command, world.now)
            if isinstance(outcome, Proposed):
                proposed[outcome.index] = (outcome.term, command)
        world.run(0.4)
        provoke(world)
        world.check_logs_match()
    acknowledged = [
        command
        for index, (term, command) in proposed.items()
        if index in world.committed and world.committed[index].term == term
    ]
    world.cuts.clear()
    world.faults.loss = 0.0
    restart_all(world)
    world.commit(b"last")
    world.run_until(lambda: is_caught_up(world))
    world.check_logs_match()
    world.check_nothing_lost([*acknowledged, b"last"])
    assert len(acknowledged) > 5, f"seed {seed}: the run committed next to nothing"


class Operator:
    """Replaces a wiped replica under a new ID, step by step, whatever the faults."""

    def __init__(self, world) -> None:
        self.world = world
        self.lost: int | None = None
        self.new = 0
        self.next_id = world.size + 1

    def wipe(self, victim: int) -> None:
        """Take a voter's disk away; it comes back empty under its old ID."""
        self.world.add(victim)
        self.lost = victim
        self.new = self.next_id
        self.next_id += 1
        self.world.add(self.new)

    def step(self) -> None:
        """Propose the next change of members; the leader may refuse it."""
        leader = self.world.leader()
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
        node.propose_membership(change, self.world.now)
        leader.pump()

    def finish(self, node) -> None:
        """Switch the lost replica off once the whole change is committed."""
        if node.membership == node.committed_membership:
            del self.world.replicas[self.lost]
            self.lost = None


@pytest.mark.parametrize("seed", SEEDS)
def test_wiped_replicas_are_replaced_under_faults_and_nothing_is_lost(make_cluster, seed):
    world = make_cluster(seed, 3)
    world.commit(b"first")
    world.slow_sync = 0.2
    world.faults.loss = 0.05
    world.faults.duplication = 0.05
    world.faults.longest_delay_seconds = 0.2
    operator = Operator(world)
    acknowledged = [b"first"]
    repairs = 0
    for round_number in range(ROUNDS):
        for replica in world.replicas.values():
            replica.snapshot_every = 7
        command = b"%d" % round_number
        leader = world.leader()
        if leader is not None:
            leader.node.propose(command, world.now)
        world.run(0.4)
        if any(entry.data == command for entry in world.committed.values()):
            acknowledged.append(command)
        if operator.lost is None:
            provoke(world)
            if world.random.random() < 0.3:
                repairs += 1
                operator.wipe(world.random.choice(sorted(world.replicas)))
        else:
            world.cuts.clear()
            restart_all(world)
            operator.step()
    world.cuts.clear()
    restart_all(world)
    while operator.lost is not None:
        operator.step()
        world.run(0.4)
        assert world.now < 200.0, f"seed {seed}: the repair does not end"
    world.commit(b"last")
    world.run_until(lambda: is_caught_up(world))
    world.check_nothing_lost([*acknowledged, b"last"])
    assert repairs > 2, f"seed {seed}: next to nothing was repaired"
