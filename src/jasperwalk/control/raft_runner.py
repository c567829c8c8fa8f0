"""The asyncio adapter of the consensus core: its clock, its disk and its peers.

One task drives the core. It persists each batch from the core in a separate thread, and only then
sends messages and applies entries. Proposals and messages that arrive while the disk syncs enter
the core at once and are written together in the next batch.
"""

from __future__ import annotations

import asyncio
import math
import secrets
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Protocol

import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk.concurrency import run_together
from jasperwalk.consensus.config import RaftConfig
from jasperwalk.consensus.core import RaftNode
from jasperwalk.consensus.durable import PersistBatch
from jasperwalk.consensus.entries import Membership
from jasperwalk.consensus.members import MembershipChange
from jasperwalk.consensus.messages import RaftMessage
from jasperwalk.consensus.outcomes import (
    InvariantViolation,
    MembershipOutcome,
    Outgoing,
    ProposalOutcome,
    Ready,
)
from jasperwalk.consensus.storage import FileStorage
from jasperwalk.control.peer_links import PeerNetwork
from jasperwalk.control.peer_messages import (
    RaftPayload,
    ReplicaChange,
)
from jasperwalk.control.replica_members import core_change, endpoints_of
from jasperwalk.control.storage_faults import StorageFaults
from jasperwalk.errors import JasperwalkError
from jasperwalk.messages import codec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from jasperwalk.consensus.durable import SnapshotData
    from jasperwalk.consensus.entries import LogEntry

HEARTBEAT_INTERVAL_SECONDS = 0.15
ELECTION_TIMEOUT_SECONDS = 0.9
"""Minimum time without a leader before a campaign; the maximum is twice that. A busy machine
delays a process by a few hundred milliseconds, which must not look like a lost leader."""
SNAPSHOT_INTERVAL_ENTRIES = 1024
"""Applied entries after which the state is written as a snapshot."""
MAX_WAIT_SECONDS = 1.0
"""Maximum sleep between two ticks of the core."""
TRANSFER_POLL_SECONDS = 0.01
DISK_ID_BYTES = 16
"""Length of the random ID of a new data folder."""

RAFT_DECODER: codec.Decoder[RaftMessage] = codec.Decoder(RaftMessage)

logger = structlog.get_logger(__name__)


@dataclass(frozen=True)
class RaftRunnerConfig:
    """Settings of the adapter; `peers` are the endpoints known from the settings file."""

    cluster_id: str
    replica_id: int
    folder: Path
    raft: RaftConfig
    peers: dict[int, Endpoint] = field(default_factory=dict)
    snapshot_interval_entries: int = SNAPSHOT_INTERVAL_ENTRIES


class EntryApplier(Protocol):
    """The replicated state machine, as the adapter uses it."""

    def bind(self, take_snapshot: Callable[[int, bytes], None]) -> None:
        """Set the receiver of serialised states; called once, before anything else."""

    def load(self, snapshot: SnapshotData) -> None:
        """Start from a snapshot, before anything runs."""

    def submit_snapshot(self, snapshot: SnapshotData) -> None:
        """Continue from a leader's snapshot, after everything submitted before."""

    def submit(self, entries: Sequence[LogEntry]) -> None:
        """Apply these committed entries, after everything submitted before."""

    async def run(self) -> None:
        """Apply until cancelled."""

    @property
    def applied_index(self) -> int:
        """Index of the newest entry that the state holds."""

    def close(self) -> None:
        """Stop the threads."""


