"""The control process: one replica with its operators' interface."""

from __future__ import annotations

import asyncio
import random

from jasperwalk.addresses import Endpoint
from jasperwalk.control.api import ControlApi
from jasperwalk.control.leader_duties import DutiesConfig
from jasperwalk.control.replica import ControlReplica, ReplicaConfig
from jasperwalk.distribution.publisher_events import PublisherConfig
from jasperwalk.membership.liveness import LivenessConfig
from jasperwalk.observability.admin import HealthFact, HealthReport
from jasperwalk.observability.logs import configure_logging, get_logger
from jasperwalk.observability.metrics import MetricsRegistry
from jasperwalk.runtime import stop_event
from jasperwalk.settings.models import ControlSettings
from jasperwalk.transport.identity import ProcessRole
from jasperwalk.transport.tls import LinkTls, describe_links, link_tls_of

PROCESS_KIND = "control"
MILLISECONDS_PER_SECOND = 1000
SEED_BITS = 64
"""Bits of the seed of election timeouts, so that replicas draw different ones."""


async def run_control(settings: ControlSettings) -> None:
    """Serve until SIGTERM or SIGINT.

    Raises `OSError` when a port cannot be opened, `StorageError` for a data folder that is
    corrupt or belongs to another replica, and `UnusableCertificate`.
    """
    configure_logging(PROCESS_KIND, settings.name, settings.log_level)
    seed = random.SystemRandom().getrandbits(SEED_BITS)
    config = replica_config_of(settings)
    api_tls = None if settings.tls is None or not settings.tls.api else config.tls
    process = ControlProcess(config, settings.api_listen, random.Random(seed), api_tls)
    await process.run(stop_event())


class ControlProcess:
    """Owns a replica and its API; `run` serves until its stop event is set."""

    def __init__(
        self,
        config: ReplicaConfig,
        api_listen: Endpoint,
        random_source: random.Random,
        api_tls: LinkTls | None = None,
    ) -> None:
        self._links = describe_links(config.tls)
        self._logger = get_logger()
        registry = MetricsRegistry(PROCESS_KIND)
        self.replica = ControlReplica(config, registry, random_source)
        self._api = ControlApi(api_listen, self.replica, registry, self._health, api_tls)

    @property
    def api_endpoint(self) -> Endpoint:
        """The endpoint of the operators' interface, with its actual port once `run` serves."""
        return self._api.endpoint

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set; raises the failure of a component."""
        try:
            await self.replica.start()
            await self._api.start()
            self._logger.info(
                "control-started",
                replica_id=self.replica.replica_id,
                peer_listen=str(self.replica.endpoint),
                api_listen=str(self.api_endpoint),
                links=self._links,
            )
            await self._serve(stop)
        finally:
            await self._api.close()
            await self.replica.close()
        self._logger.info("control-stopped")

    async def _serve(self, stop: asyncio.Event) -> None:
        stopped = asyncio.create_task(stop.wait())
        serving = asyncio.create_task(self.replica.run())
        try:
            await asyncio.wait((stopped, serving), return_when=asyncio.FIRST_COMPLETED)
            if serving.done():
                serving.result()
            await self.replica.runner.transfer_leadership()
        finally:
            stopped.cancel()
            serving.cancel()
            await asyncio.gather(stopped, serving, return_exceptions=True)

    def _health(self) -> HealthReport:
        runner = self.replica.runner
        return HealthReport(
            healthy=not runner.is_displaced,
            facts=(
                HealthFact("replica_id", self.replica.replica_id),
                HealthFact("leader_id", runner.leader_id or 0),
                HealthFact("has_quorum", self.replica.has_quorum()),
                HealthFact("term", runner.term),
                HealthFact("commit_index", runner.commit_index),
                HealthFact("revision", self.replica.state.revision),
                HealthFact("displaced", runner.is_displaced),
            ),
        )


def replica_config_of(settings: ControlSettings) -> ReplicaConfig:
    """Convert the settings file into the replica's settings."""
    peers = {peer.replica_id: peer.address for peer in settings.peers}
    offline_seconds = settings.offline_ms / MILLISECONDS_PER_SECOND
    return ReplicaConfig(
        name=settings.name,
        cluster_id=settings.cluster_id,
        replica_id=settings.replica_id,
        data_folder=settings.data_folder,
        peer_listen=settings.peer_listen,
        peers=peers,
        platform_list_url=settings.platform_list_url,
        platform_poll_seconds=settings.platform_poll_ms / MILLISECONDS_PER_SECOND,
        publisher=PublisherConfig(
            heartbeat_seconds=settings.heartbeat_ms / MILLISECONDS_PER_SECOND
        ),
        duties=DutiesConfig(liveness=LivenessConfig(offline_after_seconds=offline_seconds)),
        tls=link_tls_of(settings, ProcessRole.CONTROL),
    )
