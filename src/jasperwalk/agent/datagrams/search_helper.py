"""Runs searches of flows on behalf of balancers.

An agent has the link and processor capacity for queries that a thin balancer lacks. The balancer
sends one packet of the flow; the agent that holds the flow gets the packet from here, and the
balancer is notified of the holder. Sans-IO: datagrams leave through `send`, times are seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from jasperwalk.errors import MalformedMessage
from jasperwalk.fleet.flow_searches import FlowSearches, SearchCounters
from jasperwalk.fleet.messages import FleetUpdate
from jasperwalk.fleet.search import Search
from jasperwalk.fleet.target import Target
from jasperwalk.fleet.targets import FLOW_LIFETIME_SECONDS, TargetPool
from jasperwalk.flows.codec import DatagramSender, PacketCodec, SocketAddress
from jasperwalk.flows.frames import (
    AgentReply,
    FrameKind,
    LocateRequest,
    LocateVerdict,
    decode_locate,
    encode_reply,
)
from jasperwalk.observability.decisions import DecisionLog


@dataclass(eq=False, repr=False)
class HelperCounters(SearchCounters):
    """Counts of searches on behalf of balancers."""

    locate_frames: int = 0
    locate_frames_malformed: int = 0
    locate_frames_refused: int = 0
    """Requested before the directory had arrived."""
    replies_unexpected: int = 0


@dataclass(eq=False, repr=False)
class SearchHelper:
    """Handles balancers' requests and other agents' answers; call `tick` while it has searches."""

    codec: PacketCodec
    pool: TargetPool
    send: DatagramSender
    log: DecisionLog
    counters: HelperCounters = field(default_factory=HelperCounters)
    _balancers: dict[bytes, SocketAddress] = field(default_factory=dict)
    """The balancer that gets the verdict of each search."""

    def __post_init__(self) -> None:
        """Create the searches."""
        self.searches = FlowSearches(
            codec=self.codec,
            pool=self.pool,
            send=self.send,
            log=self.log,
            counters=self.counters,
            handler=self,
        )

    def has_pending(self) -> bool:
        """Tell whether `tick` has anything to do."""
        return bool(self.searches)

    def fleet_changed(self, update: FleetUpdate, now: float) -> None:
        """Apply an update of the directory."""
        self.pool.update(update, now)

    def locate(self, data: bytes, balancer: SocketAddress, now: float) -> None:
        """Handle a balancer's request to locate a flow."""
        self.counters.locate_frames += 1
        try:
            request = decode_locate(data)
        except MalformedMessage:
            self.counters.locate_frames_malformed += 1
            return
        if not self.codec.is_complete(request.packet):
            self.counters.locate_frames_malformed += 1
            return
        self._locate(request, balancer, now)
        self.searches.flush()

    def _locate(self, request: LocateRequest, balancer: SocketAddress, now: float) -> None:
        key = self.codec.flow_key(request.packet)
        if not len(self.pool):
            self.counters.locate_frames_refused += 1
            self._answer(key, LocateVerdict.UNABLE, balancer)
            return
        is_searched = key in self.searches
        self._balancers[key] = balancer
        if is_searched:
            self.searches.hold(key, request.packet)
            return
        services = self.pool.services_of(request.service_tags)
        if self.searches.start(key, request.packet, services, now) is None:
            self._end(key, LocateVerdict.UNABLE)

    def receive_reply(self, data: bytes, sender: SocketAddress, now: float) -> None:
        """Handle another agent's answer."""
        target = self.pool.at(sender)
        for reply in self.searches.read_replies(data):
            key, kind = reply.flow_key, reply.kind
            if target is None or not self.searches.record_answer(key, target, kind, now):
                self.counters.replies_unexpected += 1
        self.searches.flush()

    def tick(self, now: float) -> None:
        """Continue searches whose agents did not answer."""
        self.searches.tick(now)
        self.searches.flush()

    def sweep(self, now: float) -> None:
        """Remove agents that left long ago; call every second."""
        self.searches.sweep(now)
        self.pool.remove_old(now, FLOW_LIFETIME_SECONDS)

    # Verdicts

    def on_search_found(self, search: Search, holder: Target, _now: float) -> None:
        """Forward the packets, and send the balancer the address for the flow's later ones."""
        for packet in search.packets[search.first_is_forwarded :]:
            self.send(holder.carry_head + packet, holder.address)
        self._end(search.key, LocateVerdict.FOUND, holder.record.endpoint.pack())

    def on_search_held_nowhere(self, search: Search, _now: float) -> None:
        """Notify the balancer that no agent holds the flow."""
        self._end(search.key, LocateVerdict.NOWHERE)

    def on_search_inconclusive(self, search: Search, _now: float) -> None:
        """Notify the balancer that some agents did not answer."""
        self._end(search.key, LocateVerdict.UNKNOWN)

    def _end(self, key: bytes, verdict: LocateVerdict, holder: bytes = b"") -> None:
        balancer = self._balancers.pop(key, None)
        if balancer is not None:
            self._answer(key, verdict, balancer, holder)

    def _answer(
        self, key: bytes, verdict: LocateVerdict, balancer: SocketAddress, holder: bytes = b""
    ) -> None:
        reply = AgentReply(FrameKind.LOCATED, verdict, 0, 0.0, 0, key, holder)
        self.send(encode_reply(reply), balancer)
