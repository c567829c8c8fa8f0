"""The agent's core: it admits new flows to its host and knows which flows the host holds.

Every packet of the host passes here, both ways, so this table and the host are the truth that
balancers ask. An agent that restarted has an empty table: it hands packets of unknown flows to
its host, which hands back what it does not hold. Sans-IO: time is a parameter, datagrams
leave through three senders.

The parts: `flow_admission` (new flows, and whose turn it is), `caller_packets` (open flows),
`host_packets` (what the host sends), `waiting_requests` (what waits).
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
    """Admits, carries, answers balancers; call `sweep` every second."""

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
    """New flows a second that any cold host bears, None where the settings name none."""
    least_share: float = DEFAULT_LEAST_SHARE
    """Part of the requests begun that is left to less urgent ones while they wait."""
    shares: GroupShares = field(default_factory=NoShares)
    """Shares the host's time between groups of callers."""
    counters: AgentCounters = field(default_factory=AgentCounters)
    host_latency: LatencyHistogram = field(default_factory=LatencyHistogram)
    """From a request's last packet to the first packet of its answer."""
    wait_latency: LatencyHistogram = field(default_factory=LatencyHistogram)
    flow_idle_seconds: float = float("inf")
    """Longest rest of a flow that is kept."""
    measures_service_times: bool = True
    """False to measure nothing of the host's pace."""

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
            self.host, self.warm_up, self.started_at, self.flow_lifetime_seconds
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
        """Take a balancer's frame."""
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
        """Take a frame with an opening packet and the terms of its flow."""
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
        """Answer whether flows are held, one or several in a frame."""
        asked = split_keys(keys, self.codec.flow_key_bytes)
        if not asked:
            self.counters.frames_malformed += 1
            return
        kinds = {key: self._callers.answer(key, tag, sender, now) for key in asked}
        self.answers.reply_all(kinds, sender, now)

    # From the host

    def receive_host_packet(self, packet: bytes, now: float) -> None:
        """Take a packet of the host beside this agent."""
        self._host_packets.receive(packet, now)

    def record_host_absent(self, now: float) -> None:
        """Note that no host runs beside this agent: one that starts later starts here."""
        if self.knowledge.record_host_absent():
            self.log.note("host-absent", after_ms=round(1000 * (now - self.started_at)))

    def on_host_replaced(self, now: float) -> None:
        """Doubt the flows in the table: another host has replaced the one beside this agent.

        The new host may have taken flows before it spoke for the first time, so the table is
        kept, and a packet will tell. Flows that are not in it cannot be at the new host: it
        began while this process watched. Requests that waited go to it at once: it hands back
        what it does not hold, so that their callers learn that the host is gone.
        """
        self.knowledge.host_started_here = True
        self.monitor.on_host_replaced()
        self.table.in_flight.reset_times()
        self.table.unconfirm_all(now)
        self.release_held(now)

    # The turn of what waits

    def admit_waiting(self, now: float) -> None:
        """Begin what waits while the host has room; let go what waited too long."""
        self._flow_admission.admit_waiting(now)

    def release_held(self, now: float) -> None:
        """Give every request of an open flow that waits to the host; call before the end."""
        self._flow_admission.release_held(now)

    def zones_changed(self, zones: DrainedZones, now: float) -> None:
        """Take the drained zones; flows that wait for a host in one of them are reset at once.

        The hosts of a zone that is restored may have gone cold meanwhile, and not have said so.
        """
        was_drained = self.admission.is_zone_drained()
        if not self.admission.update_zones(zones):
            return
        is_drained = self.admission.is_zone_drained()
        if is_drained != was_drained:
            event = "zone-drained" if is_drained else "zone-restored"
            self.log.note(event, revision=zones.revision, waiting=len(self.queue))
        if was_drained and not is_drained:
            self.warm_up.on_zone_restored(now)
        self.admit_waiting(now)

    # Time

    def sweep(self, now: float) -> None:
        """Forget flows that ended or cannot be alive any longer; call every second."""
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
