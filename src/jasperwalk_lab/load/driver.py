"""Runs a load in an open loop: each arrival is sent when it is due, however slow answers are.

At most `most_outstanding` calls are outstanding; an arrival beyond that is counted as overflowed
and not sent.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from jasperwalk_lab.caller import Caller
from jasperwalk_lab.load.arrivals import Arrival, draw_arrivals
from jasperwalk_lab.load.flows import FlowPool
from jasperwalk_lab.load.listeners import FleetListeners
from jasperwalk_lab.load.profile import LoadProfile
from jasperwalk_lab.load.result import LoadCounts, LoadResult
from jasperwalk_lab.operations import LongStream

PROGRESS_SECONDS = 2.0
STREAM_EXTRA_SECONDS = 10.0
"""Time that a stream may take beyond its own length."""

Progress = Callable[[str], None]


class OpenLoop:
    """One load on one fleet; every call is recorded in the caller's history."""

    def __init__(
        self,
        caller: Caller,
        listeners: FleetListeners,
        profile: LoadProfile,
        seed: int,
        progress: Progress,
    ) -> None:
        self._caller = caller
        self._profile = profile
        self._seed = seed
        self._progress = progress
        self.counts = LoadCounts()
        self.started_at = 0.0
        self._calls: set[asyncio.Task[None]] = set()
        self._pools = {
            each.service: FlowPool(
                caller,
                each.service,
                listeners.listener(each.service),
                each.flows,
                profile.flow_seconds,
                random.Random(f"{seed}/flows/{each.service}"),
                profile.ping_seconds,
            )
            for each in profile.services
        }

    async def open_flows(self) -> None:
        """Open every flow before the first arrival."""
        await asyncio.gather(*(pool.open_all() for pool in self._pools.values()))

    async def run(self) -> LoadResult:
        """Send all arrivals, wait for the calls to end, and return the result."""
        loop = asyncio.get_running_loop()
        self.started_at = loop.time()
        reporting = asyncio.create_task(self._report())
        try:
            for arrival in draw_arrivals(self._profile, self._seed):
                due_at = self.started_at + arrival.at
                await asyncio.sleep(max(0.0, due_at - loop.time()))
                self._arrive(arrival, due_at)
            await asyncio.gather(*self._calls)
        finally:
            reporting.cancel()
        self._progress(self.counts.progress_line(loop.time() - self.started_at))
        opened = sum(pool.opened for pool in self._pools.values())
        return self.counts.result(self._seed, loop.time() - self.started_at, opened)

    async def close(self) -> None:
        """Close every flow."""
        await asyncio.gather(*(pool.close() for pool in self._pools.values()))

    def _arrive(self, arrival: Arrival, due_at: float) -> None:
        counts = self.counts
        counts.due += 1
        late = asyncio.get_running_loop().time() - due_at
        counts.latest_start_seconds = max(counts.latest_start_seconds, late)
        if counts.outstanding >= self._profile.most_outstanding:
            counts.overflowed += 1
            return
        # The request ID is drawn here, in the order of arrivals, so that it does not depend
        # on which call happens to be sent first.
        request_id = self._caller.next_request_id()
        counts.outstanding += 1
        call = asyncio.create_task(self._call(arrival, due_at, request_id))
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)

    async def _call(self, arrival: Arrival, due_at: float, request_id: str) -> None:
        flow = self._pools[arrival.service].flow(arrival.rank)
        operation = arrival.operation
        timeout = self._profile.call_timeout_seconds
        if isinstance(operation, LongStream):
            timeout = operation.seconds + STREAM_EXTRA_SECONDS
        with flow.in_use():
            connection = await flow.connection()
            if connection is None:
                record = self._caller.record_not_connected(arrival.service, operation, due_at)
            else:
                record = await connection.call(operation, timeout, request_id)
        self.counts.outstanding -= 1
        self.counts.ended(record, record.completed - due_at)

    async def _report(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(PROGRESS_SECONDS)
            self._progress(self.counts.progress_line(loop.time() - self.started_at))
