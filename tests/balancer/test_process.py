import asyncio
import contextlib
import json
import socket
import time

import aiohttp

from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.process import BalancerProcess
from jasperwalk.config.table_entries import (
    AdminState,
    HealthMonitor,
    KeyEntry,
    KeyPurpose,
    MemberEntry,
    Objective,
    OperatingStatus,
    ServiceEntry,
    ServiceLimits,
)
from jasperwalk.messages import codec
from jasperwalk.messages.datagrams import DatagramMessage
from jasperwalk.messages.distribution import (
    FROM_SUBSCRIBER_DECODER,
    Heartbeat,
    Snapshot,
    Subscribe,
    SubscriberRole,
)
from jasperwalk.messages.proxy_protocol import HEADER_PREFIX
from jasperwalk.settings.models import BalancerSettings
from jasperwalk.transport.hello import ConnectionKind, make_hello
from jasperwalk.transport.server import FramedServer

CLUSTER = "zagreb"
REVISION = 12
SERVICE_ID = 300
VIP = Endpoint("127.1.0.1", 443)
CALLER = Endpoint("127.9.9.9", 40_000)
HEARTBEAT_SECONDS = 0.05
INITIAL = (b"\xc0\x00\x00\x00\x01\x08" + b"12345678").ljust(1200, b"\x00")
PORTS = CALLER.port.to_bytes(2, "big") + VIP.port.to_bytes(2, "big")
DATAGRAM = HEADER_PREFIX + CALLER.pack()[:4] + VIP.pack()[:4] + PORTS + INITIAL


def make_entries(agent):
    service = ServiceEntry(
        SERVICE_ID,
        "urednik",
        "tenant",
        VIP,
        Objective.LEAST_IMBALANCE,
        ServiceLimits(16, 1000, 30_000, 10_000),
        HealthMonitor("/health", 1000, 500, 3),
    )
    online = (AdminState.ENABLED, OperatingStatus.ONLINE)
    member = MemberEntry(agent, SERVICE_ID, "host", "z", 100, 4, *online, 1)
    return [service, member, KeyEntry(KeyPurpose.CONNECTION_ID, 1, bytes(16), True)]


class Replica:
    """A control replica that sends a snapshot at once, and heartbeats once it is told to."""

    def __init__(self, entries):
        self.entries = entries
        self.has_quorum = asyncio.Event()
        self.subscribed = asyncio.get_running_loop().create_future()
        hello = make_hello(ConnectionKind.SUBSCRIBER, "replica", CLUSTER, sender_id=1)
        handlers = {ConnectionKind.SUBSCRIBER: self.serve}
        self.server = FramedServer(Endpoint("127.0.0.1", 0), hello, handlers)

    async def serve(self, connection):
        message = FROM_SUBSCRIBER_DECODER.decode(await connection.receive())
        self.subscribed.set_result(message)
        connection.write(codec.encode(Snapshot(REVISION, 0, 1, self.entries)))
        await self.has_quorum.wait()
        while True:
            connection.write(codec.encode(Heartbeat(REVISION, 0, 0)))
            await asyncio.sleep(HEARTBEAT_SECONDS)


@contextlib.asynccontextmanager
async def running(control):
    any_port = Endpoint("127.0.0.1", 0)
    settings = BalancerSettings(
        name="balancer-1",
        cluster_id=CLUSTER,
        zone="z",
        control=[control],
        listen=any_port,
        admin_listen=any_port,
    )
    process = BalancerProcess(settings)
    stop = asyncio.Event()
    task = asyncio.create_task(process.run(stop))
    try:
        yield process
    finally:
        stop.set()
        await asyncio.wait_for(task, timeout=10)


async def fetch(process, path):
    url = f"http://{process.admin_endpoint}{path}"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        return response.status, await response.text()


async def await_true(condition):
    give_up_at = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < give_up_at
        await asyncio.sleep(0.01)


async def await_revision(process):
    async with asyncio.timeout(10):
        while json.loads((await fetch(process, "/healthz"))[1])["revision"] != REVISION:
            await asyncio.sleep(0.01)


async def scenario(agent, sender):
    loop = asyncio.get_running_loop()
    replica = Replica(make_entries(Endpoint(*agent.getsockname())))
    await replica.server.start()
    async with running(replica.server.endpoint) as process:
        subscribe = await asyncio.wait_for(replica.subscribed, timeout=10)
        assert isinstance(subscribe, Subscribe)
        assert subscribe.role is SubscriberRole.BALANCER
        assert subscribe.address == process.endpoint
        target = (process.endpoint.host, process.endpoint.port)

        await await_revision(process)
        counters = process.core.counters
        sender.sendto(DATAGRAM, target)
        await await_true(lambda: sum(counters.dropped.values()) == 1)
        status, body = await fetch(process, "/healthz")
        assert (status, json.loads(body)["accepts_new_flows"]) == (503, False)

        replica.has_quorum.set()
        await await_true(lambda: process.core.accepts_new_flows)
        sender.sendto(DATAGRAM, target)
        data = await asyncio.wait_for(loop.sock_recv(agent, 4096), timeout=10)
        assert (await fetch(process, "/healthz"))[0] == 200

        # Control is lost; the last table still serves.
        await replica.server.close()
        sender.sendto(DATAGRAM, target)
        again = await asyncio.wait_for(loop.sock_recv(agent, 4096), timeout=10)
        _, metrics = await fetch(process, "/metrics")
    return data, again, metrics


def test_a_balancer_follows_control_and_outlives_it():
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as agent,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
    ):
        agent.bind(("127.0.0.1", 0))
        agent.setblocking(False)
        data, again, metrics = asyncio.run(scenario(agent, sender))
    message = codec.Decoder(DatagramMessage).decode(data)
    assert (message.service_id, message.revision) == (SERVICE_ID, REVISION)
    assert message.payload == INITIAL
    assert again == data
    assert 'jasperwalk_balancer_datagrams_forwarded_total{class="new"} 2.0' in metrics
    assert f"jasperwalk_balancer_table_revision {REVISION}.0" in metrics
    assert 'jasperwalk_balancer_datagrams_dropped_total{reason="no-fresh-table"} 1.0' in metrics
    assert 'jasperwalk_balancer_datagrams_dropped_total{reason="queue-full"} 0.0' in metrics
    assert 'jasperwalk_balancer_datagrams_dropped_total{reason="opening-queue-full"} 0.0' in metrics
