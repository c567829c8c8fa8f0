"""Which new flows may wait at the agent, and what becomes of those that wait in vain."""

from __future__ import annotations

from dataclasses import dataclass

from jasperwalk.agent.datagrams.admission import HostAdmission
from jasperwalk.agent.datagrams.admission_queue import AdmissionQueue, WaitingFlow
from jasperwalk.agent.datagrams.counters import AgentCounters
from jasperwalk.agent.datagrams.load import LoadMeter
from jasperwalk.flows.codec import DatagramSender, PacketCodec
from jasperwalk.flows.frames import OpeningTerms
from jasperwalk.observability.decisions import DecisionLog


@dataclass(eq=False, repr=False)
class WaitingFlows:
    """Fills and clears the agent's queue; sans-IO, times are seconds."""

    codec: PacketCodec
    queue: AdmissionQueue
    admission: HostAdmission
    meter: LoadMeter
    counters: AgentCounters
    to_caller: DatagramSender
    log: DecisionLog

    def lets_wait(self, key: bytes, packet: bytes, terms: OpeningTerms, now: float) -> bool:
        """Put a flow that found no free host into the queue; a full one lets its oldest go."""
        if key in self.queue:
            return True
        if not terms.waits:
            return False
        if self.queue and not self._has_room(now):
            self._refuse([self.queue.pop_oldest()], now)
        self.counters.flows_waited += 1
        self.queue.add(key, packet, now - terms.age_seconds, now)
        return True

    def _has_room(self, now: float) -> bool:
        admission = self.admission
        most_per_second = admission.warm_up.bound(admission.host.slow_until, now)
        return self.queue.has_room(admission.host.capacity, most_per_second)

    def refuse_hopeless(self, now: float) -> None:
        """Reset the flows that waited too long, or all where the host takes none any more."""
        if self.admission.takes_none():
            self._refuse(self.queue.take_all(), now)
        self._refuse(self.queue.take_expired(now), now)

    def _refuse(self, refused: list[tuple[bytes, WaitingFlow]], now: float) -> None:
        for key, waiting in refused:
            self.counters.flows_waited_in_vain += 1
            self.log.note(
                "flow-waited-in-vain",
                flow=self.codec.describe(key),
                waited_ms=round(1000 * (now - waiting.arrived_at)),
                busy=self.meter.busy,
                phase=self.admission.host.phase.value,
                zone_drained=self.admission.is_zone_drained(),
            )
            self.to_caller(self.codec.reset_for(waiting.packet), self.codec.caller_of(key))
