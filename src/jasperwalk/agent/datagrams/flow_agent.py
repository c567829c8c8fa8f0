"""The agent's core: it admits new flows to its host and knows which flows the host holds.

Every packet to and from the host passes here, so this table and the host are the authority that
balancers query. An agent that restarted has an empty table: it forwards packets of unknown flows to
its host, which returns what it does not hold. Sans-IO: time is a parameter, datagrams leave through
three senders.

The parts: `flow_admission` (new flows, and which waiting request starts next), `caller_packets`
(open flows), `host_packets` (what the host sends), `waiting_requests` (the queue).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from jasperwalk.agent.datagrams.balancer_answers import BalancerAnswers
from jasperwalk.agent.datagrams.caller_packets import CallerPackets
from jasperwalk.agent.datagrams.counters import AgentCounters
from jasperwalk.agent.datagrams.flow_admission import FlowAdmission
from jasperwalk.agent.datagrams.flow_knowledge import FlowKnowledge
from jasperwalk.agent.datagrams.held_flows import HeldFlows
from jasperwalk.agent.datagrams.host import HostState
from jasperwalk.agent.datagrams.host_admission import HostAdmission
from jasperwalk.agent.datagrams.host_monitor import HostMonitor
from jasperwalk.agent.datagrams.host_packets import HostPackets
from jasperwalk.agent.datagrams.load import LoadMeter
from jasperwalk.agent.datagrams.parts import AgentParts
from jasperwalk.agent.datagrams.service_time_monitor import ServiceTimeMonitor
from jasperwalk.agent.datagrams.waiting_requests import WaitingRequests
from jasperwalk.agent.datagrams.warm_up import WarmUpLimit
from jasperwalk.errors import MalformedMessage
from jasperwalk.fleet.messages import DrainedZones
from jasperwalk.flows.codec import DatagramSender, PacketCodec, SocketAddress
from jasperwalk.flows.frames import (
    REQUEST_HEAD,
    FrameKind,
    decode_opening,
    service_tag,
    split_keys,
)
from jasperwalk.observability.decisions import DecisionLog
from jasperwalk.observability.latency import LatencyHistogram
from jasperwalk.scheduling.request_order import (
    DEFAULT_LEAST_SHARE,
    GroupShares,
    NoShares,
    PriorityOrder,
)
from jasperwalk.scheduling.request_scheduler import RequestScheduler


@dataclass(eq=False, repr=False)
class FlowAgent:
    """Admits flows, forwards packets, answers balancers; call `sweep` every second."""

    codec: PacketCodec
    service: str
    host: HostState
    to_host: Callable[[bytes], None]
    to_balancer: DatagramSender
    to_caller: DatagramSender
    log: DecisionLog
    started_at: float
    flow_lifetime_seconds: float
    zone: str = ""
    warm_up_floor: float | None = None
    """New flows a second that any cold host can take, None where the settings name no number."""
    least_share: float = DEFAULT_LEAST_SHARE
    """Part of the started requests that is reserved for less urgent ones while they wait."""
    shares: GroupShares = field(default_factory=NoShares)
    """Shares the host's time between groups of callers."""
    counters: AgentCounters = field(default_factory=AgentCounters)
    host_latency: LatencyHistogram = field(default_factory=LatencyHistogram)
    """From a request's last packet to the first packet of its answer."""
    wait_latency: LatencyHistogram = field(default_factory=LatencyHistogram)
    flow_idle_seconds: float = float("inf")
    """Longest time that a flow may be idle."""
    measures_service_times: bool = True
    """False to measure no service times of the host."""

    def __post_init__(self) -> None:
        """Make the parts."""
        self._tag = service_tag(self.service)
        self.answers = BalancerAnswers(self._tag, self.host, self._load, self.to_balancer)
        self.meter = LoadMeter(self.started_at)
        self.service_times = ServiceTimeMonitor(
            self.codec, self.host, self.log, self.measures_service_times
        )
        self.table = HeldFlows(
            self.meter, self.flow_lifetime_seconds, self.service_times.record_end
        )
        self.queue = RequestScheduler(PriorityOrder(self.shares, self.least_share))
        self.monitor = HostMonitor(self.host, self.log, self.service_times)
        self.warm_up = WarmUpLimit(self.warm_up_floor, self.started_at)
        self.admission = HostAdmission(
            self.host,
            self.monitor.response,
            self.monitor.requests,
            self.warm_up,
            self.zone,
            self.service_times,
        )
        self.knowledge = FlowKnowledge(
            self.host, self.warm_up, self.log, self.started_at, self.flow_lifetime_seconds
        )
        self.parts = AgentParts(
            codec=self.codec,
            tag=self._tag,
            host=self.host,
            to_host=self.to_host,
            to_caller=self.to_caller,
            answers=self.answers,
            log=self.log,
            meter=self.meter,
            table=self.table,
            queue=self.queue,
            monitor=self.monitor,
            service_times=self.service_times,
            warm_up=self.warm_up,
            admission=self.admission,
            counters=self.counters,
            host_latency=self.host_latency,
            wait_latency=self.wait_latency,
        )
        self._callers = CallerPackets(self.parts, self.knowledge, lambda: self.flow_idle_seconds)
        self._waiting = WaitingRequests(self.parts, self._callers.forward_waiting)
        self._flow_admission = FlowAdmission(self.parts, self._waiting)
        self._host_packets = HostPackets(self.parts, self._flow_admission)

    def __len__(self) -> int:
        """Return the number of flows in the table."""
        return len(self.table)

    def _load(self, now: float) -> float:
        return self.parts.load(now)

    # From balancers

    def receive_frame(self, data: bytes, sender: SocketAddress, now: float) -> None:
        """Handle a frame from a balancer."""
        if len(data) < REQUEST_HEAD.size:
            self.counters.frames_malformed += 1
            return
        kind, flags, tag = REQUEST_HEAD.unpack_from(data)
        body = data[REQUEST_HEAD.size :]
        if kind == FrameKind.FIND:
            self._find(body, tag, sender, now)
        elif kind == FrameKind.OPEN:
            self._open(body, flags, tag, sender, now)
        elif not self.codec.is_complete(body):
            self.counters.frames_malformed += 1
        elif kind == FrameKind.CARRY:
            self._callers.forward(body, tag, sender, now)
        elif kind == FrameKind.CONFIRM:
            self._callers.confirm(body, tag, sender, now)
        else:
            self.counters.frames_malformed += 1

    def _open(self, body: bytes, flags: int, tag: int, sender: SocketAddress, now: float) -> None:
        """Handle a frame with an opening packet and the terms of its flow."""
        try:
            request = decode_opening(flags, body)
        except MalformedMessage:
            self.counters.frames_malformed += 1
            return
        if not self.codec.is_complete(request.packet):
            self.counters.frames_malformed += 1
            return
        self._flow_admission.open(request.packet, request.terms, tag, sender, now)

    def _find(self, keys: bytes, tag: int, sender: SocketAddress, now: float) -> None:
        """Answer a query whether flows are held, one or several in a frame."""
        asked = split_keys(keys, self.codec.flow_key_bytes)
        if not asked:
            self.counters.frames_malformed += 1
            return
        kinds = {key: self._callers.answer(key, tag, sender, now) for key in asked}
        self.answers.reply_all(kinds, sender, now)

    # From the host

    def receive_host_packet(self, packet: bytes, now: float) -> None:
        """Handle a packet from the host beside this agent."""
        self._host_packets.receive(packet, now)

    def record_host_absent(self, now: float) -> None:
        """Record that no host runs beside this agent: a later one holds no unknown flows."""
        if self.knowledge.record_host_absent():
            self.log.note("host-absent", after_ms=round(1000 * (now - self.started_at)))

    def on_new_host(self, now: float) -> None:
        """Count all flows as unconfirmed: another host has replaced the one beside this agent.

        The new host may have taken flows before its first announcement, so the table is kept, and
        the next packet of each flow shows whether the host holds it. Flows that are not in the
        table cannot be at the new host if it started while this process ran. Waiting requests of
        open flows go to it at once: it returns what it does not hold, so that their callers learn
        that the former host is gone.
        """
        self.knowledge.record_host_replaced(now)
        self.monitor.on_host_replaced()
        self.table.in_flight.reset_times()
        self.table.unconfirm_all(now)
        self.release_held(now)

    # Waiting requests

    def admit_waiting(self, now: float) -> None:
        """Start waiting requests while the host has capacity; shed those that waited too long."""
        self._flow_admission.admit_waiting(now)

    def release_held(self, now: float) -> None:
        """Forward all waiting requests of open flows to the host; call before the agent stops."""
        self._flow_admission.release_held(now)

    def zones_changed(self, zones: DrainedZones, now: float) -> None:
        """Update the drained zones; flows that wait for a host in one of them are reset at once.

        The hosts of a restored zone may have become cold meanwhile without announcing it.
        """
        was_drained = self.admission.is_zone_drained()
        if not self.admission.update_zones(zones):
            return
        self.knowledge.record_zone_order()
        is_drained = self.admission.is_zone_drained()
        if is_drained != was_drained:
            event = "zone-drained" if is_drained else "zone-restored"
            self.log.note(event, revision=zones.revision, waiting=len(self.queue))
        if was_drained and not is_drained:
            self.warm_up.on_zone_restored(now)
        self.admit_waiting(now)

    # Time

    def sweep(self, now: float) -> None:
        """Remove flows that ended or cannot be alive any longer; call every second."""
        self.monitor.check(now)
        self.admit_waiting(now)
        for key, flow in self.table.take_unanswered(now):
            self.counters.requests_unanswered += 1
            self.monitor.record_failure(now)
            self.log.note(
                "request-unanswered",
                flow=self.codec.describe(key),
                asked_ms=round(1000 * (now - flow.requested_at)),
                host=self.host.host_id,
            )
        self.table.sweep(now)
