"""Decides which new flows wait at the agent for its host, and sheds those that wait in vain.

A new flow that found no free host is queued if it can be answered in time, by the requests that are
ahead of it and the host's service time. Flows that are shed are reset, so that their callers try
again; requests of open flows expire at their limit or are forwarded.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from jasperwalk.agent.datagrams.host_admission import max_requests
from jasperwalk.agent.datagrams.parts import AgentParts
from jasperwalk.flows.frames import OpeningTerms
from jasperwalk.flows.terms import CarriedTerms
from jasperwalk.scheduling.request_scheduler import MAX_AGE_SECONDS, MAX_WAIT_SECONDS
from jasperwalk.scheduling.waiting_request import DEFAULT_TERMS, WaitingRequest

WAITING_SHARE = 0.5
"""A new flow waits only if its answer is expected within this part of its objective; the rest is
for more urgent requests that arrive later, and for requests that take longer than usual."""

MAX_BURST_SECONDS = MAX_WAIT_SECONDS
"""A burst that is no longer than its flows may wait is served while they wait."""


@dataclass(eq=False, repr=False)
class WaitingRequests:
    """Queues, sheds and expires requests; sans-IO, times are seconds.

    `forward_waiting` forwards a request of an open flow to the host.
    """

    parts: AgentParts
    forward_waiting: Callable[[WaitingRequest, float], None]
    _overloaded_since: float | None = None
    """Arrival of the first flow that would be late, None once a flow would not be."""

    def try_enqueue(self, key: bytes, packet: bytes, terms: OpeningTerms, now: float) -> bool:
        """Queue a flow that found no free host if it may be in time; return whether it waits.

        A full queue sheds the flow that is least likely to be served in time.
        """
        queue = self.parts.queue
        if key in queue:
            return True
        if not terms.waits or self._is_refused_at_once(terms, now):
            return False
        route = terms.route or DEFAULT_TERMS
        request = queue.add_opening(key, packet, route, terms.age_seconds, now)
        shed = queue.shed_openings(self._max_openings(now), now)
        self._reset_flows([each for each in shed if each is not request], now)
        if request in shed:
            return False
        self.parts.counters.flows_waited += 1
        return True

    def _is_refused_at_once(self, terms: OpeningTerms, now: float) -> bool:
        """Tell whether a flow is refused because it would be late, as those before it were.

        After an outage all callers return together, late already, and the host serves them before
        their wait limit: for the first `MAX_BURST_SECONDS` of a burst, its flows wait. A flow that
        is more urgent than one that waits here waits as well: it is not refused for want of time
        that the other one gets.
        """
        route = terms.route
        if route is None or not self._would_be_late(route, terms.age_seconds):
            self._overloaded_since = None
            return False
        if self._overloaded_since is None:
            self._overloaded_since = now
        if now - self._overloaded_since <= MAX_BURST_SECONDS:
            return False
        return not self.parts.queue.order.has_less_urgent_opening(route.priority)

    def _would_be_late(self, route: CarriedTerms, age_seconds: float) -> bool:
        """Tell whether a flow would be answered too late, by the requests that are ahead of it.

        A caller that is refused at once can try again while an answer may still be in time. One
        that waited past its deadline would try again all the same, be late for certain, and take
        the place of a caller that is not.
        """
        parts = self.parts
        ahead = parts.queue.order.count_ahead(route.priority)
        answer_seconds = parts.table.in_flight.mean_seconds
        wait_seconds = (ahead + 1) * answer_seconds / max_requests(parts.host.capacity)
        longest = WAITING_SHARE * route.objective_seconds or MAX_AGE_SECONDS
        return age_seconds + wait_seconds + answer_seconds > longest

    def _max_openings(self, now: float) -> int:
        admission = self.parts.admission
        max_per_second = admission.warm_up.bound(admission.host.slow_until, now)
        return self.parts.queue.max_openings(admission.host.capacity, max_per_second)

    def shed_expired(self, now: float) -> None:
        """Shed what waited too long, and all new flows where the host takes none any more."""
        if self.parts.admission.accepts_none():
            self._reset_flows(self.parts.queue.take_openings(), now)
        expired = self.parts.queue.take_expired(now)
        self._reset_flows([each for each in expired if each.opens_flow], now)
        for request in expired:
            if not request.opens_flow:
                self._expire(request, now)

    def _expire(self, request: WaitingRequest, now: float) -> None:
        """Drop a request of an open flow whose limit has passed; forward one without a limit."""
        if not request.terms.limit_seconds:
            self.forward_waiting(request, now)
            return
        self.parts.counters.requests_expired += 1
        self._log("request-expired", request, now)

    def _reset_flows(self, refused: list[WaitingRequest], now: float) -> None:
        parts = self.parts
        for request in refused:
            parts.counters.flows_waited_in_vain += 1
            parts.counters.by_priority.count("waited_in_vain", request.terms.priority)
            self._log("flow-waited-in-vain", request, now)
            caller = parts.codec.caller_of(request.key)
            parts.to_caller(parts.codec.reset_for(request.packets[0]), caller)

    def _log(self, event: str, request: WaitingRequest, now: float) -> None:
        parts = self.parts
        parts.log.note(
            event,
            flow=parts.codec.describe(request.key),
            priority=request.terms.priority,
            waited_ms=round(1000 * (now - request.arrived_at)),
            waiting=len(parts.queue),
            busy=parts.requests_at_host(now),
            phase=parts.host.phase.value,
            zone_drained=parts.admission.is_zone_drained(),
        )
