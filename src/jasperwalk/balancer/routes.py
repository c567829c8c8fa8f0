"""Forwarding state that a balancer derives from its table: a route for each listener in use."""

from __future__ import annotations

import struct
from collections.abc import Iterable, Sequence
from ipaddress import IPv4Address, IPv4Network
from typing import Final, Protocol

from jasperwalk.addresses import PACKED_ENDPOINT_LENGTH, Endpoint
from jasperwalk.balancer.forwarding import encode_prefix
from jasperwalk.balancer.outcomes import SocketAddress
from jasperwalk.config.table_entries import KeyEntry, KeyPurpose, MemberEntry, ServiceEntry
from jasperwalk.routing.connection_ids import (
    SERVICE_ID_END,
    SERVICE_ID_START,
    pack_service_id,
)

MAX_DESTINATIONS: Final = 65_536
"""Agents that a route keeps; a full set is cleared."""

HOST_LENGTH: Final = 4
"""Bytes of the host in a packed end point."""

VipKey = tuple[int, int]
"""A listener's host and port as numbers, the cheapest key to read from a datagram."""

unpack_vip: Final = struct.Struct("!20xI2xH").unpack_from
"""Reads the destination of a PROXY header: host and port."""


class RoutingTable(Protocol):
    """The part of a follower's table that a balancer reads."""

    revision: int

    def service_at(self, listener: Endpoint) -> ServiceEntry | None:
        """Return the service whose listener is this VIP and port."""
        ...

    def member(self, address: Endpoint) -> MemberEntry | None:
        """Return the member at this forwarding address."""
        ...

    def members_of(self, service_id: int) -> Iterable[MemberEntry]:
        """Return the members of a service's pool."""
        ...

    def keys_for(self, purpose: KeyPurpose) -> Sequence[KeyEntry]:
        """Return the fleet keys of one purpose."""
        ...


class ServiceRoute:
    """Forwarding state of one service at the table's revision.

    `destinations` holds the agents that were seen, by the first nine bytes of a server ID (address
    and service). All of them were checked: the service is this one and the address lies in the
    agents' networks.
    """

    __slots__ = ("destinations", "packed_service_id", "prefix", "service_id")

    def __init__(self, service_id: int, revision: int) -> None:
        self.destinations: dict[bytes, SocketAddress] = {}
        self.service_id = service_id
        self.packed_service_id = pack_service_id(service_id)
        self.prefix = encode_prefix(service_id, revision)

    def names_service(self, server_id: bytes) -> bool:
        """Tell whether a decoded server ID names this route's service."""
        return server_id[SERVICE_ID_START:SERVICE_ID_END] == self.packed_service_id

    def add_destination(self, server_id: bytes, destination: SocketAddress) -> None:
        """Keep an agent that was checked, for the fast path."""
        if len(self.destinations) >= MAX_DESTINATIONS:
            self.destinations.clear()
        self.destinations[server_id[:SERVICE_ID_END]] = destination


class RouteTable:
    """The routes of one state of the table, created when datagrams need them."""

    def __init__(self, table: RoutingTable) -> None:
        self._table = table
        self.routes: dict[VipKey, ServiceRoute] = {}
        """Read by the fast path; `find` fills it."""

    def find(self, datagram: bytes) -> ServiceRoute | None:
        """Return the route of a datagram's listener, None for an unknown one."""
        vip_host, vip_port = unpack_vip(datagram)
        route = self.routes.get((vip_host, vip_port))
        if route is not None:
            return route
        service = self._table.service_at(Endpoint(str(IPv4Address(vip_host)), vip_port))
        if service is None:
            return None
        route = ServiceRoute(service.service_id, self._table.revision)
        self.routes[vip_host, vip_port] = route
        return route


class AgentNetworks:
    """The networks of the agents: nothing is sent outside them."""

    def __init__(self, networks: Sequence[IPv4Network]) -> None:
        self._networks = [
            (int(network.network_address), int(network.netmask)) for network in networks
        ]

    def resolve(self, packed_address: bytes) -> SocketAddress | None:
        """Return an agent's address for the socket; None outside the networks."""
        address = Endpoint.unpack(packed_address[:PACKED_ENDPOINT_LENGTH])
        host = int.from_bytes(packed_address[:HOST_LENGTH], "big")
        if address.port and any(host & mask == base for base, mask in self._networks):
            return (address.host, address.port)
        return None
