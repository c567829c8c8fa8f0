"""The queue of requests that wait at an agent for its host, bounded in number and in time.

Load pattern: a host gets more requests than it can serve, of new flows and of open ones. What the
agent forwards at once waits in the host's own queue, first come first served, and the host rejects
what does not fit there. So the agent forwards what the host can work on and the next requests, and
keeps the rest here, where `request_order` decides its order.

When too many new flows wait, the one least likely to be answered in time is shed at once, so that
its caller can try again in time. A request of an open flow cannot be refused: it waits until its
limit, or is forwarded after a bounded time where its route names no limit.

Sans-IO; times are seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from jasperwalk.flows.terms import CarriedTerms
from jasperwalk.scheduling.request_order import PriorityOrder
from jasperwalk.scheduling.waiting_request import WaitingRequest

MAX_WAIT_SECONDS = 0.9
"""Longest wait of a new flow: its caller waits 1.4 s for an answer to its opening packet."""
MAX_AGE_SECONDS = 1.2
"""The same, counted from when the caller started, because its packet may have been on the way for
long. What a host does for a caller that has left is wasted."""
MAX_HOLD_SECONDS = 2.0
"""A request of an open flow whose route names no limit is forwarded after this time."""
WAITING_PER_SLOT = 7.2
"""Most new flows that wait for each of a host's slots: a host with service times of some ten
milliseconds serves as many before their callers leave."""
COLD_WAIT_SECONDS = 0.6
"""The queue of a cold host holds the new flows that the host may get in this time, if fewer."""
MAX_HELD_REQUESTS = 1024
"""Most requests of open flows that wait, to bound memory; further ones are forwarded."""


@dataclass(eq=False, repr=False)
class RequestScheduler:
    """Owns the requests that wait for one host."""

    order: PriorityOrder
    _waiting: dict[bytes, WaitingRequest] = field(default_factory=dict)
    _openings: int = 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def __contains__(self, key: bytes) -> bool:
        """Tell whether a request of this flow waits."""
        return key in self._waiting

    @property
    def openings(self) -> int:
        """How many new flows wait."""
        return self._openings

    def get(self, key: bytes) -> WaitingRequest | None:
        """Return the waiting request of a flow, None where there is none."""
        return self._waiting.get(key)

    def max_openings(self, capacity: int, max_per_second: float | None) -> int:
        """Return how many new flows may wait for a host with this many slots.

        `max_per_second` bounds what the host takes while it is cold, None where nothing does.
        """
        most = WAITING_PER_SLOT * capacity
        if max_per_second is not None:
            most = min(most, max_per_second * COLD_WAIT_SECONDS)
        return max(1, math.ceil(most))

    def add_opening(
        self, key: bytes, packet: bytes, terms: CarriedTerms, age_seconds: float, now: float
    ) -> WaitingRequest:
        """Queue a new flow that its caller started `age_seconds` ago."""
        expires_at = self.opening_expires_at(terms, age_seconds, now)
        began_at = now - age_seconds
        request = WaitingRequest(key, [packet], [], terms, True, began_at, now, expires_at)
        self._add(request)
        return request

    def opening_expires_at(self, terms: CarriedTerms, age_seconds: float, now: float) -> float:
        """Return until when a new flow may wait."""
        longest_seconds = min(MAX_WAIT_SECONDS, MAX_AGE_SECONDS - age_seconds)
        if terms.limit_seconds:
            longest_seconds = min(longest_seconds, terms.limit_seconds - age_seconds)
        return now + longest_seconds

    def hold(
        self, key: bytes, packet: bytes, number: int, terms: CarriedTerms, now: float
    ) -> WaitingRequest | None:
        """Queue the next request of an open flow; None where too many wait."""
        if len(self._waiting) - self._openings >= MAX_HELD_REQUESTS:
            return None
        expires_at = now + (terms.limit_seconds or MAX_HOLD_SECONDS)
        request = WaitingRequest(key, [packet], [number], terms, False, now, now, expires_at)
        self._add(request)
        return request

    def _add(self, request: WaitingRequest) -> None:
        self._waiting[request.key] = request
        self._openings += request.opens_flow
        self.order.add(request)

    def discard(self, key: bytes) -> WaitingRequest | None:
        """Remove a flow's request, whose caller needs no answer any more."""
        request = self._waiting.pop(key, None)
        if request is not None:
            self._openings -= request.opens_flow
            self.order.discard(request)
        return request

    def take_next(self, with_openings: bool, seconds: float, now: float) -> WaitingRequest | None:
        """Take the request to start now; see `PriorityOrder.take_next`."""
        request = self.order.take_next(with_openings, seconds, now)
        if request is not None:
            del self._waiting[request.key]
            self._openings -= request.opens_flow
        return request

    def record_started(self, terms: CarriedTerms, seconds: float, now: float) -> None:
        """Record a request that started without waiting; it counts against its group's share."""
        self.order.shares.record_served(terms.group, seconds, now)

    def shed_openings(self, most: int, now: float) -> list[WaitingRequest]:
        """Remove and return the new flows beyond the `most` that may wait."""
        shed = []
        while self._openings > most:
            request = self.order.opening_to_shed(now)
            if request is None:
                break
            self.discard(request.key)
            shed.append(request)
        return shed

    def take_expired(self, now: float) -> list[WaitingRequest]:
        """Take the requests that have waited too long."""
        return self._take([each for each in self._waiting.values() if now > each.expires_at])

    def take_openings(self) -> list[WaitingRequest]:
        """Take every new flow, because the host admits none any more."""
        return self._take([each for each in self._waiting.values() if each.opens_flow])

    def take_held(self) -> list[WaitingRequest]:
        """Take every request of an open flow, because the host is to decide about them now."""
        return self._take([each for each in self._waiting.values() if not each.opens_flow])

    def _take(self, taken: list[WaitingRequest]) -> list[WaitingRequest]:
        for request in taken:
            self.discard(request.key)
        return taken
