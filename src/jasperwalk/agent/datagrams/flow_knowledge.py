"""Decides whether an agent knows every flow that its host may hold, so that it may deny others.

An agent that was restarted has an empty table, and its host may hold flows that an earlier process
of the agent admitted. It may deny a flow only once it is certain that there are no such flows.

Sans-IO; times are seconds.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from jasperwalk.agent.datagrams.host import MAX_NEW_HOST_CALL_NUMBER, HostState
from jasperwalk.agent.datagrams.warm_up import WarmUpLimit
from jasperwalk.fleet.messages import HostPhase
from jasperwalk.observability.decisions import DecisionLog

SILENT_HOST_SECONDS = 4.0
"""A host that has not announced itself this long after its agent's start does not run."""
IDLE_SLACK_SECONDS = 2.0
"""Seconds added to the idle limit of a flow: packets in flight, clocks of both sides."""
STARTED_TOGETHER_SECONDS = 0.4
"""A host that started at most this long before its agent's process got no flow through an earlier
process: that one would have had to receive the host's announcement, notify a balancer, forward a
flow, stop and be started again in this time; a restart alone takes 0.2 s and more."""
MAX_CALL_INTERVAL_SECONDS = 2.0
"""Longest time between two calls of a running host, and between its start and its first call."""


class KnowledgeBasis(enum.Enum):
    """Why a process of an agent knows every flow of its host."""

    NONE = "none"
    """It does not: flows that an earlier process admitted may be open."""
    HOST_STARTED_LATER = "host-started-later"
    """The host started while this process ran."""
    STARTED_TOGETHER = "started-together"
    """The host and this process started at about the same time."""
    NO_HOST = "no-host"
    """The host has not announced itself since this process started."""
    IDLE_LIMIT = "idle-limit"
    """Every flow that is still open has sent a packet since this process started."""


@dataclass(eq=False, repr=False)
class FlowKnowledge:
    """What one process of an agent can rule out about its host's flows."""

    host: HostState
    warm_up: WarmUpLimit
    log: DecisionLog
    started_at: float
    flow_lifetime_seconds: float
    host_started_here: bool = False
    """True once it is certain that the present host started while this process ran."""
    basis: KnowledgeBasis = KnowledgeBasis.NONE
    """The result of the last call of `knows_all_flows`."""

    _host_was_absent: bool = False
    _zones_were_drained: bool = False

    def record_host_absent(self) -> bool:
        """Record that no host runs; return False where one has announced itself meanwhile."""
        if self.host.phase is not HostPhase.UNKNOWN:
            return False
        self.host_started_here = self._host_was_absent = True
        return True

    def record_host_replaced(self, now: float) -> None:
        """Record that another host has replaced the one that announced itself before.

        A process that has just started may have received a late announcement of a crashed host
        first, and the present one may be older than the process. The number of its call tells how
        old it may be.
        """
        oldest_seconds = self.host.first_call_number * MAX_CALL_INTERVAL_SECONDS
        if oldest_seconds <= now - self.started_at:
            self.host_started_here = True

    def record_zone_order(self) -> None:
        """Record that operators have drained a zone, now or at some time before.

        Hosts of a drained zone become cold, so a cold host need not have started.
        """
        self._zones_were_drained = True

    def host_phase(self) -> HostPhase:
        """Return the phase to announce; an absent host stays absent until it announces itself."""
        is_absent = self._host_was_absent and self.host.phase is HostPhase.UNKNOWN
        return HostPhase.ABSENT if is_absent else self.host.phase

    def knows_all_flows(self, idle_seconds: float, now: float) -> bool:
        """Tell whether every open flow must have passed here since this process started.

        A flow that was idle for longer than `idle_seconds` may be forgotten.
        """
        basis = self._find_basis(idle_seconds, now)
        if basis is not self.basis:
            self.basis = basis
            self._log_basis(now)
        return basis is not KnowledgeBasis.NONE

    def is_certain(self) -> bool:
        """Tell whether the last call of `knows_all_flows` returned True."""
        return self.basis is not KnowledgeBasis.NONE

    def _find_basis(self, idle_seconds: float, now: float) -> KnowledgeBasis:
        if self.host_started_here:
            return KnowledgeBasis.HOST_STARTED_LATER
        if self._host_started_with_agent():
            return KnowledgeBasis.STARTED_TOGETHER
        known_for = now - self.started_at
        if self.host.phase is HostPhase.UNKNOWN and known_for > SILENT_HOST_SECONDS:
            return KnowledgeBasis.NO_HOST
        if known_for > min(self.flow_lifetime_seconds, idle_seconds + IDLE_SLACK_SECONDS):
            return KnowledgeBasis.IDLE_LIMIT
        return KnowledgeBasis.NONE

    def _host_started_with_agent(self) -> bool:
        """Tell whether the host started together with this process, as after a loss of power.

        The host may be up first, but no packet can have reached it: all come through its agent.
        Without this rule every flow from before would be probed at some twelve hosts, one after
        the other, until its caller is reset.

        A host is also cold after its zone was drained, without a start. So the rule needs a host
        that has called a few times at most, and a system in which no zone was ever drained.
        """
        if self._zones_were_drained or self.host.first_call_number > MAX_NEW_HOST_CALL_NUMBER:
            return False
        host_started_at = self.host.started_at(self.warm_up.slow_start_seconds)
        if host_started_at is None:
            return False
        return host_started_at >= self.started_at - STARTED_TOGETHER_SECONDS

    def _log_basis(self, now: float) -> None:
        host_started_at = self.host.started_at(self.warm_up.slow_start_seconds)
        host_age_ms = -1 if host_started_at is None else round(1000 * (now - host_started_at))
        self.log.note(
            "flow-knowledge",
            basis=self.basis.value,
            process_age_ms=round(1000 * (now - self.started_at)),
            cold_host_age_ms=host_age_ms,
            host_first_call=self.host.first_call_number,
            zones_were_drained=self._zones_were_drained,
            **self.host.describe(now),
        )
