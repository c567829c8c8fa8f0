"""Decides which waiting request a host starts next, and which one is shed first.

It decides by priority, group of callers, deadline and time of arrival.

Load pattern: many urgent requests arrive at once, each with a flow of its own, while requests of
open flows go on; the host can serve less than both need. Served in the order of arrival, the urgent
ones would suffer alone: requests of open flows reach the host at once, and only new flows can be
queued or refused.

So the request of the higher priority is started first, and the less urgent ones keep a minimum
share of the host, so that none starves. Within a priority the host is shared between groups of
callers (`GroupShares`), and within a group the request with the earliest deadline goes first, among
those that can still meet it. The late ones follow, newest first: in the order of arrival all of
them would wait about as long as the oldest.

Sans-IO; times are seconds.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from jasperwalk.scheduling.waiting_request import WaitingRequest

DEFAULT_LEAST_SHARE = 0.1
"""Part of the started requests that is reserved for less urgent ones while they wait."""


class GroupShares(Protocol):
    """Shares a host's time between groups of callers."""

    def record_served(self, group: int, seconds: float, now: float) -> None:
        """Record a started request that is expected to hold a slot for `seconds`."""

    def group_to_serve(self, groups: Iterable[int], now: float) -> int:
        """Return the group that recently used least of the host for its weight."""

    def group_to_shed(self, waiting: Mapping[int, int], now: float) -> int:
        """Return the group furthest over its share of the queue, by its waiting requests."""


class NoShares:
    """Shares nothing: all callers count as one group."""

    def record_served(self, group: int, seconds: float, now: float) -> None:
        """Do nothing."""

    def group_to_serve(self, groups: Iterable[int], now: float) -> int:
        """Return the first group."""
        return next(iter(groups))

    def group_to_shed(self, waiting: Mapping[int, int], now: float) -> int:
        """Return the group with most waiting requests."""
        return max(waiting, key=lambda group: waiting[group])


