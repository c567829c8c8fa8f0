"""Writes an agent's answers to balancers; each one reports the load and the host's slots."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from jasperwalk.agent.datagrams.host import HostState
from jasperwalk.flows.codec import DatagramSender, SocketAddress
from jasperwalk.flows.frames import AgentReply, FrameKind, encode_answers, encode_reply


@dataclass(frozen=True)
class BalancerAnswers:
    """Writes answers; `tag` identifies the agent's service, `load` returns its load in requests."""

    tag: int
    host: HostState
    load: Callable[[float], float]
    send: DatagramSender

    def reply(
        self,
        kind: FrameKind,
        flags: int,
        key: bytes,
        balancer: SocketAddress,
        now: float,
        packet: bytes = b"",
    ) -> None:
        """Answer for one flow."""
        self.send(encode_reply(self._make(kind, key, self.load(now), flags, packet)), balancer)

    def reply_all(self, kinds: dict[bytes, FrameKind], balancer: SocketAddress, now: float) -> None:
        """Answer for the flows that one frame asked for, in one frame."""
        load = self.load(now)
        answers = [self._make(kind, key, load) for key, kind in kinds.items()]
        frame = encode_reply(answers[0]) if len(answers) == 1 else encode_answers(answers)
        self.send(frame, balancer)

    def _make(
        self, kind: FrameKind, key: bytes, load: float, flags: int = 0, packet: bytes = b""
    ) -> AgentReply:
        return AgentReply(kind, flags, self.tag, load, self.host.capacity, key, packet)
