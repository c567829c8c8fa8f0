"""Forwards packets of the host to callers, and records what they show of its requests.

An answer, a reset or a returned packet changes the state of the flow and the counts of requests in
flight, so waiting requests are started after each packet.
"""

from __future__ import annotations

from dataclasses import dataclass

from jasperwalk.agent.datagrams.flow_admission import FlowAdmission
from jasperwalk.agent.datagrams.held_flow import NO_BALANCER, HeldFlow
from jasperwalk.agent.datagrams.parts import AgentParts
from jasperwalk.flows.frames import FrameKind, RefusalReason


@dataclass(eq=False, repr=False)
class HostPackets:
    """Forwards the host's packets; sans-IO, times are seconds."""

    parts: AgentParts
    flow_admission: FlowAdmission

    def receive(self, packet: bytes, now: float) -> None:
        """Handle a packet from the host."""
        parts = self.parts
        if not parts.codec.is_complete(packet):
            parts.counters.host_packets_malformed += 1
            return
        parts.monitor.record_packet(now)
        if parts.codec.is_returned(packet):
            self._handle_returned(parts.codec.restore_returned(packet), now)
            return
        key = parts.codec.reverse_flow_key(packet)
        flow = parts.table.get(key)
        if flow is not None:
            self._record(key, flow, packet, now)
        parts.counters.packets_out += 1
        parts.to_caller(packet, parts.codec.caller_of(key))
        self.flow_admission.admit_waiting(now)

    def _record(self, key: bytes, flow: HeldFlow, packet: bytes, now: float) -> None:
        codec = self.parts.codec
        flow.seen_at = now
        if not flow.followed_up:
            number = codec.opening_answer_number(packet)
            flow.record_answer_number(number)
            if number is not None:
                self.parts.monitor.record_opening_taken(now)
        if not flow.confirmed and flow.followed_up:
            flow.confirmed = True
            self.parts.answers.reply(FrameKind.HELD, 0, key, flow.balancer, now)
        if codec.is_reset(packet):
            self._record_reset(key, flow, now)
        elif codec.is_ending(packet):
            self._record_answer(flow, now)
            flow.host_ended = True
        elif codec.payload_bytes(packet):
            self._record_answer(flow, now)

    def _record_answer(self, flow: HeldFlow, now: float) -> None:
        """Count a request as ended, by the answer's first packet.

        A host that closes after its answer sends the end right after the data, and the network may
        reorder the two: counted by their data alone, only one of ten answers was seen.
        """
        parts = self.parts
        if flow.has_request_in_flight():
            parts.counters.requests_answered += 1
            parts.host_latency.observe(now - flow.requested_at)
            parts.monitor.record_answer(now)
            parts.table.record_answer(flow, now)
            parts.service_times.record_answer(flow, now)
        parts.table.set_busy(flow, False, now)

    def _record_reset(self, key: bytes, flow: HeldFlow, now: float) -> None:
        parts = self.parts
        if flow.has_request_in_flight():
            parts.counters.requests_broken_off += 1
            parts.monitor.record_failure(now)
        parts.queue.discard(key)
        flow.host_ended = flow.caller_ended = True
        parts.table.set_busy(flow, False, now)

    def _handle_returned(self, packet: bytes, now: float) -> None:
        """Return a packet of a flow that the host does not hold to the balancer."""
        parts = self.parts
        key = parts.codec.flow_key(packet)
        flow = parts.table.get(key)
        is_opening = parts.codec.is_opening(packet)
        # A returned copy of an opening that the host has answered: it holds the flow half open.
        if flow is None or (is_opening and flow.answer_numbers):
            return
        parts.table.drop(key, flow, now)
        if is_opening:
            parts.monitor.record_opening_returned(now)
        parts.counters.packets_returned += 1
        parts.log.note(
            "packet-returned",
            flow=parts.codec.describe(key),
            opening=is_opening,
            held_ms=round(1000 * (now - flow.opened_at)),
            host=parts.host.host_id,
        )
        if flow.balancer == NO_BALANCER:
            parts.to_caller(parts.codec.reset_for(packet), parts.codec.caller_of(key))
        elif is_opening:
            parts.answers.reply(FrameKind.REFUSED, RefusalReason.RETURNED, key, flow.balancer, now)
        else:
            parts.answers.reply(FrameKind.RETURNED, 0, key, flow.balancer, now, packet)
