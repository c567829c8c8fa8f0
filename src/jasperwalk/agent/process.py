"""The agent process: connects the sans-IO cores to sockets, control and the backend."""

from __future__ import annotations

import asyncio
import contextlib
import math
import os
import random
from collections.abc import Coroutine

import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.admission import Admission, AdmissionLimits
from jasperwalk.agent.assembly import RequestAssembler
from jasperwalk.agent.backend import Backend
from jasperwalk.agent.background import (
    apply_moves,
    exchange_state,
    monitor_backend,
    renew_flows,
)
from jasperwalk.agent.borrower import SlotBorrower
from jasperwalk.agent.certificate_renewal import CertificateRenewal
from jasperwalk.agent.current_view import CurrentView
from jasperwalk.agent.datagram_port import DatagramPort
from jasperwalk.agent.dispatcher import Dispatcher
from jasperwalk.agent.endpoint import AgentEndpoint
from jasperwalk.agent.graceful_close import GracefulClose
from jasperwalk.agent.health import BackendHealth
from jasperwalk.agent.health_report import AgentHealth
from jasperwalk.agent.lender import SlotLender
from jasperwalk.agent.lending_client import LendingClient
from jasperwalk.agent.local_runner import LocalRunner
from jasperwalk.agent.metrics import AgentCollector
from jasperwalk.agent.peer_slots import PeerSlots
from jasperwalk.agent.ports import AgentPorts, open_ports
from jasperwalk.agent.quic_settings import server_configuration
from jasperwalk.agent.relay import RelayClient
from jasperwalk.agent.runner import RequestRunner
from jasperwalk.agent.service_view import ServiceView
from jasperwalk.agent.slot_allocator import SlotAllocator
from jasperwalk.agent.tasks import cancel, first_of
from jasperwalk.distribution.follower import FollowerCore
from jasperwalk.distribution.follower_events import FollowerConfig, SubscriberFacts
from jasperwalk.distribution.runner import FollowerRunner
from jasperwalk.messages.distribution import SubscriberRole
from jasperwalk.observability.admin import AdminServer
from jasperwalk.observability.metrics import MetricsRegistry
from jasperwalk.runtime import stop_event
from jasperwalk.settings import AgentSettings
from jasperwalk.transport.hello import ConnectionKind, make_hello
from jasperwalk.transport.identity import ProcessRole
from jasperwalk.transport.tls import describe_links, link_tls_of

BOOT_ID_BYTES = 8
FAILURES_TO_OFFLINE = 3
"""Used until the service's health monitor is known."""
NO_SLOTS = AdmissionLimits(slots=0, queue_length=0, queue_wait_ms=0)

logger = structlog.get_logger(__name__)