@dataclass(eq=False, repr=False)
class DeadlineQueue:
    """Waiting requests of one kind: those that can still meet their deadline, and the late ones.

    A request without an objective has no deadline and counts with the late ones, newest first.
    """

    on_time: list[WaitingRequest] = field(default_factory=list)
    """Ordered by deadline, the earliest first."""
    late: list[WaitingRequest] = field(default_factory=list)
    """Those that can no longer meet their deadline, or have none, the oldest first."""

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self.on_time) + len(self.late)

    def __bool__(self) -> bool:
        """Tell whether any request waits."""
        return bool(self.on_time or self.late)

    def add(self, request: WaitingRequest) -> None:
        """Add a request."""
        if request.terms.objective_seconds:
            insort(self.on_time, request, key=WaitingRequest.answer_deadline)
        else:
            self.late.append(request)

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request."""
        (self.on_time if request in self.on_time else self.late).remove(request)

    def move_late(self, answer_at: float) -> None:
        """Move the requests to the late ones whose deadline is before this time."""
        while self.on_time and self.on_time[0].answer_deadline() < answer_at:
            self.late.append(self.on_time.pop(0))

    def rank(self) -> tuple[bool, float]:
        """Return the sort key of the next request; the queue with the lowest rank goes first."""
        if self.on_time:
            return False, self.on_time[0].answer_deadline()
        return True, -self.late[-1].arrived_at

    def take(self) -> WaitingRequest:
        """Take the next request."""
        return self.on_time.pop(0) if self.on_time else self.late.pop()

    def first_to_shed(self) -> WaitingRequest:
        """Return the request that is least likely to be answered in time."""
        return self.late[0] if self.late else self.on_time[0]


@dataclass(eq=False, repr=False)
class GroupQueue:
    """Waiting requests of one priority and group; new flows apart from requests of open flows."""

    openings: DeadlineQueue = field(default_factory=DeadlineQueue)
    requests: DeadlineQueue = field(default_factory=DeadlineQueue)

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self.openings) + len(self.requests)

    def queue_for(self, request: WaitingRequest) -> DeadlineQueue:
        """Return the queue that a request belongs to."""
        return self.openings if request.opens_flow else self.requests

    def nonempty_queues(self, with_openings: bool) -> list[DeadlineQueue]:
        """Return the queues that are not empty, that of new flows only `with_openings`."""
        nonempty_queues = [self.requests] if self.requests else []
        if with_openings and self.openings:
            nonempty_queues.append(self.openings)
        return nonempty_queues

    def take_next(self, with_openings: bool, answer_at: float) -> WaitingRequest:
        """Take the next request, whose answer is expected at this time."""
        nonempty_queues = self.nonempty_queues(with_openings)
        for queue in nonempty_queues:
            queue.move_late(answer_at)
        return min(nonempty_queues, key=DeadlineQueue.rank).take()


@dataclass(eq=False, repr=False)
class PriorityOrder:
    """Owns the waiting requests. `least_share` is reserved for less urgent ones, 0 to below 1."""

    shares: GroupShares
    least_share: float = DEFAULT_LEAST_SHARE
    _group_queues: dict[int, dict[int, GroupQueue]] = field(default_factory=dict)
    """By priority, then by group; none is empty."""
    _share_credit: float = 0.0
    """Starts that the less urgent requests have earned."""

    def add(self, request: WaitingRequest) -> None:
        """Add a request."""
        groups = self._group_queues.setdefault(request.terms.priority, {})
        group_queue = groups.setdefault(request.terms.group, GroupQueue())
        group_queue.queue_for(request).add(request)

    def discard(self, request: WaitingRequest) -> None:
        """Remove a request."""
        group_queue = self._group_queues[request.terms.priority][request.terms.group]
        group_queue.queue_for(request).remove(request)
        self._drop_if_empty(request)

    def take_next(self, with_openings: bool, seconds: float, now: float) -> WaitingRequest | None:
        """Take the request to start now, None where there is none.

        `with_openings` is False while the host takes no new flows. `seconds` is how long a request
        is expected to hold a slot.
        """
        priorities = self._priorities(with_openings)
        if not priorities:
            return None
        priority = self._next_priority(priorities)
        groups = self._groups(priority, with_openings)
        group = groups[0] if len(groups) == 1 else self.shares.group_to_serve(groups, now)
        request = self._group_queues[priority][group].take_next(with_openings, now + seconds)
        self._drop_if_empty(request)
        self.shares.record_served(group, seconds, now)
        return request

    def _priorities(self, with_openings: bool) -> list[int]:
        """Return the priorities with a request that can be started, the most urgent first."""
        priorities = sorted(self._group_queues)
        if with_openings:
            return priorities
        return [each for each in priorities if self._groups(each, with_openings)]

    def _groups(self, priority: int, with_openings: bool) -> list[int]:
        lanes = self._group_queues[priority]
        if with_openings:
            return list(lanes)
        return [group for group, group_queue in lanes.items() if group_queue.requests]

    def _next_priority(self, priorities: list[int]) -> int:
        """Return the most urgent priority, on an earned start the one with the oldest request."""
        most_urgent, *others = priorities
        if not others:
            return most_urgent
        self._share_credit += self.least_share
        if self._share_credit < 1.0:
            return most_urgent
        self._share_credit -= 1.0
        return min(others, key=self._oldest_arrived_at)

    def _oldest_arrived_at(self, priority: int) -> float:
        return min(
            queue.first_to_shed().arrived_at
            for group_queue in self._group_queues[priority].values()
            for queue in group_queue.nonempty_queues(with_openings=True)
        )

    def opening_to_shed(self, now: float) -> WaitingRequest | None:
        """Return the new flow to shed when the queue is full, None where none waits.

        It is the oldest of the least urgent, in the group that is furthest over its share. Its
        caller has waited longest, so that an answer in time is least likely.
        """
        for priority in sorted(self._group_queues, reverse=True):
            waiting = {
                group: len(group_queue.openings)
                for group, group_queue in self._group_queues[priority].items()
                if group_queue.openings
            }
            if waiting:
                group = self.shares.group_to_shed(waiting, now)
                return self._group_queues[priority][group].openings.first_to_shed()
        return None

    def count_ahead(self, priority: int) -> int:
        """Return how many waiting requests are at least as urgent as this priority."""
        return sum(
            len(group_queue)
            for other, groups in self._group_queues.items()
            if other <= priority
            for group_queue in groups.values()
        )

    def has_less_urgent_opening(self, priority: int) -> bool:
        """Tell whether a new flow waits that is less urgent than this priority."""
        return any(
            group_queue.openings
            for other, groups in self._group_queues.items()
            if other > priority
            for group_queue in groups.values()
        )

    def _drop_if_empty(self, request: WaitingRequest) -> None:
        groups = self._group_queues[request.terms.priority]
        if not groups[request.terms.group]:
            del groups[request.terms.group]
        if not groups:
            del self._group_queues[request.terms.priority]
