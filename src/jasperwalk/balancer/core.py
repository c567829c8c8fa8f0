"""The balancer's decision for each datagram, without sockets, clocks or per-flow state.

A packet of an established flow has its agent's address in its connection ID and is forwarded
without consulting the pool, so it reaches its agent whatever this balancer knows of members. Only a
new flow needs candidates. State between datagrams depends on the table alone (a route for each
listener, prepared pools) or is bounded (a route's agents), so memory does not grow with the number
of flows.

A balancer's table may be old. New flows are served only after the follower was fresh once, because
an empty or very old table would send them to backends that left long ago. When control is lost
later, the balancer continues with its last table: agents check service and incarnation of every
packet and hand over the flows that they should not take, whereas a balancer that stopped would turn
the loss of control into a loss of service.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Sequence
from ipaddress import IPv4Network
from typing import Final

from jasperwalk.addresses import PACKED_ENDPOINT_LENGTH, Endpoint
from jasperwalk.balancer.forwarding import (
    ESTABLISHED_HEADS,
    MAX_PAYLOAD_BYTES,
    PAYLOAD_HEADS,
    encode_candidates,
)
from jasperwalk.balancer.new_flows import NewFlows
from jasperwalk.balancer.outcomes import (
    DatagramCounters,
    DropReason,
    Forward,
    Outcomes,
    SocketAddress,
)
from jasperwalk.balancer.routes import AgentNetworks, RouteTable, RoutingTable, ServiceRoute
from jasperwalk.config.table_entries import (
    KeyEntry,
    KeyPurpose,
    OperatingStatus,
)
from jasperwalk.messages.datagram_seal import DatagramSeal
from jasperwalk.messages.proxy_protocol import (
    ADDRESS_BLOCK_START,
    HEADER_LENGTH,
    HEADER_PREFIX,
)
from jasperwalk.routing.connection_ids import (
    CONNECTION_ID_LENGTH,
    SERVICE_ID_END,
    ConnectionIdCodec,
)
from jasperwalk.routing.quic_packets import (
    FIXED_BIT,
    LONG_HEADER_BIT,
    PacketHeader,
    PacketKind,
    classify,
)
from jasperwalk.routing.rendezvous import CandidatePair

MAX_DATAGRAM_BYTES: Final = HEADER_LENGTH + MAX_PAYLOAD_BYTES
"""Largest datagram from the fabric, in bytes."""

unpack_short_header: Final = struct.Struct("!16s4xI2xHBB16sx").unpack_from
"""Reads the fields that the fast path needs, in one call.

