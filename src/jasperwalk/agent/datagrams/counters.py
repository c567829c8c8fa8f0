"""What an agent of the datagram plane counts."""

from __future__ import annotations

from dataclasses import dataclass

from jasperwalk.flows.frames import RefusalReason


@dataclass(eq=False, repr=False)
class AgentCounters:
    """What the agent did since it started."""

    packets_in: int = 0
    packets_out: int = 0
    frames_malformed: int = 0
    host_packets_malformed: int = 0
    flows_accepted: int = 0
    flows_refused: int = 0
    flows_refused_zone_drained: int = 0
    flows_refused_warming_up: int = 0
    flows_refused_slow: int = 0
    """Flows that a slow host would have served too late; of balancers that tell no terms they are
    refused as by a full host and not counted here."""
    flows_waited: int = 0
    flows_waited_in_vain: int = 0
    flows_opened_elsewhere: int = 0
    """Flows that several hosts had answered, whose callers chose another one."""
    packets_returned: int = 0
    other_service_drops: int = 0

    def note_refusal(self, reason: RefusalReason) -> None:
        """Count a refused flow."""
        self.flows_refused += 1
        self.flows_refused_zone_drained += reason is RefusalReason.ZONE_DRAINED
        self.flows_refused_warming_up += reason is RefusalReason.WARMING_UP
        self.flows_refused_slow += reason is RefusalReason.SLOW

    flows_abandoned: int = 0
    """Admitted flows whose callers had left."""
    requests_answered: int = 0
    """Requests that the host began to answer."""
    requests_broken_off: int = 0
    """Requests whose flow the host reset before it began to answer."""
    requests_unanswered: int = 0
    """Requests that the host did not begin to answer for a second."""
