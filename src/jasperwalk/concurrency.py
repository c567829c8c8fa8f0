"""Runs the parts of a process concurrently, and ends them together."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable, Sequence

import structlog

CANCELLATION_WARNING_SECONDS = 2.0
"""Time after its cancellation from which a job is reported as still running. Closing a connection,
the longest step of a job's end, takes a second at most."""

logger = structlog.get_logger(__name__)


async def run_together(jobs: Iterable[Coroutine[None, None, None]]) -> None:
    """Run jobs until all have ended; the first failure, or cancellation, ends the others.

    A job that does not end when it is cancelled keeps the process from ending: the log names it
    repeatedly until it ends.
    """
    tasks = [asyncio.create_task(job) for job in jobs]
    try:
        # `asyncio.gather` would not return from a cancellation before the last job has ended.
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_EXCEPTION)
        for task in done:
            task.result()
    finally:
        for task in tasks:
            task.cancel()
        await _wait_until_ended(tasks)


async def _wait_until_ended(tasks: Sequence[asyncio.Task[None]]) -> None:
    """Wait for cancelled tasks, and log those that do not end in time."""
    running = set(tasks)
    while running:
        _, running = await asyncio.wait(running, timeout=CANCELLATION_WARNING_SECONDS)
        for task in running:
            logger.warning(
                "cancelled-part-still-runs",
                part=getattr(task.get_coro(), "__qualname__", task.get_name()),
                cancellations=task.cancelling(),
            )
