"""Strikes the planned faults at their times and notes which of them took place."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import aiohttp

from jasperwalk.errors import JasperwalkError
from jasperwalk_lab.chaos.actions import FaultActions
from jasperwalk_lab.chaos.faults import SHAPES, HappenedFault, PlannedFault

Progress = Callable[[str], None]


class Injector:
    """Runs every fault as a task of its own; `happened` lists those that began."""

    def __init__(self, actions: FaultActions, progress: Progress) -> None:
        self._actions = actions
        self._progress = progress
        self.happened: list[HappenedFault] = []

    async def run(self, planned: Sequence[PlannedFault]) -> None:
        """Strike and undo all faults; a failure is noted with its fault."""
        start = asyncio.get_running_loop().time()
        await asyncio.gather(*(self._strike(fault, start) for fault in planned))

    async def _strike(self, fault: PlannedFault, start: float) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(start + fault.at - loop.time())
        happened = HappenedFault(kind=fault.kind, target=fault.target, began=loop.time())
        self.happened.append(happened)
        self._progress(f"{fault.at:6.1f} s  {fault.kind} {fault.target}")
        try:
            async with self._actions.action(fault.kind)(fault.target):
                if SHAPES[fault.kind].holds:
                    await asyncio.sleep(happened.began + fault.seconds - loop.time())
        except (JasperwalkError, aiohttp.ClientError, TimeoutError, OSError) as error:
            described = error.describe() if isinstance(error, JasperwalkError) else repr(error)
            happened.failure = described
            self._progress(f"FAILED {fault.kind} {fault.target}: {described}")
        happened.ended = loop.time()
