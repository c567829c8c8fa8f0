"""Admits, queues or refuses new flows at an agent, and starts waiting requests.

An opening packet goes to the host, waits in the agent's queue, or is refused, as `HostAdmission`
decides. Whenever the host has capacity, the next waiting requests are started.
"""

from __future__ import annotations

from dataclasses import dataclass

from jasperwalk.agent.datagrams.held_flow import NO_BALANCER
from jasperwalk.agent.datagrams.host_admission import (
    COPY_EXEMPT_REFUSALS,
    QUEUEABLE_REFUSALS,
    QUEUED_FLOW_TERMS,
)
from jasperwalk.agent.datagrams.parts import AgentParts
from jasperwalk.agent.datagrams.waiting_requests import WaitingRequests
from jasperwalk.flows.codec import SocketAddress
from jasperwalk.flows.frames import FrameKind, OpeningTerms, RefusalReason
from jasperwalk.scheduling.waiting_request import DEFAULT_TERMS, WaitingRequest


@dataclass(eq=False, repr=False)
class FlowAdmission:
    """Admits, queues or refuses; sans-IO, times are seconds."""

    parts: AgentParts
    waiting: WaitingRequests

    def open(
        self, packet: bytes, terms: OpeningTerms, tag: int, sender: SocketAddress, now: float
    ) -> None:
        """Handle an opening packet from a balancer."""
        parts = self.parts
        key = parts.codec.flow_key(packet)
        if terms.route is not None and tag == parts.tag:
            parts.learned.record(parts.codec.listener_of(key), sender, terms.route)
        self._expire_half_open(now)
        flow = parts.table.get(key)
        is_copy = flow is not None and not flow.has_ended()
        reason = self._refusal(tag, terms, now, key)
        reason = None if is_copy and reason in COPY_EXEMPT_REFUSALS else reason
        if (
            reason in QUEUEABLE_REFUSALS
            and not is_copy
            and self.waiting.try_enqueue(key, packet, terms, now)
        ):
            parts.answers.reply(
                FrameKind.ACCEPTED,
                parts.service_times.encoded_service_time(key, now),
                key,
                sender,
                now,
            )
            return
        if reason is not None:
            parts.counters.count_refusal(reason)
            parts.answers.reply(FrameKind.REFUSED, reason, key, sender, now)
            return
        if not is_copy:
            self._admit(key, sender, now)
            parts.record_started(terms.route or DEFAULT_TERMS, now)
        parts.answers.reply(
            FrameKind.ACCEPTED, parts.service_times.encoded_service_time(key, now), key, sender, now
        )
        parts.warm_up.record_opening(now)
        parts.to_host(packet)

    def admit_waiting(self, now: float) -> None:
        """Start waiting requests while the host has capacity; shed those that waited too long."""
        parts = self.parts
        self._expire_half_open(now)
        if not parts.queue:
            return
        self.waiting.shed_expired(now)
        while parts.queue and parts.has_capacity(now):
            takes_flows = self._refusal(parts.tag, QUEUED_FLOW_TERMS, now) is None
            seconds = parts.table.in_flight.mean_seconds
            request = parts.queue.take_next(takes_flows, seconds, now)
            if request is None:
                return
            self._start(request, now)

    def release_held(self, now: float) -> None:
        """Forward all waiting requests of open flows: the host, or its successor, is to decide."""
        for request in self.parts.queue.take_held():
            self.waiting.forward_waiting(request, now)

    def _start(self, request: WaitingRequest, now: float) -> None:
        if not request.opens_flow:
            self.waiting.forward_waiting(request, now)
            return
        waited_seconds = now - request.arrived_at
        self.parts.wait_latency.observe(waited_seconds)
        self._admit(request.key, NO_BALANCER, now, waited_seconds)
        self.parts.warm_up.record_opening(now)
        self.parts.to_host(request.packets[0])

    def _refusal(
        self, tag: int, terms: OpeningTerms, now: float, key: bytes | None = None
    ) -> RefusalReason | None:
        """Return why a new flow is refused now, None where it is admitted."""
        if tag != self.parts.tag:
            return RefusalReason.OTHER_SERVICE
        return self.parts.admission.refusal(self.parts.requests_at_host(now), terms, now, key)

    def _admit(
        self, key: bytes, sender: SocketAddress, now: float, waited_seconds: float = 0.0
    ) -> None:
        parts = self.parts
        parts.table.admit(key, sender, now)
        parts.monitor.record_admission(now)
        parts.counters.flows_accepted += 1
        parts.log.note(
            "flow-admitted",
            flow=parts.codec.describe(key),
            busy=parts.meter.busy,
            capacity=parts.host.capacity,
            waited_ms=round(1000 * waited_seconds),
            **parts.host.describe(now),
        )

    def _expire_half_open(self, now: float) -> None:
        """Stop counting admitted flows whose callers had left before."""
        self.parts.counters.flows_abandoned += self.parts.table.expire_half_open(now)
