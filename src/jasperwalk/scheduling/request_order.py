"""Which of the requests that wait for a host is begun next, and which is let go first.

Load pattern: many urgent requests come at once, each with a flow of its own, while requests of open
flows go on; the host can do less than both ask for. Begun as they come, the urgent ones pay: those
of open flows are at the host at once, and only new flows are ever made to wait or refused.

So the more urgent request is begun first, and the others keep a least share of the host, so that
none of them starves. Within a priority the groups of callers take their shares (`GroupShares`), and
within a group the one with least time left goes first, of those that can be in time still. The late
ones follow, the newest first: served in the order in which they came, all would wait about as long
as the oldest.

Sans-IO; times are seconds.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from jasperwalk.scheduling.waiting_request import WaitingRequest

DEFAULT_LEAST_SHARE = 0.1
"""Part of the requests begun that is left to less urgent ones while they wait."""


class GroupShares(Protocol):
    """Shares a host's time between groups of callers."""

    def record_served(self, group: int, seconds: float, now: float) -> None:
        """Note that a request was begun that is expected to take so much of a slot's time."""

    def group_to_serve(self, groups: Iterable[int], now: float) -> int:
        """Return the group that has had least of the host lately for its weight."""

    def group_to_shed(self, waiting: Mapping[int, int], now: float) -> int:
        """Return the group furthest over its share of a queue with so many of each waiting."""


class NoShares:
    """All callers are one group."""

    def record_served(self, group: int, seconds: float, now: float) -> None:
        """Keep nothing."""

    def group_to_serve(self, groups: Iterable[int], now: float) -> int:
        """Return the first group."""
        return next(iter(groups))

    def group_to_shed(self, waiting: Mapping[int, int], now: float) -> int:
        """Return the group with the most waiting."""
        return max(waiting, key=lambda group: waiting[group])


@dataclass(eq=False, repr=False)
class DeadlineQueue:
    """Requests of one kind that stand in line: those that may be in time still, and the late ones.

    Where no objective is named, time left tells nothing, and the newest goes first.
    """

    on_time: list[WaitingRequest] = field(default_factory=list)
    """The one with least time left first."""
    late: list[WaitingRequest] = field(default_factory=list)
    """Those that cannot be in time any more, or have no objective, the oldest first."""

    def __len__(self) -> int:
        """Return how many requests stand in line."""
        return len(self.on_time) + len(self.late)

    def __bool__(self) -> bool:
        """Tell whether any request stands in line."""
        return bool(self.on_time or self.late)

    def add(self, request: WaitingRequest) -> None:
        """Take a request in."""
        if request.terms.objective_seconds:
            insort(self.on_time, request, key=WaitingRequest.answer_deadline)
        else:
            self.late.append(request)

    def remove(self, request: WaitingRequest) -> None:
        """Let a request go."""
        (self.on_time if request in self.on_time else self.late).remove(request)

    def move_late(self, answer_at: float) -> None:
        """Put those behind that would be late with an answer at this time."""
        while self.on_time and self.on_time[0].answer_deadline() < answer_at:
            self.late.append(self.on_time.pop(0))

    def rank(self) -> tuple[bool, float]:
        """Return what puts this line or another one first: the lower rank."""
        if self.on_time:
            return False, self.on_time[0].answer_deadline()
        return True, -self.late[-1].arrived_at

    def take(self) -> WaitingRequest:
        """Take the request whose turn it is."""
        return self.on_time.pop(0) if self.on_time else self.late.pop()

    def first_to_shed(self) -> WaitingRequest:
        """Return the request that is least likely to be served in time."""
        return self.late[0] if self.late else self.on_time[0]


@dataclass(eq=False, repr=False)
class GroupQueue:
    """What waits of one priority and group; new flows apart from requests of open ones."""

    openings: DeadlineQueue = field(default_factory=DeadlineQueue)
    requests: DeadlineQueue = field(default_factory=DeadlineQueue)

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self.openings) + len(self.requests)

    def queue_for(self, request: WaitingRequest) -> DeadlineQueue:
        """Return where a request stands."""
        return self.openings if request.opens_flow else self.requests

    def nonempty_queues(self, with_openings: bool) -> list[DeadlineQueue]:
        """Return the lines that have something to begin, new flows only where they are taken."""
        nonempty_queues = [self.requests] if self.requests else []
        if with_openings and self.openings:
            nonempty_queues.append(self.openings)
        return nonempty_queues

    def take_next(self, with_openings: bool, answer_at: float) -> WaitingRequest:
        """Take the request whose turn it is, for an answer at this time."""
        nonempty_queues = self.nonempty_queues(with_openings)
        for queue in nonempty_queues:
            queue.move_late(answer_at)
        return min(nonempty_queues, key=DeadlineQueue.rank).take()


@dataclass(eq=False, repr=False)
class PriorityOrder:
    """Owns what waits. `least_share` is the part that less urgent requests keep, 0 to below 1."""

    shares: GroupShares
    least_share: float = DEFAULT_LEAST_SHARE
    _group_queues: dict[int, dict[int, GroupQueue]] = field(default_factory=dict)
    """By priority, then by group; none is empty."""
    _share_credit: float = 0.0
    """Requests that are due to the less urgent ones."""

    def add(self, request: WaitingRequest) -> None:
        """Take a request in."""
        groups = self._group_queues.setdefault(request.terms.priority, {})
        group_queue = groups.setdefault(request.terms.group, GroupQueue())
        group_queue.queue_for(request).add(request)

    def discard(self, request: WaitingRequest) -> None:
        """Let a request go."""
        group_queue = self._group_queues[request.terms.priority][request.terms.group]
        group_queue.queue_for(request).remove(request)
        self._drop_if_empty(request)

    def take_next(self, with_openings: bool, seconds: float, now: float) -> WaitingRequest | None:
        """Take the request to begin now, None where there is none.

        `with_openings` is False while the host takes no new flows. `seconds` is what a request is
        expected to take of a slot.
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
        """Return the priorities that have something to begin, the most urgent first."""
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
        """Return the most urgent priority, or now and then the one whose oldest waits longest."""
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
        """Return the new flow to let go when there is no room for all, None where none waits.

        It is the oldest of the least urgent, of the group that is furthest over its share. Its
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
