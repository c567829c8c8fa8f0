"""Decides where a request runs: here, at another member, at its ticket's home, or nowhere.

A request runs in a slot of this agent or in one that a peer lends; the home of a ticket decides
on the requests under it. A request without a ticket that provably did not run is retried at one
other member, within a budget. A draining agent relays such requests to other members.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.borrower import OwnSlot, SlotBorrower
from jasperwalk.agent.lending_client import BorrowedSlot
from jasperwalk.agent.local_runner import LocalRunner
from jasperwalk.agent.relay import RelayClient
from jasperwalk.agent.relay_messages import RelayRequest
from jasperwalk.agent.requests import (
    NotRun,
    NotRunReason,
    Outcome,
    Request,
    ResponseSink,
)
from jasperwalk.agent.retry_budget import RetryBudget
from jasperwalk.agent.service_view import ServiceView
from jasperwalk.agent.slot_allocator import SlotAllocator
from jasperwalk.agent.ticket_service import TicketService
from jasperwalk.agent.tickets import TICKET_PATH

MAX_RELAY_TARGETS = 2
"""Members that are tried for one request of a draining agent."""
RETRIED_REASONS = frozenset(
    {NotRunReason.BACKEND_UNREACHABLE, NotRunReason.SHEDDING, NotRunReason.QUEUE_FULL}
)
LENDER_REFUSALS = RETRIED_REASONS | {NotRunReason.DRAINING, NotRunReason.SLOT_EXPIRED}
"""Refusals of a lender after which a request may run here instead."""


class RequestRunner:
    """Runs the requests of this agent's flows and those that other agents relay to it."""

    def __init__(
        self,
        local_runner: LocalRunner,
        allocator: SlotAllocator,
        borrower: SlotBorrower,
        relay: RelayClient,
        view: Callable[[], ServiceView],
        clock: Callable[[], float],
        source: random.Random,
    ) -> None:
        self._local_runner = local_runner
        self._allocator = allocator
        self._borrower = borrower
        self._relay = relay
        self._view = view
        self._clock = clock
        self._random = source
        self._budget = RetryBudget()
        self._ticket_service = TicketService(view, clock, source, self._run_here, self._relay_to)
        self.relayed = 0
        self.retried = 0
        self.open_relayed = 0
        """Requests in progress that other agents relayed here."""

    async def run(self, request: Request, sink: ResponseSink) -> Outcome:
        """Run a request that came on a flow of this agent."""
        deadline_at = self._clock() + request.deadline_ms / 1000
        self._budget.earn()
        if request.path == TICKET_PATH:
            if self._view().draining:
                # A ticket's home has to stay in service: let another member issue the ticket.
                return await self._relay_elsewhere(request, deadline_at, sink)
            return await self._ticket_service.issue(request, sink)
        if request.ticket is not None:
            return await self._ticket_service.run(request, deadline_at, sink, relayed=False)
        if self._view().draining:
            return await self._relay_elsewhere(request, deadline_at, sink)
        outcome = await self._run_here(request, deadline_at, sink)
        if isinstance(outcome, NotRun) and outcome.reason in RETRIED_REASONS:
            return await self._retry(request, deadline_at, sink, outcome)
        return outcome

    async def run_relayed(self, relayed: RelayRequest, sink: ResponseSink) -> Outcome:
        """Run a request that another agent relays; it is never relayed further."""
        self.open_relayed += 1
        try:
            return await self._run_relayed(relayed, sink)
        finally:
            self.open_relayed -= 1

    async def _run_relayed(self, relayed: RelayRequest, sink: ResponseSink) -> Outcome:
        request = relayed.request
        view = self._view()
        deadline_at = self._clock() + request.deadline_ms / 1000
        if not view.names_service(relayed.service_id):
            return NotRun(NotRunReason.NO_SERVICE)
        if request.path == TICKET_PATH and not view.draining:
            return await self._ticket_service.issue(request, sink)
        if request.path != TICKET_PATH and request.ticket is not None:
            return await self._ticket_service.run(request, deadline_at, sink, relayed=True)
        if view.draining:
            return NotRun(NotRunReason.DRAINING)
        return await self._run_here(request, deadline_at, sink)

    async def _run_here(self, request: Request, deadline_at: float, sink: ResponseSink) -> Outcome:
        """Run a request in a slot of this agent or in one lent by another member."""
        match await self._borrower.acquire(request.request_id, deadline_at):
            case NotRun() as not_run:
                return not_run
            case OwnSlot(slot_id=slot_id):
                return await self._local_runner.run(slot_id, request, deadline_at, sink)
            case BorrowedSlot() as slot:
                return await self._run_borrowed(slot, request, deadline_at, sink)

    async def _run_borrowed(
        self, slot: BorrowedSlot, request: Request, deadline_at: float, sink: ResponseSink
    ) -> Outcome:
        outcome = await slot.run(self._with_remaining_time(request, deadline_at), sink)
        if not _may_run_here(outcome) or not self._budget.spend():
            return outcome
        self.retried += 1
        slot_id = request.request_id
        if await self._allocator.acquire(slot_id, deadline_at) is not None:
            return outcome
        return await self._local_runner.run(slot_id, request, deadline_at, sink)

    async def _retry(
        self, request: Request, deadline_at: float, sink: ResponseSink, first: NotRun
    ) -> Outcome:
        """Try one other member, within the budget: the request provably did not run here."""
        targets = self._targets()
        if not targets or not self._budget.spend():
            return first
        self.retried += 1
        outcome = await self._relay_to(targets[0], request, deadline_at, sink)
        return first if isinstance(outcome, NotRun) else outcome

    async def _relay_elsewhere(
        self, request: Request, deadline_at: float, sink: ResponseSink
    ) -> Outcome:
        """Run a request of a draining agent's flow at another member."""
        outcome: Outcome = NotRun(NotRunReason.DRAINING)
        for target in self._targets()[:MAX_RELAY_TARGETS]:
            outcome = await self._relay_to(target, request, deadline_at, sink)
            if not isinstance(outcome, NotRun):
                return outcome
        return outcome

    async def _relay_to(
        self, target: Endpoint, request: Request, deadline_at: float, sink: ResponseSink
    ) -> Outcome:
        service = self._view().service
        if service is None:
            return NotRun(NotRunReason.NO_SERVICE)
        updated_request = self._with_remaining_time(request, deadline_at)
        if updated_request.deadline_ms <= 0:
            return NotRun(NotRunReason.DEADLINE_TOO_SHORT)
        self.relayed += 1
        return await self._relay.run(target, service.service_id, updated_request, sink)

    def _with_remaining_time(self, request: Request, deadline_at: float) -> Request:
        """Return the request with the remaining time as its deadline."""
        remaining_ms = int((deadline_at - self._clock()) * 1000)
        return msgspec.structs.replace(request, deadline_ms=remaining_ms)

    def _targets(self) -> list[Endpoint]:
        """Return the other eligible members in a random order, weighted towards the front."""
        members = self._view().other_members()
        keyed = [
            (self._random.random() ** (1 / member.weight), member.address) for member in members
        ]
        return [address for _, address in sorted(keyed, reverse=True)]


def _may_run_here(outcome: Outcome) -> bool:
    """Return whether a request may run here: its lender's `outcome` shows that it did not run."""
    return isinstance(outcome, NotRun) and outcome.reason in LENDER_REFUSALS
