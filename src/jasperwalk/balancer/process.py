"""The balancer process: the datagram socket, the follower of the table and the admin server.

The process serves established flows from its first table on, and new flows once its follower was
fresh; `jasperwalk.balancer.core` has the reasons.
"""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from typing import Final

from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.core import BalancerCore
from jasperwalk.balancer.metrics import BalancerCollector
from jasperwalk.balancer.queues import QueueDrop
from jasperwalk.balancer.receiver import DatagramReceiver
from jasperwalk.distribution.follower import FollowerCore
from jasperwalk.distribution.follower_events import FollowerConfig, SubscriberFacts
from jasperwalk.distribution.follower_table import FollowerTable
from jasperwalk.distribution.runner import FollowerRunner
from jasperwalk.messages.distribution import SubscriberRole
from jasperwalk.observability.admin import AdminServer, HealthFact, HealthReport
from jasperwalk.observability.logs import configure_logging, get_logger
from jasperwalk.observability.metrics import MetricsRegistry
from jasperwalk.routing.connection_ids import UnusableConnectionIdKey
from jasperwalk.runtime import stop_event
from jasperwalk.settings.models import BalancerSettings
from jasperwalk.transport.identity import ProcessRole
from jasperwalk.transport.tls import describe_links, link_tls_of

PROCESS_KIND: Final = "balancer"
MILLISECONDS_PER_SECOND: Final = 1000
FRESHNESS_POLL_SECONDS: Final = 0.05
"""Interval at which a starting balancer checks whether its follower is fresh."""


async def run_balancer(settings: BalancerSettings) -> None:
    """Serve until SIGTERM or SIGINT; raises `OSError` if a port cannot be bound."""
    configure_logging(PROCESS_KIND, settings.name, settings.log_level)
    process = BalancerProcess(settings)
    await process.run(stop_event())


class BalancerProcess:
    """One balancer process; `run` serves until its stop event is set."""

    def __init__(self, settings: BalancerSettings) -> None:
        """Open the datagram socket; raises `OSError` if the port cannot be bound."""
        self._logger = get_logger()
        # The socket comes first, because the follower announces its real port.
        self._receiver = DatagramReceiver(settings.listen)
        self._follower = _make_follower(settings, self._receiver.endpoint)
        self.core = BalancerCore(
            table=self._follower.table,
            agent_networks=settings.agent_networks,
            new_flows_per_second=settings.new_flows_per_second,
            now=time.monotonic(),
        )
        tls = link_tls_of(settings, ProcessRole.BALANCER)
        self._runner = FollowerRunner(
            self._follower,
            settings.cluster_id,
            on_table_change=self._table_changed,
            tls=tls,
        )
        self._links = describe_links(tls)
        registry = MetricsRegistry(PROCESS_KIND)
        registry.collectors.register(self._make_collector())
        self._admin = AdminServer(settings.admin_listen, registry, self._health)

    @property
    def endpoint(self) -> Endpoint:
        """The end point on which datagrams are received."""
        return self._receiver.endpoint

    @property
    def admin_endpoint(self) -> Endpoint:
        """The end point of /metrics and /healthz, with its real port once `run` serves."""
        return self._admin.endpoint

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set."""
        try:
            async with self._admin:
                await self._serve(stop)
        finally:
            self._receiver.stop()
        self._logger.info("balancer-stopped")

    async def _serve(self, stop: asyncio.Event) -> None:
        self._receiver.start(self.core)
        self._logger.info(
            "balancer-started",
            listen=str(self.endpoint),
            admin=str(self.admin_endpoint),
            links=self._links,
        )
        stopped = asyncio.create_task(stop.wait())
        following = asyncio.create_task(self._runner.run())
        awaiting_freshness = asyncio.create_task(self._await_freshness())
        try:
            await asyncio.wait((stopped, following), return_when=asyncio.FIRST_COMPLETED)
            if following.done():
                # A follower ends by itself only because of a defect; this raises its exception.
                following.result()
        finally:
            tasks = (stopped, following, awaiting_freshness)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _await_freshness(self) -> None:
        while not self._runner.fresh():
            await asyncio.sleep(FRESHNESS_POLL_SECONDS)
        self.core.accept_new_flows()
        self._logger.info("new-flows-accepted", revision=self._follower.table.revision)

    def _table_changed(self, table: FollowerTable) -> None:
        try:
            self.core.table_changed(table)
        except UnusableConnectionIdKey as error:
            self._logger.error("key-refused", kind=error.kind, detail=str(error))
        self._logger.info("table-in-force", revision=table.revision)

    def _make_collector(self) -> BalancerCollector:
        return BalancerCollector(
            counters=self.core.counters,
            send_failures=lambda: self._receiver.send_failures,
            queue_drops=self._queue_drops,
            revision=lambda: self._follower.table.revision,
            freshness_age_seconds=lambda: self._follower.freshness_age(time.monotonic()),
        )

    def _queue_drops(self) -> dict[QueueDrop, int]:
        return self._receiver.queue_drops()

    def _health(self) -> HealthReport:
        # A later loss of control does not make the process unhealthy: the last table still serves.
        return HealthReport(
            healthy=self.core.accepts_new_flows,
            facts=(
                HealthFact("revision", self._follower.table.revision),
                HealthFact("fresh", self._runner.fresh()),
                HealthFact("accepts_new_flows", self.core.accepts_new_flows),
            ),
        )


def _make_follower(settings: BalancerSettings, endpoint: Endpoint) -> FollowerCore:
    config = FollowerConfig(
        replica_stale_seconds=settings.replica_stale_ms / MILLISECONDS_PER_SECOND,
        acknowledge_interval_seconds=settings.heartbeat_ms / MILLISECONDS_PER_SECOND,
    )
    facts = SubscriberFacts(
        name=settings.name,
        role=SubscriberRole.BALANCER,
        zone=settings.zone,
        address=endpoint,
        boot_id=uuid.uuid4().hex,
    )
    return FollowerCore(config, facts, settings.control, random.Random())
