"""Connects the QUIC endpoint with the request runner: one task per request."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from jasperwalk.agent.answers import LocalAnswer, not_run_answer, unknown_answer
from jasperwalk.agent.assembly import (
    Assembled,
    RequestAssembler,
    RequestReady,
    RequestRejected,
)
from jasperwalk.agent.endpoint import AgentEndpoint
from jasperwalk.agent.http3 import RequestCancelled, StreamReference
from jasperwalk.agent.requests import (
    Answered,
    CallerGone,
    NotRun,
    NotRunReason,
    Outcome,
    OutcomeKind,
    Request,
    Unknown,
    UnknownReason,
)
from jasperwalk.agent.runner import RequestRunner
from jasperwalk.agent.service_view import ServiceView
from jasperwalk.agent.sinks import StreamSink

DEFAULT_DEADLINE_MS = 30_000
"""Used until the limits of the service are known."""
MAX_OPEN_REQUESTS = 8_192

logger = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class OutcomeLabel:
    """Labels of the counter of outcomes; `reason` is empty for an answer."""

    kind: OutcomeKind
    reason: str


@dataclass(slots=True)
class _OpenRequest:
    sink: StreamSink
    task: asyncio.Task[None]


class Dispatcher:
    """Starts the task of each request and cancels it when the caller cancels the request."""

    def __init__(
        self,
        endpoint: AgentEndpoint,
        assembler: RequestAssembler,
        runner: RequestRunner,
        view: Callable[[], ServiceView],
        host: str,
        flush: Callable[[], None],
    ) -> None:
        self._endpoint = endpoint
        self._assembler = assembler
        self._runner = runner
        self._view = view
        self._host = host
        self._flush = flush
        self._open: dict[StreamReference, _OpenRequest] = {}
        self._blocked: set[StreamSink] = set()
        self.outcomes: Counter[OutcomeLabel] = Counter()
        self.cancelled = 0

    @property
    def open_requests(self) -> int:
        """Count the requests in progress."""
        return len(self._open)

    def dispatch(self) -> None:
        """Handle the endpoint's events, and resume responses that wait for free buffer space."""
        service = self._view().service
        deadline_ms = DEFAULT_DEADLINE_MS if service is None else service.limits.request_deadline_ms
        for event in self._endpoint.take_events():
            for assembled in self._assembler.handle(event, deadline_ms):
                self._handle(assembled)
        for sink in list(self._blocked):
            sink.resume_if_possible()

    def cancel_all(self) -> None:
        """Cancel every request, as the last step of a stop."""
        for opened in list(self._open.values()):
            opened.sink.cancel()
            opened.task.cancel()

    def _handle(self, assembled: Assembled) -> None:
        match assembled:
            case RequestReady(stream=stream, request=request):
                self._start(stream, request)
            case RequestRejected(stream=stream, answer=answer):
                sink = self._sink(stream)
                self._track(stream, sink, asyncio.ensure_future(self._reject(answer, sink)))
            case RequestCancelled(stream=stream):
                self._cancel(stream)

    def _start(self, stream: StreamReference, request: Request) -> None:
        sink = self._sink(stream)
        if len(self._open) >= MAX_OPEN_REQUESTS:
            answer = not_run_answer(NotRun(NotRunReason.QUEUE_FULL))
            self._track(stream, sink, asyncio.ensure_future(self._reject(answer, sink)))
            return
        self._track(stream, sink, asyncio.ensure_future(self._serve(request, sink)))

    def _sink(self, stream: StreamReference) -> StreamSink:
        return StreamSink(self._endpoint, stream, self._flush, self._blocked)

    def _track(self, stream: StreamReference, sink: StreamSink, task: asyncio.Task[None]) -> None:
        self._open[stream] = _OpenRequest(sink, task)
        task.add_done_callback(lambda _: self._open.pop(stream, None))

    def _cancel(self, stream: StreamReference) -> None:
        opened = self._open.get(stream)
        if opened is None:
            return
        self.cancelled += 1
        opened.sink.cancel()
        opened.task.cancel()

    async def _reject(self, answer: LocalAnswer, sink: StreamSink) -> None:
        with contextlib.suppress(CallerGone):
            await answer.send(sink, self._host)

    async def _serve(self, request: Request, sink: StreamSink) -> None:
        with contextlib.suppress(CallerGone):
            outcome = await self._run(request, sink)
            self._count(outcome)
            await self._send_outcome(outcome, sink)

    async def _run(self, request: Request, sink: StreamSink) -> Outcome:
        try:
            return await self._runner.run(request, sink)
        except CallerGone:
            raise
        except Exception:
            # A fault in one request must not end the others. It is unknown whether the request ran.
            logger.exception("request-failed", request_id=request.request_id)
            return Unknown(UnknownReason.BACKEND_FAILED)

    async def _send_outcome(self, outcome: Outcome, sink: StreamSink) -> None:
        if isinstance(outcome, Answered):
            return
        if sink.head_sent:
            # Part of the answer was sent: the reset shows the caller that it is truncated.
            sink.abort()
            return
        answer = not_run_answer(outcome) if isinstance(outcome, NotRun) else unknown_answer(outcome)
        await answer.send(sink, self._host)

    def _count(self, outcome: Outcome) -> None:
        match outcome:
            case Answered():
                label = OutcomeLabel(OutcomeKind.ANSWERED, "")
            case NotRun(reason=reason):
                label = OutcomeLabel(OutcomeKind.NOT_RUN, reason)
            case Unknown(reason=unknown_reason):
                label = OutcomeLabel(OutcomeKind.UNKNOWN, unknown_reason)
        self.outcomes[label] += 1
