"""The control process of the datagram plane.

It runs one replica at a time and opens another one after a disk failure or a removal from the
cluster. It also serves the replica port (replicas, nodes, operators' command line), the operators'
HTTP interface and metrics; these outlive a single replica.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable
from pathlib import Path

import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk.consensus.disk.failures import StorageError
from jasperwalk.consensus.outcomes import InvariantViolation
from jasperwalk.control.fleet.configurations import ConfigurationService
from jasperwalk.control.fleet.directory import NodeDirectory
from jasperwalk.control.fleet.home_links import HomeLinks, HomeView
from jasperwalk.control.fleet.identity import open_identity, renew_identity
from jasperwalk.control.fleet.joining import JoinRequestHandler
from jasperwalk.control.fleet.messages import HomedNodes, JoinReply, JoinRequest, JoinStatus
from jasperwalk.control.fleet.operator_requests import OperatorRequestHandler
from jasperwalk.control.fleet.replica import FleetReplica, ReplicaRemoved
from jasperwalk.control.fleet.settings import FleetControlSettings
from jasperwalk.control.fleet.zone_orders import ZoneOrders
from jasperwalk.control.storage_faults import StorageFaults
from jasperwalk.errors import JasperwalkError
from jasperwalk.fleet.messages import CLUSTER_ID
from jasperwalk.fleet.process_metrics import ProcessMetrics, metrics_server
from jasperwalk.flows.routes import RouteSet
from jasperwalk.transport.framed import FramedConnection
from jasperwalk.transport.hello import ConnectionKind, make_hello
from jasperwalk.transport.http_messages import HttpHandler
from jasperwalk.transport.http_server import HttpServer, serving
from jasperwalk.transport.server import FramedServer

REOPEN_DELAY_SECONDS = 0.4
"""Pause before a replica is opened again, after a disk failure or a removal."""
INCARNATION_BITS = 62
TRANSFER_TIMEOUT_SECONDS = 1.0

OperatorHandlerFactory = Callable[[ConfigurationService, ZoneOrders, int], HttpHandler]
"""Makes the HTTP handler for operators; the number is the operators' port of all replicas."""

logger = structlog.get_logger(__name__)


