"""Model of racing operators on virtual time: orders for zones, leader changes, delayed copies.

The product's consensus core, state machine and guard run in it, on the simulated network of the
consensus tests. An operator sends an order to any replica, is redirected to the leader, waits a
second, closes the connection, and sends the order again elsewhere. An earlier copy may still
arrive seconds later, and the close shortly after it. The same seed gives the same race.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random

from jasperwalk.addresses import Endpoint
from jasperwalk.consensus.outcomes import Proposed
from jasperwalk.control.fleet.stale_orders import Leadership, StaleOrderGuard, ZoneOrder
from jasperwalk.control.fleet.versioned_state import (
    OrderZone,
    PutConfiguration,
    VersionedState,
    encode_command,
)
from jasperwalk.flows.routes import FlowRoute, RouteBackend
from tests.consensus.conftest import TICK_SECONDS, SimulatedCluster

REPEAT_SECONDS = 6.0
ANSWER_TIMEOUT_SECONDS = 1.0
MAX_COPY_DELAY_SECONDS = 5.0
MAX_CLOSE_DELAY_SECONDS = 0.25
"""Maximum time between the arrival of a delayed copy and that of its sender's close."""
ZONES = ("a", "b")
ORDERS_PER_OPERATOR = 6
RACE_SECONDS = 40.0
ROUTES = [FlowRoute("r", Endpoint("198.18.0.1", 443), [RouteBackend("web", 1.0)])]


@dataclass
class Attempt:
    """One sending of an order: when its connection closes, and whether it was acknowledged."""

    closes_at: float = float("inf")
    acknowledged: bool = False


@dataclass
class Node:
    """What a replica keeps in addition to its log."""

    guard: StaleOrderGuard
    state: VersionedState = field(default_factory=VersionedState)
    applied: int = 0
    term: int = 0
    leads_since: float = 0.0


