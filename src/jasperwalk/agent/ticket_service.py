"""Issues tickets, and runs requests under them at most once.

A request runs only at its ticket's home, the agent that issued the ticket: other agents relay
it there. Where the home cannot be asked, the outcome is unknown and nothing is run.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.answers import LocalAnswer, rejected_answer, ticket_answer
from jasperwalk.agent.requests import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Request,
    ResponseSink,
    Unknown,
    UnknownReason,
)
from jasperwalk.agent.service_view import ServiceView
from jasperwalk.agent.sinks import RecordingSink
from jasperwalk.agent.tickets import (
    NONCE_LENGTH,
    TICKET_LIFETIME_SECONDS,
    Conflict,
    Expired,
    InvalidTicket,
    OutcomeUnknown,
    Repeat,
    RunNow,
    StoredAnswer,
    StoreFull,
    Ticket,
    TicketCodec,
    TicketStore,
    WaitForFirst,
    request_digest,
)
from jasperwalk.config.table_entries import KeyPurpose

RunHere = Callable[[Request, float, ResponseSink], Awaitable[Outcome]]
"""Runs a request at this agent's backend, given its deadline."""
RelayTo = Callable[[Endpoint, Request, float, ResponseSink], Awaitable[Outcome]]
"""Runs a request at another agent."""


