"""Connects to the first of several replicas that answers.

A machine without power does not answer, so a connection to it hangs until its time-out. The next
replica is therefore dialled while the attempt before is still pending, as "happy eyeballs"
(RFC 8305) does with addresses. After a loss of power the replicas come back one by one, and a node
that waits for the wrong one loses as much time as an election takes.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.errors import JasperwalkError
from jasperwalk.transport.framed import FramedConnection

STAGGER_SECONDS = 0.05
"""How long a replica has to answer before the next one is dialled in parallel: a round trip between
regions of one continent."""

Dial = Callable[[Endpoint], Coroutine[Any, Any, FramedConnection]]
"""Opens a connection to a replica; raises a `JasperwalkError`."""


class DialledReplica(msgspec.Struct, frozen=True):
    """The replica that answered first, and the connection to it."""

    replica: Endpoint
    connection: FramedConnection


async def dial_first(
    replicas: Iterable[Endpoint], dial: Dial, stagger_seconds: float = STAGGER_SECONDS
) -> DialledReplica | None:
    """Return the first established connection, None once every replica has failed."""
    waiting = deque(replicas)
    attempts: dict[asyncio.Task[FramedConnection], Endpoint] = {}
    try:
        while waiting or attempts:
            if waiting:
                replica = waiting.popleft()
                attempts[asyncio.create_task(dial(replica))] = replica
            done, _ = await asyncio.wait(
                attempts,
                timeout=stagger_seconds if waiting else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for attempt in done:
                connection = _connection_of(attempt)
                replica = attempts.pop(attempt)
                if connection is not None:
                    return DialledReplica(replica, connection)
        return None
    finally:
        await _abandon(list(attempts))


def _connection_of(attempt: asyncio.Task[FramedConnection]) -> FramedConnection | None:
    """Return the connection of a finished attempt, None if the replica could not be reached."""
    try:
        return attempt.result()
    except JasperwalkError:
        return None


async def _abandon(attempts: list[asyncio.Task[FramedConnection]]) -> None:
    """Cancel the other attempts and abort the connections that they opened."""
    for attempt in attempts:
        attempt.cancel()
    for outcome in await asyncio.gather(*attempts, return_exceptions=True):
        if isinstance(outcome, FramedConnection):
            outcome.abort()
