"""Traffic of the demo: long streams, and short calls on connections of a few calls each."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.caller import Caller, Connection
from jasperwalk_lab.operations import (
    Answered,
    CallHistory,
    Download,
    LongStream,
    Lookup,
    NotRun,
    Operation,
    Submission,
)

CALLS_PER_CONNECTION = 10
PAUSE_SECONDS = (0.02, 0.06)
"""Minimum and maximum pause of a caller between two short calls."""
CALL_TIMEOUT_SECONDS = 10.0
STREAM_ATTEMPTS = 20
MAX_RETRY_SECONDS = 0.5
STREAM_INTERVAL_MS = 100.0
STREAM_EXTRA_SECONDS = 10.0
"""Time that a stream may take beyond its own length."""
SUBMISSION_SHARE = 0.15
DOWNLOAD_SHARE = 0.05
DOWNLOAD_BYTES = (1_000, 60_000)
SUBMISSION_BYTES = (10, 4_000)


@dataclass(frozen=True)
class TrafficTarget:
    """A service, its listener, and its relative share of the traffic."""

    service: str
    listener: Endpoint
    share: float


class Traffic:
    """Callers of several services; all calls are recorded in one history."""

    def __init__(
        self,
        caller: Caller,
        history: CallHistory,
        targets: list[TrafficTarget],
        generator: random.Random,
    ) -> None:
        self._caller = caller
        self._history = history
        self._targets = targets
        self._random = generator
        self._stopping = False

    def stop(self) -> None:
        """Stop callers of short calls after their current call."""
        self._stopping = True

    def short_calls(self) -> int:
        """Return how many short calls have been answered."""
        return sum(
            isinstance(record.outcome, Answered) and not isinstance(record.operation, LongStream)
            for record in self._history.records
        )

    async def run_short_calls(self, callers: int) -> None:
        """Run `callers` callers of short calls until `stop` is called."""
        await asyncio.gather(*(self._short_caller() for _ in range(callers)))

    async def run_streams(self, count: int, seconds: float) -> None:
        """Open `count` long streams of `seconds`, each on a connection of its own."""
        await asyncio.gather(*(self._stream(seconds) for _ in range(count)))

    async def _short_caller(self) -> None:
        while not self._stopping:
            target = self._choose_target()
            invoked = asyncio.get_running_loop().time()
            async with self._caller.connect(target.service, target.listener) as connection:
                if connection is None:
                    self._caller.record_not_connected(
                        target.service, self._short_operation(), invoked
                    )
                    continue
                await self._call_on(connection)

    async def _call_on(self, connection: Connection) -> None:
        for _ in range(CALLS_PER_CONNECTION):
            if self._stopping or not connection.alive:
                return
            record = await connection.call(self._short_operation(), CALL_TIMEOUT_SECONDS)
            if isinstance(record.outcome, NotRun):
                await self._wait_to_retry(record.outcome)
            await asyncio.sleep(self._random.uniform(*PAUSE_SECONDS))

    async def _stream(self, seconds: float) -> None:
        """Open one stream; a refused one is retried on another connection."""
        operation = LongStream(seconds=seconds, interval_ms=STREAM_INTERVAL_MS)
        target = self._choose_target()
        for _ in range(STREAM_ATTEMPTS):
            invoked = asyncio.get_running_loop().time()
            async with self._caller.connect(target.service, target.listener) as connection:
                if connection is None:
                    self._caller.record_not_connected(target.service, operation, invoked)
                    return
                record = await connection.call(operation, seconds + STREAM_EXTRA_SECONDS)
            if not isinstance(record.outcome, NotRun):
                return
            await self._wait_to_retry(record.outcome)

    async def _wait_to_retry(self, refusal: NotRun) -> None:
        max_wait = min(refusal.retry_after_seconds, MAX_RETRY_SECONDS)
        await asyncio.sleep(self._random.uniform(max_wait / 2, max_wait))

    def _choose_target(self) -> TrafficTarget:
        shares = [target.share for target in self._targets]
        return self._random.choices(self._targets, weights=shares)[0]

    def _short_operation(self) -> Operation:
        return short_operation(self._random)


def short_operation(generator: random.Random) -> Operation:
    """Draw a short call: mostly lookups, some submissions, a few downloads."""
    drawn = generator.random()
    if drawn < SUBMISSION_SHARE:
        return Submission(body=generator.randbytes(generator.randint(*SUBMISSION_BYTES)))
    if drawn < SUBMISSION_SHARE + DOWNLOAD_SHARE:
        return Download(length=generator.randint(*DOWNLOAD_BYTES))
    return Lookup(query=f"naslov {generator.randint(0, 9999)}")
