"""One control replica: assembles its components and dispatches peer messages to them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk.concurrency import run_together
from jasperwalk.consensus.config import InitialMember, RaftConfig
from jasperwalk.control.applied import AppliedEntry
from jasperwalk.control.control_runner import ControlRunner
from jasperwalk.control.leader_duties import DutiesConfig, LeaderDuties
from jasperwalk.control.peer_links import PeerNetwork
from jasperwalk.control.peer_messages import (
    AgentsAnswer,
    AgentsQuery,
    ForwardProposal,
    ForwardReplicaChange,
    ForwardReply,
    FullReportRequest,
    InForceAnswer,
    InForceQuery,
    LinkAlive,
    PeerMessage,
    RaftPayload,
    ReplicaChange,
)
from jasperwalk.control.platform_poller import PlatformPoller
from jasperwalk.control.problem import StaleReplica
from jasperwalk.control.proposal_errors import NoLeader, ProposalError
from jasperwalk.control.proposals import Proposals
from jasperwalk.control.publishing import Publishing
from jasperwalk.control.raft_runner import (
    ELECTION_TIMEOUT_SECONDS,
    HEARTBEAT_INTERVAL_SECONDS,
    SNAPSHOT_INTERVAL_ENTRIES,
    RaftRunnerConfig,
)
from jasperwalk.control.region_view import RegionView
from jasperwalk.control.replica_metrics import ReplicaMetrics
from jasperwalk.control.state.commands import OperatorCommand
from jasperwalk.control.state.machine import ControlState
from jasperwalk.control.state.outcomes import Outcome, Registered
from jasperwalk.control.subscriber_reports import SubscriberReport
from jasperwalk.distribution.publisher_events import PublisherConfig
from jasperwalk.observability.metrics import MetricsRegistry
from jasperwalk.transport.hello import ConnectionKind, make_hello
from jasperwalk.transport.server import FramedServer
from jasperwalk.transport.tls import LinkTls

STALE_SECONDS = 2.0
"""A replica whose quorum contact is older than this refuses reads and changes."""

logger = structlog.get_logger(__name__)


@dataclass(frozen=True)
class ReplicaConfig:
    """Settings of a replica, all times in seconds.

    `peers` are the endpoints of the initial replicas by ID, the same on each of them.
    `tls` protects the links with other replicas and subscribers, None for plain TCP.
    """

    name: str
    cluster_id: str
    replica_id: int
    data_folder: Path
    peer_listen: Endpoint
    peers: dict[int, Endpoint]
    heartbeat_interval_seconds: float = HEARTBEAT_INTERVAL_SECONDS
    election_timeout_seconds: float = ELECTION_TIMEOUT_SECONDS
    snapshot_interval_entries: int = SNAPSHOT_INTERVAL_ENTRIES
    stale_seconds: float = STALE_SECONDS
    platform_list_url: str | None = None
    platform_poll_seconds: float = 1.0
    publisher: PublisherConfig = field(default_factory=PublisherConfig)
    duties: DutiesConfig = field(default_factory=DutiesConfig)
    tls: LinkTls | None = None

    def runner_config(self) -> RaftRunnerConfig:
        """Return the settings of the consensus adapter."""
        members = tuple(
            InitialMember(replica_id=replica_id, address=str(endpoint))
            for replica_id, endpoint in sorted(self.peers.items())
        )
        raft = RaftConfig(
            initial_members=members,
            heartbeat_interval_seconds=self.heartbeat_interval_seconds,
            election_timeout_seconds=self.election_timeout_seconds,
        )
        return RaftRunnerConfig(
            cluster_id=self.cluster_id,
            replica_id=self.replica_id,
            folder=self.data_folder,
            raft=raft,
            peers=self.peers,
            snapshot_interval_entries=self.snapshot_interval_entries,
        )


class ControlReplica:
    """Owns the components of one replica; `run` serves until cancelled or one of them fails."""

    def __init__(self, config: ReplicaConfig, registry: MetricsRegistry, random: Random) -> None:
        """Read the log without opening a port; raises `StorageError` for a corrupt data folder."""
        self._config = config
        self.replica_id = config.replica_id
        self.network = PeerNetwork(
            config.name, config.replica_id, config.cluster_id, self._handle_message, config.tls
        )
        self.runner = ControlRunner(config.runner_config(), self.network, self, random)
        self.proposals = Proposals(self.runner, self.network)
        self.publishing = Publishing(
            self.state.table, config.publisher, self.proposals, self.runner.quorum_age
        )
        self.region = RegionView(config.replica_id, self.runner, self.network, self.publishing)
        self._poller = _make_poller(config)
        self._duties = LeaderDuties(
            config.duties, self.runner, self.proposals, self.region, self._poller
        )
        self._server = FramedServer(
            config.peer_listen,
            make_hello(ConnectionKind.PEER, config.name, config.cluster_id, config.replica_id),
            {
                ConnectionKind.PEER: self.network.serve,
                ConnectionKind.SUBSCRIBER: self.publishing.serve,
            },
            tls=config.tls,
        )
        self._metrics = ReplicaMetrics(registry, self)
        self._register_known_agents()

    @property
    def state(self) -> ControlState:
        """The state machine; the object changes when a snapshot is installed."""
        return self.runner.state

    @property
    def endpoint(self) -> Endpoint:
        """The endpoint for replicas and subscribers, with its actual port after `start`."""
        return self._server.endpoint

    async def start(self) -> None:
        """Open the peer port; raises `OSError` when it cannot be opened."""
        await self._server.start()

    async def run(self) -> None:
        """Run all components until cancelled; raises the failure of the first that ends."""
        jobs = [
            self.runner.run(),
            self.publishing.run(),
            self._duties.run(),
            self.region.run(),
        ]
        if self._poller is not None:
            jobs.append(self._poller.run())
        await run_together(jobs)

    async def close(self) -> None:
        """Close connections and files; accepted changes are already on disk."""
        await self._server.close()
        await self.publishing.close()
        await self.network.close()
        self.runner.close()

    async def change(self, command: OperatorCommand) -> Outcome:
        """Propose an operator's change; raises as `Proposals.propose` does."""
        if not self.has_quorum():
            # Refused at once: a proposal from here could only time out.
            self._metrics.count_proposal(NoLeader.kind)
            raise NoLeader(leader_id=self.runner.leader_id)
        try:
            outcome = await self.proposals.propose(command)
        except ProposalError as error:
            self._metrics.count_proposal(error.kind)
            raise
        self._metrics.count_proposal(outcome.kind)
        return outcome

    async def change_replicas(self, change: ReplicaChange) -> int:
        """Propose a change of the replicas; returns the log index that carries it."""
        if not self.has_quorum():
            raise NoLeader(leader_id=self.runner.leader_id)
        return await self.proposals.propose_replica_change(change)

    def has_quorum(self) -> bool:
        """Return whether this replica has recent quorum contact."""
        return self.runner.quorum_age() <= self._config.stale_seconds

    def require_quorum(self) -> None:
        """Raise `StaleReplica` if this replica may be behind."""
        if not self.has_quorum():
            quorum_age = self.runner.quorum_age()
            age_ms = int(quorum_age * 1000) if math.isfinite(quorum_age) else None
            raise StaleReplica(quorum_age_ms=age_ms, leader_id=self.runner.leader_id)

    def entry_applied(self, entry: AppliedEntry[Outcome]) -> None:
        """Pass a committed registration to the publisher."""
        if isinstance(entry.outcome, Registered):
            record = self.state.agent(Endpoint.parse(entry.outcome.address))
            if record is not None:
                self.publishing.agent_registered(record)

    def batch_applied(self) -> None:
        """Publish the changes of a batch of entries."""
        self.publishing.table_advanced(self.state.table)
        self._publish_replicas()

    def state_replaced(self) -> None:
        """Publish from the state machine that a snapshot has installed."""
        self._register_known_agents()
        self.publishing.table_replaced(self.state.table)
        self._publish_replicas()

    def _publish_replicas(self) -> None:
        endpoints = self.runner.committed_voters()
        self.publishing.replicas_changed(self.runner.commit_index, endpoints)

    def _register_known_agents(self) -> None:
        for record in self.state.agents():
            self.publishing.agent_registered(record)

    def _handle_message(self, sender: int, message: PeerMessage) -> None:
        match message:
            case RaftPayload():
                self.runner.handle_message(sender, message)
            case ForwardProposal() | ForwardReplicaChange():
                self.proposals.handle_request(sender, message)
            case ForwardReply():
                self.proposals.handle_reply(message)
            case SubscriberReport():
                self.region.handle_report(sender, message)
            case FullReportRequest():
                self.region.handle_report_request()
            case InForceQuery() | AgentsQuery():
                self.region.handle_query(sender, message)
            case InForceAnswer() | AgentsAnswer():
                self.region.handle_answer(message)
            case LinkAlive():
                pass


def _make_poller(config: ReplicaConfig) -> PlatformPoller | None:
    if config.platform_list_url is None:
        return None
    return PlatformPoller(config.platform_list_url, config.platform_poll_seconds)