class Race:
    """One race; `violations` lists acknowledged orders that were lost or reversed."""

    def __init__(self, seed):
        self.cluster = SimulatedCluster(seed, 3)
        self.random = Random(f"operators {seed}")
        self.queue, self.number = [], 0
        self.nodes = {each: Node(StaleOrderGuard(REPEAT_SECONDS)) for each in self.cluster.replicas}
        self.violations = []
        self.acknowledged = dict.fromkeys(ZONES)
        """Each zone's newest acknowledged order, None while a newer one is not acknowledged yet."""
        self.counts = {"orders": 0, "paused": 0, "late": 0}

    @property
    def now(self):
        return self.cluster.now

    def schedule(self, delay, action):
        self.number += 1
        heapq.heappush(self.queue, (self.now + delay, self.number, action))

    def play(self):
        self.cluster.await_leader()
        for zone in ZONES:
            self.schedule(
                self.random.uniform(0, 2), lambda one=zone: self.start_order(one, True, 0)
            )
        self.schedule(1.0, lambda: self.configure(1))
        for _ in range(self.random.randint(1, 4)):
            self.schedule(self.random.uniform(1, RACE_SECONDS * 0.8), self.inject_fault)
        end = self.now + RACE_SECONDS
        while self.now < end:
            self.step()
        self.cluster.cuts.clear()
        for replica in self.cluster.replicas.values():
            if replica.node is None:
                replica.start()
        self.cluster.run(8.0)
        self.check_end()
        return self

    def step(self):
        self.cluster.step()
        for replica_id, node in self.nodes.items():
            self.follow(replica_id, node)
        while self.queue and self.queue[0][0] <= self.now:
            heapq.heappop(self.queue)[2]()

    def follow(self, replica_id, node):
        """Apply committed entries, and record when a term starts."""
        replica = self.cluster.replicas[replica_id]
        if len(replica.applied) < node.applied or replica.node is None:
            node.state, node.applied, node.guard = (
                VersionedState(),
                0,
                StaleOrderGuard(REPEAT_SECONDS),
            )
            node.term = 0
        for data in replica.applied[node.applied :]:
            node.state.apply(data)
        node.applied = len(replica.applied)
        if is_settled(replica) and node.term != replica.node.term:
            node.term, node.leads_since = replica.node.term, self.now

    def inject_fault(self):
        """Kill a replica, or cut it off, for a while: usually the leader."""
        leader = self.cluster.leader()
        ids = sorted(self.cluster.replicas)
        is_leader_hit = leader is not None and self.random.random() < 0.7
        hit = leader.disk.replica_id if is_leader_hit else self.random.choice(ids)
        if self.random.random() < 0.5:
            self.cluster.kill(hit)
            self.schedule(self.random.uniform(0.2, 4.0), self.cluster.replicas[hit].start)
        else:
            self.cluster.cut({hit})
            self.schedule(self.random.uniform(0.2, 4.0), self.cluster.cuts.clear)

    # Operators

    def start_order(self, zone, drained, number):
        """Send an order until it is acknowledged or the operator has repeated it long enough."""
        self.acknowledged[zone] = None
        self.counts["orders"] += 1
        self.attempt(zone, drained, number, self.now)

    def attempt(self, zone, drained, number, started_at):
        attempt = Attempt()
        self.send(zone, drained, attempt)
        self.schedule(
            ANSWER_TIMEOUT_SECONDS,
            lambda: self.on_answer_timeout(zone, drained, number, started_at, attempt),
        )

    def on_answer_timeout(self, zone, drained, number, started_at, attempt):
        if attempt.acknowledged:
            self.record_acknowledged(zone, drained)
        elif self.now - started_at < REPEAT_SECONDS:
            pause = self.random.uniform(0.05, 0.3)
            attempt.closes_at = self.now
            self.schedule(pause, lambda: self.attempt(zone, drained, number, started_at))
            return
        attempt.closes_at = self.now
        if number + 1 < ORDERS_PER_OPERATOR:
            pause = self.random.choice((0.05, 0.5, 3.0))
            self.schedule(pause, lambda: self.start_order(zone, not drained, number + 1))

    def send(self, zone, drained, attempt):
        """Send one copy: usually at once, sometimes so late that its sender has closed."""
        delay = self.random.uniform(0.001, 0.02)
        if self.random.random() < 0.25:
            delay = self.random.uniform(0.5, MAX_COPY_DELAY_SECONDS)
            self.counts["late"] += 1
        close_delay = self.random.uniform(0.0, MAX_CLOSE_DELAY_SECONDS)
        replica_id = self.random.choice(sorted(self.nodes))
        arrival = [0.0]

        def waits():
            closed_at = max(attempt.closes_at, arrival[0]) + close_delay
            return self.now < closed_at

        def arrive():
            arrival[0] = self.now
            leader = self.leader_known_to(replica_id)
            if leader == replica_id or (leader is not None and self.now < attempt.closes_at):
                self.arrive(leader, ZoneOrder(zone, drained, None, self.now), attempt, waits)

        self.schedule(delay, arrive)

    def leader_known_to(self, replica_id):
        node = self.cluster.replicas[replica_id].node
        if node is None:
            return None
        return replica_id if node.is_leader else node.leader_id

    # How a replica handles an order: the same steps as in `ZoneOrders`

    def arrive(self, replica_id, order, attempt, waits):
        if not self.leads(replica_id):
            return
        node = self.nodes[replica_id]
        pause = node.guard.pause_seconds(
            self.held(node, order), self.leadership(replica_id), self.now
        )
        if pause:
            self.counts["paused"] += 1
        self.schedule(pause, lambda: self.admit(replica_id, order, attempt, waits))

    def admit(self, replica_id, order, attempt, waits):
        if not self.leads(replica_id):
            return
        node, replica = self.nodes[replica_id], self.cluster.replicas[replica_id]
        order = self.held(node, order)
        refusal = node.guard.admit(order, self.leadership(replica_id), waits(), self.now)
        if refusal is not None:
            return
        command = encode_command(OrderZone(order.zone, order.drained))
        proposed = replica.node.propose(command, self.now)
        replica.process_ready()
        if isinstance(proposed, Proposed):
            self.await_commit(replica_id, proposed, attempt)

    def await_commit(self, replica_id, proposed, attempt):
        entry = self.cluster.committed.get(proposed.index)
        replica = self.cluster.replicas[replica_id]
        if entry is None or replica.applied_index < proposed.index:
            if replica.node is not None and self.now < attempt.closes_at:
                self.schedule(
                    TICK_SECONDS, lambda: self.await_commit(replica_id, proposed, attempt)
                )
        elif entry.term == proposed.term and self.random.random() > 0.15:
            # The other acknowledgements are lost in the network.
            attempt.acknowledged = True

    def leads(self, replica_id):
        node = self.cluster.replicas[replica_id].node
        return node is not None and node.is_leader

    def leadership(self, replica_id):
        replica, node = self.cluster.replicas[replica_id], self.nodes[replica_id]
        term = replica.node.term
        since = node.leads_since if node.term == term else self.now
        return Leadership(term, is_settled(replica), since)

    def held(self, node, order):
        held = node.state.zones.drained.get(order.zone)
        return ZoneOrder(order.zone, order.drained, held, order.arrived_at)

    def configure(self, version):
        """Another operator sends configurations meanwhile."""
        leader = self.cluster.leader()
        if leader is not None:
            command = PutConfiguration(version, b"text", ROUTES)
            leader.node.propose(encode_command(command), self.now)
            leader.process_ready()
        self.schedule(self.random.uniform(0.5, 2.0), lambda: self.configure(version + 1))

    # Checks

    def record_acknowledged(self, zone, drained):
        self.acknowledged[zone] = drained
        for delay in (0.5, 2.0):
            self.schedule(delay, lambda: self.check(zone, drained))

    def check(self, zone, drained):
        """While no newer order is sent, a settled leader holds the acknowledged one."""
        leader = self.cluster.leader()
        is_last = self.acknowledged[zone] is not None and self.acknowledged[zone] == drained
        if leader is None or not is_last or not is_settled(leader):
            return
        self.compare(zone, drained, self.nodes[leader.disk.replica_id].state)

    def check_end(self):
        leader = self.cluster.await_leader()
        node = self.nodes[leader.disk.replica_id]
        self.follow(leader.disk.replica_id, node)
        for zone, drained in self.acknowledged.items():
            if drained is not None:
                self.compare(zone, drained, node.state)

    def compare(self, zone, drained, state):
        if state.zones.drained.get(zone) != drained:
            self.violations.append(f"{self.now:.2f} s: zone {zone} is not drained={drained}")


def is_settled(replica):
    """Return whether a replica leads and has applied all that was committed before its term."""
    if replica.node is None or replica.node.first_index_of_leadership is None:
        return False
    return replica.applied_index >= replica.node.first_index_of_leadership


def play(seed):
    return Race(seed).play()
