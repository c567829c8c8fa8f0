"""Which agents of the service are lost for good (sans-IO).

Control calls a member offline when it has not heard of it, or when its back end is down.
Neither says that its agent is gone: cut off from control, it may serve open flows as before.
So an agent that meets a packet of such a flow asks the flow's agent itself, and only silence
makes it lost. The packets that came while the question was out are kept, within a bound, so
that their callers hear of the loss at once.
"""

from __future__ import annotations

import enum
from collections.abc import Container
from dataclasses import dataclass, field

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.datagram_filter import AdmittedDatagram

ANSWER_VALID_SECONDS = 1.0
"""Time for which an answer spares the next question."""
SILENCE_VALID_SECONDS = 5.0
"""Time for which silence counts, until the question is put again."""
MAX_WAITING_PACKETS = 200
"""Packets kept for one agent while the question is out."""


class ProbeState(enum.Enum):
    """What is known of an agent."""

    PROBE_NOW = enum.auto()
    """Nothing: the caller of this module has to ask now."""
    PROBING = enum.auto()
    ALIVE = enum.auto()
    LOST = enum.auto()


@dataclass(slots=True)
class _ProbedAgent:
    state: ProbeState = ProbeState.PROBE_NOW
    valid_until: float = 0.0
    waiting: list[AdmittedDatagram] = field(default_factory=list)


class LostAgents:
    """Keeps, for agents that control calls offline, what they answered. Times in seconds."""

    def __init__(self) -> None:
        self._agents: dict[Endpoint, _ProbedAgent] = {}

    def keep_only(self, addresses: Container[Endpoint]) -> None:
        """Forget agents that are no members of the service any more."""
        for address in [known for known in self._agents if known not in addresses]:
            del self._agents[address]

    def check(self, address: Endpoint, packet: AdmittedDatagram, now: float) -> ProbeState:
        """Judge the home of a packet, and keep the packet while that is not known.

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
        """Take the answer, or silence; return the kept packets, whose flows are now lost."""
        agent = self._agents.get(address)
        if agent is None:
            return []
        waiting, agent.waiting = agent.waiting, []
        if answered:
            agent.state, agent.valid_until = ProbeState.ALIVE, now + ANSWER_VALID_SECONDS
            return []
        agent.state, agent.valid_until = ProbeState.LOST, now + SILENCE_VALID_SECONDS
        return waiting
