"""Client of the lending protocol: requests slots from other agents over reused connections.

Opening a connection costs some round trips and, with TLS, a handshake, which is often longer
than the wait for a slot. A connection is kept after a refusal and after a complete answer,
when both sides know that nothing is in flight on it. In all other cases it is closed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.lending import (
    SLOT_ANSWER_DECODER,
    LentRequest,
    SlotAnswer,
    SlotRefusal,
    SlotRequest,
)
from jasperwalk.agent.relay import RelayClient, run_exchange
from jasperwalk.agent.requests import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Request,
    ResponseSink,
)
from jasperwalk.errors import JasperwalkError
from jasperwalk.messages.codec import encode
from jasperwalk.transport.framed import FramedConnection
from jasperwalk.transport.hello import ConnectionKind

CONNECT_TIMEOUT_SECONDS = 0.25
ANSWER_TIMEOUT_SECONDS = 0.25
"""Time for the lender to answer; it decides at once."""
IDLE_SECONDS = 10.0
"""Time for which an idle connection is kept; shorter than at the lender."""
MAX_LINK_AGE_SECONDS = 60.0
"""Age up to which a connection is reused: certificates and keys may be renewed meanwhile."""
MAX_IDLE_LINKS = 4
"""Idle connections that are kept to one member."""


@dataclass(frozen=True)
class LendingLink:
    """A connection to a lender; times in seconds of the event loop's clock."""

    member: Endpoint
    connection: FramedConnection
    opened_at: float
    kept_at: float = 0.0


class IdleLinks:
    """Pool of connections on which nothing is in flight."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._links: dict[Endpoint, list[LendingLink]] = {}

    def take(self, member: Endpoint) -> LendingLink | None:
        """Remove the most recently used connection to `member` from the pool and return it."""
        self._close_expired()
        links = self._links.get(member)
        return links.pop() if links else None

    def keep(self, link: LendingLink) -> None:
        """Keep a connection for the next slot request."""
        kept = LendingLink(link.member, link.connection, link.opened_at, self._clock())
        links = self._links.setdefault(link.member, [])
        links.append(kept)
        if len(links) > MAX_IDLE_LINKS:
            links.pop(0).connection.abort()
        self._close_expired()

    def close(self) -> None:
        """Close every connection."""
        for links in self._links.values():
            for link in links:
                link.connection.abort()
        self._links.clear()

    def _close_expired(self) -> None:
        now = self._clock()
        for member, links in list(self._links.items()):
            fresh = [link for link in links if _is_fresh(link, now)]
            for link in links:
                if link not in fresh:
                    link.connection.abort()
            self._links[member] = fresh
            if not fresh:
                del self._links[member]


def _is_fresh(link: LendingLink, now: float) -> bool:
    return now - link.kept_at < IDLE_SECONDS and now - link.opened_at < MAX_LINK_AGE_SECONDS


@dataclass(frozen=True)
class BorrowedSlot:
    """A slot that another agent has reserved for this one."""

    free_slots: int
    link: LendingLink
    idle: IdleLinks

    async def run(self, request: Request, sink: ResponseSink) -> Outcome:
        """Run a request in the slot; cancelling the task cancels it there."""
        if request.deadline_ms <= 0:
            self.give_back()
            return NotRun(NotRunReason.DEADLINE_TOO_SHORT)
        outcome: Outcome | None = None
        try:
            outcome = await run_exchange(self.link.connection, LentRequest(request), request, sink)
            return outcome
        finally:
            if isinstance(outcome, Answered | NotRun):
                self.idle.keep(self.link)
            else:
                self.link.connection.abort()

    def give_back(self) -> None:
        """Return the unused slot to the lender, by closing the connection."""
        self.link.connection.abort()


class LendingClient:
    """Requests slots from other agents."""

    def __init__(self, client: RelayClient, clock: Callable[[], float]) -> None:
        self._client = client
        self._clock = clock
        self._idle = IdleLinks(clock)

    async def ask(self, member: Endpoint, ask: SlotRequest) -> BorrowedSlot | SlotRefusal | None:
        """Request a slot from `member`; return its answer, None if none came in time."""
        kept = self._idle.take(member)
        if kept is not None:
            answer = await self._exchange(kept, ask)
            if answer is not None:  # else the lender has closed it or is gone
                return answer
        try:
            connection = await self._client.open(
                member, ConnectionKind.LENDING, CONNECT_TIMEOUT_SECONDS
            )
        except JasperwalkError:
            return None
        return await self._exchange(LendingLink(member, connection, self._clock()), ask)

    def close(self) -> None:
        """Close the idle connections."""
        self._idle.close()

    async def _exchange(
        self, link: LendingLink, ask: SlotRequest
    ) -> BorrowedSlot | SlotRefusal | None:
        answer: SlotAnswer | None = None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                await link.connection.send(encode(ask))
                answer = SLOT_ANSWER_DECODER.decode(await link.connection.receive())
        except (TimeoutError, JasperwalkError):
            return None
        finally:
            if answer is None:
                link.connection.abort()
        if isinstance(answer, SlotRefusal):
            self._idle.keep(link)
            return answer
        return BorrowedSlot(answer.free_slots, link, self._idle)
