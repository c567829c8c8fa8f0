"""Lends free slots to other agents of the service, as the lending protocol requests them."""

from __future__ import annotations

from collections.abc import Callable

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.health import BackendHealth
from jasperwalk.agent.lending import ReservedSlot, SlotRequest
from jasperwalk.agent.local_runner import LocalRunner
from jasperwalk.agent.peer_slots import PeerSlots
from jasperwalk.agent.requests import Outcome, Request, ResponseSink
from jasperwalk.agent.service_view import ServiceView
from jasperwalk.agent.slot_allocator import SlotAllocator
from jasperwalk.config.table_entries import accepts_new_work


class SlotLender:
    """Lends a slot while one is free and no own request waits. `enabled` turns lending on."""

    def __init__(
        self,
        allocator: SlotAllocator,
        health: BackendHealth,
        local_runner: LocalRunner,
        peers: PeerSlots,
        view: Callable[[], ServiceView],
        clock: Callable[[], float],
        enabled: bool,
    ) -> None:
        self._allocator = allocator
        self._health = health
        self._local_runner = local_runner
        self._peers = peers
        self._view = view
        self._clock = clock
        self._enabled = enabled
        self._count = 0
        self.open_slots = 0
        """Number of lent slots that are reserved or in use."""
        self.lent = 0

    def reserve(self, slot_request: SlotRequest) -> ReservedSlot | None:
        """Reserve a slot for the requester; None to refuse."""
        now = self._clock()
        self._peers.record_free_slots(Endpoint.unpack(slot_request.requester), 0, now)
        if not self._enabled or not self._may_lend(slot_request.service_id, now):
            return None
        self._count += 1
        slot_id = f"lent-{self._count}"
        if not self._allocator.reserve(slot_id):
            return None
        self.open_slots += 1
        return ReservedSlot(slot_id, self._allocator.admission.free_slots)

    async def run_lent(self, slot: ReservedSlot, request: Request, sink: ResponseSink) -> Outcome:
        """Run a request in a reserved slot, then free the slot."""
        self.lent += 1
        deadline_at = self._clock() + request.deadline_ms / 1000
        try:
            return await self._local_runner.run(slot.slot_id, request, deadline_at, sink)
        finally:
            self.open_slots -= 1

    def give_back(self, slot: ReservedSlot) -> None:
        """Free a reserved slot that was not used."""
        self.open_slots -= 1
        self._allocator.withdraw(slot.slot_id)

    def _may_lend(self, service_id: int, now: float) -> bool:
        view = self._view()
        if not view.names_service(service_id):
            return False
        if view.draining or not view.serving or view.member is None:
            return False
        return accepts_new_work(view.member) and self._health.healthy(now)
