"""The balancer process of the datagram plane: sockets, messages from the home, readiness."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections import Counter
from collections.abc import Callable

import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.datagrams.flow_balancer import FlowBalancer
from jasperwalk.balancer.datagrams.paced_link import PacedLink
from jasperwalk.balancer.datagrams.packet_intake import PacketIntake
from jasperwalk.fleet.bound_sockets import BalancerSockets, bind_balancer
from jasperwalk.fleet.home_link import HomeLink
from jasperwalk.fleet.messages import (
    DrainedZones,
    FleetUpdate,
    HomeMessage,
    HomeStatus,
    NodeRecord,
    NodeRole,
    RoutesUpdate,
)
from jasperwalk.fleet.node import ReadinessInterface, draw_incarnation
from jasperwalk.fleet.process_metrics import ProcessMetrics, metrics_server
from jasperwalk.fleet.search_timer import SearchTimer
from jasperwalk.fleet.settings import BalancerNodeSettings
from jasperwalk.fleet.targets import TargetPool
from jasperwalk.flows.codec import PacketCodec, SocketAddress
from jasperwalk.flows.routes import FlowRoute, RouteSet, RouteTable
from jasperwalk.flows.sockets import DatagramSocket
from jasperwalk.flows.terms import caller_group
from jasperwalk.observability.decisions import DecisionLog, affordable_lines_per_second
from jasperwalk.scheduling.link_pacer import PACED_SHARE, LinkPacer, link_bytes_per_second
from jasperwalk.transport.http_server import HttpServer, serving

SWEEP_SECONDS = 4.0
DRAINING_SECONDS = 1.6
"""After a stop signal the balancer is not ready but still forwards packets, until the fabric sends
none. The fabric checks readiness twice a second and needs two failures."""

logger = structlog.get_logger(__name__)


def _pacer(settings: BalancerNodeSettings, frames: DatagramSocket) -> LinkPacer | None:
    """Return the link's pacer, None where its rate is unknown or pacing is switched off."""
    if not settings.policies.link_pacing or settings.link_megabits <= 0:
        return None
    rate = PACED_SHARE * link_bytes_per_second(settings.link_megabits)
    return LinkPacer(rate, frames.send)


