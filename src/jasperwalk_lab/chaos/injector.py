"""Injects the planned faults at their times and records which of them took place."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Sequence

import aiohttp

from jasperwalk.errors import JasperwalkError
from jasperwalk_lab.chaos.actions import FaultActions
from jasperwalk_lab.chaos.faults import SHAPES, FaultRecord, PlannedFault, TargetGroup

Progress = Callable[[str], None]


class Injector:
    """Runs every fault as a task of its own; `happened` lists those that started.

    A fault waits until an earlier one of the same target is undone, which may take longer than
    planned on a busy machine. Control replicas count as one target: the group does not
    tolerate faults of two at once.
    """

    def __init__(self, actions: FaultActions, progress: Progress) -> None:
        self._actions = actions
        self._progress = progress
        self._locks: dict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self.happened: list[FaultRecord] = []

    async def run(self, planned: Sequence[PlannedFault]) -> None:
        """Inject and undo all faults; an expected failure is recorded with its fault.

        An unexpected error cancels all faults: none may start processes while the fleet stops.
        """
        start = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as tasks:
            for fault in planned:
                tasks.create_task(self._run_in_turn(fault, start))

    async def _run_in_turn(self, fault: PlannedFault, start: float) -> None:
        await asyncio.sleep(start + fault.at - asyncio.get_running_loop().time())
        async with self._locks[_lock_name(fault)]:
            await self._inject(fault)

    async def _inject(self, fault: PlannedFault) -> None:
        loop = asyncio.get_running_loop()
        happened = FaultRecord(kind=fault.kind, target=fault.target, began=loop.time())
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


def _lock_name(fault: PlannedFault) -> str:
    """Return the name of the lock that `fault` holds: its target, or the group of all replicas."""
    group = SHAPES[fault.kind].group
    return group.value if group is TargetGroup.CONTROL else fault.target
