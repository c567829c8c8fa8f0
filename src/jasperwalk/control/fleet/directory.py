"""The directory of nodes on one control replica: all linked nodes of the fleet, by home.

The nodes themselves are the source of truth. Each is linked to one replica, its home, and the
homes notify each other of their nodes; the replicated log holds none of it. Two homes may claim
the same node for a moment, while its old link is not known to be dead: the newest claim counts.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from jasperwalk.addresses import Endpoint
from jasperwalk.control.fleet.messages import HomedNodes, ReplicaHeartbeat
from jasperwalk.fleet.messages import HOSTLESS_PHASES, FleetUpdate, NodeRecord, NodeRole

CLAIM_LIFETIME_SECONDS = 6.0
"""How long a silent replica's claims are kept: its nodes find another home meanwhile."""
LOST_NODE_RETENTION_SECONDS = 5.0
"""How long an agent that left without deregistering is still listed to nodes that connect: it may
only be restarting, and its host holds flows meanwhile."""
OWN_ID = 0
"""Key of this replica's own claims. No replica ID is 0, and this replica's own may change."""


@dataclass(frozen=True)
class LostNode:
    """A node that left without deregistering, and when."""

    record: NodeRecord
    lost_at: float


@dataclass
class HomeClaims:
    """The nodes that one replica reports as linked to it."""

    process_incarnation: int
    sequence: int
    last_contact_at: float
    records: dict[Endpoint, NodeRecord] = field(default_factory=dict)


class NodeDirectory:
    """Merges the claims of all homes; sans-IO, time in seconds is a parameter."""

    def __init__(self, process_incarnation: int) -> None:
        self._process_incarnation = process_incarnation
        self._claims: dict[int, HomeClaims] = {OWN_ID: HomeClaims(process_incarnation, 0, 0.0)}
        self._merged: dict[Endpoint, NodeRecord] = {}
        self._changed: dict[Endpoint, None] = {}
        self._lost: dict[Endpoint, LostNode] = {}

    @property
    def sequence(self) -> int:
        """Number of the changes of this replica's own nodes so far."""
        return self._claims[OWN_ID].sequence

    def announce(self, record: NodeRecord) -> HomedNodes:
        """Record a linked node; return the change for the other replicas."""
        own = self._claims[OWN_ID]
        own.records[record.endpoint] = record
        self._merge(record)
        own.sequence += 1
        return HomedNodes(self._process_incarnation, own.sequence, False, [record], [])

    def unlink(self, record: NodeRecord, now: float) -> HomedNodes | None:
        """Remove a node whose link ended; returns None if a newer process replaced it."""
        own = self._claims[OWN_ID]
        held = own.records.get(record.endpoint)
        if held is None or held.incarnation != record.incarnation:
            return None
        del own.records[record.endpoint]
        self._remove_claim(record.endpoint, held, now)
        own.sequence += 1
        return HomedNodes(self._process_incarnation, own.sequence, False, [], [record.endpoint])

    def own_nodes(self) -> HomedNodes:
        """Return all nodes linked to this replica, for a replica that missed a change."""
        own = self._claims[OWN_ID]
        return HomedNodes(
            self._process_incarnation, own.sequence, True, list(own.records.values()), []
        )

    def on_heartbeat(self, sender: int, heartbeat: ReplicaHeartbeat, now: float) -> bool:
        """Record a replica's heartbeat; return True if its nodes must be requested."""
        claims = self._claims.get(sender)
        if claims is None:
            claims = self._claims[sender] = HomeClaims(0, 0, now)
        claims.last_contact_at = now
        return (claims.process_incarnation, claims.sequence) != (
            heartbeat.process_incarnation,
            heartbeat.sequence,
        )

    def merge_nodes(self, sender: int, update: HomedNodes, now: float) -> bool:
        """Merge another replica's nodes; return True if an earlier change was missed."""
        claims = self._claims.setdefault(sender, HomeClaims(0, 0, now))
        claims.last_contact_at = now
        if not update.is_snapshot:
            if (
                update.process_incarnation != claims.process_incarnation
                or update.sequence != claims.sequence + 1
            ):
                return True
        else:
            listed = {record.endpoint for record in update.records}
            self._remove_claims(
                claims, [each for each in claims.records if each not in listed], now
            )
        claims.process_incarnation = update.process_incarnation
        claims.sequence = update.sequence
        self._remove_claims(claims, update.removed, now)
        for record in update.records:
            if claims.records.get(record.endpoint) != record:
                claims.records[record.endpoint] = record
                self._merge(record)
        return False

    def expire(self, now: float) -> None:
        """Remove the claims of replicas that have been silent for too long, and old lost nodes."""
        for endpoint, lost in list(self._lost.items()):
            if now - lost.lost_at > LOST_NODE_RETENTION_SECONDS:
                del self._lost[endpoint]
        for replica_id, claims in list(self._claims.items()):
            silent = now - claims.last_contact_at > CLAIM_LIFETIME_SECONDS
            if replica_id != OWN_ID and silent:
                del self._claims[replica_id]
                self._remove_claims(claims, list(claims.records), now)

    def _remove_claims(self, claims: HomeClaims, endpoints: Iterable[Endpoint], now: float) -> None:
        for endpoint in endpoints:
            record = claims.records.pop(endpoint, None)
            if record is not None:
                self._remove_claim(endpoint, record, now)

    def _merge(self, record: NodeRecord) -> None:
        self._lost.pop(record.endpoint, None)
        if self._merged.get(record.endpoint) != record:
            self._merged[record.endpoint] = record
            self._changed[record.endpoint] = None

    def _remove_claim(self, endpoint: Endpoint, record: NodeRecord, now: float) -> None:
        """Remove a claim; another home's claim of the same node, if any, takes its place."""
        held = self._merged.get(endpoint)
        if held is None or held.incarnation != record.incarnation:
            return
        for claims in self._claims.values():
            other = claims.records.get(endpoint)
            if other is not None:
                self._merge(other)
                return
        del self._merged[endpoint]
        self._changed[endpoint] = None
        if held.phase not in HOSTLESS_PHASES:
            self._lost[endpoint] = LostNode(held, now)

    def agents(self, now: float) -> FleetUpdate:
        """Return every agent, for a node that connects; recently lost ones also as removed."""
        lost = [each for each in self._lost.values() if each.record.role is NodeRole.AGENT]
        held = [each for each in self._merged.values() if each.role is NodeRole.AGENT]
        return FleetUpdate(
            is_snapshot=True,
            records=[*(each.record for each in lost), *held],
            removed=[each.record.endpoint for each in lost],
            removed_seconds_ago=[now - each.lost_at for each in lost],
        )

    def has_changes(self) -> bool:
        """Return whether any node changed since the last call of `take_changes`."""
        return bool(self._changed)

    def take_changes(self) -> FleetUpdate | None:
        """Return the agents that changed since the last call, None where none did."""
        changed, self._changed = self._changed, {}
        held = [self._merged[each] for each in changed if each in self._merged]
        records = [record for record in held if record.role is NodeRole.AGENT]
        removed = [each for each in changed if each not in self._merged]
        if not records and not removed:
            return None
        return FleetUpdate(is_snapshot=False, records=records, removed=removed)

    def zones(self) -> set[str]:
        """Return the zones of all nodes and of their hosts."""
        records = self._merged.values()
        return {zone for record in records for zone in (record.zone, record.zone_of_host())}

    def counts(self) -> dict[str, int]:
        """Return how many nodes of each role are known, for logs."""
        counts = {role.value: 0 for role in NodeRole}
        for record in self._merged.values():
            counts[record.role] += 1
        return counts
