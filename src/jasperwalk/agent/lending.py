"""Lending a free slot to a request that waits at another agent of the service.

A framed TCP connection carries one ask after the other. The asker sends `SlotRequest` and gets
`SlotGrant` or `SlotRefusal` at once. A granted slot is held for the asker, who then sends the
request itself, or closes the connection because a slot of its own came first. So a request
leaves its agent only once a slot is certain, and an asker that gives up, at whatever moment
before it sent the request, knows that it did not run.

The lender runs the request in that slot and never passes it on: it does not look at its
ticket, because the asker, the ticket's home, keeps the account of it and asks just once.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

from jasperwalk.agent.relay_messages import RelayNotRun
from jasperwalk.agent.relay_server import RelaySink, send_outcome, wait_closed
from jasperwalk.agent.requests import NotRunReason, Outcome, Request, ResponseSink
from jasperwalk.messages.codec import Decoder, encode
from jasperwalk.transport.framed import FramedConnection

IDLE_SECONDS = 30.0
"""Time for which a connection waits for the next ask."""
RESERVATION_SECONDS = 0.5
"""Time for which a granted slot waits for its request."""
LATE_REQUEST_SECONDS = 0.5
"""Time for which a request that comes too late for its slot still gets its answer."""
LATE_RETRY_AFTER_MS = 100


class SlotRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks an agent of this service for a free slot; `requester` has none."""

    service_id: int
    requester: bytes
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

SLOT_REQUEST_DECODER: Decoder[SlotRequest] = Decoder(SlotRequest)
SLOT_ANSWER_DECODER: Decoder[SlotAnswer] = Decoder(SlotAnswer)
LENT_DECODER: Decoder[LentRequest] = Decoder(LentRequest)


@dataclass(frozen=True, slots=True)
class ReservedSlot:
    """An own slot that is held under `slot_id`; `free_slots` are left beside it."""

    slot_id: str
    free_slots: int


class Lender(Protocol):
    """The agent's side that lends. A held slot is used or given back, just once."""

    def reserve(self, slot_request: SlotRequest) -> ReservedSlot | None:
        """Hold a slot for the asker; None to refuse."""

    def run_lent(
        self, slot: ReservedSlot, request: Request, sink: ResponseSink
    ) -> Coroutine[None, None, Outcome]:
        """Run a request in a held slot, and free the slot."""

    def give_back(self, slot: ReservedSlot) -> None:
        """Free a held slot that was not used."""


async def serve_lending(connection: FramedConnection, lender: Lender) -> None:
    """Serve asks, and the request that may follow each, until the asker closes or falls silent."""
    with contextlib.suppress(TimeoutError):
        frame: bytes | None = await _receive(connection, IDLE_SECONDS)
        while frame is not None:
            frame = await _serve_slot_request(
                connection, lender, SLOT_REQUEST_DECODER.decode(frame)
            )


async def _serve_slot_request(
    connection: FramedConnection, lender: Lender, slot_request: SlotRequest
) -> bytes | None:
    """Serve one ask; return the frame of the next one, None after the last."""
    slot = lender.reserve(slot_request)
    if slot is None:
        await connection.send(encode(SlotRefusal()))
        return await _receive(connection, IDLE_SECONDS)
    try:
        await connection.send(encode(SlotGrant(slot.free_slots)))
        lent = LENT_DECODER.decode(await _receive(connection, RESERVATION_SECONDS))
    except TimeoutError:
        lender.give_back(slot)
        await _refuse_late_request(connection)
        return None
    except BaseException:
        lender.give_back(slot)
        raise
    return await _run(connection, lender.run_lent(slot, lent.request, RelaySink(connection)))


async def _run(connection: FramedConnection, run: Coroutine[None, None, Outcome]) -> bytes | None:
    """Run a request, cancel it when the asker closes; return the frame that follows it."""
    running = asyncio.ensure_future(run)
    following = asyncio.ensure_future(connection.receive())
    try:
        await asyncio.wait((running, following), return_when=asyncio.FIRST_COMPLETED)
        if not running.done():
            following.result()  # raises where the asker closed
        await send_outcome(connection, await running)
        async with asyncio.timeout(IDLE_SECONDS):
            return await following
    finally:
        for task in (running, following):
            task.cancel()
        await asyncio.wait((running, following))
        _consume_errors(running, following)


def _consume_errors(*ended: asyncio.Future[Any]) -> None:
    """Take the errors of tasks, whose reason is known, so that none is reported as lost."""
    for task in ended:
        if not task.cancelled():
            task.exception()


async def _receive(connection: FramedConnection, seconds: float) -> bytes:
    async with asyncio.timeout(seconds):
        return await connection.receive()


async def _refuse_late_request(connection: FramedConnection) -> None:
    """Tell an asker that is late that its request, which may be under way, did not run."""
    await connection.send(encode(RelayNotRun(NotRunReason.SLOT_EXPIRED, LATE_RETRY_AFTER_MS)))
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(LATE_REQUEST_SECONDS):
            await wait_closed(connection)
