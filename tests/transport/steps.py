"""Helpers that cancel a task after a number of steps of the event loop."""

from __future__ import annotations

import asyncio

WAIT_LIMIT_SECONDS = 10.0
"""Bound of every wait; a cancelled task in these tests ends within a few steps."""
CANCELLATION_GRACE_SECONDS = 0.5
"""A task that still runs this long after its cancellation has lost it."""


async def cancel_after(task, steps):
    """Cancel a task after some steps; assert that it ends as cancelled, unless it ended before."""
    for _ in range(steps):
        await asyncio.sleep(0)
    if not task.cancel():
        return
    done, _ = await asyncio.wait({task}, timeout=WAIT_LIMIT_SECONDS)
    assert done, "still running after its cancellation"
    assert task.cancelled(), "went on as if it had not been cancelled"


async def lost_cancellations(make, max_steps):
    """Return after which numbers of steps a cancellation was lost: the task did not end by it."""
    lost = []
    for steps in range(max_steps):
        task = asyncio.ensure_future(make())
        for _ in range(steps):
            await asyncio.sleep(0)
        if not task.cancel():
            _drop(task)
            continue
        done, _ = await asyncio.wait({task}, timeout=CANCELLATION_GRACE_SECONDS)
        if not done or not task.cancelled():
            lost.append(steps)
        while not task.done():
            task.cancel()
            await asyncio.wait({task}, timeout=CANCELLATION_GRACE_SECONDS)
        if not task.cancelled():
            _drop(task)
    return lost


def _drop(task):
    """Close the connection of a task that ended before its cancellation."""
    if task.exception() is None:
        connection = getattr(task.result(), "connection", task.result())
        if connection is not None:
            connection.abort()
