"""Runs a request at this agent's backend, in a slot that the request holds."""

from __future__ import annotations

from collections.abc import Callable

from jasperwalk.agent.backend import Backend
from jasperwalk.agent.health import BackendHealth
from jasperwalk.agent.requests import NotRun, NotRunReason, Outcome, Request, ResponseSink
from jasperwalk.agent.slot_allocator import SlotAllocator


class LocalRunner:
    """Runs requests at the backend, frees their slots and records what the outcomes show."""

    def __init__(
        self,
        backend: Backend,
        allocator: SlotAllocator,
        health: BackendHealth,
        clock: Callable[[], float],
    ) -> None:
        self._backend = backend
        self._allocator = allocator
        self._health = health
        self._clock = clock

    async def run(
        self, slot_id: str, request: Request, deadline_at: float, sink: ResponseSink
    ) -> Outcome:
        """Run a request in the slot held under `slot_id`, then free the slot."""

        def head_arrived() -> None:
            # The slot represents the backend's work on the answer. Forwarding the body takes
            # as long as the caller reads, hours for a stream, and must hold no slot.
            self._health.request_answered(self._clock())
            self._allocator.release(slot_id)

        try:
            outcome = await self._backend.run(request, deadline_at, sink, head_arrived)
        finally:
            self._allocator.release(slot_id)
        self._record_outcome(outcome)
        return outcome

    def _record_outcome(self, outcome: Outcome) -> None:
        if not isinstance(outcome, NotRun):
            return
        if outcome.reason is NotRunReason.SHEDDING:
            self._allocator.admission.shed(self._clock())
        if outcome.reason is NotRunReason.BACKEND_UNREACHABLE:
            self._health.request_refused()