class RaftRunner:
    """Runs one replica's core on a disk and a network, and feeds the state machine.

    `run` ends only by cancellation, a disk failure, or a violated invariant of the core.
    """

    def __init__(
        self,
        config: RaftRunnerConfig,
        network: PeerNetwork,
        applier: EntryApplier,
        random: Random,
        storage_faults: StorageFaults | None = None,
    ) -> None:
        self._storage_faults = storage_faults
        self._config = config
        self._network = network
        self._failure: JasperwalkError | None = None
        self._displacement_logged = False
        self._wake = asyncio.Event()
        self._disk = ThreadPoolExecutor(max_workers=1, thread_name_prefix="raft-disk")
        self._linked_membership: Membership | None = None
        self._applier = applier
        applier.bind(self._take_snapshot)
        self.malformed_messages = 0
        # Loading blocks, but nothing else runs before the log has been read.
        self._storage = FileStorage(
            config.folder,
            config.cluster_id,
            config.replica_id,
            new_disk_id=secrets.token_hex(DISK_ID_BYTES),
        )
        durable = self._storage.load()
        if durable.snapshot is not None:
            self._applier.load(durable.snapshot)
        self._node = RaftNode(config.raft, durable, random, time.monotonic())
        self._link_members()

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads, as far as it knows."""
        return self._node.is_leader

    @property
    def is_settled(self) -> bool:
        """Whether this replica leads and its state includes everything committed before its term.

        The core commits while the disk is still syncing, before the entries reach the state:
        until then the state of a new leader may be older than what was acknowledged.
        """
        first_index = self._node.first_index_of_leadership
        if first_index is None or self._node.is_transferring:
            return False
        return self._applier.applied_index >= first_index

    @property
    def leader_id(self) -> int | None:
        """The leader's replica ID, None if it is unknown."""
        return self._node.leader_id

    @property
    def term(self) -> int:
        """The current term."""
        return self._node.term

    @property
    def commit_index(self) -> int:
        """Index of the newest entry known to be committed."""
        return self._node.commit_index

    @property
    def is_displaced(self) -> bool:
        """Whether the cluster knows this replica with another disk; it must then be replaced."""
        return self._node.is_displaced

    @property
    def membership(self) -> Membership:
        """The replicas, voters and learners."""
        return self._node.membership

    def quorum_age(self) -> float:
        """Return seconds since contact with a quorum (through the leader), inf if unknown."""
        return self._node.quorum_age(time.monotonic())

    def contact_ages(self) -> dict[int, float]:
        """Return, on the leader, seconds since contact with each replica, inf for never."""
        now = time.monotonic()
        ages: dict[int, float] = {}
        for replica_id in self.membership.replica_ids():
            progress = self._node.progress_of(replica_id)
            is_self = replica_id == self._config.replica_id
            ages[replica_id] = 0.0 if is_self else math.inf
            if progress is not None:
                ages[replica_id] = now - progress.contact_at
        return ages

    def propose(self, command: bytes) -> ProposalOutcome:
        """Append a command to the log if this replica leads."""
        outcome = self._node.propose(command, time.monotonic())
        self._wake.set()
        return outcome

    def change_members(self, change: MembershipChange) -> MembershipOutcome:
        """Append a change of the replicas, in the core's form, if this replica leads."""
        outcome = self._node.propose_membership(change, time.monotonic())
        self._wake.set()
        return outcome

    def add_peers(self, peers: Mapping[int, Endpoint]) -> None:
        """Add replicas that neither the settings nor the log of a joining replica names."""
        known = self._config.peers
        if any(known.get(replica_id) != address for replica_id, address in peers.items()):
            known.update(peers)
            self._network.set_peers(self.endpoints())

    def propose_replica_change(self, change: ReplicaChange) -> MembershipOutcome:
        """Append a change of the replicas to the log if this replica leads."""
        return self.change_members(core_change(change))

    async def transfer_leadership(self) -> None:
        """Transfer leadership, if this replica leads, and wait until another leader is known.

        Returns after an election timeout at the latest; the others then elect a leader.
        """
        own_id = self._config.replica_id
        deadline = time.monotonic() + self._config.raft.election_timeout_seconds
        if not self.is_leader or not self._node.transfer_leadership(time.monotonic()):
            return
        self._wake.set()
        while self.leader_id in (None, own_id) and time.monotonic() < deadline:
            await asyncio.sleep(TRANSFER_POLL_SECONDS)

    def handle_message(self, sender: int, message: RaftPayload) -> None:
        """Pass a peer's message to the core; malformed ones are counted and dropped."""
        try:
            decoded = RAFT_DECODER.decode(message.payload)
        except JasperwalkError as error:
            self.malformed_messages += 1
            logger.warning("raft-message-refused", sender=sender, detail=error.describe())
            return
        try:
            self._node.receive(sender, decoded, time.monotonic())
        except InvariantViolation as error:
            # `run` must fail with it, not the link on which the message arrived.
            self._failure = error
        self._wake.set()

    async def run(self) -> None:
        """Drive the core and apply committed entries until cancelled."""
        await run_together([self._drive(), self._applier.run()])

    async def _drive(self) -> None:
        while True:
            self._wake.clear()
            if self._failure is not None:
                raise self._failure
            self._node.tick(time.monotonic())
            await self._process_ready()
            self._warn_when_displaced()
            wait_seconds = self._node.next_deadline() - time.monotonic()
            try:
                async with asyncio.timeout(min(max(wait_seconds, 0.0), MAX_WAIT_SECONDS)):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def close(self) -> None:
        """Wait for the disk and close the log's files."""
        self._applier.close()
        self._disk.shutdown(wait=True)
        self._storage.close()

    def _warn_when_displaced(self) -> None:
        if self.is_displaced and not self._displacement_logged:
            self._displacement_logged = True
            logger.error(
                "replica-displaced",
                replica_id=self._config.replica_id,
                mend="the cluster knows this replica with another disk; remove it and join again "
                "under a new replica_id",
            )

    async def _process_ready(self) -> None:
        while not (ready := self._node.ready()).is_empty():
            if ready.persist is not None:
                await self._persist(ready.persist)
            self._send(ready.messages)
            self._advance_state(ready)
            self._link_members()

    async def _persist(self, batch: PersistBatch) -> None:
        loop = asyncio.get_running_loop()
        write: Callable[[PersistBatch], None] = self._storage.persist
        if self._storage_faults is not None:
            write = self._storage_faults.wrap(write)
        await loop.run_in_executor(self._disk, write, batch)
        self._node.persisted()

    def _send(self, messages: list[Outgoing]) -> None:
        for outgoing in messages:
            self._network.send(outgoing.to, RaftPayload(payload=codec.encode(outgoing.message)))

    def _advance_state(self, ready: Ready) -> None:
        if ready.install_snapshot is not None:
            self._applier.submit_snapshot(ready.install_snapshot)
        self._applier.submit(ready.committed)

    def _take_snapshot(self, index: int, state: bytes) -> None:
        self._node.take_snapshot(index, state)
        self._wake.set()

    def _link_members(self) -> None:
        """Keep a link to every member, or to the configured peers until the members are known."""
        membership = self._node.membership
        if membership == self._linked_membership:
            return
        self._linked_membership = membership
        self._network.set_peers(self.endpoints())

    def committed_voters(self) -> list[Endpoint]:
        """Return the endpoints of the voting replicas in the newest committed membership."""
        members = self._node.committed_membership.members
        voters = (member for member in members if member.voting)
        return list(endpoints_of(voters, self._config.peers).values())

    def endpoints(self) -> dict[int, Endpoint]:
        """Return the endpoints of the replicas by ID."""
        membership = self._node.membership
        endpoints = endpoints_of(membership.members, self._config.peers)
        if membership.find(self._config.replica_id) is None:
            # Not (yet, or no longer) a member: the settings name the endpoints of the others.
            return {**self._config.peers, **endpoints}
        return endpoints
