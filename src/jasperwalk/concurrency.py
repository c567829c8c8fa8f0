"""Running the parts of a process at once."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable


async def run_together(jobs: Iterable[Coroutine[None, None, None]]) -> None:
    """Run jobs until all have ended; the first failure, or cancellation, ends the others."""
    tasks = [asyncio.create_task(job) for job in jobs]
    try:
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
