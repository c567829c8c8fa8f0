"""Protocol by which an agent lends a free slot to a request that waits at a peer.

The requests for slots follow each other on a framed TCP connection. The requester sends
`SlotRequest` and gets `SlotGrant` or `SlotRefusal` at once. A granted slot is reserved for the
requester, which then sends the request itself, or closes the connection because a slot of its
own became free first. So a request leaves its agent only once a slot is certain, and a
requester that cancels at any time before sending the request knows that it did not run.

The lender runs the request in that slot and never relays it. It does not check the ticket: the
requester, which is the ticket's home, records its use and sends the request just once.
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
"""Time for which a connection waits for the next slot request."""
RESERVATION_SECONDS = 0.5
"""Time for which a granted slot is reserved for its request."""
LATE_REQUEST_SECONDS = 0.5
"""Time for which a request that arrives too late for its slot still gets an answer."""
LATE_RETRY_AFTER_MS = 100


class SlotRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Requests a free slot from an agent of this service; `requester` has none."""

    service_id: int
    requester: bytes
    """The requester's packed endpoint."""


class SlotGrant(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A slot is reserved for the requester; `free_slots` more are free."""

    free_slots: int


class SlotRefusal(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """No slot is available."""


class LentRequest(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The request to run in the granted slot."""

    request: Request


SlotAnswer = SlotGrant | SlotRefusal

SLOT_REQUEST_DECODER: Decoder[SlotRequest] = Decoder(SlotRequest)
SLOT_ANSWER_DECODER: Decoder[SlotAnswer] = Decoder(SlotAnswer)
LENT_DECODER: Decoder[LentRequest] = Decoder(LentRequest)


@dataclass(frozen=True, slots=True)
class ReservedSlot:
    """An own slot that is reserved under `slot_id`; `free_slots` more are free."""

    slot_id: str
    free_slots: int


class Lender(Protocol):
    """The lending side of an agent. A reserved slot is either used or given back, once."""

    def reserve(self, slot_request: SlotRequest) -> ReservedSlot | None:
        """Reserve a slot for the requester; None to refuse."""

    def run_lent(
        self, slot: ReservedSlot, request: Request, sink: ResponseSink
    ) -> Coroutine[None, None, Outcome]:
        """Run a request in a reserved slot, then free the slot."""

    def give_back(self, slot: ReservedSlot) -> None:
        """Free a reserved slot that was not used."""


async def serve_lending(connection: FramedConnection, lender: Lender) -> None:
    """Serve slot requests and the requests that follow, until the requester closes or idles."""
    with contextlib.suppress(TimeoutError):
        frame: bytes | None = await _receive(connection, IDLE_SECONDS)
        while frame is not None:
            frame = await _serve_slot_request(
                connection, lender, SLOT_REQUEST_DECODER.decode(frame)
            )


async def _serve_slot_request(
    connection: FramedConnection, lender: Lender, slot_request: SlotRequest
) -> bytes | None:
    """Serve one slot request; return the frame of the next one, None after the last."""
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
    """Run a request, cancel it if the requester closes; return the frame that follows it."""
    running = asyncio.ensure_future(run)
    following = asyncio.ensure_future(connection.receive())
    try:
        await asyncio.wait((running, following), return_when=asyncio.FIRST_COMPLETED)
        if not running.done():
            following.result()  # raises if the requester closed
        await send_outcome(connection, await running)
        async with asyncio.timeout(IDLE_SECONDS):
            return await following
    finally:
        for task in (running, following):
            task.cancel()
        await asyncio.wait((running, following))
        _consume_errors(running, following)


def _consume_errors(*ended: asyncio.Future[Any]) -> None:
    """Retrieve the errors of tasks, whose cause is known, so that none is logged as unhandled."""
    for task in ended:
        if not task.cancelled():
            task.exception()


async def _receive(connection: FramedConnection, seconds: float) -> bytes:
    async with asyncio.timeout(seconds):
        return await connection.receive()


async def _refuse_late_request(connection: FramedConnection) -> None:
    """Tell a late requester that its request, which may be in flight, did not run."""
    await connection.send(encode(RelayNotRun(NotRunReason.SLOT_EXPIRED, LATE_RETRY_AFTER_MS)))
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(LATE_REQUEST_SECONDS):
            await wait_closed(connection)
