"""The balancer's core: forwards every caller's packet to the agent that holds its flow.

The hosts and the agents beside them decide who holds a flow; the table here is a cache. A packet
of a flow that is not in the table waits for the few milliseconds that a search among the agents
takes (see `search`). An opening packet goes to `flow_opener`, uploads pass `upload_admission`
first. Sans-IO: datagrams leave through `send`, time is a parameter.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.datagrams.counters import FlowCounters
from jasperwalk.balancer.datagrams.delegated_searches import DelegatedSearches
from jasperwalk.balancer.datagrams.early_packets import EarlyPackets
from jasperwalk.balancer.datagrams.flow_opener import FlowOpener
from jasperwalk.balancer.datagrams.openings import Flow
from jasperwalk.fleet.flow_searches import FlowSearches
from jasperwalk.fleet.messages import DrainedZones, FleetUpdate
from jasperwalk.fleet.search import Search
from jasperwalk.fleet.target import Target
from jasperwalk.fleet.targets import FLOW_LIFETIME_SECONDS, TargetPool
from jasperwalk.flows.codec import DatagramSender, PacketCodec, SocketAddress
from jasperwalk.flows.frames import AgentReply, FrameKind, LocateVerdict
from jasperwalk.flows.routes import RouteEntry, RouteTable
from jasperwalk.observability.decisions import DecisionLog
from jasperwalk.observability.latency import LatencyHistogram
from jasperwalk.scheduling.link_pacer import LinkPacer
from jasperwalk.scheduling.upload_admission import UploadAdmission

DEFAULT_WINDOW_BYTES = 20_000
DEFAULT_RESEND_SECONDS = 0.2

BulkSender = Callable[[bytes, int, bytes, SocketAddress], None]
"""Sends a bulk datagram: flow key, number of its data, datagram, destination."""


@dataclass(eq=False, repr=False)
class FlowBalancer:
    """Routes packets; call `tick` every few milliseconds while `has_pending`."""

    codec: PacketCodec
    routes: RouteTable
    pool: TargetPool
    send: DatagramSender
    reset: DatagramSender
    log: DecisionLog
    counters: FlowCounters = field(default_factory=FlowCounters)
    open_latency: LatencyHistogram = field(default_factory=LatencyHistogram)
    search_latency: LatencyHistogram = field(default_factory=LatencyHistogram)
    delegates_searches: bool = False
    """True to let agents search on this balancer's behalf."""
    link: LinkPacer | None = None
    """The pacer of this process's link, None where the link is not paced."""
    send_bulk: BulkSender | None = None
    """Sends upload data through `link`; None where that is None."""
    caller_window_bytes: int = DEFAULT_WINDOW_BYTES
    caller_resend_seconds: float = DEFAULT_RESEND_SECONDS
    _flows: dict[bytes, Flow] = field(default_factory=dict)
    _early: EarlyPackets = field(default_factory=EarlyPackets)

    def __post_init__(self) -> None:
        """Create the parts, which share the table of flows, the agents, counters and log."""
        self.uploads = UploadAdmission(
            self.codec, self.link, self.caller_window_bytes, self.caller_resend_seconds
        )
        self.searches = FlowSearches(
            codec=self.codec,
            pool=self.pool,
            send=self.send,
            log=self.log,
            counters=self.counters,
            handler=self,
            latency=self.search_latency,
        )
        self.delegated = DelegatedSearches(
            pool=self.pool,
            send=self.send,
            counters=self.counters,
            latency=self.search_latency,
            is_enabled=self.delegates_searches,
        )
        self.opener = FlowOpener(
            codec=self.codec,
            pool=self.pool,
            flows=self._flows,
            send=self.send,
            reject=self.reject,
            log=self.log,
            counters=self.counters,
            latency=self.open_latency,
        )

    def __len__(self) -> int:
        """Return the number of cached flows."""
        return len(self._flows)

    def has_pending(self) -> bool:
        """Tell whether `tick` has work."""
        if self.searches or self.delegated or self.uploads.has_waiting():
            return True
        return self.opener.has_pending()

    # Callers' packets

    def receive(self, packet: bytes, now: float) -> None:
        """Handle a caller's packet."""
        key = self.key_of(packet)
        if key is not None:
            self.receive_with_key(key, packet, now)

    def key_of(self, packet: bytes) -> bytes | None:
        """Return the key of a packet's flow; count a malformed packet and return None."""
        if self.codec.is_complete(packet):
            return self.codec.flow_key(packet)
        self.counters.packets_malformed += 1
        return None

    def knows(self, key: bytes) -> bool:
        """Tell whether a flow is in the table."""
        return key in self._flows

    def receive_with_key(self, key: bytes, packet: bytes, now: float) -> None:
        """Handle a caller's packet whose key `key_of` has returned."""
        self._receive(key, packet, now)
        self.searches.flush()

    def _receive(self, key: bytes, packet: bytes, now: float) -> None:
        flow = self._flows.get(key)
        if flow is None:
            self._receive_unknown(key, packet, now, now)
            return
        flow.seen_at = now
        target = flow.target
        if target.departed:
            self.opener.forget(key)
            self._receive_unknown(key, packet, now, now)
            return
        self.counters.packets_carried += 1
        if flow.is_bulk:
            self.uploads.record_packet(key, packet, now)
        if self.codec.is_opening(packet):
            self.opener.resend(flow, packet, now)
            return
        opening = flow.opening
        if opening is not None:
            possible_holders = self.opener.follow_up(key, flow, now)
            if possible_holders:
                self._search(key, packet, opening.route, now, possible_holders)
                return
        self._forward(key, flow, packet)

    def _forward(self, key: bytes, flow: Flow, packet: bytes) -> None:
        """Send a packet to its flow's agent; upload data goes through the link's pacer."""
        frame = flow.target.carry_head + packet
        if flow.is_bulk and self.send_bulk is not None and self.codec.payload_bytes(packet):
            self.send_bulk(key, self.codec.data_number(packet), frame, flow.target.address)
        else:
            self.send(frame, flow.target.address)

    def open(self, packet: bytes, arrived_at: float, now: float) -> None:
        """Handle an opening packet that has waited since `arrived_at`."""
        self._receive_unknown(self.codec.flow_key(packet), packet, arrived_at, now)

    def _receive_unknown(self, key: bytes, packet: bytes, arrived_at: float, now: float) -> None:
        if not self.routes.version:
            self.counters.early_packets += 1
            self._early.hold(packet, arrived_at)
            return
        route = self.routes.find(self.codec.listener_of(key))
        if route is None:
            self.reject(key, packet, "no-route")
        elif self.knows(key) or self.opener.is_parked(key) or key in self.uploads:
            return
        elif self.codec.is_opening(packet):
            self._open(key, packet, route, arrived_at, now)
        else:
            self._search(key, packet, route, now)

    def _open(
        self, key: bytes, packet: bytes, route: RouteEntry, arrived_at: float, now: float
    ) -> None:
        """Open a new flow; an upload waits first if the link has no capacity."""
        if route.route.is_bulk and not self.uploads.take(key, packet, route, arrived_at, now):
            self.counters.uploads_waited += 1
            return
        self.opener.open(key, packet, route, arrived_at, now)

    def _process_waiting_uploads(self, now: float) -> None:
        """Open waiting uploads for which the link has capacity; shed those that waited too long."""
        for key, upload in self.uploads.take_shed(now):
            self.reject(key, upload.packet, "link-full")
        for key, upload in self.uploads.take_due(now):
            loading, waiting = self.uploads.counts()
            self.log.note(
                "upload-admitted",
                flow=self.codec.describe(key),
                waited_ms=round(1000 * (now - upload.arrived_at)),
                loading=loading,
                waiting=waiting,
                backlog_ms=0 if self.link is None else round(1000 * self.link.backlog_seconds()),
            )
            self.opener.open(key, upload.packet, upload.route, upload.arrived_at, now)

    def reject(self, key: bytes, packet: bytes, reason: str) -> None:
        """Reset a flow at once, so that its caller decides when to try again."""
        if self.codec.is_reset(packet):
            return
        self.counters.flows_reset += 1
        self.log.note(
            "flow-reset",
            flow=self.codec.describe(key),
            reason=reason,
            routes_version=self.routes.version,
            agents_known=len(self.pool),
        )
        self.reset(self.codec.reset_for(packet), self.codec.caller_of(key))

    def routes_changed(self, now: float) -> None:
        """Handle the packets that arrived before the first routes, the newest new flows first.

        Hosts may not have capacity for all at once. The callers of the newest have waited least, so
        these can still be answered in time.
        """
        early = self._early.take(now)
        if early:
            self.log.note("early-packets", packets=len(early), routes_version=self.routes.version)
        openings = [each for each in early if self.codec.is_opening(each.packet)]
        for each in early:
            if not self.codec.is_opening(each.packet):
                self._receive(self.codec.flow_key(each.packet), each.packet, now)
        self.searches.flush()
        for each in reversed(openings):
            self.open(each.packet, each.arrived_at, now)

    def fleet_changed(self, update: FleetUpdate, now: float) -> None:
        """Apply an update of the directory and retry the flows that wait for a host."""
        self.pool.update(update, now)
        self.opener.retry_parked(now)

    def zones_changed(self, zones: DrainedZones, now: float) -> bool:
        """Apply the drained zones and retry the flows that wait; False for an old revision."""
        if not self.pool.drain_zones(zones):
            return False
        self.opener.retry_parked(now)
        return True

    # Flows that are not in the table

    def _search(
        self,
        key: bytes,
        packet: bytes,
        route: RouteEntry,
        now: float,
        possible_holders: Sequence[Target] = (),
    ) -> None:
        """Search for the holder; `possible_holders` are the agents that may have taken the flow."""
        if key in self.searches:
            self.searches.hold(key, packet)
        elif not self.delegated.hold(key, packet):
            services = sorted(route.past_services)
            regions = route.allowed_regions
            # A helper probes hosts in every region.
            is_delegated = not possible_holders and not regions
            if not is_delegated or not self.delegated.start(key, packet, services, now):
                self.searches.start(key, packet, services, now, possible_holders, regions)

    def on_search_found(self, search: Search, holder: Target, now: float) -> None:
        """Forward the packets that waited."""
        self._set_holder(search.key, holder, search.packets[search.first_is_forwarded :], now)

    def on_search_held_nowhere(self, search: Search, _now: float) -> None:
        """Reset the flow, so that its caller opens another one."""
        self.reject(search.key, search.packets[-1], "held-nowhere")

    def on_search_inconclusive(self, search: Search, now: float) -> None:
        """Do nothing: the caller's next packet starts another search."""

    def _set_holder(self, key: bytes, holder: Target, packets: Sequence[bytes], now: float) -> None:
        route = self.routes.find(self.codec.listener_of(key))
        is_bulk = route is not None and route.route.is_bulk
        flow = self._flows[key] = Flow(holder, now, is_bulk=is_bulk)
        for packet in packets:
            self._forward(key, flow, packet)

    def _handle_verdict(self, helper: Target, reply: AgentReply, now: float) -> None:
        """Act on the verdict of an agent that searched on this balancer's behalf."""
        delegation = self.delegated.take(reply.flow_key, helper, now)
        if delegation is None:
            return
        verdict = LocateVerdict(reply.flags)
        holder = self._target_at(reply.packet)
        if verdict is LocateVerdict.FOUND and holder is not None:
            # The helper has forwarded the first packet.
            self._set_holder(reply.flow_key, holder, delegation.packets[1:], now)
        elif verdict is LocateVerdict.NOWHERE:
            self.reject(reply.flow_key, delegation.packets[-1], "held-nowhere")
        elif verdict is LocateVerdict.UNABLE:
            self.searches.start(reply.flow_key, delegation.packets[0], delegation.services, now)
        self.log.note(
            "search-answered",
            flow=self.codec.describe(reply.flow_key),
            helper=helper.record.name,
            verdict=verdict.name.lower(),
            holder="" if holder is None else holder.record.name,
            waited_ms=round(1000 * (now - delegation.started_at), 1),
        )

    def _target_at(self, packed: bytes) -> Target | None:
        """Return the agent at a packed end point, None if that is empty or unknown."""
        if not packed:
            return None
        endpoint = Endpoint.unpack(packed)
        return self.pool.at((endpoint.host, endpoint.port))

    # Agents' answers

    def receive_reply(self, data: bytes, sender: SocketAddress, now: float) -> None:
        """Handle a frame from an agent."""
        target = self.pool.at(sender)
        replies = self.searches.read_replies(data)
        if target is None:
            return
        for reply in replies:
            self._handle_reply(target, reply, now)
        self.searches.flush()

    def _handle_reply(self, target: Target, reply: AgentReply, now: float) -> None:
        key = reply.flow_key
        if reply.kind is not FrameKind.LOCATED:
            target.record_load(reply.load, now)
        if reply.kind in (FrameKind.ACCEPTED, FrameKind.REFUSED):
            self.opener.receive_answer(key, target, reply, now)
        elif reply.kind is FrameKind.LOCATED:
            self._handle_verdict(target, reply, now)
        elif self.searches.record_answer(key, target, reply.kind, now):
            return
        elif reply.kind is FrameKind.RETURNED:
            self._handle_returned(key, self._flows.get(key), target, reply.packet, now)

    def _handle_returned(
        self, key: bytes, flow: Flow | None, target: Target, packet: bytes, now: float
    ) -> None:
        """Search for the holder of a flow that the agent's host does not hold."""
        if flow is not None and flow.target is not target:
            self.send(flow.target.carry_head + packet, flow.target.address)
            return
        self.opener.forget(key)
        route = self.routes.find(self.codec.listener_of(key))
        if route is None:
            self.reject(key, packet, "no-route")
            return
        self._search(key, packet, route, now)
        self.searches.record_answer(key, target, FrameKind.RETURNED, now)

    # Time

    def tick(self, now: float) -> None:
        """Expire what waits for agents that do not answer."""
        self.opener.tick(now)
        self._process_waiting_uploads(now)
        self.searches.tick(now)
        self.delegated.tick(now)
        self.searches.flush()

    def sweep(self, now: float) -> None:
        """Remove flows and agents unused for `FLOW_LIFETIME_SECONDS`; call every few seconds."""
        oldest = now - FLOW_LIFETIME_SECONDS
        for key in [key for key, flow in self._flows.items() if flow.seen_at < oldest]:
            self.opener.forget(key)
        self.searches.sweep(now)
        self.pool.remove_old(now, FLOW_LIFETIME_SECONDS)
