"""The components that the parts of an agent's core share: host, flows, queue and senders."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from jasperwalk.agent.datagrams.balancer_answers import BalancerAnswers
from jasperwalk.agent.datagrams.counters import AgentCounters
from jasperwalk.agent.datagrams.held_flows import HeldFlows
from jasperwalk.agent.datagrams.host import HostState
from jasperwalk.agent.datagrams.host_admission import HostAdmission, max_requests
from jasperwalk.agent.datagrams.host_monitor import HostMonitor
from jasperwalk.agent.datagrams.learned_terms import LearnedTerms
from jasperwalk.agent.datagrams.load import LoadMeter
from jasperwalk.agent.datagrams.service_time_monitor import ServiceTimeMonitor
from jasperwalk.agent.datagrams.warm_up import WarmUpLimit
from jasperwalk.fleet.messages import HostPhase
from jasperwalk.flows.codec import DatagramSender, PacketCodec
from jasperwalk.flows.terms import CarriedTerms
from jasperwalk.observability.decisions import DecisionLog
from jasperwalk.observability.latency import LatencyHistogram
from jasperwalk.scheduling.request_scheduler import RequestScheduler

PHASES_WITH_CAPACITY = frozenset((HostPhase.READY, HostPhase.DRAINING))
"""Phases of a host that has announced its number of slots."""


@dataclass(eq=False, repr=False)
class AgentParts:
    """Shared components; sans-IO; `tag` identifies the agent's service."""

    codec: PacketCodec
    tag: int
    host: HostState
    to_host: Callable[[bytes], None]
    to_caller: DatagramSender
    answers: BalancerAnswers
    log: DecisionLog
    meter: LoadMeter
    table: HeldFlows
    queue: RequestScheduler
    monitor: HostMonitor
    service_times: ServiceTimeMonitor
    warm_up: WarmUpLimit
    admission: HostAdmission
    counters: AgentCounters
    host_latency: LatencyHistogram
    wait_latency: LatencyHistogram
    learned: LearnedTerms = field(default_factory=LearnedTerms)

    def schedules_requests(self) -> bool:
        """Tell whether requests are scheduled by the terms of their routes.

        They are where balancers send terms and the host has announced its number of slots.
        """
        return bool(self.learned) and self.host.phase in PHASES_WITH_CAPACITY

    def requests_at_host(self, now: float) -> int:
        """Return how many requests occupy a place at the host."""
        return self.table.in_flight.count(now) if self.schedules_requests() else self.meter.busy

    def has_capacity(self, now: float) -> bool:
        """Tell whether the host has capacity for one more request."""
        return self.requests_at_host(now) < max_requests(self.host.capacity)

    def record_started(self, terms: CarriedTerms, now: float) -> None:
        """Record a request that went to the host without waiting."""
        self.queue.record_started(terms, self.table.in_flight.mean_seconds, now)

    def load(self, now: float) -> float:
        """Return the load reported to balancers: requests at the host and waiting for it."""
        if self.monitor.response.is_unavailable(now):
            return self.monitor.response.unavailable_load(self.host.capacity)
        return self.meter.load(now) + len(self.queue)
