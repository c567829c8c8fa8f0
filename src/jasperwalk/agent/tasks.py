"""Waiting for and ending asyncio tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import Any


async def first_of(*awaitables: Awaitable[object]) -> None:
    """Wait until one of the awaitables is done; cancel the others."""
    tasks = [asyncio.ensure_future(awaitable) for awaitable in awaitables]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()


async def cancel(task: asyncio.Future[Any]) -> None:
    """Cancel a task and wait for its end; raise what it failed with.

    Awaiting the task itself and suppressing its cancellation would swallow one that is meant for
    the caller.
    """
    task.cancel()
    await asyncio.wait((task,))
    if not task.cancelled():
        task.result()
