"""The agent process of the datagram plane: sockets, the host's calls, the home link."""

from __future__ import annotations

import asyncio
import math
import random
import secrets
import time
from collections.abc import Callable

import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.datagrams.announcement_handler import AnnouncementHandler
from jasperwalk.agent.datagrams.flow_agent import FlowAgent
from jasperwalk.agent.datagrams.host import HostState
from jasperwalk.agent.datagrams.host_presence import is_host_absent
from jasperwalk.agent.datagrams.planned_stop import wait_for_deregistration
from jasperwalk.agent.datagrams.search_helper import SearchHelper
from jasperwalk.fleet.bound_sockets import AgentSockets, bind_agent
from jasperwalk.fleet.home_link import HomeLink
from jasperwalk.fleet.messages import (
    DrainedZones,
    FleetUpdate,
    HomeMessage,
    HomeStatus,
    HostPhase,
    NodeRecord,
    NodeRole,
    WarmUpUpdate,
)
from jasperwalk.fleet.node import ReadinessInterface, draw_incarnation
from jasperwalk.fleet.process_metrics import ProcessMetrics, metrics_server
from jasperwalk.fleet.search_timer import SearchTimer
from jasperwalk.fleet.settings import AgentNodeSettings
from jasperwalk.fleet.targets import TargetPool
from jasperwalk.flows.codec import PacketCodec, SocketAddress
from jasperwalk.flows.frames import FrameKind
from jasperwalk.flows.sockets import DatagramSocket
from jasperwalk.observability.decisions import DecisionLog, affordable_lines_per_second
from jasperwalk.scheduling.fair_shares import FairShares
from jasperwalk.scheduling.request_order import GroupShares, NoShares
from jasperwalk.transport.http_messages import HttpHandler
from jasperwalk.transport.http_server import HttpServer, serving

SWEEP_SECONDS = 1.0
QUEUE_CHECK_INTERVAL_SECONDS = 0.025
"""Time between checks of the queue while no packet from the host triggers one."""
DEREGISTRATION_SECONDS = 0.05
"""Time for sending the last announcement before the process ends."""

logger = structlog.get_logger(__name__)


HostInterface = Callable[[AnnouncementHandler], HttpHandler]
"""Creates the handler of the host's calls."""


def _shares(settings: AgentNodeSettings) -> GroupShares:
    """Return how the host's time is shared between groups of callers."""
    return FairShares(settings.group_weights()) if settings.policies.fair_shares else NoShares()


