"""Admission control of new flows, and the choice of their candidates."""

from __future__ import annotations

from typing import Final

from jasperwalk.balancer.outcomes import DropReason, SocketAddress
from jasperwalk.balancer.refusals import Refusals
from jasperwalk.balancer.routes import RoutingTable
from jasperwalk.routing.candidates import CandidateIndex
from jasperwalk.routing.quic_packets import (
    MIN_INITIAL_CONNECTION_ID_BYTES,
    MIN_INITIAL_PAYLOAD_BYTES,
    PacketHeader,
    PacketKind,
)
from jasperwalk.routing.rendezvous import CandidatePair, choose_pair
from jasperwalk.token_bucket import TokenBucket

NEW_FLOW_BURST_SECONDS: Final = 0.1
"""Burst of new flows that the limit allows, as a time at the limit's rate."""


class NewFlows:
    """Checks the packets that open flows and chooses their candidates."""

    def __init__(self, table: RoutingTable, flows_per_second: float, now: float) -> None:
        self.accepted = False
        """Whether new flows are accepted at all; see `BalancerCore.accept_new_flows`."""
        burst = max(1.0, flows_per_second * NEW_FLOW_BURST_SECONDS)
        self._limit = TokenBucket(flows_per_second, burst, now)
        self.index = CandidateIndex(table)
        """Ranks the members for each flow; the lab's baselines replace it."""
        self._refusals = Refusals()

    def table_changed(self, table: RoutingTable) -> None:
        """Apply the table's new state."""
        self.index.table_changed(table)

    def agent_refused(self, agent: SocketAddress, now: float) -> None:
        """Record that nothing listened at an agent's address a moment ago."""
        self._refusals.record(agent, now)

    def refuse(self, payload_length: int, header: PacketHeader, now: float) -> DropReason | None:
        """Return why a packet of this length, in bytes, may not open a flow; None if it may."""
        if payload_length < MIN_INITIAL_PAYLOAD_BYTES:
            return DropReason.SMALL_INITIAL
        is_initial = header.kind is PacketKind.INITIAL
        if is_initial and len(header.connection_id) < MIN_INITIAL_CONNECTION_ID_BYTES:
            return DropReason.SHORT_CONNECTION_ID
        if not self.accepted:
            return DropReason.NO_FRESH_TABLE
        if not self._limit.take(now):
            return DropReason.NEW_FLOW_LIMIT
        return None

    def choose(self, service_id: int, flow_key: bytes, now: float) -> CandidatePair | None:
        """Return a new flow's candidates; refusing members only if there are no others."""
        refusing = self._refusals.current(now)
        if refusing:
            prepared_members = self.index.prepared_members(service_id)
            others = [
                each
                for each in prepared_members
                if (each.address.host, each.address.port) not in refusing
            ]
            pair = choose_pair(others, flow_key)
            if pair is not None:
                return pair
        return self.index.candidates(service_id, flow_key)

    def substitute(self, service_id: int, flow_key: bytes) -> CandidatePair | None:
        """Return members that may replace a flow's own agent, which is offline."""
        return self.index.candidates(service_id, flow_key)