class FleetControl:
    """Owns the parts of one control process; `run` serves until its stop event is set."""

    def __init__(self, settings: FleetControlSettings, interface: OperatorHandlerFactory) -> None:
        self._settings = settings
        self._address = settings.advertised_endpoint()
        self._process_incarnation = secrets.randbits(INCARNATION_BITS)
        self._random = random.Random(self._process_incarnation)
        self._replica: FleetReplica | None = None
        self._renew = False
        self.directory = NodeDirectory(self._process_incarnation)
        self._home_links = HomeLinks(self.directory, self._home_view, self._notify_replicas)
        operators = settings.operators_endpoint()
        service = ConfigurationService(lambda: self._replica)
        zone_orders = ZoneOrders(
            lambda: self._replica, self._known_zones, settings.orders_repeat_ms / 1000
        )
        self._http = HttpServer(operators, interface(service, zone_orders, operators.port))
        figures = ProcessMetrics(
            process="control",
            counters=lambda: {
                **vars(service.counters),
                **vars(zone_orders.counters),
                **vars(self._home_links.counters),
            },
            gauges={
                "configuration_version": lambda: self._home_view().routes.version,
                "zones_revision": lambda: self._home_view().zones.revision,
                "drained_zones": lambda: len(self._home_view().zones.zones),
                "leader": lambda: self._replica is not None and self._replica.runner.is_leader,
                "current": lambda: self._home_view().current,
                "voters": self._voter_count,
                "agents_known": lambda: self.directory.counts()["agent"],
                "balancers_known": lambda: self.directory.counts()["balancer"],
            },
            latencies={
                "configuration_put": service.put_latency,
                "zone_order": zone_orders.latency,
            },
        )
        self._metrics = metrics_server(settings.metrics_listen, settings.metrics_path, figures)
        hello = make_hello(ConnectionKind.PEER, settings.name, CLUSTER_ID)
        handlers = {
            ConnectionKind.PEER: self._serve_peer,
            ConnectionKind.SUBSCRIBER: self._home_links.serve,
            ConnectionKind.REPORTER: JoinRequestHandler(self._answer_join).serve,
            ConnectionKind.OPERATOR: OperatorRequestHandler(zone_orders).serve,
        }
        self._server = FramedServer(settings.replica_endpoint(), hello, handlers)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set."""
        await self._server.start()
        try:
            async with serving(self._http, self._metrics):
                await self._serve(stop)
        finally:
            await self._server.close()
        logger.info("control-stopped")

    async def _serve(self, stop: asyncio.Event) -> None:
        logger.info(
            "control-started",
            address=str(self._address),
            operators=self._settings.operators_listen,
            seeds=",".join(self._settings.seeds),
            founding=self._settings.founding,
        )
        replica_runs = asyncio.create_task(self._run_replicas())
        try:
            await self._wait_until_stopped(stop, replica_runs)
        finally:
            replica_runs.cancel()
            await asyncio.gather(replica_runs, return_exceptions=True)

    async def _wait_until_stopped(
        self, stop: asyncio.Event, replica_runs: asyncio.Task[None]
    ) -> None:
        stopped = asyncio.create_task(stop.wait())
        try:
            await asyncio.wait((replica_runs, stopped), return_when=asyncio.FIRST_COMPLETED)
        finally:
            stopped.cancel()
        if replica_runs.done():
            replica_runs.result()
        if self._replica is not None:
            await self._transfer_leadership(self._replica)

    async def _transfer_leadership(self, replica: FleetReplica) -> None:
        try:
            async with asyncio.timeout(TRANSFER_TIMEOUT_SECONDS):
                await replica.runner.transfer_leadership()
        except TimeoutError:
            logger.warning("leadership-not-handed-over", replica_id=replica.replica_id)

    async def _run_replicas(self) -> None:
        """Run replicas one after the other; each failure or removal ends one of them."""
        while True:
            try:
                replica = self._open_replica()
            except StorageError as error:
                logger.error("storage-not-usable", kind=error.kind, detail=error.describe())
                await asyncio.sleep(REOPEN_DELAY_SECONDS)
                continue
            self._replica = replica
            try:
                await replica.run()
            except ReplicaRemoved:
                self._renew = True
            except (StorageError, InvariantViolation) as error:
                logger.error("replica-failed", kind=error.kind, detail=error.describe())
            finally:
                self._replica = None
                await replica.close()
            await asyncio.sleep(REOPEN_DELAY_SECONDS)

    def _open_replica(self) -> FleetReplica:
        settings = self._settings
        folder = Path(settings.data_folder)
        seeds = settings.seed_endpoints()
        if self._renew:
            identity = renew_identity(folder)
            self._renew = False
        else:
            identity = open_identity(folder, self._address, seeds, settings.founding)
        logger.info("replica-opened", replica_id=identity.replica_id, folder=identity.folder.name)
        return FleetReplica(
            identity=identity,
            name=settings.name,
            address=self._address,
            seeds=seeds,
            founding=settings.founding,
            directory=self.directory,
            process_incarnation=self._process_incarnation,
            random=self._random,
            on_change=self._publish,
            own_zones_in_force=self._home_links.zones_in_force,
            storage_faults=self._storage_faults(),
        )

    def _storage_faults(self) -> StorageFaults | None:
        path = self._settings.storage_faults
        if not path:
            return None
        logger.warning("storage-faults-enabled", path=path)
        return StorageFaults(Path(path))

    def _publish(self) -> None:
        self._home_links.publish_restrictions()
        self._home_links.publish_fleet()
        self._home_links.publish_routes()
        self._home_links.publish_status()

    def _home_view(self) -> HomeView:
        replica = self._replica
        if replica is None:
            return HomeView(current=False, routes=RouteSet(0, []), replicas=[])
        replicas: list[Endpoint] = list(replica.runner.endpoints().values())
        state = replica.applier.state
        return HomeView(
            current=replica.is_current(),
            routes=state.route_set(),
            replicas=replicas,
            flow_idle_ms=state.held.flow_idle_ms,
            zones=state.zones.drained_zones(),
            warm_ups=state.held.warm_ups,
        )

    def _known_zones(self) -> set[str]:
        """Return the zones that the settings or any node name."""
        return {*self._settings.zones, *self.directory.zones()}

    def _voter_count(self) -> float:
        replica = self._replica
        return 0 if replica is None else len(replica.runner.membership.voter_ids())

    def _notify_replicas(self, update: HomedNodes) -> None:
        if self._replica is not None:
            self._replica.notify_replicas(update)

    def _answer_join(self, request: JoinRequest) -> JoinReply:
        if self._replica is None:
            return JoinReply(JoinStatus.NOT_LEADER, None, [])
        return self._replica.answer_join(request)

    async def _serve_peer(self, connection: FramedConnection) -> None:
        if self._replica is None:
            raise ReplicaNotOpen()
        await self._replica.network.serve(connection)


class ReplicaNotOpen(JasperwalkError):
    """The replica's log is not open now; the connecting replica tries again."""

    kind = "replica-not-open"
