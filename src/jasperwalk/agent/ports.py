"""The agent's ports, with the same number: UDP for forwarded datagrams, TCP for other agents."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.datagram_port import DatagramPort, open_datagram_port
from jasperwalk.agent.endpoint import AgentEndpoint
from jasperwalk.agent.lending import Lender, serve_lending
from jasperwalk.agent.relay_server import RelayHandler, serve_relay
from jasperwalk.transport.framed import FramedConnection
from jasperwalk.transport.hello import ConnectionKind, Hello
from jasperwalk.transport.server import FramedServer
from jasperwalk.transport.tls import LinkTls

PORT_ATTEMPTS = 16
"""Port numbers tried if the system chooses one: its free UDP port may be in use for TCP."""


@dataclass(frozen=True)
class AgentPorts:
    """Both open ports and their common endpoint."""

    address: Endpoint
    datagrams: DatagramPort
    relay: FramedServer

    async def close(self) -> None:
        """Close both ports."""
        await self.relay.close()
        self.datagrams.close()


async def open_ports(
    listen: Endpoint,
    fabric: Endpoint,
    endpoint: AgentEndpoint,
    hello: Hello,
    handler: RelayHandler,
    lender: Lender,
    tls: LinkTls | None = None,
) -> AgentPorts:
    """Open both ports; raise `OSError` if they can't be opened."""
    attempts = PORT_ATTEMPTS if listen.port == 0 else 1
    for _ in range(attempts - 1):
        with contextlib.suppress(OSError):
            return await _open_once(listen, fabric, endpoint, hello, handler, lender, tls)
    return await _open_once(listen, fabric, endpoint, hello, handler, lender, tls)


async def _open_once(
    listen: Endpoint,
    fabric: Endpoint,
    endpoint: AgentEndpoint,
    hello: Hello,
    handler: RelayHandler,
    lender: Lender,
    tls: LinkTls | None,
) -> AgentPorts:
    datagrams, address = await open_datagram_port(endpoint, listen, fabric)

    async def serve(connection: FramedConnection) -> None:
        await serve_relay(connection, handler)

    async def lend(connection: FramedConnection) -> None:
        await serve_lending(connection, lender)

    handlers = {ConnectionKind.RELAY: serve, ConnectionKind.LENDING: lend}
    relay = FramedServer(address, hello, handlers, tls=tls)
    try:
        await relay.start()
    except OSError:
        datagrams.close()
        raise
    return AgentPorts(address, datagrams, relay)
