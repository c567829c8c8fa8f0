"""The agent's core: it admits new flows to its host and knows which flows the host holds.

Every packet of the host passes here, both ways, so this table and the host are the truth that
balancers ask. An agent that restarted has an empty table: it hands packets of unknown flows to
its host, which hands back what it does not hold. Sans-IO: time is a parameter, datagrams
leave through three senders.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from jasperwalk.agent.datagrams.admission import COPIES_PASS, MAY_WAIT, WAITED, HostAdmission
from jasperwalk.agent.datagrams.admission_queue import AdmissionQueue
from jasperwalk.agent.datagrams.balancer_answers import BalancerAnswers
from jasperwalk.agent.datagrams.counters import AgentCounters
from jasperwalk.agent.datagrams.flow_knowledge import FlowKnowledge
from jasperwalk.agent.datagrams.held_flow import NO_BALANCER, HeldFlow
from jasperwalk.agent.datagrams.held_flows import HeldFlows
from jasperwalk.agent.datagrams.host import HostState
from jasperwalk.agent.datagrams.host_response import SILENT_LOAD_FACTOR
from jasperwalk.agent.datagrams.host_watch import HostWatch
from jasperwalk.agent.datagrams.load import LoadMeter
from jasperwalk.agent.datagrams.pace_watch import PaceWatch
from jasperwalk.agent.datagrams.waiting_flows import WaitingFlows
from jasperwalk.agent.datagrams.warm_up import WarmUpLimit
from jasperwalk.errors import MalformedMessage
from jasperwalk.fleet.messages import DrainedZones
from jasperwalk.flows.codec import DatagramSender, PacketCodec, SocketAddress
from jasperwalk.flows.frames import (
    REQUEST_HEAD,
    FrameKind,
    OpeningTerms,
    RefusalReason,
    decode_opening,
    service_tag,
    split_keys,
)
from jasperwalk.observability.decisions import DecisionLog
from jasperwalk.observability.latency import LatencyCounts


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
    counters: AgentCounters = field(default_factory=AgentCounters)
    host_latency: LatencyCounts = field(default_factory=LatencyCounts)
    """From a request's last packet to the first packet of its answer."""
    wait_latency: LatencyCounts = field(default_factory=LatencyCounts)
    flow_idle_seconds: float = float("inf")
    """Longest rest of a flow that is kept."""
    measures_pace: bool = True
    """False to measure nothing of the host's pace."""

    def __post_init__(self) -> None:
        """Prepare what every frame needs."""
        self._tag = service_tag(self.service)
        self.answers = BalancerAnswers(self._tag, self.host, self._load, self.to_balancer)
        self.meter = LoadMeter(self.started_at)
        self.pace = PaceWatch(self.codec, self.host, self.log, self.measures_pace)
        self.table = HeldFlows(self.meter, self.flow_lifetime_seconds, self.pace.note_ended)
        self.queue = AdmissionQueue()
        self.watch = HostWatch(self.host, self.log, self.pace)
        self.warm_up = WarmUpLimit(self.warm_up_floor, self.started_at)
        self.admission = HostAdmission(
            self.host,
            self.watch.response,
            self.watch.requests,
            self.warm_up,
            self.zone,
            self.pace,
        )
        self.knowledge = FlowKnowledge(
            self.host, self.warm_up, self.started_at, self.flow_lifetime_seconds
        )
        self.waiting = WaitingFlows(
            codec=self.codec,
            queue=self.queue,
            admission=self.admission,
            meter=self.meter,
            counters=self.counters,
            to_caller=self.to_caller,
            log=self.log,
        )

    def __len__(self) -> int:
        """Return the number of flows in the table."""
        return len(self.table)

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
            self._receive_opening(body, flags, tag, sender, now)
        elif not self.codec.is_whole(body):
            self.counters.frames_malformed += 1
        elif kind == FrameKind.CARRY:
            self._carry(body, tag, sender, now)
        elif kind == FrameKind.CONFIRM:
            self._confirm(body, tag, sender, now)
        else:
            self.counters.frames_malformed += 1

    def _receive_opening(
        self, body: bytes, flags: int, tag: int, sender: SocketAddress, now: float
    ) -> None:
        """Take a frame with an opening packet and the terms of its flow."""
        try:
            request = decode_opening(flags, body)
        except MalformedMessage:
            self.counters.frames_malformed += 1
            return
        if not self.codec.is_whole(request.packet):
            self.counters.frames_malformed += 1
            return
        self._open(request.packet, request.terms, tag, sender, now)

    def _find(self, keys: bytes, tag: int, sender: SocketAddress, now: float) -> None:
        """Answer whether flows are held, one or several in a frame."""
        asked = split_keys(keys, self.codec.flow_key_bytes)
        if not asked:
            self.counters.frames_malformed += 1
            return
        kinds = {key: self._answer(key, tag, sender, now) for key in asked}
        self.answers.reply_all(kinds, sender, now)

    def _answer(self, key: bytes, tag: int, sender: SocketAddress, now: float) -> FrameKind:
        flow = self.table.get(key)
        if tag != self._tag:
            return FrameKind.NOT_HELD
        if flow is None:
            return (
                FrameKind.NOT_HELD
                if self.knowledge.knows_all_flows(self.flow_idle_seconds, now)
                else FrameKind.UNSURE
            )
        # Another host may have answered the caller first; a packet would tell.
        flow.confirmed = flow.confirmed and flow.followed_up
        flow.balancer = sender
        return FrameKind.HELD if flow.confirmed else FrameKind.UNSURE

    def note_host_absent(self, now: float) -> None:
        """Note that no host runs beside this agent: one that starts later starts here."""
        if self.knowledge.note_host_absent():
            self.log.note("host-absent", after_ms=round(1000 * (now - self.started_at)))

    def host_changed(self, now: float) -> None:
        """Doubt the flows in the table: another host has replaced the one beside this agent.

        The new host may have taken flows before it spoke for the first time, so the table is
        kept, and a packet will tell. Flows that are not in it cannot be at the new host: it
        began while this process watched.
        """
        self.knowledge.host_started_here = True
        self.watch.note_replaced()
        self.table.doubt_all(now)

    def _carry(self, packet: bytes, tag: int, sender: SocketAddress, now: float) -> None:
        key = self.codec.flow_key(packet)
        if tag != self._tag:
            # The address was another service's when the balancer learned it.
            self.counters.other_service_drops += 1
            self.answers.reply(FrameKind.RETURNED, 0, key, sender, now, packet)
            return
        flow = self.table.get(key)
        if flow is None:
            if self.knowledge.knows_all_flows(self.flow_idle_seconds, now):
                self.answers.reply(FrameKind.RETURNED, 0, key, sender, now, packet)
                return
            flow = self.table.add_unconfirmed(key, sender, now)
        elif (
            not flow.followed_up
            and flow.answer_numbers
            and not flow.is_followed(packet, self.codec)
        ):
            self._let_go(key, flow, now)
            self.answers.reply(FrameKind.RETURNED, 0, key, sender, now, packet)
            return
        flow.balancer = sender
        flow.seen_at = now
        flow.followed_up = True
        self.table.half_open.note_followed_up(key, now)
        self._note_caller_packet(flow, packet, now)
        self.counters.packets_in += 1
        self.to_host(packet)

    def _confirm(self, packet: bytes, tag: int, sender: SocketAddress, now: float) -> None:
        """Tell whether a caller has followed this host's answer up; pass its packet on if so."""
        key = self.codec.flow_key(packet)
        flow = self.table.get(key)
        if flow is None or flow.followed_up or tag != self._tag:
            answer = self._answer(key, tag, sender, now)
        elif flow.is_followed(packet, self.codec):
            answer = FrameKind.HELD
        else:
            self._let_go(key, flow, now)
            answer = FrameKind.NOT_HELD
        if key in self.queue and tag == self._tag:
            # Its caller has an answer, which cannot be this host's.
            self.queue.discard(key)
            answer = FrameKind.NOT_HELD
        self.log.note(
            "flow-confirmed" if answer is FrameKind.HELD else "flow-not-confirmed",
            flow=self.codec.describe(key),
            answer=answer.name.lower(),
            opened_ms=-1 if flow is None else round(1000 * (now - flow.opened_at)),
        )
        self.answers.reply(answer, 0, key, sender, now)
        if answer is FrameKind.HELD:
            self._carry(packet, tag, sender, now)

    def _let_go(self, key: bytes, flow: HeldFlow, now: float) -> None:
        """Forget a half-open flow whose caller chose another host."""
        self.counters.flows_opened_elsewhere += 1
        self.table.drop(key, flow, now)

    def _note_caller_packet(self, flow: HeldFlow, packet: bytes, now: float) -> None:
        if self.codec.payload_bytes(packet) and flow.is_new_data(self.codec.data_number(packet)):
            flow.asked_at = now
            self.pace.note_asked(flow, packet, now)
            self.table.set_busy(flow, True, now)
        if self.codec.is_ending(packet) or self.codec.is_reset(packet):
            flow.caller_ended = True
        if self.codec.is_reset(packet):
            flow.host_ended = True
            self.table.set_busy(flow, False, now)

    def _expire_half_open(self, now: float) -> None:
        """Stop counting flows whose callers had given up before they were admitted."""
        self.counters.flows_abandoned += self.table.expire_half_open(now)

    def _open(
        self, packet: bytes, terms: OpeningTerms, tag: int, sender: SocketAddress, now: float
    ) -> None:
        key = self.codec.flow_key(packet)
        self._expire_half_open(now)
        flow = self.table.get(key)
        is_copy = flow is not None and not flow.has_ended()
        reason = self._refusal(tag, terms, now, key)
        reason = None if is_copy and reason in COPIES_PASS else reason
        if reason in MAY_WAIT and not is_copy and self.waiting.lets_wait(key, packet, terms, now):
            self.answers.reply(FrameKind.ACCEPTED, self.pace.told(key, now), key, sender, now)
            return
        if reason is not None:
            self.counters.note_refusal(reason)
            self.answers.reply(FrameKind.REFUSED, reason, key, sender, now)
            return
        if not is_copy:
            self._admit(key, sender, now)
        self.answers.reply(FrameKind.ACCEPTED, self.pace.told(key, now), key, sender, now)
        self.warm_up.note_passed(now)
        self.to_host(packet)

    def admit_waiting(self, now: float) -> None:
        """Admit waiting flows while the host has room; refuse those that waited too long."""
        self._expire_half_open(now)
        if not self.queue:
            return
        self.waiting.refuse_hopeless(now)
        while self.queue and self._refusal(self._tag, WAITED, now) is None:
            key, waiting = self.queue.pop_newest()
            self.wait_latency.observe(now - waiting.arrived_at)
            self._admit(key, NO_BALANCER, now, now - waiting.arrived_at)
            self.warm_up.note_passed(now)
            self.to_host(waiting.packet)

    def _refusal(
        self, tag: int, terms: OpeningTerms, now: float, key: bytes | None = None
    ) -> RefusalReason | None:
        """Return why a new flow is refused now, None where it is taken."""
        if tag != self._tag:
            return RefusalReason.OTHER_SERVICE
        return self.admission.refusal(self.meter.busy, terms, now, key)

    def zones_changed(self, zones: DrainedZones, now: float) -> None:
        """Take the drained zones; flows that wait for a host in one of them are reset at once.

        The hosts of a zone that is restored may have gone cold meanwhile, and not have said so.
        """
        was_drained = self.admission.is_zone_drained()
        if not self.admission.take_zones(zones):
            return
        is_drained = self.admission.is_zone_drained()
        if is_drained != was_drained:
            event = "zone-drained" if is_drained else "zone-restored"
            self.log.note(event, revision=zones.revision, waiting=len(self.queue))
        if was_drained and not is_drained:
            self.warm_up.note_zone_restored(now)
        self.admit_waiting(now)

    def _admit(
        self, key: bytes, sender: SocketAddress, now: float, waited_seconds: float = 0.0
    ) -> None:
        self.table.admit(key, sender, now)
        self.watch.note_admitted(now)
        self.counters.flows_accepted += 1
        self.log.note(
            "flow-admitted",
            flow=self.codec.describe(key),
            busy=self.meter.busy,
            capacity=self.host.capacity,
            waited_ms=round(1000 * waited_seconds),
            **self.host.describe(now),
        )

    def _load(self, now: float) -> float:
        if self.watch.response.is_unable(now):
            return float(SILENT_LOAD_FACTOR * self.host.capacity)
        return self.meter.load(now) + len(self.queue)

    # From the host

    def receive_host_packet(self, packet: bytes, now: float) -> None:
        """Take a packet of the host beside this agent."""
        if not self.codec.is_whole(packet):
            self.counters.host_packets_malformed += 1
            return
        self.watch.note_packet(now)
        if self.codec.is_returned(packet):
            self._host_returned(self.codec.restore_returned(packet), now)
            return
        key = self.codec.reverse_flow_key(packet)
        flow = self.table.get(key)
        if flow is not None:
            self._note_host_packet(key, flow, packet, now)
        self.counters.packets_out += 1
        self.to_caller(packet, self.codec.caller_of(key))
        self.admit_waiting(now)

    def _note_host_packet(self, key: bytes, flow: HeldFlow, packet: bytes, now: float) -> None:
        flow.seen_at = now
        if not flow.followed_up:
            number = self.codec.opening_answer_number(packet)
            flow.note_answer(number)
            if number is not None:
                self.watch.note_opening_taken(now)
        if not flow.confirmed and flow.followed_up:
            flow.confirmed = True
            self.answers.reply(FrameKind.HELD, 0, key, flow.balancer, now)
        if self.codec.is_reset(packet):
            self._note_host_reset(flow, now)
        elif self.codec.is_ending(packet):
            self._note_answer(flow, now)
            flow.host_ended = True
        elif self.codec.payload_bytes(packet):
            self._note_answer(flow, now)

    def _note_answer(self, flow: HeldFlow, now: float) -> None:
        """Count a request as ended, by the answer's first packet.

        A host that closes after its answer sends the end right after the data, and the network may
        swap the two: by their data alone one of ten answers was counted.
        """
        if flow.has_request_under_way():
            self.counters.requests_answered += 1
            self.host_latency.observe(now - flow.asked_at)
            self.watch.note_answered(now)
            self.pace.note_answered(flow, now)
        self.table.set_busy(flow, False, now)

    def _note_host_reset(self, flow: HeldFlow, now: float) -> None:
        if flow.has_request_under_way():
            self.counters.requests_broken_off += 1
            self.watch.note_failed(now)
        flow.host_ended = flow.caller_ended = True
        self.table.set_busy(flow, False, now)

    def _host_returned(self, packet: bytes, now: float) -> None:
        """Give a packet that the host does not hold back to the balancer."""
        key = self.codec.flow_key(packet)
        flow = self.table.get(key)
        is_opening = self.codec.is_opening(packet)
        # A copy of an opening that the host has answered: it holds the flow half open.
        if flow is None or (is_opening and flow.answer_numbers):
            return
        self.table.drop(key, flow, now)
        if is_opening:
            self.watch.note_opening_returned(now)
        self.counters.packets_returned += 1
        self.log.note(
            "packet-returned",
            flow=self.codec.describe(key),
            opening=is_opening,
            held_ms=round(1000 * (now - flow.opened_at)),
            host=self.host.host_id,
        )
        if flow.balancer == NO_BALANCER:
            self.to_caller(self.codec.reset_for(packet), self.codec.caller_of(key))
        elif is_opening:
            self.answers.reply(FrameKind.REFUSED, RefusalReason.RETURNED, key, flow.balancer, now)
        else:
            self.answers.reply(FrameKind.RETURNED, 0, key, flow.balancer, now, packet)

    # Time

    def sweep(self, now: float) -> None:
        """Forget flows that ended or cannot be alive any longer; call every second."""
        self.watch.check(now)
        self.admit_waiting(now)
        for key, flow in self.table.take_unanswered(now):
            self.counters.requests_unanswered += 1
            self.watch.note_failed(now)
            self.log.note(
                "request-unanswered",
                flow=self.codec.describe(key),
                asked_ms=round(1000 * (now - flow.asked_at)),
                host=self.host.host_id,
            )
        self.table.sweep(now)
