"""Admission control for the backend's slots (sans-IO).

A request runs at once if a slot is free, waits in a short first-in-first-out queue, or is
refused at once. No request waits for an answer that can't arrive in time: it is refused if the
queue is full, if the estimated wait exceeds its deadline, while the backend sheds load, and as
soon as it has waited `queue_wait_ms`.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from jasperwalk.agent.requests import NotRun, NotRunReason

SMOOTHING = 0.2
"""Weight of the newest service time in the exponential moving average."""
INITIAL_SERVICE_SECONDS = 0.05
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 30_000
SHEDDING_SECONDS = 1.0
"""Time for which new requests are refused after the backend has shed one."""


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Slots of the host, length limit of its queue, and the longest wait in milliseconds."""

    slots: int
    queue_length: int
    queue_wait_ms: int


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request holds a slot and may run now."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits; `Admitted` or `Refused` follows."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The request did not run and must not run later."""

    request_id: str
    not_run: NotRun


Decision = Admitted | Queued | Refused


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A queued request: when its wait expires, and whether its deadline is the reason."""

    expires_at: float
    by_deadline: bool


class Admission:
    """Slots and queue of one host: decides which requests run, wait or are refused."""

    def __init__(self, limits: AdmissionLimits) -> None:
        self._limits = limits
        self._running: dict[str, float] = {}
        self._queue: OrderedDict[str, QueuedRequest] = OrderedDict()
        self._service_seconds = INITIAL_SERVICE_SECONDS
        self._shedding_until = float("-inf")

    @property
    def running(self) -> int:
        """The number of requests that hold a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """The number of queued requests."""
        return len(self._queue)

    @property
    def free_slots(self) -> int:
        """The number of slots that no request holds or waits for."""
        if self._queue:
            return 0
        return max(0, self._limits.slots - len(self._running))

    def reserve(self, slot_id: str, now: float) -> bool:
        """Reserve a free slot under `slot_id` for another agent; False without a free one."""
        if now < self._shedding_until or not self.free_slots:
            return False
        self._running[slot_id] = now
        return True

    def request(self, request_id: str, deadline_at: float, now: float) -> Decision:
        """Decide for a new request that has to be answered by `deadline_at`."""
        wait = self._estimated_wait_seconds()
        reason = self._reason_to_refuse(deadline_at, wait, now)
        if reason is NotRunReason.SHEDDING:
            return self._refuse(request_id, reason, self._shedding_until - now)
        if reason is not None:
            return self._refuse(request_id, reason, wait)
        if self._has_free_slot():
            self._running[request_id] = now
            return Admitted(request_id)
        longest = now + self._limits.queue_wait_ms / 1000
        self._queue[request_id] = QueuedRequest(min(longest, deadline_at), deadline_at < longest)
        return Queued(request_id)

    def finished(self, request_id: str, now: float) -> list[Decision]:
        """Free the slot of a request, however it ended; return decisions on queued ones."""
        started_at = self._running.pop(request_id, None)
        if started_at is not None:
            sample = max(0.0, now - started_at)
            self._service_seconds += SMOOTHING * (sample - self._service_seconds)
        return self._advance(now)

    def cancelled(self, request_id: str, now: float) -> list[Decision]:
        """Remove a request that its caller cancelled, queued or running."""
        self._queue.pop(request_id, None)
        self._running.pop(request_id, None)
        return self._advance(now)

    def shed(self, now: float) -> None:
        """Record that the backend shed a request."""
        self._shedding_until = now + SHEDDING_SECONDS

    def set_limits(self, limits: AdmissionLimits, now: float) -> list[Decision]:
        """Apply new limits; running requests keep their slots."""
        self._limits = limits
        return self._advance(now)

    def tick(self, now: float) -> list[Decision]:
        """Refuse requests that have waited too long; to be called at `next_deadline`."""
        return self._advance(now)

    def next_deadline(self) -> float | None:
        """Return when the wait of the next queued request expires."""
        if not self._queue:
            return None
        return min(waiting.expires_at for waiting in self._queue.values())

    def _has_free_slot(self) -> bool:
        return len(self._running) < self._limits.slots and not self._queue

    def _reason_to_refuse(
        self, deadline_at: float, wait_seconds: float, now: float
    ) -> NotRunReason | None:
        if now < self._shedding_until:
            return NotRunReason.SHEDDING
        if now + wait_seconds >= deadline_at:
            return NotRunReason.DEADLINE_TOO_SHORT
        if self._has_free_slot():
            return None
        queue_full = len(self._queue) >= self._limits.queue_length
        if queue_full or wait_seconds * 1000 > self._limits.queue_wait_ms:
            return NotRunReason.QUEUE_FULL
        return None

    def _advance(self, now: float) -> list[Decision]:
        decisions = self._expire(now)
        while self._queue and len(self._running) < self._limits.slots:
            request_id, _ = self._queue.popitem(last=False)
            self._running[request_id] = now
            decisions.append(Admitted(request_id))
        return decisions

    def _expire(self, now: float) -> list[Decision]:
        expired = [
            (request_id, waiting)
            for request_id, waiting in self._queue.items()
            if waiting.expires_at <= now
        ]
        decisions: list[Decision] = []
        for request_id, waiting in expired:
            del self._queue[request_id]
            reason = NotRunReason.WAITED_TOO_LONG
            if waiting.by_deadline:
                reason = NotRunReason.DEADLINE_TOO_SHORT
            decisions.append(self._refuse(request_id, reason, self._estimated_wait_seconds()))
        return decisions

    def _estimated_wait_seconds(self) -> float:
        slots = max(1, self._limits.slots)
        if self._has_free_slot():
            return 0.0
        rounds = (len(self._queue) + 1) / slots
        return rounds * self._service_seconds

    def _refuse(self, request_id: str, reason: NotRunReason, wait_seconds: float) -> Refused:
        wait_ms = int(wait_seconds * 1000)
        retry_after_ms = max(MIN_RETRY_AFTER_MS, min(wait_ms, MAX_RETRY_AFTER_MS))
        return Refused(request_id, NotRun(reason, retry_after_ms))
