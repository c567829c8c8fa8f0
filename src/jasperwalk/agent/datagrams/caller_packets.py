"""Forwards packets of open flows from balancers to the host, or queues them.

Every packet of an open flow passes here. The first packet of a request waits in the agent's queue
where the host has no capacity for it; the others are forwarded. It also answers balancers that ask
whether the host holds a flow.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from jasperwalk.agent.datagrams.flow_knowledge import FlowKnowledge
from jasperwalk.agent.datagrams.held_flow import HeldFlow
from jasperwalk.agent.datagrams.parts import AgentParts
from jasperwalk.flows.codec import SocketAddress
from jasperwalk.flows.frames import FrameKind
from jasperwalk.scheduling.waiting_request import WaitingRequest


@dataclass(eq=False, repr=False)
class CallerPackets:
    """Forwards packets of open flows; sans-IO. `idle_seconds` returns the idle limit of a flow."""

    parts: AgentParts
    knowledge: FlowKnowledge
    idle_seconds: Callable[[], float]

    def forward(self, packet: bytes, tag: int, sender: SocketAddress, now: float) -> None:
        """Handle a packet of a flow that a balancer expects at this host."""
        parts = self.parts
        key = parts.codec.flow_key(packet)
        if tag != parts.tag:
            # The balancer learned the address when it belonged to another service.
            parts.counters.other_service_drops += 1
            parts.answers.reply(FrameKind.RETURNED, 0, key, sender, now, packet)
            return
        flow = parts.table.get(key)
        if flow is None:
            if self.knowledge.knows_all_flows(self.idle_seconds(), now):
                parts.answers.reply(FrameKind.RETURNED, 0, key, sender, now, packet)
                return
            flow = parts.table.add_unconfirmed(key, sender, now)
        elif (
            not flow.followed_up
            and flow.answer_numbers
            and not flow.is_followed_up_by(packet, parts.codec)
        ):
            self._drop_half_open(key, flow, now)
            parts.answers.reply(FrameKind.RETURNED, 0, key, sender, now, packet)
            return
        flow.balancer = sender
        flow.seen_at = now
        flow.followed_up = True
        parts.table.half_open.record_follow_up(key, now)
        parts.counters.packets_in += 1
        if not self._try_hold(key, flow, packet, now):
            self._send(flow, packet, now)

    def confirm(self, packet: bytes, tag: int, sender: SocketAddress, now: float) -> None:
        """Answer whether a caller has followed this host's answer up; if so, forward its packet."""
        parts = self.parts
        key = parts.codec.flow_key(packet)
        flow = parts.table.get(key)
        if flow is None or flow.followed_up or tag != parts.tag:
            answer = self.answer(key, tag, sender, now)
        elif flow.is_followed_up_by(packet, parts.codec):
            answer = FrameKind.HELD
        else:
            self._drop_half_open(key, flow, now)
            answer = FrameKind.NOT_HELD
        if tag == parts.tag and self._cancel_waiting_opening(key):
            answer = FrameKind.NOT_HELD
        parts.log.note(
            "flow-confirmed" if answer is FrameKind.HELD else "flow-not-confirmed",
            flow=parts.codec.describe(key),
            answer=answer.name.lower(),
            opened_ms=-1 if flow is None else round(1000 * (now - flow.opened_at)),
        )
        parts.answers.reply(answer, 0, key, sender, now)
        if answer is FrameKind.HELD:
            self.forward(packet, tag, sender, now)

    def _cancel_waiting_opening(self, key: bytes) -> bool:
        """Cancel a flow that waits to be opened: another host has answered its caller."""
        waiting = self.parts.queue.get(key)
        if waiting is None or not waiting.opens_flow:
            return False
        self.parts.queue.discard(key)
        return True

    def answer(self, key: bytes, tag: int, sender: SocketAddress, now: float) -> FrameKind:
        """Return the answer to a query whether the host holds a flow."""
        flow = self.parts.table.get(key)
        if tag != self.parts.tag:
            return FrameKind.NOT_HELD
        if flow is None:
            is_known = self.knowledge.knows_all_flows(self.idle_seconds(), now)
            return FrameKind.NOT_HELD if is_known else FrameKind.UNSURE
        # Another host may have answered the caller first; only its next packet shows that.
        flow.confirmed = flow.confirmed and flow.followed_up
        flow.balancer = sender
        return FrameKind.HELD if flow.confirmed else FrameKind.UNSURE

    def forward_waiting(self, request: WaitingRequest, now: float) -> None:
        """Forward a request that waited to the host, its packets in order."""
        parts = self.parts
        flow = parts.table.get(request.key)
        if flow is None:
            return
        parts.log.note(
            "request-begun",
            flow=parts.codec.describe(request.key),
            priority=request.terms.priority,
            waited_ms=round(1000 * (now - request.arrived_at)),
            packets=len(request.packets),
            waiting=len(parts.queue),
            busy=parts.requests_at_host(now),
        )
        parts.wait_latency.observe(now - request.arrived_at)
        for packet in request.packets:
            self._send(flow, packet, now)

    # Queueing

    def _try_hold(self, key: bytes, flow: HeldFlow, packet: bytes, now: float) -> bool:
        """Queue a packet of a waiting request, or one that starts a request that has to wait."""
        waiting = self.parts.queue.get(key)
        if waiting is not None:
            return self._add_to_waiting(waiting, packet)
        if not self.parts.schedules_requests() or not self._starts_request(flow, packet):
            return False
        listener = self.parts.codec.listener_of(key)
        terms = self.parts.learned.find(listener, flow.balancer)
        if terms is None:
            return False
        if not self.parts.queue and self.parts.has_capacity(now):
            self.parts.record_started(terms, now)
            return False
        number = self.parts.codec.data_number(packet)
        if self.parts.queue.hold(key, packet, number, terms, now) is None:
            return False
        self.parts.counters.requests_held += 1
        self.parts.counters.by_priority.count("held", terms.priority)
        return True

    def _add_to_waiting(self, waiting: WaitingRequest, packet: bytes) -> bool:
        """Add a packet to a waiting request, or absorb a copy; return False for one to forward.

        A caller that resets its flow needs no answer any more, so its request is cancelled.
        """
        codec = self.parts.codec
        if codec.is_reset(packet):
            self.parts.queue.discard(waiting.key)
            self.parts.counters.requests_left += 1
            return False
        if not codec.payload_bytes(packet) and not codec.is_ending(packet):
            return False
        if not waiting.add_packet(packet, codec.data_number(packet)):
            self.parts.counters.request_copies_absorbed += 1
        return True

    def _starts_request(self, flow: HeldFlow, packet: bytes) -> bool:
        """Tell whether a packet starts a request that may wait.

        Only a packet shows whether the host holds an unconfirmed flow, and its caller, which may
        have to open another one, is not to wait for that.
        """
        if not flow.confirmed:
            return False
        codec = self.parts.codec
        if not codec.payload_bytes(packet) or codec.is_opening(packet):
            return False
        return flow.starts_request(codec.data_number(packet))

    def _send(self, flow: HeldFlow, packet: bytes, now: float) -> None:
        codec = self.parts.codec
        if codec.payload_bytes(packet) and flow.record_data_number(codec.data_number(packet)):
            self.parts.service_times.record_request(flow, packet, now)
            self.parts.table.record_request(flow, now)
        if codec.is_ending(packet) or codec.is_reset(packet):
            flow.caller_ended = True
        if codec.is_reset(packet):
            flow.host_ended = True
            self.parts.table.set_busy(flow, False, now)
        self.parts.to_host(packet)

    def _drop_half_open(self, key: bytes, flow: HeldFlow, now: float) -> None:
        """Remove a half-open flow whose caller chose another host."""
        self.parts.counters.flows_opened_elsewhere += 1
        self.parts.table.drop(key, flow, now)
