"""Estimates how long each request held one of a host's slots, from what passes the host's agent.

A host runs as many requests as it has slots, in the order in which they arrived, and queues the
rest. So a request runs from its arrival or, where all slots were held, from when one became free. A
host that takes another order answers a request that counts as queued: that request then takes the
place of the one that counts as running for the shortest time. Either way the times sum up to the
time for which slots were held, so the mean is right whatever the order is.

Sans-IO; times are seconds.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable

MAX_TRACKED_REQUESTS = 1024
"""Requests that are tracked at once; further ones are not measured."""


class TrackedRequest:
    """A request that the host has not started to answer."""

    __slots__ = ("asked_at", "kind", "started_at")

    def __init__(self, kind: Hashable, asked_at: float) -> None:
        self.kind = kind
        self.asked_at = asked_at
        self.started_at = asked_at
        """When it took its slot; undefined while it is queued."""


class SlotUse:
    """Tracks the requests at one host; any hashable value identifies one."""

    def __init__(self) -> None:
        self._running: dict[Hashable, TrackedRequest] = {}
        self._queued: dict[Hashable, TrackedRequest] = {}

    def __len__(self) -> int:
        """Return the number of tracked requests."""
        return len(self._running) + len(self._queued)

    def start(self, name: Hashable, kind: Hashable, slots: int, now: float) -> None:
        """Record that a request was forwarded; one that was incomplete so far starts again."""
        if name in self._running or name in self._queued:
            self._remove_incomplete(name)
        request = TrackedRequest(kind, now)
        if len(self._running) < slots:
            self._running[name] = request
        elif len(self) < MAX_TRACKED_REQUESTS:
            self._queued[name] = request

    def _remove_incomplete(self, name: Hashable) -> None:
        """Remove a request that the host cannot have worked on yet; its slot was free meanwhile."""
        request = self._running.pop(name, None)
        if request is None:
            del self._queued[name]
        elif self._queued:
            self._start_queued(request.started_at)

    def end(self, name: Hashable, slots: int, now: float) -> TrackedRequest | None:
        """Record that a request ended; return it, None where it was not tracked.

        It held a slot from its `started_at` until `now`.
        """
        request = self._running.pop(name, None)
        if request is None:
            request = self._end_queued(name)
            if request is None:
                return None
        while self._queued and len(self._running) < slots:
            self._start_queued(now)
        return request

    def _end_queued(self, name: Hashable) -> TrackedRequest | None:
        """End a request that counts as queued: it held the slot that became free last."""
        request = self._queued.pop(name, None)
        if request is None or not self._running:
            return request
        overtaken = max(self._running, key=lambda each: self._running[each].started_at)
        waits = self._running.pop(overtaken)
        request.started_at = max(waits.started_at, request.asked_at)
        self._queued = {overtaken: waits, **self._queued}
        return request

    def _start_queued(self, free_since: float) -> None:
        name = next(iter(self._queued))
        request = self._queued.pop(name)
        request.started_at = max(request.asked_at, free_since)
        self._running[name] = request

    def running(self) -> Iterable[TrackedRequest]:
        """Return the requests that hold a slot."""
        return self._running.values()

    def reset(self) -> None:
        """Discard all requests."""
        self._running.clear()
        self._queued.clear()
