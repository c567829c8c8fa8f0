"""Simulated backends: they run, refuse, delay or shed requests, and journal every arrival.

`ModelBackend` replaces the agent's HTTP client, `jasperwalk.agent.backend.Backend`. The journal is
what the checkers compare with the callers' outcomes after the run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.requests import (
    HOST_HEADER,
    OUTCOME_HEADER,
    Answered,
    HeaderFields,
    NotRun,
    NotRunReason,
    Outcome,
    OutcomeKind,
    Request,
    ResponseSink,
    Unknown,
    UnknownReason,
)
from jasperwalk_lab import answers
from jasperwalk_lab.journal import JournalRecord, RunOutcome
from jasperwalk_lab.simulator.clock import current_process

STATUS_OK = 200
SERVICE_TIME_SECONDS = (0.01, 0.25)
STALL_SECONDS = 30.0
STREAM_PATH = "/stream"


@dataclass
class BackendBehaviour:
    """The current behaviour of one backend, set by faults.

    `refuses` rejects connections, `stalls` runs requests but answers too late,
    `shed_share` is the share of requests that is refused as not run, and `lies` is the result
    that /health reports regardless of `refuses` (None: the true one).
    """

    refuses: bool = False
    stalls: bool = False
    shed_share: float = 0.0
    lies: bool | None = None


@dataclass(frozen=True)
class Arrival:
    """A request that arrived at `at` (true seconds), with its record for the history checker."""

    at: float
    record: JournalRecord


@dataclass
class BackendProgram:
    """The backend process of one agent; it survives restarts of the agent."""

    host: str
    behaviour: BackendBehaviour = field(default_factory=BackendBehaviour)
    arrivals: list[Arrival] = field(default_factory=list)
    late_answer: bytes | None = None
    """Answer to a request that ran past its deadline; the mutant `late-answer-reused` sends it."""

    def record_arrival(self, service: str, request: Request, outcome: RunOutcome) -> JournalRecord:
        """Append an arrival to the journal and return its record."""
        identity = header_of(request, answers.REQUEST_HEADER)
        record = JournalRecord(identity, service, self.host, request.path, outcome)
        self.arrivals.append(Arrival(asyncio.get_running_loop().time(), record))
        return record


def header_of(request: Request, name: str) -> str:
    """Return a header field of a request, or an empty string if it is absent."""
    return next((value for key, value in request.headers if key == name), "")


class ModelBackend:
    """Runs requests on the backend of the agent in whose process it was created."""

    reuses_late_answers = False

    def __init__(self, endpoint: Endpoint, host: str, clock: Callable[[], float]) -> None:
        self._process = current_process()
        self._program: BackendProgram = self._process.world.program(host)
        self._host = host
        self._clock = clock

    async def close(self) -> None:
        """Do nothing; there is no connection to close."""

    async def check(self, path: str, timeout_seconds: float) -> bool:
        """Return the result of a health check."""
        await asyncio.sleep(0.001)
        behaviour = self._program.behaviour
        return not behaviour.refuses if behaviour.lies is None else behaviour.lies

    async def run(
        self,
        request: Request,
        deadline_at: float,
        sink: ResponseSink,
        on_head: Callable[[], None],
    ) -> Outcome:
        """Run one request and write its answer to `sink`, unless the deadline passes first."""
        await asyncio.sleep(0.001)
        behaviour = self._program.behaviour
        if behaviour.refuses:
            return NotRun(NotRunReason.BACKEND_UNREACHABLE)
        service = self._process.world.service_of_host(self._host)
        if self._process.random.random() < behaviour.shed_share:
            self._program.record_arrival(service, request, RunOutcome.SHED)
            return NotRun(NotRunReason.SHEDDING)
        record = self._program.record_arrival(service, request, RunOutcome.RUNNING)
        try:
            async with asyncio.timeout(deadline_at - self._clock()):
                await asyncio.sleep(self._service_time())
        except TimeoutError:
            record.outcome = RunOutcome.EXPIRED
            self._program.late_answer = _body(service, request)
            return Unknown(UnknownReason.DEADLINE)
        except asyncio.CancelledError:
            record.outcome = RunOutcome.CANCELLED
            raise
        on_head()
        await self._answer(service, request, sink)
        record.outcome = RunOutcome.COMPLETED
        return Answered(STATUS_OK)

    def _service_time(self) -> float:
        if self._program.behaviour.stalls:
            return STALL_SECONDS
        return self._process.random.uniform(*SERVICE_TIME_SECONDS)

    async def _answer(self, service: str, request: Request, sink: ResponseSink) -> None:
        identity = header_of(request, answers.REQUEST_HEADER)
        headers: HeaderFields = [
            (answers.REQUEST_HEADER, identity),
            (answers.SERVICE_HEADER, service),
            (OUTCOME_HEADER, OutcomeKind.ANSWERED),
            (HOST_HEADER, self._host),
        ]
        body = _body(service, request)
        if self.reuses_late_answers and self._program.late_answer is not None:
            body, self._program.late_answer = self._program.late_answer, None
        await sink.head(STATUS_OK, headers)
        if request.path.startswith(STREAM_PATH):
            await self._stream(service, identity, request.path, sink)
        else:
            await sink.data(body)
        await sink.end()

    async def _stream(self, service: str, identity: str, path: str, sink: ResponseSink) -> None:
        seconds, interval_ms = stream_shape(path)
        for number in range(answers.stream_chunks(seconds, interval_ms)):
            await asyncio.sleep(interval_ms / 1000)
            await sink.data(answers.stream_chunk(service, identity, number))


def stream_shape(path: str) -> tuple[float, float]:
    """Parse the duration (seconds) and the chunk interval (ms) from the path of a long stream."""
    query = dict(part.split("=") for part in path.partition("?")[2].split("&"))
    return float(query["seconds"]), float(query["interval_ms"])


def _body(service: str, request: Request) -> bytes:
    identity = header_of(request, answers.REQUEST_HEADER)
    if request.method == "POST":
        return answers.submission_body(service, identity, request.body)
    if request.path.startswith(STREAM_PATH):
        return b""
    return answers.lookup_body(service, identity, request.path.partition("=")[2])
