"""Handles packets with a routable connection ID whose flow this agent does not hold (sans-IO).

A flow of an earlier start of this agent, or one that has ended here, is reset at once:
otherwise its caller would wait for its idle time-out.

Packets of another agent's flow arrive here when a balancer's table marks that agent offline.
They are always forwarded to the holder, so that nothing is lost if it is alive. The caller gets
a stateless reset only if this agent's own table, fresh from a quorum, agrees and the holder
does not answer a probe or has been replaced: see `jasperwalk.agent.lost_agents`. An agent that
is only draining, or whose backend is down, answers the probe and keeps its flows.
"""

from __future__ import annotations

import random

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.datagram_filter import AdmittedDatagram, DatagramDropped, DropReason
from jasperwalk.agent.lost_agents import LostAgents, ProbeState
from jasperwalk.agent.outgoing import Outgoing, ProbeAgent, ToAgent, ToFabric
from jasperwalk.agent.rate_limit import RateLimit
from jasperwalk.agent.service_view import ServiceView
from jasperwalk.agent.stateless_reset import reset_packet, reset_token
from jasperwalk.config.table_entries import KeyPurpose, MemberEntry, OperatingStatus
from jasperwalk.messages.codec import encode
from jasperwalk.messages.datagrams import ForwardedDatagram
from jasperwalk.messages.proxy_protocol import destination_of, pack_header, source_of
from jasperwalk.routing.connection_ids import RoutableId

RESETS_PER_SECOND = 200


class StrayPackets:
    """Resets lost flows, and forwards packets that may still reach the holder of their flow."""

    def __init__(self, source: random.Random) -> None:
        self.resets_sent = 0
        self._random = source
        self._limit = RateLimit(RESETS_PER_SECOND)
        self._lost_agents = LostAgents()

    def view_changed(self, view: ServiceView) -> None:
        """Apply a new revision of the service's members."""
        self._lost_agents.keep_only(view.members)

    def handle(
        self,
        routable: RoutableId,
        packet: AdmittedDatagram,
        view: ServiceView,
        table_fresh: bool,
        now: float,
    ) -> list[Outgoing]:
        """Return what to send for a packet; raise `DatagramDropped` if it is dropped."""
        if routable.service_id != packet.datagram.service_id:
            raise DatagramDropped(DropReason.OTHER_SERVICE)
        if routable.address == view.address:
            return self._reset(packet, view, now)
        holder = view.members.get(routable.address)
        if holder is None or packet.datagram.hops > 0:
            raise DatagramDropped(DropReason.OTHER_ADDRESS)
        # Resets look like short-header packets, and only such packets are answered by resets.
        if packet.head.version is not None or not _may_be_lost(holder, view, table_fresh):
            return [_forward(holder, packet)]
        if holder.incarnation > routable.incarnation:
            return self._reset(packet, view, now)
        return self._reset_if_lost(holder, packet, view, now)

    def _reset_if_lost(
        self, holder: MemberEntry, packet: AdmittedDatagram, view: ServiceView, now: float
    ) -> list[Outgoing]:
        """Reset the flow if its holder is lost; forward the packet while it may be alive."""
        match self._lost_agents.check(holder.address, packet, now):
            case ProbeState.LOST:
                return self._reset(packet, view, now)
            case ProbeState.PROBE_NOW:
                return [_forward(holder, packet), ProbeAgent(holder.address)]
            case ProbeState.PROBING | ProbeState.ALIVE:
                return [_forward(holder, packet)]

    def probe_ended(
        self, address: Endpoint, answered: bool, view: ServiceView, table_fresh: bool, now: float
    ) -> list[Outgoing]:
        """Record the outcome of a probe; return the resets that follow from it."""
        waiting = self._lost_agents.probe_ended(address, answered, now)
        holder = view.members.get(address)
        # During the probe the host may have come back, or control may have been lost.
        if holder is None or not _may_be_lost(holder, view, table_fresh):
            return []
        return [reset for packet in waiting for reset in self._reset(packet, view, now)]

    def _reset(self, packet: AdmittedDatagram, view: ServiceView, now: float) -> list[Outgoing]:
        if packet.head.version is not None or not self._limit.allows(now):
            return []
        resets: list[Outgoing] = []
        for key in view.keys_for(KeyPurpose.STATELESS_RESET):
            token = reset_token(key.secret, packet.head.destination)
            reset = reset_packet(token, len(packet.datagram.payload), self._random)
            if reset is not None:
                resets.append(ToFabric(answer_header(packet.datagram) + reset))
        self.resets_sent += len(resets)
        return resets


def answer_header(datagram: ForwardedDatagram) -> bytes:
    """Return the PROXY header of an answer to a forwarded datagram."""
    vip = destination_of(datagram.address_block)
    return pack_header(vip, source_of(datagram.address_block))


def _may_be_lost(holder: MemberEntry, view: ServiceView, table_fresh: bool) -> bool:
    offline = holder.operating_status is OperatingStatus.OFFLINE
    return offline and table_fresh and not view.removed


def _forward(holder: MemberEntry, packet: AdmittedDatagram) -> ToAgent:
    datagram = msgspec.structs.replace(packet.datagram, hops=packet.datagram.hops + 1)
    return ToAgent(holder.address, encode(datagram))
