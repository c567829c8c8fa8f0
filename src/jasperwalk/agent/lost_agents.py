"""Determines by probes which agents of the service are lost (sans-IO).

Control reports a member as offline when its heartbeats are missing or its backend is down.
Neither means that its agent is gone: without control it may still serve open flows. So
an agent that receives a packet of such a flow probes the holder of the flow, which counts as
lost only if it does not answer. Packets that arrive during the probe are kept, within a bound,
so that their callers get a reset as soon as the agent is known to be lost.
"""

from __future__ import annotations

import enum
from collections.abc import Container
from dataclasses import dataclass, field

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.datagram_filter import AdmittedDatagram

ANSWER_VALID_SECONDS = 1.0
"""Time for which an answer makes another probe unnecessary."""
SILENCE_VALID_SECONDS = 5.0
"""Time for which an unanswered probe counts, until the next probe."""
MAX_WAITING_PACKETS = 200
"""Packets kept for one agent during a probe."""


class ProbeState(enum.Enum):
    """What is known about an agent."""

    PROBE_NOW = enum.auto()
    """Nothing: the user of this module has to probe now."""
    PROBING = enum.auto()
    ALIVE = enum.auto()
    LOST = enum.auto()


@dataclass(slots=True)
class _ProbedAgent:
    state: ProbeState = ProbeState.PROBE_NOW
    valid_until: float = 0.0
    waiting: list[AdmittedDatagram] = field(default_factory=list)


class LostAgents:
    """Results of probes, for agents that control reports as offline. Times in seconds."""

    def __init__(self) -> None:
        self._agents: dict[Endpoint, _ProbedAgent] = {}

    def keep_only(self, addresses: Container[Endpoint]) -> None:
        """Discard agents that are no longer members of the service."""
        for address in [known for known in self._agents if known not in addresses]:
            del self._agents[address]

    def check(self, address: Endpoint, packet: AdmittedDatagram, now: float) -> ProbeState:
        """Return the state of a packet's holder, and keep the packet while it is unknown.

        After `PROBE_NOW` the caller has to see to it that `probe_ended` is called.
        """
        agent = self._agents.setdefault(address, _ProbedAgent())
        if agent.state is not ProbeState.PROBING and now >= agent.valid_until:
            agent.state = ProbeState.PROBING
            agent.waiting.append(packet)
            return ProbeState.PROBE_NOW
        if agent.state is ProbeState.PROBING and len(agent.waiting) < MAX_WAITING_PACKETS:
            agent.waiting.append(packet)
        return agent.state

    def probe_ended(self, address: Endpoint, answered: bool, now: float) -> list[AdmittedDatagram]:
        """Record the result of a probe; return the kept packets, whose flows are now lost."""
        agent = self._agents.get(address)
        if agent is None:
            return []
        waiting, agent.waiting = agent.waiting, []
        if answered:
            agent.state, agent.valid_until = ProbeState.ALIVE, now + ANSWER_VALID_SECONDS
            return []
        agent.state, agent.valid_until = ProbeState.LOST, now + SILENCE_VALID_SECONDS
        return waiting
