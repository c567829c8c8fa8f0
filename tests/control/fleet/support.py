"""A cluster of control replicas of the datagram plane in one event loop, on loopback addresses."""

from __future__ import annotations

import asyncio

from jasperwalk.addresses import Endpoint
from jasperwalk.control.fleet.configurations import ConfigurationService, Unavailable
from jasperwalk.control.fleet.process import FleetControl
from jasperwalk.control.fleet.settings import FleetControlSettings
from jasperwalk.control.fleet.versioned_state import PutConfiguration
from jasperwalk.flows.routes import FlowRoute, RouteBackend
from jasperwalk.transport.http_messages import HttpResponse
from jasperwalk_lab.ports import common_port

ZONES = ("a", "b")
WAIT_LIMIT_SECONDS = 30.0
"""Limit of every wait; the tests assert nothing about durations."""


async def until(condition):
    """Wait until the condition holds."""
    async with asyncio.timeout(WAIT_LIMIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.02)


def configuration(version, service="web", text=b"text"):
    route = FlowRoute("r", Endpoint("198.18.0.1", 443), [RouteBackend(service, 1.0)])
    return PutConfiguration(version, text, [route])


class Replica:
    """One control process in the loop; it can be stopped, killed and started again."""

    def __init__(self, cluster, host, folder):
        self.cluster = cluster
        self.host = host
        self.folder = folder
        self.service: ConfigurationService | None = None
        self.process: FleetControl | None = None
        self._task: asyncio.Task | None = None

    def settings(self, founding):
        return FleetControlSettings(
            name=self.host,
            zone="a",
            data_folder=str(self.folder),
            operators_listen=f"{self.host}:{self.cluster.operators_port}",
            replica_listen=f"{self.host}:{self.cluster.replica_port}",
            seeds=[f"{host}:{self.cluster.operators_port}" for host in self.cluster.seeds],
            founding=founding,
            zones=list(ZONES),
        )

    def _interface(self, service, zone_orders, _port):
        self.service = service
        self.zone_orders = zone_orders

        async def handle(_request):
            return HttpResponse(404)

        return handle

    def start(self, founding=False):
        self.stop_event = asyncio.Event()
        self.process = FleetControl(self.settings(founding), self._interface)
        self._task = asyncio.create_task(self.process.run(self.stop_event))

    async def kill(self):
        """Cancel the process, without a transfer of leadership."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self.process = None

    async def stop(self):
        self.stop_event.set()
        await self._task
        self.process = None

    @property
    def fleet_replica(self):
        return None if self.process is None else self.process._replica

    @property
    def leads(self):
        return self.fleet_replica is not None and self.fleet_replica.runner.is_settled

    @property
    def version(self):
        return 0 if self.fleet_replica is None else self.fleet_replica.applier.state.held.version

    @property
    def voters(self):
        return (
            [] if self.fleet_replica is None else self.fleet_replica.runner.membership.voter_ids()
        )


class Cluster:
    """Replicas at 127.0.0.1 and on, of which the first three are the seeds."""

    def __init__(self, tmp_path, size):
        hosts = [f"127.0.0.{number}" for number in range(1, size + 1)]
        self.seeds = hosts[:3]
        self.replica_port = common_port(hosts)
        self.operators_port = common_port(hosts)
        self.replicas = [Replica(self, host, tmp_path / host) for host in hosts]

    async def __aenter__(self):
        for replica in self.replicas:
            replica.start(founding=True)
        await until(lambda: self.leader and len(self.leader.voters) == len(self.replicas))
        return self

    async def __aexit__(self, *_failure):
        for replica in self.replicas:
            if replica.process is not None:
                await replica.kill()

    @property
    def leader(self):
        return next((replica for replica in self.replicas if replica.leads), None)

    async def put(self, command):
        """Send a configuration to the leader until it is acknowledged."""
        return await self._until(lambda leader: leader.service.put(command), "acknowledged")

    async def order_zone(self, zone, drained):
        """Send an order for a zone to the leader until it is acknowledged."""
        return await self._until(
            lambda leader: leader.zone_orders.order(zone, drained), "zone-acknowledged"
        )

    async def _until(self, send, acknowledged):
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while True:
                leader = self.leader
                if leader is not None:
                    result = await send(leader)
                    if result.kind == acknowledged:
                        return result
                await asyncio.sleep(0.05)

    async def read(self):
        """Read at the leader; repeat while it has no recent quorum contact.

        That is the only reason for which a leader may have no answer. An old configuration, or
        none where one was acknowledged, is returned and fails the test that reads it.
        """
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while True:
                leader = self.leader
                if leader is not None:
                    result = leader.service.read()
                    if result not in (Unavailable("no quorum"), Unavailable("no leader")):
                        return result
                await asyncio.sleep(0.02)

    async def all_hold(self, version):
        await until(lambda: all(each.version == version for each in self.replicas if each.process))
