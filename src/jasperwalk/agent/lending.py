"""Lending a free slot to a request that waits at another agent of the service.

One framed TCP connection a slot. The asker sends `SlotAsk` and gets `SlotGrant` or
`SlotRefusal` at once. A granted slot is held for the asker, who then sends the request
itself, or closes the connection because a slot of its own came first. So a request leaves
its agent only once a slot is certain, and an asker that gives up, at whatever moment before
it sent the request, knows that it did not run.

The lender runs the request in that slot and never passes it on: it does not look at its
ticket, because the asker, the ticket's home, keeps the account of it and asks just once.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import Protocol

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.relay import (
    RelayClient,
    RelayNotRun,
    RelaySink,
    pass_on,
    run_until_closed,
    until_closed,
)
from jasperwalk.agent.requests import NotRun, NotRunReason, Outcome, Request, ResponseSink
from jasperwalk.errors import JasperwalkError
from jasperwalk.messages.codec import Decoder, encode
from jasperwalk.transport.framed import ConnectionKind, FramedConnection

CONNECT_TIMEOUT_SECONDS = 0.25
ANSWER_TIMEOUT_SECONDS = 0.25
"""Time within which an asked agent has to answer; it decides at once."""
RESERVATION_SECONDS = 0.5
"""Time for which a granted slot waits for its request."""
LATE_REQUEST_SECONDS = 0.5
"""Time for which a request that comes too late for its slot still gets its answer."""
LATE_RETRY_AFTER_MS = 100


class SlotAsk(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks an agent of this service for a free slot; `asker` has none."""

    service_id: int
    asker: bytes
    """The asker's packed end point."""


class SlotGrant(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A slot is held for the asker; `free_slots` are left beside it."""

    free_slots: int


class SlotRefusal(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """No slot is to be had."""


class LentRequest(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The request that runs in the granted slot."""

    request: Request


SlotAnswer = SlotGrant | SlotRefusal

ASK_DECODER: Decoder[SlotAsk] = Decoder(SlotAsk)
SLOT_ANSWER_DECODER: Decoder[SlotAnswer] = Decoder(SlotAnswer)
LENT_DECODER: Decoder[LentRequest] = Decoder(LentRequest)


@dataclass(frozen=True, slots=True)
class HeldSlot:
    """An own slot that is held under `slot_id`; `free_slots` are left beside it."""

    slot_id: str
    free_slots: int


class Lender(Protocol):
    """The agent's side that lends. A held slot is used or given back, just once."""

    def reserve(self, ask: SlotAsk) -> HeldSlot | None:
        """Hold a slot for the asker; None to refuse."""

    async def run_lent(self, slot: HeldSlot, request: Request, sink: ResponseSink) -> Outcome:
        """Run a request in a held slot, and free the slot."""

    def give_back(self, slot: HeldSlot) -> None:
        """Free a held slot that was not used."""


@dataclass(frozen=True)
class BorrowedSlot:
    """A slot that another agent holds for this one."""

    lender: Endpoint
    free_slots: int
    connection: FramedConnection

    async def run(self, request: Request, sink: ResponseSink) -> Outcome:
        """Run a request in the slot; cancelling the task cancels it there."""
        if request.deadline_ms <= 0:
            self.give_back()
            return NotRun(NotRunReason.DEADLINE_TOO_SHORT)
        try:
            return await pass_on(self.connection, LentRequest(request), request, sink)
        finally:
            self.connection.abort()

    def give_back(self) -> None:
        """Let the lender have its slot back."""
        self.connection.abort()


class SlotAsker:
    """Asks other agents for slots."""

    def __init__(self, client: RelayClient) -> None:
        self._client = client

    async def ask(self, member: Endpoint, ask: SlotAsk) -> BorrowedSlot | SlotRefusal | None:
        """Ask `member`; return its answer, None when it gave none in time."""
        try:
            connection = await self._client.open(
                member, ConnectionKind.LENDING, CONNECT_TIMEOUT_SECONDS
            )
        except JasperwalkError:
            return None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                await connection.send(encode(ask))
                answer = SLOT_ANSWER_DECODER.decode(await connection.receive())
        except (TimeoutError, JasperwalkError):
            connection.abort()
            return None
        except asyncio.CancelledError:
            connection.abort()
            raise
        if isinstance(answer, SlotRefusal):
            connection.abort()
            return answer
        return BorrowedSlot(member, answer.free_slots, connection)


async def serve_lending(connection: FramedConnection, lender: Lender) -> None:
    """Serve one ask, and the request that may follow it."""
    ask = ASK_DECODER.decode(await connection.receive())
    slot = lender.reserve(ask)
    if slot is None:
        await connection.send(encode(SlotRefusal()))
        return
    try:
        await connection.send(encode(SlotGrant(slot.free_slots)))
        async with asyncio.timeout(RESERVATION_SECONDS):
            lent = LENT_DECODER.decode(await connection.receive())
    except TimeoutError:
        lender.give_back(slot)
        await _refuse_late_request(connection)
        return
    except BaseException:
        lender.give_back(slot)
        raise
    sink = RelaySink(connection)
    await run_until_closed(connection, lender.run_lent(slot, lent.request, sink))


async def _refuse_late_request(connection: FramedConnection) -> None:
    """Tell an asker that is late that its request, which may be under way, did not run."""
    await connection.send(encode(RelayNotRun(NotRunReason.SLOT_EXPIRED, LATE_RETRY_AFTER_MS)))
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(LATE_REQUEST_SECONDS):
            await until_closed(connection)
