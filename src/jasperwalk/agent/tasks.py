"""Waiting for and ending asyncio tasks."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable


async def first_of(*awaitables: Awaitable[object]) -> None:
    """Wait until one of the awaitables is done; cancel the others."""
    tasks = [asyncio.ensure_future(awaitable) for awaitable in awaitables]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()


async def cancel(task: asyncio.Future[None]) -> None:
    """Cancel a task and wait for its end; raise what it failed with."""
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
