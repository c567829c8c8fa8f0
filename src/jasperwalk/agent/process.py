"""The agent process: wires the cores to sockets, control and the back end."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import random
from collections.abc import Awaitable

import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.admission import Admission, AdmissionLimits
from jasperwalk.agent.assembly import RequestAssembler
from jasperwalk.agent.backend import Backend
from jasperwalk.agent.borrower import SlotBorrower
from jasperwalk.agent.certificate_renewal import CertificateRenewal
from jasperwalk.agent.datagram_port import DatagramPort
from jasperwalk.agent.dispatcher import Dispatcher
from jasperwalk.agent.endpoint import AgentEndpoint
from jasperwalk.agent.gate import SlotGate
from jasperwalk.agent.health import BackendHealth
from jasperwalk.agent.lender import SlotLender
from jasperwalk.agent.local_run import LocalRun
from jasperwalk.agent.metrics import AgentCollector
from jasperwalk.agent.neighbours import Neighbours
from jasperwalk.agent.ports import open_ports
from jasperwalk.agent.quic_settings import server_configuration
from jasperwalk.agent.relay import RelayClient
from jasperwalk.agent.runner import RequestRunner
from jasperwalk.agent.service_view import ServiceView
from jasperwalk.agent.slot_asker import SlotAsker
from jasperwalk.distribution.follower import FollowerCore
from jasperwalk.distribution.follower_events import FollowerConfig, SubscriberFacts
from jasperwalk.distribution.follower_table import FollowerTable
from jasperwalk.distribution.runner import FollowerRunner
from jasperwalk.messages.distribution import SubscriberRole
from jasperwalk.observability import AdminServer, HealthFact, HealthReport, MetricsRegistry
from jasperwalk.runtime import stop_event
from jasperwalk.settings import AgentSettings
from jasperwalk.transport.framed import ConnectionKind, make_hello
from jasperwalk.transport.identity import ProcessRole
from jasperwalk.transport.tls import describe_links, link_tls_of

BOOT_ID_BYTES = 8
REPORT_SECONDS = 0.1
"""Interval at which the agent's state is told to the follower, and its incarnation read."""
LONGEST_DELIVERY_SECONDS = 5.0
"""Time for callers to acknowledge the last answers before a planned end of their flows."""
RENEWAL_PAUSE_SECONDS = 0.02
OLDEST_KEYS_SECONDS = 0.5
"""Interval at which the oldest keys in use are looked for."""
MONITOR_WITHOUT_SERVICE_SECONDS = 1.0
FAILURES_TO_OFFLINE = 3
"""Used before the service's own health monitor is known."""
NO_SLOTS = AdmissionLimits(slots=0, queue_length=0, queue_wait_ms=0)

logger = structlog.get_logger(__name__)


