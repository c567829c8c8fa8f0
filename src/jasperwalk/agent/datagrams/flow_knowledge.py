"""Decides whether an agent knows every flow that its host may hold, so that it may deny others.

An agent that was restarted has an empty table, and its host may hold flows that an earlier process
of the agent admitted. It may deny a flow only once it is certain that there are no such flows.

Sans-IO; times are seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from jasperwalk.agent.datagrams.host import HostState
from jasperwalk.agent.datagrams.warm_up import WarmUpLimit
from jasperwalk.fleet.messages import HostPhase

SILENT_HOST_SECONDS = 4.0
"""A host that has not announced itself this long after its agent's start does not run."""
IDLE_SLACK_SECONDS = 2.0
"""Seconds added to the idle limit of a flow: packets in flight, clocks of both sides."""
STARTED_TOGETHER_SECONDS = 0.4
"""A host that started at most this long before its agent's process got no flow through an earlier
process: that one would have had to receive the host's announcement, notify a balancer, forward a
flow, stop and be started again in this time; a restart alone takes 0.2 s and more."""


@dataclass(eq=False, repr=False)
class FlowKnowledge:
    """What one process of an agent can rule out about its host's flows."""

    host: HostState
    warm_up: WarmUpLimit
    started_at: float
    flow_lifetime_seconds: float
    host_started_here: bool = False
    """True once it is certain that the present host started while this process ran."""

    _host_was_absent: bool = False

    def record_host_absent(self) -> bool:
        """Record that no host runs; return False where one has announced itself meanwhile."""
        if self.host.phase is not HostPhase.UNKNOWN:
            return False
        self.host_started_here = self._host_was_absent = True
        return True

    def host_phase(self) -> HostPhase:
        """Return the phase to announce; an absent host stays absent until it announces itself."""
        is_absent = self._host_was_absent and self.host.phase is HostPhase.UNKNOWN
        return HostPhase.ABSENT if is_absent else self.host.phase

    def knows_all_flows(self, idle_seconds: float, now: float) -> bool:
        """Tell whether every open flow must have passed here since this process started.

        A flow that was idle for longer than `idle_seconds` may be forgotten.
        """
        if self.host_started_here or self._host_started_with_agent():
            return True
        known_for = now - self.started_at
        if self.host.phase is HostPhase.UNKNOWN and known_for > SILENT_HOST_SECONDS:
            return True
        return known_for > min(self.flow_lifetime_seconds, idle_seconds + IDLE_SLACK_SECONDS)

    def _host_started_with_agent(self) -> bool:
        """Tell whether the host started together with this process, as after a loss of power.

        The host may be up first, but no packet can have reached it: all come through its agent.
        Without this rule every flow from before would be probed at some twelve hosts, one after
        the other, until its caller is reset.
        """
        host_started_at = self.host.started_at(self.warm_up.slow_start_seconds)
        if host_started_at is None:
            return False
        return host_started_at >= self.started_at - STARTED_TOGETHER_SECONDS