The fields: constant part of the PROXY header, VIP's host and port, first octet of the packet, first
octet of the connection ID, its encrypted block, and one more byte, without which a short header
packet is malformed.
"""

OPENING_KINDS: Final = frozenset((PacketKind.INITIAL, PacketKind.UNKNOWN_VERSION))
"""Packets that go to a candidate when their connection ID names no agent."""

UNROUTABLE_REASONS: Final = {
    PacketKind.SHORT: DropReason.UNROUTABLE_SHORT,
    PacketKind.ZERO_RTT: DropReason.UNROUTABLE_ZERO_RTT,
    PacketKind.HANDSHAKE: DropReason.UNROUTABLE_HANDSHAKE,
    PacketKind.MALFORMED: DropReason.MALFORMED_PACKET,
}


class BalancerCore:
    """Decides where each datagram is forwarded, or why it is dropped."""

    def __init__(
        self,
        table: RoutingTable,
        agent_networks: Sequence[IPv4Network],
        new_flows_per_second: float,
        now: float,
    ) -> None:
        self.counters = DatagramCounters()
        self._table = table
        self._networks = AgentNetworks(agent_networks)
        self._new_flows = NewFlows(table, new_flows_per_second, now)
        self._routes = RouteTable(table)
        self._keys: list[KeyEntry] = []
        self._seal = DatagramSeal()
        self._codec = ConnectionIdCodec(())
        self._decryptors = self._codec.decryptors
        self.table_changed(table)

    @property
    def accepts_new_flows(self) -> bool:
        """Whether new flows are accepted; see `accept_new_flows`."""
        return self._new_flows.accepted

    def table_changed(self, table: RoutingTable) -> None:
        """Apply the table's new state, in time proportional to the listeners in use.

        Raises `UnusableConnectionIdKey`, after which the former keys stay in use.
        """
        self._table = table
        self._routes = RouteTable(table)
        self._new_flows.table_changed(table)
        self._seal = DatagramSeal(table.keys_for(KeyPurpose.DATAGRAM))
        keys = list(table.keys_for(KeyPurpose.CONNECTION_ID))
        if keys != self._keys:
            self._codec = ConnectionIdCodec(keys)
            self._decryptors = self._codec.decryptors
            self._keys = keys

    def accept_new_flows(self) -> None:
        """Accept new flows from now on, until the process ends; called once the table is fresh."""
        self._new_flows.accepted = True

    def agent_refused(self, agent: SocketAddress, now: float) -> None:
        """Record that nothing listened at an agent's address a moment ago."""
        self._new_flows.agent_refused(agent, now)

    def handle(self, datagram: bytes, now: float) -> Forward | DropReason:
        """Decide for one datagram from the fabric; never raises."""
        outcomes = self.handle_all((datagram,), now)
        for destination, datagrams in outcomes.by_agent.items():
            return Forward(destination, datagrams[0])
        return outcomes.others[0]

    def handle_all(self, datagrams: Iterable[bytes], now: float) -> Outcomes:
        """Decide for datagrams from the fabric, in their order; never raises.

        This is the fast path, for packets of established flows whose service and agent were seen
        before: each step is one look-up or one call. Whatever fails goes to `_decide`, which gives
        the same answer more slowly, or the reason for a drop.
        """
        outcomes = Outcomes()
        by_agent = outcomes.by_agent
        routes = self._routes.routes
        decryptors = self._decryptors
        for datagram in datagrams:
            try:
                prefix, vip_host, vip_port, first_octet, rotation, block = unpack_short_header(
                    datagram
                )
                if prefix == HEADER_PREFIX and FIXED_BIT <= first_octet < LONG_HEADER_BIT:
                    route = routes[vip_host, vip_port]
                    server_id = decryptors[rotation].update(block)
                    destination = route.destinations[server_id[:SERVICE_ID_END]]
                    parts = (
                        route.prefix,
                        datagram[ADDRESS_BLOCK_START:HEADER_LENGTH],
                        ESTABLISHED_HEADS[len(datagram) - HEADER_LENGTH],
                        datagram[HEADER_LENGTH:],
                    )
                    waiting = by_agent.get(destination)
                    if waiting is None:
                        by_agent[destination] = [b"".join(parts)]
                    else:
                        waiting.append(b"".join(parts))
                    self.counters.established += 1
                    continue
            except (struct.error, LookupError):
                pass
            outcomes.add(self._decide(datagram, now))
        return outcomes

    def _decide(self, datagram: bytes, now: float) -> Forward | DropReason:
        """Decide for any datagram, without the assumptions of the fast path."""
        if len(datagram) > MAX_DATAGRAM_BYTES:
            return self._drop(DropReason.OVERSIZED)
        if not datagram.startswith(HEADER_PREFIX) or len(datagram) <= HEADER_LENGTH:
            return self._drop(DropReason.BAD_PROXY_HEADER)
        route = self._routes.find(datagram)
        if route is None:
            return self._drop(DropReason.UNKNOWN_LISTENER)
        return self._decide_packet(datagram, route, now)

    def _decide_packet(
        self, datagram: bytes, route: ServiceRoute, now: float
    ) -> Forward | DropReason:
        header = classify(datagram[HEADER_LENGTH:])
        if header.kind is PacketKind.SERVER_ONLY:
            return self._drop(DropReason.SERVER_ONLY_PACKET)
        server_id = self._decode(header.connection_id)
        if server_id is not None and route.names_service(server_id):
            return self._forward_established(datagram, route, server_id, header)
        if header.kind in OPENING_KINDS:
            # A client may by chance choose a connection ID that decodes: it is a new flow too.
            return self._open_flow(datagram, route, header, now)
        if server_id is not None:
            return self._drop(DropReason.SERVICE_MISMATCH)
        return self._drop(UNROUTABLE_REASONS[header.kind])

    def _forward_established(
        self, datagram: bytes, route: ServiceRoute, server_id: bytes, header: PacketHeader
    ) -> Forward | DropReason:
        packed_address = server_id[:PACKED_ENDPOINT_LENGTH]
        destination = self._networks.resolve(packed_address)
        if destination is None:
            return self._drop(DropReason.BAD_AGENT_ADDRESS)
        substitute = self._substitute_agent(packed_address, route, header)
        if substitute is not None:
            # Not kept among the route's agents: each flow has its own substitute.
            self.counters.witnessed += 1
            return Forward(substitute, _encode(datagram, route, ()))
        route.add_destination(server_id, destination)
        self.counters.established += 1
        return Forward(destination, _encode(datagram, route, ()))

    def _substitute_agent(
        self, packed_address: bytes, route: ServiceRoute, header: PacketHeader
    ) -> SocketAddress | None:
        """Return another agent for a flow whose own agent is offline, None if it is not offline.

        The other agent forwards the packet, or resets the flow if its agent is lost.
        """
        member = self._table.member(Endpoint.unpack(packed_address))
        if member is None or member.service_id != route.service_id:
            return None
        if member.operating_status is not OperatingStatus.OFFLINE:
            return None
        pair = self._new_flows.substitute(route.service_id, header.connection_id)
        return None if pair is None else self._networks.resolve(pair.first.packed_address)

    def _open_flow(
        self, datagram: bytes, route: ServiceRoute, header: PacketHeader, now: float
    ) -> Forward | DropReason:
        refusal = self._new_flows.refuse(len(datagram) - HEADER_LENGTH, header, now)
        if refusal is not None:
            return self._drop(refusal)
        pair = self._new_flows.choose(route.service_id, header.connection_id, now)
        if pair is None:
            return self._drop(DropReason.NO_MEMBER)
        destination = self._networks.resolve(pair.first.packed_address)
        if destination is None:
            return self._drop(DropReason.BAD_AGENT_ADDRESS)
        self.counters.new_flows += 1
        encoded = _encode(datagram, route, _packed_addresses(pair))
        other = None if pair.second is None else self._networks.resolve(pair.second.packed_address)
        return Forward(destination, self._seal.seal(encoded), other)

    def _decode(self, connection_id: bytes) -> bytes | None:
        if len(connection_id) != CONNECTION_ID_LENGTH:
            return None
        decryptor = self._decryptors.get(connection_id[0])
        return None if decryptor is None else decryptor.update(connection_id[1:])

    def _drop(self, reason: DropReason) -> DropReason:
        self.counters.dropped[reason] += 1
        return reason


def _packed_addresses(pair: CandidatePair) -> tuple[bytes, ...]:
    if pair.second is None:
        return (pair.first.packed_address,)
    return (pair.first.packed_address, pair.second.packed_address)


def _encode(datagram: bytes, route: ServiceRoute, candidates: tuple[bytes, ...]) -> bytes:
    return (
        route.prefix
        + datagram[ADDRESS_BLOCK_START:HEADER_LENGTH]
        + encode_candidates(candidates)
        + PAYLOAD_HEADS[len(datagram) - HEADER_LENGTH]
        + datagram[HEADER_LENGTH:]
    )
