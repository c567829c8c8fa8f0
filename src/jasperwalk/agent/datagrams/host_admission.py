"""Admission control for the host beside an agent: whether it gets a new flow now, or why not.

The decision rests on the announced phase, drained zones, outlier detection, the requests in flight
and the limit of a cold host.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from jasperwalk.agent.datagrams.host import HostState
from jasperwalk.agent.datagrams.host_response import HostResponse
from jasperwalk.agent.datagrams.service_time_monitor import ServiceTimeMonitor
from jasperwalk.agent.datagrams.warm_up import WarmUpLimit
from jasperwalk.fleet.messages import DrainedZones, HostPhase
from jasperwalk.flows.frames import FULL_LOAD_PER_SLOT, OpeningTerms, RefusalReason
from jasperwalk.scheduling.request_outcomes import RequestOutcomes

COPY_EXEMPT_REFUSALS = frozenset(
    (RefusalReason.FULL, RefusalReason.RETURNED, RefusalReason.FAILING, RefusalReason.SLOW)
)
"""Refusals of new flows that do not apply to copies of an admitted flow's opening packet."""
QUEUEABLE_REFUSALS = frozenset((RefusalReason.FULL, RefusalReason.WARMING_UP))
"""Refusals after which a flow may wait, because they end soon: with a request or with a second."""
QUEUED_FLOW_TERMS = OpeningTerms(waits=True, repeatable=False, age_seconds=0.0)
"""Terms of a flow from this agent's queue: no other agent had capacity for it."""
NO_ZONES = DrainedZones()


def max_requests(capacity: int) -> int:
    """Return how many requests may be in flight at a host with this many slots."""
    return math.ceil(FULL_LOAD_PER_SLOT * capacity)


@dataclass(eq=False, repr=False)
class HostAdmission:
    """Decides about new flows of one host; sans-IO, times are seconds.

    `own_zone` is the agent's zone, which is its host's unless the host announces another.
    """

    host: HostState
    response: HostResponse
    requests: RequestOutcomes
    warm_up: WarmUpLimit
    own_zone: str
    service_times: ServiceTimeMonitor
    _drained: DrainedZones = field(default=NO_ZONES)

    def update_zones(self, zones: DrainedZones) -> bool:
        """Update the drained zones; return False for a revision that is not newer."""
        if zones.revision <= self._drained.revision:
            return False
        self._drained = zones
        return True

    def is_zone_drained(self) -> bool:
        """Tell whether the host's zone is drained."""
        return (self.host.zone or self.own_zone) in self._drained.zones

    def refusal(
        self, busy: int, terms: OpeningTerms, now: float, flow_key: bytes | None = None
    ) -> RefusalReason | None:
        """Return why the host refuses a new flow, None where it takes it.

        `busy` counts requests in flight. `flow_key` gives the kind of request, where it is known.
        """
        host = self.host
        if host.phase is HostPhase.DRAINING:
            return RefusalReason.DRAINING
        if host.phase is not HostPhase.READY:
            return RefusalReason.NOT_READY
        if self.is_zone_drained():
            return RefusalReason.ZONE_DRAINED
        return self._refusal_of_ready_host(busy, terms, now, flow_key)

    def _refusal_of_ready_host(
        self, busy: int, terms: OpeningTerms, now: float, flow_key: bytes | None
    ) -> RefusalReason | None:
        host = self.host
        if self.response.refuses(host.announced_at, now):
            return RefusalReason.SILENT
        if self.response.refuses_after_returns(now):
            return RefusalReason.RETURNED
        # A flow that may wait found no other host: a failing one is better than none.
        if not terms.waits and self.requests.refuses(terms.repeatable, now):
            return RefusalReason.FAILING
        reason = self.service_times.refusal(flow_key, busy, terms, now)
        if reason is not None:
            return reason
        if busy >= max_requests(host.capacity):
            return RefusalReason.FULL
        is_reached = self.warm_up.is_reached(host.slow_until, now)
        return RefusalReason.WARMING_UP if is_reached else None

    def accepts_none(self) -> bool:
        """Tell whether no waiting flow can be admitted: the host or its zone takes none."""
        return self.host.phase is not HostPhase.READY or self.is_zone_drained()
