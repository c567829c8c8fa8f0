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
from jasperwalk.agent.datagram_guard import AdmittedDatagram

ANSWER_HOLDS_SECONDS = 1.0
"""Time for which an answer spares the next question."""
SILENCE_HOLDS_SECONDS = 5.0
"""Time for which silence counts, until the question is put again."""
MAX_WAITING_PACKETS = 200
"""Packets kept for one agent while the question is out."""


class Verdict(enum.Enum):
    """What is known of an agent."""

    ASK = enum.auto()
    """Nothing: the caller of this module has to ask now."""
    ASKED = enum.auto()
    LIVES = enum.auto()
    LOST = enum.auto()


@dataclass(slots=True)
class _Home:
    verdict: Verdict = Verdict.ASK
    holds_until: float = 0.0
    waiting: list[AdmittedDatagram] = field(default_factory=list)


class LostAgents:
    """Keeps, for agents that control calls offline, what they answered. Times in seconds."""

    def __init__(self) -> None:
        self._homes: dict[Endpoint, _Home] = {}

    def keep_only(self, addresses: Container[Endpoint]) -> None:
        """Forget agents that are no members of the service any more."""
        for address in [known for known in self._homes if known not in addresses]:
            del self._homes[address]

    def judge(self, address: Endpoint, packet: AdmittedDatagram, now: float) -> Verdict:
        """Judge the home of a packet, and keep the packet while that is not known.

        After `ASK` the caller has to see to it that `probe_ended` is called.
        """
        home = self._homes.setdefault(address, _Home())
        if home.verdict is not Verdict.ASKED and now >= home.holds_until:
            home.verdict = Verdict.ASKED
            home.waiting.append(packet)
            return Verdict.ASK
        if home.verdict is Verdict.ASKED and len(home.waiting) < MAX_WAITING_PACKETS:
            home.waiting.append(packet)
        return home.verdict

    def probe_ended(self, address: Endpoint, answered: bool, now: float) -> list[AdmittedDatagram]:
        """Take the answer, or silence; return the kept packets, whose flows are now lost."""
        home = self._homes.get(address)
        if home is None:
            return []
        waiting, home.waiting = home.waiting, []
        if answered:
            home.verdict, home.holds_until = Verdict.LIVES, now + ANSWER_HOLDS_SECONDS
            return []
        home.verdict, home.holds_until = Verdict.LOST, now + SILENCE_HOLDS_SECONDS
        return waiting
