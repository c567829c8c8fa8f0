"""The asyncio side of admission: a request awaits its slot here."""

from __future__ import annotations

import asyncio

from jasperwalk.agent.admission import Admission, Admitted, Decision, Queued, Refused
from jasperwalk.agent.requests import NotRun


class SlotGate:
    """Wakes queued requests when the admission core decides on them."""

    def __init__(self, admission: Admission) -> None:
        self.admission = admission
        self._loop = asyncio.get_running_loop()
        self._waiters: dict[str, asyncio.Future[NotRun | None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def acquire(self, request_id: str, deadline_at: float) -> NotRun | None:
        """Wait for a slot; return `None` with the slot, or why the request was refused."""
        decision = self.admission.request(request_id, deadline_at, self._loop.time())
        match decision:
            case Admitted():
                return None
            case Refused(not_run=not_run):
                return not_run
            case Queued():
                return await self._wait(request_id)

    def release(self, request_id: str) -> None:
        """Give the slot back; harmless when it was given back before."""
        self.apply(self.admission.finished(request_id, self._loop.time()))

    def apply(self, decisions: list[Decision]) -> None:
        """Wake the requests that the core decided on and set the timer anew."""
        for decision in decisions:
            waiter = self._waiters.get(decision.request_id)
            if waiter is None or waiter.done():
                continue
            waiter.set_result(decision.not_run if isinstance(decision, Refused) else None)
        self._set_timer()

    async def _wait(self, request_id: str) -> NotRun | None:
        waiter: asyncio.Future[NotRun | None] = self._loop.create_future()
        self._waiters[request_id] = waiter
        self._set_timer()
        try:
            return await waiter
        except asyncio.CancelledError:
            # The slot may have been given in the same turn of the loop: hand it on.
            self.apply(self.admission.cancelled(request_id, self._loop.time()))
            raise
        finally:
            del self._waiters[request_id]

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        deadline = self.admission.next_deadline()
        if deadline is not None:
            self._timer = self._loop.call_at(deadline, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.apply(self.admission.tick(self._loop.time()))
