"""The asyncio side of admission control: requests await their slots here."""

from __future__ import annotations

import asyncio

from jasperwalk.agent.admission import Admission, Admitted, Decision, Queued, Refused
from jasperwalk.agent.requests import NotRun


class SlotAllocator:
    """Allocates slots, and wakes queued requests when the admission core decides on them."""

    def __init__(self, admission: Admission) -> None:
        self.admission = admission
        self._loop = asyncio.get_running_loop()
        self._waiters: dict[str, asyncio.Future[NotRun | None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def acquire(self, request_id: str, deadline_at: float) -> NotRun | None:
        """Wait for a slot; return `None` once it is held, or why the request was refused."""
        match self.request(request_id, deadline_at):
            case Admitted():
                return None
            case Refused(not_run=not_run):
                return not_run
            case Queued():
                return await self.wait(request_id)

    def request(self, request_id: str, deadline_at: float) -> Decision:
        """Request a slot. A queued request waits by `wait` or `waiter`, or withdraws."""
        decision = self.admission.request(request_id, deadline_at, self._loop.time())
        if isinstance(decision, Queued):
            self._waiters[request_id] = self._loop.create_future()
            self._set_timer()
        return decision

    def waiter(self, request_id: str) -> asyncio.Future[NotRun | None]:
        """Return the future of the decision on a queued request, with the result of `wait`."""
        return self._waiters[request_id]

    async def wait(self, request_id: str) -> NotRun | None:
        """Wait for the decision on a queued request; cancelling the task withdraws it."""
        try:
            return await self._waiters[request_id]
        except asyncio.CancelledError:
            # The slot may have been allocated in the same turn of the event loop: pass it on.
            self.withdraw(request_id)
            raise

    def withdraw(self, request_id: str) -> None:
        """Remove a request that needs no slot here; a slot already held goes to the next one."""
        self._waiters.pop(request_id, None)
        self.apply(self.admission.cancelled(request_id, self._loop.time()))

    def reserve(self, slot_id: str) -> bool:
        """Reserve a free slot under `slot_id`; False without a free one."""
        return self.admission.reserve(slot_id, self._loop.time())

    def release(self, request_id: str) -> None:
        """Release the slot; does nothing if it was released before."""
        self.apply(self.admission.finished(request_id, self._loop.time()))

    def apply(self, decisions: list[Decision]) -> None:
        """Wake the requests that the core decided on, and set the timer again."""
        for decision in decisions:
            waiter = self._waiters.pop(decision.request_id, None)
            if waiter is None or waiter.done():
                continue
            waiter.set_result(decision.not_run if isinstance(decision, Refused) else None)
        self._set_timer()

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