class TicketService:
    """Issues tickets and guarantees that a request under a ticket runs at most once."""

    def __init__(
        self,
        view: Callable[[], ServiceView],
        clock: Callable[[], float],
        source: random.Random,
        run_here: RunHere,
        relay_to: RelayTo,
    ) -> None:
        self._view = view
        self._clock = clock
        self._random = source
        self._run_here = run_here
        self._relay_to = relay_to
        self._store = TicketStore()
        self._first_uses: dict[bytes, asyncio.Task[Outcome]] = {}

    async def issue(self, request: Request, sink: ResponseSink) -> Outcome:
        """Answer a request for a new ticket."""
        view = self._view()
        if request.method != "POST":
            title = "Tickets are issued by POST."
            return await self._send(
                rejected_answer(HTTPStatus.METHOD_NOT_ALLOWED, "method-not-allowed", title), sink
            )
        codec = TicketCodec(view.keys_for(KeyPurpose.TICKET))
        if view.service is None or not view.serving or not codec.can_issue:
            return NotRun(NotRunReason.NO_SERVICE)
        expires_at = self._clock() + TICKET_LIFETIME_SECONDS
        ticket = Ticket(
            home=view.address,
            incarnation=view.incarnation,
            service_id=view.service.service_id,
            expires_at_ms=int(expires_at * 1000),
            nonce=self._random.randbytes(NONCE_LENGTH),
        )
        return await self._send(
            ticket_answer(codec.seal(ticket), int(TICKET_LIFETIME_SECONDS)), sink
        )

    async def run(
        self, request: Request, deadline_at: float, sink: ResponseSink, relayed: bool
    ) -> Outcome:
        """Run a request under its ticket, here or at the ticket's home, or refuse it."""
        view = self._view()
        try:
            ticket = TicketCodec(view.keys_for(KeyPurpose.TICKET)).open(request.ticket or "")
        except InvalidTicket as error:
            return await self._send(
                rejected_answer(HTTPStatus.BAD_REQUEST, error.kind, str(error)), sink
            )
        if view.service is None or ticket.service_id != view.service.service_id:
            title = "The ticket is of another service."
            return await self._send(
                rejected_answer(HTTPStatus.BAD_REQUEST, InvalidTicket.kind, title), sink
            )
        if ticket.home == view.address and ticket.incarnation == view.incarnation:
            return await self._run_at_home(ticket, request, deadline_at, sink)
        if relayed or ticket.home == view.address or ticket.home not in view.members:
            return Unknown(UnknownReason.TICKET_HOME_GONE)
        return await self._relay_home(ticket, request, deadline_at, sink)

    async def _relay_home(
        self, ticket: Ticket, request: Request, deadline_at: float, sink: ResponseSink
    ) -> Outcome:
        outcome = await self._relay_to(ticket.home, request, deadline_at, sink)
        # Only the home knows whether an earlier arrival ran: when it can't be asked, a refusal
        # as "not run" would be a guess.
        unasked = (NotRunReason.RELAY_UNREACHABLE, NotRunReason.NO_SERVICE)
        if isinstance(outcome, NotRun) and outcome.reason in unasked:
            return Unknown(UnknownReason.TICKET_HOME_GONE)
        if isinstance(outcome, NotRun) and outcome.reason is NotRunReason.DEADLINE_TOO_SHORT:
            return Unknown(UnknownReason.DEADLINE)
        return outcome

    async def _run_at_home(
        self, ticket: Ticket, request: Request, deadline_at: float, sink: ResponseSink
    ) -> Outcome:
        decision = self._store.use(ticket, request_digest(request), self._clock())
        match decision:
            case RunNow():
                return await self._run_first(ticket, request, deadline_at, sink)
            case WaitForFirst():
                return await self._wait_for_first(ticket, deadline_at, sink)
            case Repeat(answer=stored):
                return await self._repeat(stored, sink)
            case Conflict():
                title = "The ticket was used for a different request."
                answer = rejected_answer(HTTPStatus.UNPROCESSABLE_ENTITY, "ticket-conflict", title)
                return await self._send(answer, sink)
            case OutcomeUnknown() | Expired() | StoreFull():
                return _refusal_of(decision)

    async def _run_first(
        self, ticket: Ticket, request: Request, deadline_at: float, sink: ResponseSink
    ) -> Outcome:
        if self._view().draining:
            self._store.did_not_run(ticket)
            return NotRun(NotRunReason.DRAINING)
        # The run continues when its caller is gone: a caller whose flow broke sends the ticket
        # again to get the outcome.
        running = asyncio.ensure_future(self._run_and_store(ticket, request, deadline_at, sink))
        self._first_uses[ticket.nonce] = running
        running.add_done_callback(lambda _: self._first_uses.pop(ticket.nonce, None))
        return await asyncio.shield(running)

    async def _run_and_store(
        self, ticket: Ticket, request: Request, deadline_at: float, sink: ResponseSink
    ) -> Outcome:
        recorder = RecordingSink(sink)
        outcome: Outcome = Unknown(UnknownReason.BACKEND_FAILED)
        try:
            outcome = await self._run_here(request, deadline_at, recorder)
        finally:
            match outcome:
                case NotRun():
                    self._store.did_not_run(ticket)
                case Answered():
                    self._store.finish(ticket, recorder.answer)
                case Unknown():
                    self._store.finish(ticket, None)
        return outcome

    async def _wait_for_first(
        self, ticket: Ticket, deadline_at: float, sink: ResponseSink
    ) -> Outcome:
        running = self._first_uses.get(ticket.nonce)
        if running is None:
            return Unknown(UnknownReason.OUTCOME_NOT_KEPT)
        try:
            async with asyncio.timeout(deadline_at - self._clock()):
                outcome = await asyncio.shield(running)
        except TimeoutError:
            return Unknown(UnknownReason.DEADLINE)
        if not isinstance(outcome, Answered):
            return outcome if isinstance(outcome, NotRun) else Unknown(outcome.reason)
        answer = self._store.answer_of(ticket)
        if answer is None:
            return Unknown(UnknownReason.OUTCOME_NOT_KEPT)
        return await self._repeat(answer, sink)

    async def _repeat(self, answer: StoredAnswer, sink: ResponseSink) -> Outcome:
        await sink.head(answer.status, answer.headers)
        await sink.data(bytes(answer.body))
        await sink.end()
        return Answered(answer.status)

    async def _send(self, answer: LocalAnswer, sink: ResponseSink) -> Outcome:
        member = self._view().member
        await answer.send(sink, "" if member is None else member.host)
        return Answered(answer.status)


def _refusal_of(decision: OutcomeUnknown | Expired | StoreFull) -> Outcome:
    match decision:
        case OutcomeUnknown():
            return Unknown(UnknownReason.OUTCOME_NOT_KEPT)
        case Expired():
            return Unknown(UnknownReason.TICKET_EXPIRED)
        case StoreFull():
            return NotRun(NotRunReason.TICKETS_FULL)
