"""What an agent of the datagram plane counts."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(eq=False, repr=False)
class AgentCounters:
    """What the agent did since it started."""

    packets_in: int = 0
    packets_out: int = 0
    frames_malformed: int = 0
    host_packets_malformed: int = 0
    flows_accepted: int = 0
    flows_refused: int = 0
    flows_waited: int = 0
    flows_waited_in_vain: int = 0
    flows_opened_elsewhere: int = 0
    """Flows that several hosts had answered, whose callers chose another one."""
    packets_returned: int = 0
    other_service_drops: int = 0
