"""A control replica: its log, its links to the other replicas, its membership.

A replica ends when its disk fails or when the cluster has removed it; the process then opens
another one (see `process`). The directory of nodes outlives it.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from itertools import chain, repeat
from random import Random

import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk.concurrency import run_together
from jasperwalk.consensus.config import InitialMember, RaftConfig
from jasperwalk.consensus.outcomes import Proposed
from jasperwalk.control.fleet.applier import VersionedApplier
from jasperwalk.control.fleet.autopilot import Autopilot
from jasperwalk.control.fleet.directory import NodeDirectory
from jasperwalk.control.fleet.identity import ReplicaIdentity
from jasperwalk.control.fleet.joining import request_to_join
from jasperwalk.control.fleet.messages import (
    REPLICA_DECODER,
    HomedNodes,
    HomedNodesRequest,
    JoinReply,
    JoinRequest,
    JoinStatus,
    ReplicaAddress,
    ReplicaHeartbeat,
    ReplicaMessage,
)
from jasperwalk.control.peer_links import LinkTimes, PeerNetwork
from jasperwalk.control.peer_messages import LinkAlive, RaftPayload
from jasperwalk.control.raft_runner import RaftRunner, RaftRunnerConfig
from jasperwalk.control.storage_faults import StorageFaults
from jasperwalk.errors import JasperwalkError
from jasperwalk.fleet.messages import CLUSTER_ID

PEER_LINK_TIMES = LinkTimes(
    connect_timeout=0.5, reconnect=0.15, keepalive_interval=0.25, silence_limit=0.9
)
RAFT_HEARTBEAT_SECONDS = 0.12
ELECTION_TIMEOUT_SECONDS = 0.7
FIRST_ELECTION_SECONDS = 0.4
REPLICA_HEARTBEAT_SECONDS = 0.25
"""Interval of the heartbeats that replicas send each other."""
MAX_CONTACT_AGE_SECONDS = 1.0
"""Maximum age of the leader's heartbeat, and of a quorum contact, with which a replica counts as
current: it holds all that was acknowledged."""
STATE_CHECK_SECONDS = 0.05
"""Interval of the check whether leadership, or being current, has changed."""
FIRST_JOIN_PAUSES_SECONDS = (0.1, 0.15, 0.15, 0.15, 0.3)
"""Pauses before the first join requests; short, as a leader is elected soon after a power loss."""
JOIN_INTERVAL_SECONDS = 0.5
AUTOPILOT_INTERVAL_SECONDS = 0.1

logger = structlog.get_logger(__name__)


class ReplicaRemoved(JasperwalkError):
    """The cluster has removed this replica; it has to start again under another ID."""

    kind = "replica-removed"


@dataclass
class LeaderHeartbeat:
    """The last heartbeat of a replica that leads."""

    replica_id: int = 0
    version: int = 0
    zones_revision: int = 0
    received_at: float = float("-inf")


@dataclass(frozen=True)
class ZonesInForce:
    """The revision of drained zones that all nodes of another replica apply, as it reported."""

    revision: int
    received_at: float


class FleetReplica:
    """Runs one replica; `run` ends by cancellation, or with the failure that ended the replica."""

    def __init__(
        self,
        identity: ReplicaIdentity,
        name: str,
        address: Endpoint,
        seeds: list[Endpoint],
        founding: bool,
        directory: NodeDirectory,
        process_incarnation: int,
        random: Random,
        on_change: Callable[[], None],
        own_zones_in_force: Callable[[], int] = lambda: 0,
        storage_faults: StorageFaults | None = None,
    ) -> None:
        """Read the log; raises `StorageError`. `storage_faults` is for failure tests."""
        self._identity = identity
        self._name = name
        self._address = address
        self._seeds = seeds
        self._founding = founding
        self._directory = directory
        self._process_incarnation = process_incarnation
        self._autopilot = Autopilot()
        self._leader_heartbeat = LeaderHeartbeat()
        self._on_change = on_change
        self._own_zones_in_force = own_zones_in_force
        self._zones_in_force: dict[int, ZonesInForce] = {}
        self._leading = False
        self._led_term = 0
        self._leads_since = 0.0
        self._current = False
        self.applier = VersionedApplier(on_change)
        self.network = PeerNetwork(
            name,
            identity.replica_id,
            CLUSTER_ID,
            self._handle_message,
            decoder=REPLICA_DECODER,
            times=PEER_LINK_TIMES,
        )
        self.runner = RaftRunner(
            self._runner_config(), self.network, self.applier, random, storage_faults
        )

    def _runner_config(self) -> RaftRunnerConfig:
        members = tuple(
            InitialMember(replica_id, str(address))
            for replica_id, address in sorted(self._identity.founders.items())
        )
        raft = RaftConfig(
            initial_members=members,
            heartbeat_interval_seconds=RAFT_HEARTBEAT_SECONDS,
            election_timeout_seconds=ELECTION_TIMEOUT_SECONDS,
            first_election_seconds=FIRST_ELECTION_SECONDS,
        )
        return RaftRunnerConfig(
            cluster_id=CLUSTER_ID,
            replica_id=self._identity.replica_id,
            folder=self._identity.folder,
            raft=raft,
            peers=dict(self._identity.founders),
        )

    @property
    def replica_id(self) -> int:
        """The replica's ID in the cluster."""
        return self._identity.replica_id

    async def run(self) -> None:
        """Serve until cancelled; raises `StorageError` or `ReplicaRemoved`."""
        jobs = (
            self.runner.run(),
            self._send_heartbeats(),
            self._monitor_state(),
            self._join(),
            self._manage_members(),
        )
        await run_together(jobs)

    async def close(self) -> None:
        """Close links and files."""
        await self.network.close()
        self.runner.close()

    def is_current(self) -> bool:
        """Return whether this replica certainly holds all that was acknowledged."""
        if self.runner.quorum_age() > MAX_CONTACT_AGE_SECONDS:
            return False
        if self.runner.is_leader:
            return self.runner.is_settled
        heartbeat = self._leader_heartbeat
        is_fresh = time.monotonic() - heartbeat.received_at <= MAX_CONTACT_AGE_SECONDS
        is_leaders = heartbeat.replica_id == self.runner.leader_id
        version, zones_revision = self.applier.state.position()
        is_caught_up = version >= heartbeat.version and zones_revision >= heartbeat.zones_revision
        return is_fresh and is_leaders and is_caught_up

    def leader_address(self) -> Endpoint | None:
        """Return the leader's replica end point, None where it is not known."""
        leader_id = self.runner.leader_id
        return None if leader_id is None else self.runner.endpoints().get(leader_id)

    def leads_since(self) -> float:
        """Return when this leader's term was seen to start; now, if that was not recorded yet."""
        is_recorded = self._led_term == self.runner.term
        return self._leads_since if is_recorded else time.monotonic()

    def zones_in_force(self) -> int:
        """Return the oldest revision of drained zones that a node of a running replica applies."""
        now = time.monotonic()
        fresh = [
            each.revision
            for each in self._zones_in_force.values()
            if now - each.received_at <= MAX_CONTACT_AGE_SECONDS
        ]
        return min([self._own_zones_in_force(), *fresh])

    def notify_replicas(self, update: HomedNodes) -> None:
        """Send changes of the linked nodes to the other replicas."""
        for replica_id in self.network.connected_ids():
            self.network.send(replica_id, update)

    def _handle_message(self, sender: int, message: ReplicaMessage) -> None:
        now = time.monotonic()
        match message:
            case RaftPayload():
                self.runner.handle_message(sender, message)
            case ReplicaHeartbeat():
                self._on_heartbeat(sender, message, now)
            case HomedNodes():
                if self._directory.merge_nodes(sender, message, now):
                    self.network.send(sender, HomedNodesRequest())
                self._on_change()
            case HomedNodesRequest():
                self.network.send(sender, self._directory.own_nodes())
            case LinkAlive():
                pass

    def _on_heartbeat(self, sender: int, heartbeat: ReplicaHeartbeat, now: float) -> None:
        self._zones_in_force[sender] = ZonesInForce(heartbeat.zones_in_force, now)
        if heartbeat.leading:
            self._leader_heartbeat = LeaderHeartbeat(
                sender, heartbeat.version, heartbeat.zones_revision, now
            )
        if self._directory.on_heartbeat(sender, heartbeat, now):
            self.network.send(sender, HomedNodesRequest())

    async def _send_heartbeats(self) -> None:
        while True:
            self._send_heartbeat()
            self._directory.expire(time.monotonic())
            self._on_change()
            await asyncio.sleep(REPLICA_HEARTBEAT_SECONDS)

    def _send_heartbeat(self) -> None:
        version, zones_revision = self.applier.state.position()
        heartbeat = ReplicaHeartbeat(
            process_incarnation=self._process_incarnation,
            leading=self.runner.is_settled,
            version=version,
            sequence=self._directory.sequence,
            zones_revision=zones_revision,
            zones_in_force=self._own_zones_in_force(),
        )
        for replica_id in self.network.connected_ids():
            self.network.send(replica_id, heartbeat)

    async def _monitor_state(self) -> None:
        """Notify others at once of a change that nodes may be waiting for."""
        while True:
            await asyncio.sleep(STATE_CHECK_SECONDS)
            if self.runner.is_settled and self.runner.term != self._led_term:
                self._led_term = self.runner.term
                self._leads_since = time.monotonic()
            if self.runner.is_settled != self._leading:
                self._leading = self.runner.is_settled
                event = "leadership-won" if self._leading else "leadership-lost"
                logger.info(event, replica_id=self.replica_id, term=self.runner.term)
                self._send_heartbeat()
            if self.is_current() != self._current:
                self._current = not self._current
                logger.info("replica-current", current=self._current, **self._position())
                self._on_change()

    def _position(self) -> dict[str, int | float]:
        """Return what decides whether this replica is current, for the log."""
        version, zones_revision = self.applier.state.position()
        return {
            "version": version,
            "zones_revision": zones_revision,
            "term": self.runner.term,
            "commit_index": self.runner.commit_index,
            "quorum_age_ms": min(int(1000 * min(self.runner.quorum_age(), 60.0)), 60_000),
        }

    # Membership

    def is_voter(self) -> bool:
        """Return whether this replica is a voter, according to its log."""
        member = self.runner.membership.find(self.replica_id)
        return member is not None and member.voting

    async def _join(self) -> None:
        """Request to join while this replica has no vote or no quorum; detect its removal."""
        pauses = chain(FIRST_JOIN_PAUSES_SECONDS, repeat(JOIN_INTERVAL_SECONDS))
        for pause_seconds in pauses:
            await asyncio.sleep(pause_seconds)
            is_isolated = self.runner.quorum_age() > MAX_CONTACT_AGE_SECONDS
            if self._identity.founders and not is_isolated:
                continue
            if self.is_voter() and not is_isolated:
                continue
            request = JoinRequest(self.replica_id, self._address, self._founding)
            reply = await request_to_join(request, self._name, CLUSTER_ID, self._other_replicas())
            if reply is not None:
                self._handle_join_reply(reply)

    def _other_replicas(self) -> list[Endpoint]:
        known = list(self.runner.endpoints().values())
        addresses = [*known, *(seed for seed in self._seeds if seed not in known)]
        return [address for address in addresses if address != self._address]

    def _handle_join_reply(self, reply: JoinReply) -> None:
        if reply.status is JoinStatus.REMOVED:
            logger.warning("replica-removed", replica_id=self.replica_id)
            raise ReplicaRemoved()
        peers = {each.replica_id: each.address for each in reply.replicas}
        peers.pop(self.replica_id, None)
        self.runner.add_peers(peers)

    def answer_join(self, request: JoinRequest) -> JoinReply:
        """Answer a replica that asks whether it is a member."""
        endpoints = self.runner.endpoints()
        replicas = [ReplicaAddress(each, address) for each, address in endpoints.items()]
        return JoinReply(self._join_status(request), self.leader_address(), replicas)

    def _join_status(self, request: JoinRequest) -> JoinStatus:
        if not self.runner.is_settled or not self.is_current():
            return JoinStatus.NOT_LEADER
        membership = self.runner.membership
        if request.replica_id in membership.removed:
            return JoinStatus.REMOVED
        self._autopilot.record_request(request, time.monotonic())
        member = membership.find(request.replica_id)
        return JoinStatus.PENDING if member is None else JoinStatus.MEMBER

    async def _manage_members(self) -> None:
        """On the leader, make the changes of the member list that `Autopilot` decides."""
        while True:
            await asyncio.sleep(AUTOPILOT_INTERVAL_SECONDS)
            if not self.runner.is_settled:
                continue
            ages = self.runner.contact_ages()
            change = self._autopilot.next_change(self.runner.membership, ages, time.monotonic())
            if change is None:
                continue
            outcome = self.runner.change_members(change)
            logger.info(
                "membership-change",
                change=type(change).__name__,
                replica_id=change.replica_id,
                outcome=outcome.kind,
                reason=getattr(outcome, "reason", ""),
                voters=len(self.runner.membership.voter_ids()),
                proposed=isinstance(outcome, Proposed),
            )
