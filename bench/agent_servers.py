"""The processes around a measured agent: control, backend, fabric, and a bare HTTP/3 server."""

from __future__ import annotations

import asyncio
import logging
import socket
from ipaddress import IPv4Network
from multiprocessing.connection import Connection
from pathlib import Path

import structlog
import uvloop
from aiohttp import web
from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.asyncio.server import serve
from aioquic.h3.connection import H3Connection
from aioquic.h3.events import HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.events import ProtocolNegotiated, QuicEvent

from bench.forwarders import ANY_PORT, UNLIMITED_FLOWS_PER_SECOND
from bench.traffic import (
    DATAGRAM_KEY,
    INCARNATION,
    KEY,
    SERVICE_ID,
    VIP,
    member_entry,
    service_entry,
)
from jasperwalk.addresses import Endpoint
from jasperwalk.agent.process import Agent
from jasperwalk.balancer.agent_sockets import SOCKET_BUFFER_BYTES
from jasperwalk.balancer.core import BalancerCore
from jasperwalk.config.table_entries import KeyEntry, KeyPurpose, TableEntry
from jasperwalk.distribution.follower_table import FollowerTable
from jasperwalk.messages.codec import encode
from jasperwalk.messages.distribution import (
    FROM_SUBSCRIBER_DECODER,
    Heartbeat,
    Snapshot,
    Subscribe,
)
from jasperwalk.messages.proxy_protocol import ADDRESS_BLOCK_START, HEADER_LENGTH, destination_of
from jasperwalk.settings import AgentSettings
from jasperwalk.transport.framed import FramedConnection
from jasperwalk.transport.hello import ConnectionKind, make_hello
from jasperwalk.transport.server import FramedServer
from jasperwalk_lab.certificates import CertificateFiles

CLUSTER = "bench"
BODY = b"b" * 200
HEARTBEAT_SECONDS = 0.1
REVISION = 1
MAX_DATAGRAM_BYTES = 65_535


def agent_entries(agent: Endpoint) -> list[TableEntry]:
    """Return a table with one service whose only member is this agent."""
    keys = (
        KEY,
        DATAGRAM_KEY,
        KeyEntry(KeyPurpose.STATELESS_RESET, 0, b"r" * 32, True),
        KeyEntry(KeyPurpose.TICKET, 0, b"t" * 32, True),
    )
    return [service_entry(SERVICE_ID, VIP), member_entry(agent, SERVICE_ID), *keys]


def agent_core(agent: Endpoint) -> BalancerCore:
    """Return a balancer's core that knows this one agent."""
    table = FollowerTable()
    table.replace(REVISION, agent_entries(agent))
    core = BalancerCore(table, [IPv4Network("127.0.0.0/8")], UNLIMITED_FLOWS_PER_SECOND, now=0.0)
    core.accept_new_flows()
    return core


def run_control_and_backend(control: Connection) -> None:
    """Run control and a backend; send their endpoints, then that of the agent."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run_control_and_backend(control))


async def _run_control_and_backend(control: Connection) -> None:
    async def publish(connection: FramedConnection) -> None:
        subscribe = FROM_SUBSCRIBER_DECODER.decode(await connection.receive())
        assert isinstance(subscribe, Subscribe)
        control.send(subscribe.address)
        await connection.send(encode(Snapshot(REVISION, 0, 1, agent_entries(subscribe.address))))
        while True:
            await connection.send(encode(Heartbeat(REVISION, 0, INCARNATION)))
            await asyncio.sleep(HEARTBEAT_SECONDS)

    hello = make_hello(ConnectionKind.SUBSCRIBER, "control", CLUSTER)
    server = FramedServer(ANY_PORT, hello, {ConnectionKind.SUBSCRIBER: publish})
    await server.start()
    application = web.Application()
    application.router.add_get("/{path:.*}", _answer)
    backend = web.AppRunner(application, access_log=None)
    await backend.setup()
    await web.TCPSite(backend, ANY_PORT.host, ANY_PORT.port).start()
    host, port = backend.addresses[0][:2]
    control.send(server.endpoint)
    control.send(Endpoint(host, port))
    await asyncio.Event().wait()


async def _answer(_: web.Request) -> web.Response:
    return web.Response(body=BODY)


def run_fabric(control: Connection) -> None:
    """Forward the agent's answers to their callers; send the endpoint first."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    listener.bind((ANY_PORT.host, ANY_PORT.port))
    control.send(Endpoint(*listener.getsockname()))
    while True:
        data = listener.recv(MAX_DATAGRAM_BYTES)
        caller = Endpoint.unpack(destination_of(data[ADDRESS_BLOCK_START:HEADER_LENGTH]))
        listener.sendto(data[HEADER_LENGTH:], (caller.host, caller.port))


def run_measured_agent(
    replica: Endpoint, backend: Endpoint, fabric: Endpoint, files: CertificateFiles
) -> None:
    """Run a complete agent until the process is killed."""
    log_level = structlog.make_filtering_bound_logger(logging.WARNING)
    structlog.configure(wrapper_class=log_level)
    settings = AgentSettings(
        name="agent",
        cluster_id=CLUSTER,
        zone="bench",
        listen=ANY_PORT,
        admin_listen=ANY_PORT,
        control=[replica],
        backend=backend,
        fabric=fabric,
        certificate_file=Path(files.certificate_file),
        private_key_file=Path(files.private_key_file),
    )

    async def run() -> None:
        await Agent(settings).run()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


class BareProtocol(QuicConnectionProtocol):
    """Answers every request immediately, with the same body as the backend."""

    _http: H3Connection | None = None

    def quic_event_received(self, event: QuicEvent) -> None:
        """Handle one event of the connection."""
        if isinstance(event, ProtocolNegotiated):
            self._http = H3Connection(self._quic)
        if self._http is None:
            return
        for http_event in self._http.handle_event(event):
            if isinstance(http_event, HeadersReceived):
                headers = [(b":status", b"200"), (b"content-length", b"%d" % len(BODY))]
                self._http.send_headers(http_event.stream_id, headers)
                self._http.send_data(http_event.stream_id, BODY, end_stream=True)


def run_bare_server(control: Connection, files: CertificateFiles) -> None:
    """Run aioquic's own server without a backend; send its endpoint first."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve_bare(control, files))


async def _serve_bare(control: Connection, files: CertificateFiles) -> None:
    configuration = QuicConfiguration(is_client=False, alpn_protocols=["h3"])
    configuration.load_cert_chain(str(files.certificate_file), str(files.private_key_file))
    server = await serve(
        ANY_PORT.host, ANY_PORT.port, configuration=configuration, create_protocol=BareProtocol
    )
    # aioquic has no public way to ask for the port that the system chose.
    assert server._transport is not None
    control.send(Endpoint(*server._transport.get_extra_info("sockname")))
    await asyncio.Event().wait()