class AgentProcess:
    """Owns an agent's components; `run` serves until its stop event is set."""

    def __init__(
        self,
        settings: AgentNodeSettings,
        reload: Callable[[], AgentNodeSettings],
        codec: PacketCodec,
        host_interface: HostInterface,
        readiness_interface: ReadinessInterface,
        sockets: AgentSockets | None = None,
    ) -> None:
        """`sockets` were bound from the same settings before this module was loaded, or None."""
        self._settings = settings
        self._random = random.Random(secrets.randbits(64))
        self._incarnation = draw_incarnation()
        self._gone = False
        self._advertised = (
            Endpoint.parse(settings.frames_advertised) if settings.frames_advertised else None
        )
        self._host_endpoint = Endpoint.parse(settings.host)
        self._host_address: SocketAddress = (self._host_endpoint.host, self._host_endpoint.port)
        frames_port = Endpoint.parse(settings.frames_listen).port
        self._callers_port = settings.callers_port or frames_port
        self.host = HostState()
        bound = sockets or bind_agent(settings)
        self._frames = DatagramSocket(bound.frames, self._on_frame)
        self._host_packets = DatagramSocket(bound.host_packets, self._on_host_packet)
        decisions = DecisionLog(time.monotonic, affordable_lines_per_second(settings.processors))
        self.core = FlowAgent(
            codec=codec,
            service=settings.service,
            host=self.host,
            to_host=self._send_to_host,
            to_balancer=self._frames.send,
            to_caller=self._send_to_caller,
            log=decisions,
            started_at=time.monotonic(),
            flow_lifetime_seconds=settings.flow_lifetime_ms / 1000,
            zone=settings.zone,
            warm_up_floor=settings.warm_up_floor,
            least_share=settings.least_share,
            shares=_shares(settings),
            measures_service_times=settings.policies.host_pace,
        )
        self.helper = SearchHelper(
            codec=codec,
            pool=TargetPool(settings.zone, self._random),
            send=self._frames.send,
            log=decisions,
        )
        self._ticks = SearchTimer(self._frames, self.helper.has_pending, self.helper.tick)
        self._link = HomeLink(
            self._record,
            lambda: reload().replicas(),
            self._on_home_message,
            self._on_link_change,
            self._random,
        )
        handler = AnnouncementHandler(
            self.host,
            settings.service,
            self._host_endpoint,
            decisions,
            self._link.announce,
            self._on_host_replaced,
        )
        self._host_calls = HttpServer(
            Endpoint.parse(settings.host_calls_listen), host_interface(handler)
        )
        self._readiness = HttpServer(
            Endpoint.parse(settings.readiness_listen), readiness_interface(lambda: not self._gone)
        )

        figures = ProcessMetrics(
            process="agent",
            counters=lambda: {
                **self.core.counters.figures(),
                **vars(self.helper.counters),
                "host_announcements_refused": handler.refused,
            },
            gauges={
                "flows": lambda: len(self.core),
                "requests_under_way": lambda: self.core.meter.busy,
                "flows_waiting": lambda: self.core.queue.openings,
                "requests_waiting": lambda: len(self.core.queue),
                "zone_drained": self.core.admission.is_zone_drained,
                "host_failing": self.core.monitor.requests.is_failing,
                "host_slow": self.core.service_times.slow_host.is_slow,
                "host_pace_ms": self.core.service_times.service_time_ms,
                "host_ready": lambda: self.host.phase is HostPhase.READY,
                "knows_all_flows": self.core.knowledge.is_certain,
                "agents": lambda: len(self.helper.pool),
                "searches": lambda: len(self.helper.searches),
                "log_lines_dropped": lambda: decisions.dropped,
            },
            latencies={
                "host": self.core.host_latency,
                "flow_wait": self.core.wait_latency,
                "flow_search": self.helper.searches.latency,
            },
        )
        self._metrics = metrics_server(settings.metrics_listen, settings.metrics_path, figures)

    def _record(self) -> NodeRecord:
        now = time.monotonic()
        return NodeRecord(
            name=self._settings.name,
            incarnation=self._incarnation,
            role=NodeRole.AGENT,
            zone=self._settings.zone,
            endpoint=self._advertised or self._frames.endpoint,
            service=self._settings.service,
            phase=HostPhase.GONE if self._gone else self.core.knowledge.host_phase(),
            capacity=self.host.capacity,
            slow_start_seconds=self.host.slow_start_seconds(now),
            host_zone="" if self.host.zone == self._settings.zone else self.host.zone,
            reads_terms=self._settings.policies.request_scheduling,
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set."""
        async with serving(self._host_calls, self._readiness, self._metrics):
            await self._serve(stop)
        logger.info("agent-stopped", **self.core.counters.figures())

    async def _serve(self, stop: asyncio.Event) -> None:
        self._frames.start()
        self._host_packets.start()
        logger.info(
            "agent-started",
            incarnation=self._incarnation,
            service=self._settings.service,
            zone=self._settings.zone,
        )
        jobs = [
            asyncio.create_task(self._link.run()),
            asyncio.create_task(self._sweep()),
            asyncio.create_task(self._check_host_presence()),
        ]
        await stop.wait()
        await wait_for_deregistration(self.host, self._settings.stop_grace_ms / 1000)
        self.core.release_held(time.monotonic())
        await self._deregister()
        for job in jobs:
            job.cancel()
        await asyncio.gather(*jobs, return_exceptions=True)
        self._frames.close()
        self._host_packets.close()

    async def _deregister(self) -> None:
        """Announce to the home replica that the host is gone, so that its flows are not awaited."""
        if not self.host.has_left() and not await self._is_without_host():
            return
        self._gone = True
        self._link.announce()
        await asyncio.sleep(DEREGISTRATION_SECONDS)

    async def _check_host_presence(self) -> None:
        """Announce at once if no host runs; one that runs announces itself."""
        if await self._is_without_host():
            self.core.record_host_absent(time.monotonic())
            self._link.announce()

    async def _is_without_host(self) -> bool:
        is_unknown = self.host.phase is HostPhase.UNKNOWN
        return is_unknown and await is_host_absent(self._host_endpoint)

    def _on_host_replaced(self) -> None:
        self.core.on_new_host(time.monotonic())

    def _on_frame(self, data: bytes, sender: SocketAddress) -> None:
        now = time.monotonic()
        kind = data[0] if data else 0
        if kind == FrameKind.LOCATE:
            self.helper.locate(data, sender, now)
        elif kind >= FrameKind.ACCEPTED:
            self.helper.receive_reply(data, sender, now)
        else:
            self.core.receive_frame(data, sender, now)
        self._ticks.ensure_scheduled()

    def _on_host_packet(self, data: bytes, _sender: SocketAddress) -> None:
        self.core.receive_host_packet(data, time.monotonic())

    def _send_to_host(self, packet: bytes) -> None:
        self._host_packets.send(packet, self._host_address)

    def _send_to_caller(self, packet: bytes, caller: SocketAddress) -> None:
        self._host_packets.send(packet, (caller[0], self._callers_port))

    async def _sweep(self) -> None:
        swept_at = time.monotonic()
        while True:
            await asyncio.sleep(QUEUE_CHECK_INTERVAL_SECONDS if self.core.queue else SWEEP_SECONDS)
            now = time.monotonic()
            self.core.admit_waiting(now)
            if now - swept_at >= SWEEP_SECONDS:
                swept_at = now
                self.core.sweep(now)
                self.helper.sweep(now)

    def _on_link_change(self, _is_linked: bool) -> None:
        """Do nothing: answers to the host do not depend on the link."""

    def _on_home_message(self, message: HomeMessage) -> None:
        """Handle updates of other agents, drained zones and the warm-up limits of the service."""
        now = time.monotonic()
        if isinstance(message, FleetUpdate):
            self.helper.fleet_changed(message, now)
        elif isinstance(message, DrainedZones):
            self.core.zones_changed(message, now)
        elif isinstance(message, WarmUpUpdate):
            self.core.warm_up.configure(message.version, message.warm_up)
        elif isinstance(message, HomeStatus):
            self._handle_status(message)

    def _handle_status(self, message: HomeStatus) -> None:
        """Update how long a flow may be idle; the longest time received counts."""
        if message.flow_idle_ms:
            idle_seconds = message.flow_idle_ms / 1000
            known = self.core.flow_idle_seconds
            is_longer = math.isinf(known) or idle_seconds > known
            self.core.flow_idle_seconds = idle_seconds if is_longer else known
