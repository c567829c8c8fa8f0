"""The sans-IO core of a subscriber: follows one replica at a time.

It keeps a copy of the table whose revision never decreases, also when it changes replicas,
reconnects, or follows a replica that is behind. It leaves a replica that is silent, that has lost
its quorum, or that stays behind the revision of this copy.
"""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Sequence

from jasperwalk.addresses import Endpoint
from jasperwalk.distribution.follower_events import (
    REPLACED_KIND,
    Connect,
    Disconnect,
    FollowerConfig,
    FollowerEffect,
    LeaveReason,
    Replaced,
    Send,
    SubscriberFacts,
    TableChanged,
)
from jasperwalk.distribution.follower_table import FollowerTable
from jasperwalk.distribution.replica_choice import ReplicaChoice
from jasperwalk.distribution.replica_contact import ReplicaContact
from jasperwalk.distribution.snapshot_assembly import SnapshotAssembly
from jasperwalk.messages.distribution import (
    Acknowledge,
    Delta,
    FromPublisher,
    Heartbeat,
    Reject,
    ReplicaEndpoints,
    Snapshot,
    Subscribe,
)

MILLISECONDS_PER_SECOND = 1000


class FollowerPhase(enum.Enum):
    """State of a follower's connection to its replica."""

    WAITING = enum.auto()
    CONNECTING = enum.auto()
    FOLLOWING = enum.auto()
    REPLACED = enum.auto()