class Agent:
    """All parts of one agent. Its view of the service is replaced whole on every change."""

    def __init__(self, settings: AgentSettings) -> None:
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._boot_id = os.urandom(BOOT_ID_BYTES).hex()
        self._random = random.SystemRandom()
        self.view = ServiceView(address=settings.listen)
        configuration = server_configuration(
            str(settings.certificate_file), str(settings.private_key_file)
        )
        self.endpoint = AgentEndpoint(configuration, self.view, self._random)
        self.health = BackendHealth(FAILURES_TO_OFFLINE)
        self._backend = Backend(settings.backend, settings.name, self._loop.time)
        self._gate = SlotGate(Admission(NO_SLOTS))
        self._tls = link_tls_of(settings, ProcessRole.AGENT)
        self._relay = RelayClient(settings.name, settings.cluster_id, self._tls)
        self._certificate = CertificateRenewal(
            settings.certificate_file,
            settings.private_key_file,
            server_configuration,
            self._loop.time,
        )
        self._neighbours = Neighbours(self._random)
        self._connect_runner()
        if settings.hand_over_when_busy:
            self.endpoint.prefers = self._prefers
        self._newest_view = self.view
        """As the newest table has it; `view` lags behind while a move waits."""
        self._online_incarnation = 0
        """The incarnation that was last seen online."""
        self._stopped = asyncio.Event()

    def _connect_runner(self) -> None:
        gate, clock, lend = self._gate, self._loop.time, self._settings.lend_slots
        local_run = LocalRun(self._backend, gate, self.health, clock)

        def view() -> ServiceView:
            return self.view

        self.lender = SlotLender(gate, self.health, local_run, self._neighbours, view, clock, lend)
        self._asker = SlotAsker(self._relay, clock)
        self.borrower = SlotBorrower(gate, self._asker, self._neighbours, view, clock, lend)
        self.runner = RequestRunner(
            local_run, gate, self.borrower, self._relay, view, clock, self._random
        )

    def _prefers(self, member: Endpoint) -> bool:
        """Tell whether a new flow is better off at `member`: busy here, a free slot there."""
        busy = not self._gate.admission.free_slots
        return busy and self._neighbours.take_known_slot(member, self._loop.time())

    async def run(self) -> None:
        """Run until a stop signal, or until a newer process has this agent's address."""
        settings = self._settings
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._backend.close)
            stack.callback(self._asker.close)
            hello = make_hello(ConnectionKind.RELAY, settings.name, settings.cluster_id)
            ports = await open_ports(
                settings.listen,
                settings.fabric,
                self.endpoint,
                hello,
                self.runner.run_relayed,
                self.lender,
                self._tls,
            )
            stack.push_async_callback(ports.close)
            address = ports.address
            self.view = dataclasses.replace(self.view, address=address)
            dispatcher = self._connect_dispatcher(ports.datagrams)
            follower = self._follower(address)
            admin = self._admin(follower, dispatcher)
            await stack.enter_async_context(admin)
            for loop in (
                follower.run(),
                self._monitor(),
                self._report(follower),
                self._take_up_moves(dispatcher, ports.datagrams),
                self._renew_flows(follower, ports.datagrams),
                self._certificate.run(self.endpoint),
            ):
                stack.push_async_callback(_cancel, asyncio.ensure_future(loop))
            logger.info(
                "agent-started",
                address=str(address),
                admin=str(admin.endpoint),
                links=describe_links(self._tls),
            )
            await self._until_stopped(dispatcher, follower, ports.datagrams)

    def stop(self) -> None:
        """Stop as on a signal: end the requests in progress first."""
        self._stopped.set()

    def _connect_dispatcher(self, port: DatagramPort) -> Dispatcher:
        assembler = RequestAssembler(f"{self._settings.name}-{self._boot_id}")
        dispatcher = Dispatcher(
            self.endpoint,
            assembler,
            self.runner,
            lambda: self.view,
            self._settings.name,
            port.schedule,
        )
        port.dispatch = dispatcher.dispatch
        port.answers = self._relay.answers
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
            lambda table: self._table_changed(table, core.incarnation),
            on_replaced=lambda _: self.stop(),
            tls=self._tls,
        )

    def _admin(self, follower: FollowerRunner, dispatcher: Dispatcher) -> AdminServer:
        registry = MetricsRegistry("agent")
        collector = AgentCollector(
            self.endpoint,
            dispatcher,
            self.runner,
            self._gate.admission,
            self.borrower,
            self.lender,
        )
        registry.collectors.register(collector)

        def report() -> HealthReport:
            service = self.view.service
            facts = (
                HealthFact("service", "" if service is None else service.name),
                HealthFact("revision", self.view.revision),
                HealthFact("incarnation", self.view.incarnation),
                HealthFact("fresh", follower.fresh()),
                HealthFact("draining", self.view.draining),
                HealthFact("backend_healthy", self.health.healthy(self._loop.time())),
                HealthFact("open_flows", self.endpoint.open_flows),
                HealthFact("open_requests", dispatcher.open_requests),
            )
            return HealthReport(healthy=self.view.serving, facts=facts)

        return AdminServer(self._settings.admin_listen, registry, report)

    def _table_changed(self, table: FollowerTable, incarnation: int) -> None:
        newer = ServiceView.build(self.view.address, table.revision, incarnation, table.entries())
        self._newest_view = newer
        self._set_view(self.view.followed_by(newer))

    def _set_view(self, view: ServiceView) -> None:
        before, self.view = self.view, view
        self.endpoint.set_view(view)
        self._neighbours.forget_others(view.members)
        if view.service is not None and view.member is not None:
            limits = view.service.limits
            admission_limits = AdmissionLimits(
                view.member.slots, limits.queue_length, limits.queue_wait_ms
            )
            now = self._loop.time()
            self._gate.apply(self._gate.admission.set_limits(admission_limits, now))
            self.health.failures_to_offline = view.service.health_monitor.failures_to_offline
        if view.online and view.incarnation != self._online_incarnation:
            self._online_incarnation = view.incarnation
            self.endpoint.slow_start.begin(self._loop.time())
        if before.draining != view.draining:
            logger.info("draining-changed", draining=view.draining, revision=view.revision)
        if before.incarnation != view.incarnation:
            logger.info("incarnation-changed", incarnation=view.incarnation)

    async def _report(self, follower: FollowerRunner) -> None:
        while True:
            healthy = self.health.healthy(self._loop.time())
            follower.healthy = healthy and not self.view.stopping and not self.view.removed
            follower.open_flows = self.endpoint.open_flows
            self.endpoint.table_fresh = follower.fresh()
            if follower.incarnation != self.view.incarnation:
                # The incarnation comes with a heartbeat, not with a change of the table.
                self._set_view(dataclasses.replace(self.view, incarnation=follower.incarnation))
            await asyncio.sleep(REPORT_SECONDS)

    async def _take_up_moves(self, dispatcher: Dispatcher, port: DatagramPort) -> None:
        """Serve the service that this member was moved to, once no request of the former is open.

        The flows that are left rest; their callers are told at once that they ended.
        """
        while True:
            if self._is_moved():
                await self._idle(dispatcher)
            newest = self._newest_view
            if self._is_moved():
                self.endpoint.close_all()
                port.flush()
                self._set_view(dataclasses.replace(newest, incarnation=self.view.incarnation))
                logger.info("service-changed", revision=newest.revision)
            await asyncio.sleep(REPORT_SECONDS)

    def _is_moved(self) -> bool:
        moved = self.view.removed and self._newest_view.service is not None
        return moved and not self.view.stopping

    async def _renew_flows(self, follower: FollowerRunner, port: DatagramPort) -> None:
        """Tell open flows of a drain, move them to the active keys, report their oldest keys."""
        upkeep = self.endpoint.upkeep
        while True:
            while upkeep.renew_some_flows() | upkeep.send_some_go_aways():
                port.schedule()
                await asyncio.sleep(RENEWAL_PAUSE_SECONDS)
            oldest = self.endpoint.oldest_keys()
            follower.core.connection_id_generation = oldest.connection_id
            follower.core.stateless_reset_generation = oldest.stateless_reset
            await asyncio.sleep(OLDEST_KEYS_SECONDS)

    async def _monitor(self) -> None:
        while True:
            service = self.view.service
            if service is None:
                await asyncio.sleep(MONITOR_WITHOUT_SERVICE_SECONDS)
                continue
            monitor = service.health_monitor
            if await self._backend.check(monitor.path, monitor.timeout_ms / 1000):
                self.health.monitor_succeeded()
            else:
                self.health.monitor_failed()
            await asyncio.sleep(monitor.interval_ms / 1000)

    async def _until_stopped(
        self, dispatcher: Dispatcher, follower: FollowerRunner, port: DatagramPort
    ) -> None:
        signalled = stop_event()
        await _first_of(signalled.wait(), self._stopped.wait())
        self._set_view(dataclasses.replace(self.view, stopping=True))
        follower.healthy = False
        logger.info("agent-stopping", open_requests=dispatcher.open_requests)
        # A planned stop cuts no request in progress; a second signal ends the wait.
        signalled.clear()
        await _first_of(signalled.wait(), self._idle(dispatcher))
        dispatcher.cancel_all()
        self.endpoint.close_all()
        port.flush()
        logger.info("agent-stopped", open_requests=dispatcher.open_requests)

    async def _idle(self, dispatcher: Dispatcher) -> None:
        """Wait until no request is open, and callers have the answers or are silent."""
        patient_until = self._loop.time() + LONGEST_DELIVERY_SECONDS
        while True:
            now = self._loop.time()
            if dispatcher.open_requests + self._open_for_others():
                patient_until = now + LONGEST_DELIVERY_SECONDS
            elif not self.endpoint.has_undelivered_answers or now >= patient_until:
                return
            await asyncio.sleep(REPORT_SECONDS)

    def _open_for_others(self) -> int:
        """Count the requests in progress that came from other agents."""
        return self.runner.open_relayed + self.lender.open_slots


async def _first_of(*awaitables: Awaitable[object]) -> None:
    tasks = [asyncio.ensure_future(awaitable) for awaitable in awaitables]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()


async def _cancel(task: asyncio.Future[None]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def run_agent(settings: AgentSettings) -> None:
    """Run one agent until it is stopped. Raises `OSError` when a port can't be had."""
    await Agent(settings).run()
