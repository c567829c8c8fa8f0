"""A balancer that keeps a table of flows, as balancers without routable connection IDs do.

The key of a flow is its caller's and listener's addresses (the PROXY header's address block).
The connection ID is no usable key: it changes within the first round trip, when the caller
starts to use the one that the server chose. A flow that is not in the table is placed by the
hash of its key among the members of the balancer's own table. It stays there while the balancer
runs and the member is not offline. Balancers don't share entries.

Agents forward a packet of an unknown flow to the agent that its connection ID names, which
would hide misplaced flows. So all packets are marked as handed over already: an agent that does
not hold the flow drops them, like a server that does not know the flow, and a cold agent
accepts the new flows that it is sent.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from ipaddress import IPv4Network

from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.core import MAX_DATAGRAM_BYTES, BalancerCore
from jasperwalk.balancer.outcomes import DropReason, Forward, Outcomes
from jasperwalk.balancer.routes import RoutingTable
from jasperwalk.config.table_entries import KeyPurpose, OperatingStatus
from jasperwalk.messages.codec import PROTOCOL_VERSION, encode
from jasperwalk.messages.datagram_seal import DatagramSeal
from jasperwalk.messages.datagrams import ForwardedDatagram
from jasperwalk.messages.proxy_protocol import (
    ADDRESS_BLOCK_START,
    HEADER_LENGTH,
    HEADER_PREFIX,
    destination_of,
)
from jasperwalk.routing.candidates import CandidateIndex
from jasperwalk.routing.quic_packets import PacketKind, classify

MAX_TABLE_FLOWS = 200_000
ALREADY_HANDED_OVER = 1
BALANCER_DECIDES_REVISION = 1 << 48
"""A revision newer than any agent's, so that agents accept the flows that they are sent."""


class FlowTableCore(BalancerCore):
    """Forwards each datagram by the balancer's own table of flows."""

    def __init__(
        self,
        table: RoutingTable,
        agent_networks: Sequence[IPv4Network],
        new_flows_per_second: float,
        now: float,
    ) -> None:
        self._flows: OrderedDict[bytes, Endpoint] = OrderedDict()
        self._members = CandidateIndex(table)
        self._datagram_seal = DatagramSeal()
        self._routing_table = table
        super().__init__(table, agent_networks, new_flows_per_second, now)

    def table_changed(self, table: RoutingTable) -> None:
        """Apply a new routing table; known flows stay with their member."""
        super().table_changed(table)
        self._routing_table = table
        self._members.table_changed(table)
        self._datagram_seal = DatagramSeal(table.keys_for(KeyPurpose.DATAGRAM))

    def handle(self, datagram: bytes, now: float) -> Forward | DropReason:
        """Forward or drop one datagram from the fabric; never raises."""
        if len(datagram) > MAX_DATAGRAM_BYTES:
            return self._refuse(DropReason.OVERSIZED)
        if not datagram.startswith(HEADER_PREFIX) or len(datagram) <= HEADER_LENGTH:
            return self._refuse(DropReason.BAD_PROXY_HEADER)
        if not self.accepts_new_flows:
            return self._refuse(DropReason.NO_FRESH_TABLE)
        block = datagram[ADDRESS_BLOCK_START:HEADER_LENGTH]
        service = self._routing_table.service_at(Endpoint.unpack(destination_of(block)))
        if service is None:
            return self._refuse(DropReason.UNKNOWN_LISTENER)
        agent = self._agent_of(block, service.service_id)
        if agent is None:
            return self._refuse(DropReason.NO_MEMBER)
        forwarded = self._forward(datagram, block, service.service_id, agent)
        return Forward((agent.host, agent.port), forwarded)

    def handle_all(self, datagrams: Iterable[bytes], now: float) -> Outcomes:
        """Forward or drop datagrams from the fabric, in their order; never raises."""
        outcomes = Outcomes()
        for datagram in datagrams:
            outcomes.add(self.handle(datagram, now))
        return outcomes

    def _agent_of(self, block: bytes, service_id: int) -> Endpoint | None:
        agent = self._flows.get(block)
        if agent is not None and self._may_serve(agent):
            return agent
        pair = self._members.candidates(service_id, block)
        if pair is None:
            return None
        self._flows[block] = pair.first.address
        if len(self._flows) > MAX_TABLE_FLOWS:
            self._flows.popitem(last=False)
        return pair.first.address

    def _may_serve(self, agent: Endpoint) -> bool:
        member = self._routing_table.member(agent)
        return member is not None and member.operating_status is not OperatingStatus.OFFLINE

    def _forward(self, datagram: bytes, block: bytes, service_id: int, agent: Endpoint) -> bytes:
        payload = datagram[HEADER_LENGTH:]
        opens = classify(payload).kind is PacketKind.INITIAL
        forwarded = ForwardedDatagram(
            version=PROTOCOL_VERSION,
            service_id=service_id,
            revision=BALANCER_DECIDES_REVISION,
            hops=ALREADY_HANDED_OVER,
            address_block=block,
            candidates=[agent.pack()] if opens else [],
            payload=payload,
        )
        if opens:
            self.counters.new_flows += 1
            return self._datagram_seal.seal(encode(forwarded))
        self.counters.established += 1
        return encode(forwarded)

    def _refuse(self, reason: DropReason) -> DropReason:
        self.counters.dropped[reason] += 1
        return reason
