"""Borrows slots: a request waits for a slot of its own agent and requests one from peers.

Whichever slot is available first is used. The request leaves its own queue before it is sent
to the lender, and a slot that arrives second is returned, so the request runs in one place only.

A request that runs elsewhere is lost if either of two hosts fails, a stream for as long as it
is open. So a service whose objective is fewest broken flows first waits for its own slot.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.admission import Admitted, Queued, Refused
from jasperwalk.agent.lending import SlotRefusal, SlotRequest
from jasperwalk.agent.lending_client import BorrowedSlot, LendingClient
from jasperwalk.agent.peer_slots import PeerSlots
from jasperwalk.agent.requests import NotRun, NotRunReason
from jasperwalk.agent.service_view import ServiceView
from jasperwalk.agent.slot_allocator import SlotAllocator
from jasperwalk.agent.slot_search import Pause, SlotRequestBudget, SlotSearch
from jasperwalk.config.table_entries import Objective

BORROWING_REASONS = frozenset(
    {NotRunReason.QUEUE_FULL, NotRunReason.DEADLINE_TOO_SHORT, NotRunReason.SHEDDING}
)
"""Refusals by the own admission control after which a peer is asked for a slot."""
OWN_SLOT_WAIT_SECONDS = 0.25
"""Time for which a request waits only for its own slot, if broken flows matter most."""
MAX_SEARCH_AFTER_REFUSAL_SECONDS = 0.1
"""Time limit of the search after the own queue refused: the refusal must not be late."""


@dataclass(frozen=True, slots=True)
class OwnSlot:
    """A slot of this agent, held under `slot_id`."""

    slot_id: str


Slot = OwnSlot | BorrowedSlot


class SlotBorrower:
    """Finds a slot for each request, here or at another member. `enabled` turns borrowing on."""

    def __init__(
        self,
        allocator: SlotAllocator,
        lending_client: LendingClient,
        peers: PeerSlots,
        view: Callable[[], ServiceView],
        clock: Callable[[], float],
        enabled: bool,
    ) -> None:
        self._allocator = allocator
        self._lending_client = lending_client
        self._peers = peers
        self._view = view
        self._clock = clock
        self._enabled = enabled
        self._budget = SlotRequestBudget()
        self.asked = 0
        self.borrowed = 0

    async def acquire(self, request_id: str, deadline_at: float) -> Slot | NotRun:
        """Return the first available slot, or why there is none."""
        self._budget.earn()
        match self._allocator.request(request_id, deadline_at):
            case Admitted():
                return OwnSlot(request_id)
            case Queued():
                return await self._wait(request_id)
            case Refused(not_run=not_run):
                return await self._search_after_refusal(not_run, deadline_at)

    async def _wait(self, request_id: str) -> Slot | NotRun:
        """Wait for an own slot and search for another one."""
        if not self._enabled:
            return _own_slot(request_id, await self._allocator.wait(request_id))
        waiter = self._allocator.waiter(request_id)
        searching = asyncio.ensure_future(self._search())
        try:
            await asyncio.wait((waiter, searching), return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            self._allocator.withdraw(request_id)
            _cancel_search(searching)
            raise
        # Nothing is awaited between here and the return, so only one of the slots is used.
        if waiter.done():
            _cancel_search(searching)
            return _own_slot(request_id, waiter.result())
        self._allocator.withdraw(request_id)
        return searching.result()

    async def _search_after_refusal(self, not_run: NotRun, deadline_at: float) -> Slot | NotRun:
        """Search once, for a short time, for a slot for a request that the own queue refused."""
        remaining = deadline_at - self._clock()
        if not self._enabled or remaining <= 0 or not_run.reason not in BORROWING_REASONS:
            return not_run
        try:
            async with asyncio.timeout(min(remaining, MAX_SEARCH_AFTER_REFUSAL_SECONDS)):
                found = await self._request_from_peers(self._new_search())
        except TimeoutError:
            return not_run
        return not_run if isinstance(found, Pause) else found

    async def _search(self) -> BorrowedSlot:
        await asyncio.sleep(self._own_slot_wait_seconds())
        search = self._new_search()
        while True:
            found = await self._request_from_peers(search)
            if isinstance(found, BorrowedSlot):
                return found
            await asyncio.sleep(found.seconds)

    def _own_slot_wait_seconds(self) -> float:
        service = self._view().service
        if service is None or service.objective is Objective.LEAST_IMBALANCE:
            return 0.0
        return OWN_SLOT_WAIT_SECONDS

    def _new_search(self) -> SlotSearch:
        return SlotSearch(self._peers, self._budget)

    async def _request_from_peers(self, search: SlotSearch) -> BorrowedSlot | Pause:
        while True:
            step = search.next(self._view().other_members(), self._clock())
            if isinstance(step, Pause):
                return step
            slot = await self._request_slot(step.member)
            if slot is not None:
                return slot

    async def _request_slot(self, member: Endpoint) -> BorrowedSlot | None:
        view = self._view()
        if view.service is None:
            return None
        self.asked += 1
        ask = SlotRequest(view.service.service_id, view.address.pack())
        answer = await self._lending_client.ask(member, ask)
        now = self._clock()
        match answer:
            case None:
                self._peers.record_unreachable(member, now)
            case SlotRefusal():
                self._peers.record_free_slots(member, 0, now)
            case BorrowedSlot():
                self._peers.record_free_slots(member, answer.free_slots, now)
                self.borrowed += 1
                return answer
        return None


def _own_slot(request_id: str, not_run: NotRun | None) -> Slot | NotRun:
    return OwnSlot(request_id) if not_run is None else not_run


def _cancel_search(searching: asyncio.Future[BorrowedSlot]) -> None:
    """Cancel a search; a slot that it has found is returned to the lender."""
    searching.cancel()
    searching.add_done_callback(_give_back)


def _give_back(ended: asyncio.Future[BorrowedSlot]) -> None:
    if not ended.cancelled() and ended.exception() is None:
        ended.result().give_back()