class BalancerProcess:
    """One balancer process; `run` serves until its stop event is set."""

    def __init__(
        self,
        settings: BalancerNodeSettings,
        reload: Callable[[], BalancerNodeSettings],
        codec: PacketCodec,
        interface: ReadinessInterface,
        sockets: BalancerSockets | None = None,
    ) -> None:
        """`sockets` were bound from the same settings before this module was loaded, or None."""
        self._settings = settings
        self._random = random.Random(secrets.randbits(64))
        self._incarnation = draw_incarnation()
        self._stopping = False
        self._has_agents = False
        self._was_ready = False
        self._link_routes: dict[Endpoint, FlowRoute] = {}
        self._link_version = 0
        self.routes = RouteTable(caller_group(settings.zone))
        self.pool = TargetPool(
            settings.zone,
            self._random,
            settings.zone_regions,
            weighs_slowdown=settings.policies.host_pace,
        )
        bound = sockets or bind_balancer(settings)
        self._callers = DatagramSocket(bound.callers, self._on_packet, self._open_waiting)
        self._frames = DatagramSocket(bound.frames, self._on_frame)
        self._callers_port = Endpoint.parse(settings.callers_listen).port
        self._decisions = DecisionLog(
            time.monotonic, affordable_lines_per_second(settings.processors)
        )
        self._pacer = _pacer(settings, self._frames)
        paced = None if self._pacer is None else PacedLink(self._pacer)
        self.core = FlowBalancer(
            codec=codec,
            routes=self.routes,
            pool=self.pool,
            send=self._frames.send if paced is None else paced.send,
            reset=self._send_to_caller,
            log=self._decisions,
            delegates_searches=settings.policies.delegated_search,
            link=self._pacer,
            send_bulk=None if paced is None else paced.send_bulk,
            caller_window_bytes=settings.caller_window_bytes,
            caller_resend_seconds=settings.caller_resend_ms / 1000,
        )
        self._intake = PacketIntake(self.core)
        self._is_opening_scheduled = False
        self._search_timer = SearchTimer(self._frames, self.core.has_pending, self.core.tick)
        self._link = HomeLink(
            self._record,
            lambda: reload().replicas(),
            self._on_home_message,
            self._on_link_change,
            self._random,
        )
        self._http = HttpServer(Endpoint.parse(settings.readiness_listen), interface(self.is_ready))

        process_metrics = ProcessMetrics(
            process="balancer",
            counters=self._counts,
            gauges={
                "link_backlog_bytes": lambda: (
                    0 if self._pacer is None else self._pacer.backlog_bytes()
                ),
                "uploads_waiting": lambda: self.core.uploads.counts()[1],
                "flows": lambda: len(self.core),
                "agents": lambda: len(self.pool),
                "zones_revision": lambda: self.pool.drained.revision,
                "drained_zones": lambda: len(self.pool.drained.zones),
                "routes_version": lambda: self.routes.version,
                "log_lines_dropped": lambda: self._decisions.dropped,
            },
            latencies={
                "flow_open": self.core.open_latency,
                "flow_search": self.core.search_latency,
            },
        )
        self._metrics = metrics_server(
            settings.metrics_listen, settings.metrics_path, process_metrics
        )

    def _counts(self) -> dict[str, int]:
        pacing = {} if self._pacer is None else vars(self._pacer.counters)
        return {**vars(self.core.counters), **pacing}

    def _record(self) -> NodeRecord:
        return NodeRecord(
            name=self._settings.name,
            incarnation=self._incarnation,
            role=NodeRole.BALANCER,
            zone=self._settings.zone,
            endpoint=self._frames.endpoint,
        )

    def is_ready(self) -> bool:
        """Tell whether the fabric may send packets here."""
        ready = bool(self.routes.version) and self._has_agents and not self._stopping
        if ready != self._was_ready:
            self._was_ready = ready
            logger.info("readiness", ready=ready, routes_version=self.routes.version)
        return ready

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then until the fabric sends no more packets."""
        async with serving(self._http, self._metrics):
            await self._serve(stop)
        logger.info("balancer-stopped", **vars(self.core.counters))

    async def _serve(self, stop: asyncio.Event) -> None:
        self._callers.start()
        self._frames.start()
        logger.info("balancer-started", incarnation=self._incarnation, zone=self._settings.zone)
        jobs = [asyncio.create_task(self._link.run()), asyncio.create_task(self._sweep())]
        await stop.wait()
        self._stopping = True
        logger.info("balancer-stopping", flows=len(self.core))
        await asyncio.sleep(min(DRAINING_SECONDS, self._settings.stop_grace_ms / 2000))
        for job in jobs:
            job.cancel()
        await asyncio.gather(*jobs, return_exceptions=True)
        self._callers.close()
        self._frames.close()

    # Datagrams

    def _on_packet(self, data: bytes, _sender: SocketAddress) -> None:
        self._intake.receive(data, time.monotonic())

    def _open_waiting(self) -> None:
        """Open one batch of new flows; the loop reads the sockets between two batches."""
        self._intake.open_waiting(time.monotonic())
        if self._intake.has_waiting() and not self._is_opening_scheduled:
            self._is_opening_scheduled = True
            asyncio.get_running_loop().call_soon(self._continue_opening)
        self._search_timer.ensure_scheduled()

    def _continue_opening(self) -> None:
        self._is_opening_scheduled = False
        self._open_waiting()

    def _on_frame(self, data: bytes, sender: SocketAddress) -> None:
        self.core.receive_reply(data, sender, time.monotonic())
        self._search_timer.ensure_scheduled()

    def _send_to_caller(self, packet: bytes, caller: SocketAddress) -> None:
        self._callers.send(packet, (caller[0], self._callers_port))

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.core.sweep(time.monotonic())

    # Messages from the home

    def _on_link_change(self, linked: bool) -> None:
        if linked:
            self._link_routes = {}
            self._link_version = 0

    def _on_home_message(self, message: HomeMessage) -> None:
        if isinstance(message, FleetUpdate):
            self._fleet_changed(message)
        elif isinstance(message, RoutesUpdate):
            self._routes_changed(message)
        elif isinstance(message, DrainedZones):
            self._zones_changed(message)
        elif isinstance(message, HomeStatus) and message.current:
            self._on_home_current(message)

    def _fleet_changed(self, update: FleetUpdate) -> None:
        self._has_agents = True
        self.core.fleet_changed(update, time.monotonic())
        if update.is_snapshot:
            self._log_snapshot(update)
        else:
            self._log_changes(update)

    def _log_snapshot(self, update: FleetUpdate) -> None:
        """Log one line: the home logs each agent, and callers of this process are waiting."""
        phases = Counter(record.phase.value for record in update.records)
        logger.info(
            "agents-known",
            agents=len(update.records),
            unlisted=len(update.removed),
            home=str(self._link.home),
            **phases,
        )

    def _log_changes(self, update: FleetUpdate) -> None:
        """Log a line for each agent, within the limit on log lines."""
        for record in update.records:
            self._decisions.note(
                "agent-changed",
                agent=record.name,
                service=record.service,
                phase=record.phase.value,
                capacity=record.capacity,
                incarnation=record.incarnation,
            )
        for endpoint in update.removed:
            self._decisions.note("agent-unlisted", endpoint=str(endpoint))

    def _routes_changed(self, update: RoutesUpdate) -> None:
        """Apply an update to the routes of this link; `_put_in_force` decides on their use."""
        for listener in update.removed:
            self._link_routes.pop(listener, None)
        for route in update.changed:
            self._link_routes[route.listener] = route
        self._link_version = update.version
        if self.routes.version:
            self._put_in_force()

    def _zones_changed(self, zones: DrainedZones) -> None:
        if self.core.zones_changed(zones, time.monotonic()):
            logger.info(
                "zones-drained",
                revision=zones.revision,
                zones=",".join(zones.zones),
                home=str(self._link.home),
            )

    def _on_home_current(self, status: HomeStatus) -> None:
        """Put the first routes of this process in force, from a home that is known to be current.

        Not before the drained zones have arrived too: a drain that was acknowledged before a loss
        of all power holds for the first flow after it.
        """
        has_zones = self.pool.drained.revision >= status.zones_revision
        if not self.routes.version and has_zones and self._link_version >= status.version:
            self._put_in_force()

    def _put_in_force(self) -> None:
        routes = RouteSet(self._link_version, list(self._link_routes.values()))
        before = self.routes.version
        if self.routes.replace(routes):
            logger.info(
                "routes-in-force",
                version=self.routes.version,
                before=before,
                routes=len(self.routes),
                home=str(self._link.home),
            )
            self.core.routes_changed(time.monotonic())
            self._search_timer.ensure_scheduled()