class FollowerCore:
    """Follows replicas; every method returns the effects that the adapter carries out.

    `healthy` and `open_flows` may be set at any time: the next acknowledgement has them.
    Times are in seconds of one monotonic clock. Raises `ValueError` without replicas.
    """

    def __init__(
        self,
        config: FollowerConfig,
        facts: SubscriberFacts,
        replicas: Sequence[Endpoint],
        random_source: random.Random,
    ) -> None:
        if not replicas:
            raise ValueError("a follower needs at least one replica")
        self.facts = facts
        self.table = FollowerTable()
        self.healthy = True
        self.open_flows = 0
        self.connection_id_generation = 0
        self.stateless_reset_generation = 0
        self.incarnation = 0
        self.replica: Endpoint | None = None
        self.last_leave_reason: LeaveReason | None = None
        self._config = config
        self._choice = ReplicaChoice(
            replicas, config.backoff_base_seconds, config.backoff_cap_seconds, random_source
        )
        self._phase = FollowerPhase.WAITING
        self._phase_since = 0.0
        self._assembly = SnapshotAssembly()
        self._contact = ReplicaContact(config.replica_stale_seconds)
        self._random = random_source
        self._leave_spread_seconds = config.leave_spread_seconds
        self._connect_timeout_seconds = config.connect_timeout_seconds
        self._next_acknowledge = math.inf

    @property
    def phase(self) -> FollowerPhase:
        """State of the connection to the replica."""
        return self._phase

    def fresh(self, now: float) -> bool:
        """Return whether the table was a quorum's newest one within the stale limit."""
        if self._phase is FollowerPhase.REPLACED:
            return False
        return self._contact.freshness_age(now) <= self._config.replica_stale_seconds

    def freshness_age(self, now: float) -> float:
        """Return the seconds since the table was known to be the newest; inf for never."""
        return self._contact.freshness_age(now)

    def next_deadline(self) -> float:
        """Return the time at which `tick` next has something to do."""
        match self._phase:
            case FollowerPhase.WAITING:
                return self._choice.next_available_at()
            case FollowerPhase.CONNECTING:
                return self._phase_since + self._connect_timeout_seconds
            case FollowerPhase.FOLLOWING:
                return min(self._next_acknowledge, self._contact.leave_at())
            case FollowerPhase.REPLACED:
                return math.inf

    def tick(self, now: float) -> list[FollowerEffect]:
        """Do what is due: choose a replica, acknowledge, or leave a replica."""
        match self._phase:
            case FollowerPhase.WAITING:
                return self._try_connecting(now)
            case FollowerPhase.CONNECTING:
                if now >= self._phase_since + self._connect_timeout_seconds:
                    return self._leave(LeaveReason.CONNECT_TIMEOUT, now)
            case FollowerPhase.FOLLOWING:
                return self._tick_following(now)
            case FollowerPhase.REPLACED:
                pass
        return []

    def connected(self, replica: Endpoint, now: float) -> list[FollowerEffect]:
        """Subscribe on the connection to `replica`, which is now open."""
        if self._phase is not FollowerPhase.CONNECTING or replica != self.replica:
            return []
        self._enter(FollowerPhase.FOLLOWING, now)
        grace_seconds = self._random.random() * self._leave_spread_seconds
        self._contact.connected(now, grace_seconds)
        self._next_acknowledge = now + self._config.acknowledge_interval_seconds
        subscribe = Subscribe(
            name=self.facts.name,
            role=self.facts.role,
            zone=self.facts.zone,
            address=self.facts.address,
            boot_id=self.facts.boot_id,
            revision=self.table.revision,
            incarnation=self.incarnation,
        )
        return [Send(message=subscribe)]

    def disconnected(self, now: float) -> list[FollowerEffect]:
        """Back off after the connection, or the attempt to open one, ended by itself."""
        if self._phase in (FollowerPhase.CONNECTING, FollowerPhase.FOLLOWING):
            self._back_off(now)
        return []

    def message(self, message: FromPublisher, now: float) -> list[FollowerEffect]:
        """Handle one message of the replica."""
        if self._phase is not FollowerPhase.FOLLOWING:
            return []
        if not self._contact.record_message(now):
            # This process was suspended: what waited in the socket may be arbitrarily old, and
            # must not make the resumed process consider its table fresh.
            return self._leave(LeaveReason.SILENT, now)
        return self._handle_message(message, now)

    def _handle_message(self, message: FromPublisher, now: float) -> list[FollowerEffect]:
        match message:
            case Heartbeat():
                return self._heartbeat(message, now)
            case Delta():
                return self._delta(message, now)
            case Snapshot():
                return self._snapshot(message, now)
            case Reject():
                return self._reject(message, now)
            case ReplicaEndpoints():
                self._choice.update_replicas(message.index, message.endpoints)
                return []

    def _try_connecting(self, now: float) -> list[FollowerEffect]:
        replica = self._choice.choose(now)
        if replica is None:
            return []
        self.replica = replica
        factor = self._choice.timeout_factor()
        self._connect_timeout_seconds = factor * self._config.connect_timeout_seconds
        self._enter(FollowerPhase.CONNECTING, now)
        return [Connect(endpoint=replica)]

    def _tick_following(self, now: float) -> list[FollowerEffect]:
        reason = self._contact.reason_to_leave(now)
        if reason is not None:
            return self._leave(reason, now)
        if now >= self._next_acknowledge:
            return [self._acknowledge(now)]
        return []

    def _heartbeat(self, heartbeat: Heartbeat, now: float) -> list[FollowerEffect]:
        self._contact.heartbeat(heartbeat, self.table.revision, now)
        if heartbeat.incarnation > 0:
            self.incarnation = heartbeat.incarnation
        reason = self._contact.reason_to_leave(now)
        if reason is not None:
            return self._leave(reason, now)
        if self.replica is not None and not self._contact.is_behind:
            self._choice.record_served(self.replica)
            self._settle(now)
        return []

    def _settle(self, now: float) -> None:
        """Reset the pauses and the spread once a fresh replica has served for a while."""
        if now - self._phase_since >= self._config.settled_seconds and self.fresh(now):
            self._choice.record_settled()
            self._leave_spread_seconds = self._config.leave_spread_seconds

    def _delta(self, delta: Delta, now: float) -> list[FollowerEffect]:
        # Both checks keep the revision from decreasing. A base below ours is safe, because the
        # delta has the state at `revision` of everything that changed since that base.
        if delta.revision <= self.table.revision:
            return []
        if delta.base_revision > self.table.revision:
            return self._leave(LeaveReason.GAP, now)
        self.table.update(delta.revision, delta.upserts, delta.removals)
        return self._on_table_changed(now)

    def _snapshot(self, snapshot: Snapshot, now: float) -> list[FollowerEffect]:
        if not self._assembly.add(snapshot):
            return self._leave(LeaveReason.BROKEN_SNAPSHOT, now)
        entries = self._assembly.take()
        if entries is None or snapshot.revision < self.table.revision:
            return []
        # A snapshot of the current revision is applied as well: its scope may be a new one.
        self.table.replace(snapshot.revision, entries)
        return self._on_table_changed(now)

    def _on_table_changed(self, now: float) -> list[FollowerEffect]:
        self._contact.record_table(self.table.revision)
        return [TableChanged(revision=self.table.revision), self._acknowledge(now)]

    def _reject(self, reject: Reject, now: float) -> list[FollowerEffect]:
        if reject.kind == REPLACED_KIND:
            self._enter(FollowerPhase.REPLACED, now)
            self.last_leave_reason = LeaveReason.REPLACED
            self.incarnation = 0
            return [Replaced(detail=reject.detail), Disconnect(reason=LeaveReason.REPLACED)]
        wait_seconds = max(0, reject.retry_after_ms) / MILLISECONDS_PER_SECOND
        return self._leave(LeaveReason.REJECTED, now, wait_seconds)

    def _acknowledge(self, now: float) -> Send:
        self._next_acknowledge = now + self._config.acknowledge_interval_seconds
        message = Acknowledge(
            revision=self.table.revision,
            healthy=self.healthy,
            open_flows=self.open_flows,
            connection_id_generation=self.connection_id_generation,
            stateless_reset_generation=self.stateless_reset_generation,
        )
        return Send(message=message)

    def _leave(
        self, reason: LeaveReason, now: float, wait_seconds: float = 0.0
    ) -> list[FollowerEffect]:
        self.last_leave_reason = reason
        spread_seconds = 0.0
        if reason is LeaveReason.SILENT:
            spread_seconds = self._leave_spread_seconds
        if reason in (LeaveReason.SILENT, LeaveReason.STALE_QUORUM):
            doubled = 2 * self._leave_spread_seconds
            self._leave_spread_seconds = min(doubled, self._config.backoff_cap_seconds)
        self._back_off(now, wait_seconds, spread_seconds)
        return [Disconnect(reason=reason)]

    def _back_off(self, now: float, wait_seconds: float = 0.0, spread_seconds: float = 0.0) -> None:
        # Parts of a snapshot cannot be continued on another connection.
        self._assembly.reset()
        if self.replica is not None:
            self._choice.record_failure(self.replica, now, wait_seconds, spread_seconds)
        self.replica = None
        self._enter(FollowerPhase.WAITING, now)

    def _enter(self, phase: FollowerPhase, now: float) -> None:
        self._phase = phase
        self._phase_since = now