class Agent:
    """All components of one agent, and the order in which they start and stop."""

    def __init__(self, settings: AgentSettings) -> None:
        self._settings = settings
        self._clock = asyncio.get_running_loop().time
        self._boot_id = os.urandom(BOOT_ID_BYTES).hex()
        self._random = random.SystemRandom()
        self._stopped = asyncio.Event()
        self._tls = link_tls_of(settings, ProcessRole.AGENT)
        view = ServiceView(address=settings.listen)
        self.endpoint = self._make_endpoint(view)
        certificate = (settings.certificate_file, settings.private_key_file)
        self._certificate = CertificateRenewal(*certificate, server_configuration, self._clock)
        self.health = BackendHealth(FAILURES_TO_OFFLINE)
        self._backend = Backend(settings.backend, settings.name, self._clock)
        self._allocator = SlotAllocator(Admission(NO_SLOTS))
        self._peers = PeerSlots(self._random)
        self._current = CurrentView(
            view, self.endpoint, self._allocator, self.health, self._peers, self._clock
        )
        self._make_runner()

    @property
    def view(self) -> ServiceView:
        """Return the current view of the service."""
        return self._current.get()

    def _make_endpoint(self, view: ServiceView) -> AgentEndpoint:
        settings = self._settings
        configuration = server_configuration(
            str(settings.certificate_file), str(settings.private_key_file)
        )
        endpoint = AgentEndpoint(configuration, view, self._random)
        if settings.hand_over_when_busy:
            endpoint.prefers_peer = self._prefers_peer
        return endpoint

    def _make_runner(self) -> None:
        settings, allocator, clock = self._settings, self._allocator, self._clock
        peers, view, lend = self._peers, self._current.get, settings.lend_slots
        local_runner = LocalRunner(self._backend, allocator, self.health, clock)
        self._relay = RelayClient(settings.name, settings.cluster_id, self._tls)
        self._lending_client = LendingClient(self._relay, clock)
        self.lender = SlotLender(allocator, self.health, local_runner, peers, view, clock, lend)
        self.borrower = SlotBorrower(allocator, self._lending_client, peers, view, clock, lend)
        self.runner = RequestRunner(
            local_runner, allocator, self.borrower, self._relay, view, clock, self._random
        )

    def _prefers_peer(self, member: Endpoint) -> bool:
        """Return whether `member` should take a new flow: no free slot here, a known one there."""
        busy = not self._allocator.admission.free_slots
        return busy and self._peers.take_known_slot(member, self._clock())

    async def run(self) -> None:
        """Run until a stop signal, or until a newer process has registered with this address."""
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._backend.close)
            stack.callback(self._lending_client.close)
            ports = await self._open_ports()
            stack.push_async_callback(ports.close)
            self._current.bind(ports.address)
            dispatcher = self._connect_dispatcher(ports.datagrams)
            follower = self._follower(ports.address)
            admin = self._admin(follower, dispatcher)
            await stack.enter_async_context(admin)
            graceful_close = self._graceful_close(dispatcher, ports.datagrams)
            for loop in self._loops(follower, graceful_close, ports.datagrams):
                stack.push_async_callback(cancel, asyncio.ensure_future(loop))
            logger.info(
                "agent-started",
                address=str(ports.address),
                admin=str(admin.endpoint),
                links=describe_links(self._tls),
            )
            await self._wait_until_stopped(dispatcher, follower, graceful_close)

    def stop(self) -> None:
        """Stop as on a signal: requests in progress are completed first."""
        self._stopped.set()

    async def _open_ports(self) -> AgentPorts:
        settings = self._settings
        return await open_ports(
            settings.listen,
            settings.fabric,
            self.endpoint,
            make_hello(ConnectionKind.RELAY, settings.name, settings.cluster_id),
            self.runner.run_relayed,
            self.lender,
            self._tls,
        )

    def _connect_dispatcher(self, port: DatagramPort) -> Dispatcher:
        assembler = RequestAssembler(f"{self._settings.name}-{self._boot_id}")
        dispatcher = Dispatcher(
            self.endpoint,
            assembler,
            self.runner,
            self._current.get,
            self._settings.name,
            port.schedule,
        )
        port.dispatch = dispatcher.dispatch
        port.is_alive = self._relay.is_alive
        return dispatcher

    def _follower(self, address: Endpoint) -> FollowerRunner:
        settings = self._settings
        config = FollowerConfig(
            replica_stale_seconds=settings.replica_stale_ms / 1000,
            acknowledge_interval_seconds=settings.heartbeat_ms / 1000,
        )
        facts = SubscriberFacts(
            name=settings.name,
            role=SubscriberRole.AGENT,
            zone=settings.zone,
            address=address,
            boot_id=self._boot_id,
        )
        core = FollowerCore(config, facts, settings.control, self._random)
        return FollowerRunner(
            core,
            settings.cluster_id,
            lambda table: self._current.table_changed(table, core.incarnation),
            on_replaced=lambda _: self.stop(),
            tls=self._tls,
        )

    def _admin(self, follower: FollowerRunner, dispatcher: Dispatcher) -> AdminServer:
        registry = MetricsRegistry("agent")
        collector = AgentCollector(
            self.endpoint,
            dispatcher,
            self.runner,
            self._allocator.admission,
            self.borrower,
            self.lender,
        )
        registry.collectors.register(collector)
        health = AgentHealth(
            self._current, follower, self.health, self.endpoint, dispatcher, self._clock
        )
        return AdminServer(self._settings.admin_listen, registry, health.report)

    def _graceful_close(self, dispatcher: Dispatcher, port: DatagramPort) -> GracefulClose:
        return GracefulClose(self.endpoint, dispatcher, self.runner, self.lender, port, self._clock)

    def _loops(
        self, follower: FollowerRunner, graceful_close: GracefulClose, port: DatagramPort
    ) -> tuple[Coroutine[None, None, None], ...]:
        """Return the background tasks, in the order in which they are started."""
        return (
            follower.run(),
            monitor_backend(self._backend, self.health, self._current),
            exchange_state(follower, self.endpoint, self.health, self._current, self._clock),
            apply_moves(self._current, graceful_close),
            renew_flows(follower, self.endpoint, port),
            self._certificate.run(self.endpoint),
        )

    async def _wait_until_stopped(
        self, dispatcher: Dispatcher, follower: FollowerRunner, graceful_close: GracefulClose
    ) -> None:
        signalled = stop_event()
        await first_of(signalled.wait(), self._stopped.wait())
        self._current.set_stopping()
        follower.healthy = False
        logger.info("agent-stopping", open_requests=dispatcher.open_requests)
        # A planned stop cancels no request within its grace time; a second signal ends the wait.
        signalled.clear()
        await first_of(signalled.wait(), graceful_close.wait_until_idle(self._stop_grace_seconds()))
        cut = dispatcher.open_requests
        graceful_close.cancel_requests()
        graceful_close.close_flows()
        logger.info("agent-stopped", requests_cut=cut)

    def _stop_grace_seconds(self) -> float:
        grace_ms = self._settings.stop_grace_ms
        return grace_ms / 1000 if grace_ms else math.inf


async def run_agent(settings: AgentSettings) -> None:
    """Run one agent until it is stopped. Raises `OSError` when a port can't be opened."""
    await Agent(settings).run()
