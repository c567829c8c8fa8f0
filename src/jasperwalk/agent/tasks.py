"""Helpers to wait for and cancel asyncio tasks."""

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
    """Cancel a task and wait for its end; raise the error with which it failed.

    Awaiting the task itself and suppressing its cancellation would also swallow a cancellation
    of the calling task.
    """
    task.cancel()
    await asyncio.wait((task,))
    if not task.cancelled():
        task.result()
