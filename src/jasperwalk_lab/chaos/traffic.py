"""Traffic of a chaos run: long and short streams, short calls, and resent submissions."""

from __future__ import annotations

import asyncio
import random

from jasperwalk_lab.caller import Caller, Connection
from jasperwalk_lab.operations import (
    Answered,
    BreakReason,
    Broken,
    CallOutcome,
    Flow,
    LongStream,
    NotRun,
    Operation,
    Submission,
)
from jasperwalk_lab.traffic import (
    CALL_TIMEOUT_SECONDS,
    CALLS_PER_CONNECTION,
    PAUSE_SECONDS,
    STREAM_EXTRA_SECONDS,
    STREAM_INTERVAL_MS,
    TrafficTarget,
    short_operation,
)

STREAM_SECONDS = (4.0, 15.0)
WHOLE_RUN_STREAMS = 6
STREAM_CALLERS = 24
SHORT_CALLERS = 14
RESENDS = 3
"""Maximum number of resends of a submission whose outcome the caller does not know."""
NEEDLESS_RESEND_SHARE = 0.05
"""Share of answered submissions that are resent, as after a lost answer."""
MAX_RETRY_SECONDS = 0.5


class ChaosTraffic:
    """Callers of several services; every call is recorded in the caller's history."""

    def __init__(
        self, caller: Caller, targets: list[TrafficTarget], generator: random.Random, seconds: float
    ) -> None:
        self._caller = caller
        self._targets = targets
        self._random = generator
        self._seconds = seconds
        self._stopping = False

    def stop(self) -> None:
        """Stop every caller after its current call."""
        self._stopping = True

    async def run(self) -> None:
        """Run all callers until `stop` is called."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(SHORT_CALLERS):
                tasks.create_task(self._short_caller())
            for _ in range(STREAM_CALLERS):
                tasks.create_task(self._stream_caller())
            for _ in range(WHOLE_RUN_STREAMS):
                tasks.create_task(self._stream(self._seconds))

    async def _short_caller(self) -> None:
        while not self._stopping:
            target = self._choose_target()
            operation = short_operation(self._random)
            attempts: list[Flow] = []
            connecting = self._caller.connect(target.service, target.listener, attempts)
            async with connecting as connection:
                if connection is None:
                    self._not_connected(target, operation, attempts[0])
                    continue
                await self._call_on(connection, target)

    async def _call_on(self, connection: Connection, target: TrafficTarget) -> None:
        for _ in range(CALLS_PER_CONNECTION):
            if self._stopping or not connection.alive:
                return
            operation = short_operation(self._random)
            if isinstance(operation, Submission):
                outcome = await self._submit(connection, target, operation)
            else:
                record = await connection.call(operation, CALL_TIMEOUT_SECONDS)
                outcome = record.outcome
            if isinstance(outcome, NotRun):
                await self._wait_to_retry(outcome)
            await asyncio.sleep(self._random.uniform(*PAUSE_SECONDS))

    async def _submit(
        self, connection: Connection, target: TrafficTarget, operation: Submission
    ) -> CallOutcome:
        """Submit with a ticket; resend on another connection where the request may have run."""
        request_id = self._caller.next_request_id()
        invoked = _now()
        ticket, refused = await connection.ticket(CALL_TIMEOUT_SECONDS)
        if ticket is None:
            outcome = refused or Broken(BreakReason.CONNECTION_ENDED)
            self._record(target, operation, request_id, invoked, outcome, connection.flow)
            return outcome
        outcome = await connection.send(operation, request_id, ticket, CALL_TIMEOUT_SECONDS)
        self._record(target, operation, request_id, invoked, outcome, connection.flow)
        for _ in range(RESENDS):
            if not self._sends_again(outcome):
                break
            outcome = await self._resend(target, operation, request_id, ticket)
        return outcome

    def _sends_again(self, outcome: CallOutcome) -> bool:
        if isinstance(outcome, Answered):
            return self._random.random() < NEEDLESS_RESEND_SHARE
        return not isinstance(outcome, NotRun)

    async def _resend(
        self, target: TrafficTarget, operation: Submission, request_id: str, ticket: str
    ) -> CallOutcome:
        invoked = _now()
        attempts: list[Flow] = []
        connecting = self._caller.connect(target.service, target.listener, attempts)
        async with connecting as connection:
            if connection is None:
                outcome: CallOutcome = Broken(BreakReason.NOT_CONNECTED)
            else:
                outcome = await connection.send(operation, request_id, ticket, CALL_TIMEOUT_SECONDS)
        self._record(target, operation, request_id, invoked, outcome, attempts[0])
        return outcome

    async def _stream_caller(self) -> None:
        await asyncio.sleep(self._random.uniform(0.0, STREAM_SECONDS[0]))
        while not self._stopping:
            await self._stream(self._random.uniform(*STREAM_SECONDS))

    async def _stream(self, seconds: float) -> None:
        """Open one stream; a refused one is retried on another connection."""
        operation = LongStream(seconds=seconds, interval_ms=STREAM_INTERVAL_MS)
        target = self._choose_target()
        while not self._stopping:
            attempts: list[Flow] = []
            connecting = self._caller.connect(target.service, target.listener, attempts)
            async with connecting as connection:
                if connection is None:
                    self._not_connected(target, operation, attempts[0])
                    return
                record = await connection.call(operation, seconds + STREAM_EXTRA_SECONDS)
            if not isinstance(record.outcome, NotRun):
                return
            await self._wait_to_retry(record.outcome)

    async def _wait_to_retry(self, refusal: NotRun) -> None:
        max_wait = min(refusal.retry_after_seconds, MAX_RETRY_SECONDS)
        await asyncio.sleep(self._random.uniform(max_wait / 2, max_wait))

    def _not_connected(self, target: TrafficTarget, operation: Operation, flow: Flow) -> None:
        request_id = self._caller.next_request_id()
        self._caller.record_not_connected(target.service, operation, flow.opened, request_id, flow)

    def _record(
        self,
        target: TrafficTarget,
        operation: Operation,
        request_id: str,
        invoked: float,
        outcome: CallOutcome,
        flow: Flow,
    ) -> None:
        self._caller.record(target.service, operation, request_id, invoked, outcome, flow)

    def _choose_target(self) -> TrafficTarget:
        shares = [target.share for target in self._targets]
        return self._random.choices(self._targets, weights=shares)[0]


def _now() -> float:
    return asyncio.get_running_loop().time()
