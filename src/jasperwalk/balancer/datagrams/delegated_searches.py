"""Searches that an agent runs on this balancer's behalf.

A balancer may have little bandwidth and processor time, and finding a flow may take queries to
many agents. So it sends the flow's first packet to one agent, the helper, of its own zone where
there is one. The helper queries the others and forwards the packet to the holder. This balancer
keeps the following packets until the helper reports the holder. The cost of a search to a balancer
therefore does not grow with the number of agents.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from jasperwalk.balancer.datagrams.counters import FlowCounters
from jasperwalk.fleet.search import MAX_HELD_PACKETS
from jasperwalk.fleet.target import SUSPECT_SECONDS, Target
from jasperwalk.fleet.targets import TargetPool
from jasperwalk.flows.codec import DatagramSender
from jasperwalk.flows.frames import encode_locate, service_tag
from jasperwalk.observability.latency import LatencyHistogram

ANSWER_TIMEOUT_SECONDS = 0.8
"""Covers the helper's rounds of queries and the pause between them; no verdict comes later."""
MAX_DELEGATIONS = 4096


class Delegation(msgspec.Struct, eq=False):
    """One flow's search at an agent, which has the first packet; all packets are kept here."""

    helper: Target
    services: list[str]
    packets: list[bytes]
    started_at: float


@dataclass(eq=False, repr=False)
class DelegatedSearches:
    """The searches that agents run for this balancer; sans-IO, times are seconds."""

    pool: TargetPool
    send: DatagramSender
    counters: FlowCounters
    latency: LatencyHistogram
    is_enabled: bool
    _open: dict[bytes, Delegation] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return how many searches are open."""
        return len(self._open)

    def hold(self, key: bytes, packet: bytes) -> bool:
        """Keep another packet of a flow; return False if no agent searches for it."""
        delegation = self._open.get(key)
        if delegation is None:
            return False
        if len(delegation.packets) < MAX_HELD_PACKETS:
            delegation.packets.append(packet)
        return True

    def start(self, key: bytes, packet: bytes, services: list[str], now: float) -> bool:
        """Let an agent search; return False if none is available or too many searches are open."""
        if not self.is_enabled or len(self._open) >= MAX_DELEGATIONS:
            return False
        helper = self.pool.helper(key, now)
        if helper is None:
            return False
        self.counters.searches_delegated += 1
        self._open[key] = Delegation(helper, services, [packet], now)
        tags = [service_tag(service) for service in services]
        self.send(encode_locate(tags, packet), helper.address)
        return True

    def take(self, key: bytes, helper: Target, now: float) -> Delegation | None:
        """Remove and return the search whose verdict arrived; None if another agent has it."""
        delegation = self._open.get(key)
        if delegation is None or delegation.helper is not helper:
            return None
        self.latency.observe(now - delegation.started_at)
        return self._open.pop(key)

    def tick(self, now: float) -> None:
        """Expire searches without a verdict; the caller's next packet goes to another agent."""
        for key, delegation in list(self._open.items()):
            if now - delegation.started_at < ANSWER_TIMEOUT_SECONDS:
                break
            delegation.helper.suspect_until = now + SUSPECT_SECONDS
            self.counters.searches_unanswered += 1
            del self._open[key]
