"""Stand-in of a tenant's backend: an HTTP/1.1 server that runs a few requests at a time in slots.

Paths: `GET /lookup?q=`, `GET /stream?seconds=&interval_ms=`, `POST /submit`,
`GET /download?bytes=`, `GET /health`, `GET /load`; for the lab `GET /lab/journal`,
`PUT /lab/drain`, `PUT /lab/pace` and `PUT /lab/faults`. A stream holds a slot only until its
response head is sent: a host has a few slots, but thousands of open streams. When the agent closes
the connection, the request is cancelled. `jasperwalk-deadline-ms` limits the time for waiting and
running; for a stream it limits the time until the response head.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import math
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import msgspec
import structlog
from aiohttp import web
from pydantic import BaseModel, ConfigDict

from jasperwalk.addresses import Endpoint
from jasperwalk_lab import answers
from jasperwalk_lab.backend_core import BackendState, ReportFaults
from jasperwalk_lab.journal import Journal, JournalFile, JournalRecord, RunOutcome
from jasperwalk_lab.serving import install_stop_event, json_response, read_body, start_http

MAX_DOWNLOAD_BYTES = 64 * 1024 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
MILLISECONDS = 1000.0
RECORD = web.RequestKey("record", JournalRecord)
DEADLINE = web.RequestKey("deadline", asyncio.Timeout)
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class BackendSettings(BaseModel):
    """Settings of one backend; the unit of a time is in its name."""

    model_config = ConfigDict(extra="forbid")

    service: str
    host: str
    listen: str
    slots: int
    service_time_ms: float = 10.0
    queue_length: int = 0
    cold_seconds: float = 0.0
    cold_factor: float = 4.0
    journal_file: str | None = None
    service_time_varies: bool = False


class ServiceTimeFactorBody(msgspec.Struct, frozen=True):
    """Body of `PUT /lab/pace`: multiplies all service times by `factor` from now on."""

    factor: float


class DrainBody(msgspec.Struct, frozen=True):
    """Body of `PUT /lab/drain`."""

    draining: bool


class Backend:
    """One backend: its state, its journal and its HTTP handlers."""

    def __init__(self, settings: BackendSettings, now: float) -> None:
        self.settings = settings
        file = None if settings.journal_file is None else JournalFile(Path(settings.journal_file))
        self.journal = Journal(settings.service, settings.host, file)
        self.state = BackendState(
            slots=settings.slots,
            queue_length=settings.queue_length,
            cold_seconds=settings.cold_seconds,
            cold_factor=settings.cold_factor,
            started=now,
        )
        self.state.record_report(now)
        self._slots = asyncio.Semaphore(settings.slots)
        self._service_time_factor = 1.0

    def application(self) -> web.Application:
        """Build the HTTP application."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_get("/lookup", self._guarded(self._lookup))
        application.router.add_get("/stream", self._guarded(self._stream))
        application.router.add_get("/download", self._guarded(self._download))
        application.router.add_post("/submit", self._guarded(self._submit))
        application.router.add_get("/health", self._report)
        application.router.add_get("/load", self._report)
        application.router.add_get("/lab/journal", self._journal)
        application.router.add_put("/lab/drain", self._set_draining)
        application.router.add_put("/lab/pace", self._set_service_time_factor)
        application.router.add_put("/lab/faults", self._set_report_faults)
        return application

    def _guarded(self, handler: Handler) -> Handler:
        """Wrap `handler`: shed without capacity, journal each request, and apply its deadline."""

        async def guarded(request: web.Request) -> web.StreamResponse:
            request_id = request.headers.get(answers.REQUEST_HEADER, "")
            if self.state.sheds_new_requests():
                self.journal.record_arrival(request_id, request.path, RunOutcome.SHED)
                return self._not_run_response(request_id)
            # A request that never gets a slot has not run: SHED until then.
            record = self.journal.record_arrival(request_id, request.path, RunOutcome.SHED)
            return await self._within_deadline(handler, request, record)

        return guarded

    async def _within_deadline(
        self, handler: Handler, request: web.Request, record: JournalRecord
    ) -> web.StreamResponse:
        request[RECORD] = record
        try:
            async with asyncio.timeout(_deadline_seconds(request)) as deadline:
                request[DEADLINE] = deadline
                response = await handler(request)
        except TimeoutError:
            if not record.ran:
                return self._not_run_response(record.request_id)
            self.journal.set_outcome(record, RunOutcome.EXPIRED)
            return web.Response(status=504, headers=self._headers(record.request_id))
        except (asyncio.CancelledError, ConnectionError):
            if record.ran:
                self.journal.set_outcome(record, RunOutcome.CANCELLED)
            raise
        self.journal.set_outcome(record, RunOutcome.COMPLETED)
        return response

    @contextlib.asynccontextmanager
    async def _slot(self, request: web.Request) -> AsyncIterator[None]:
        """Wait for a slot, record in the journal that the request runs, and hold the slot."""
        self.state.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.state.waiting -= 1
        self.state.busy += 1
        self.state.record_report(_now())
        self.journal.set_outcome(request[RECORD], RunOutcome.RUNNING)
        try:
            yield
        finally:
            request[RECORD].released_at = time.monotonic()
            self._slots.release()
            self.state.busy -= 1
            self.state.record_report(_now())

    async def _work(self, request: web.Request) -> None:
        service_time = self.settings.service_time_ms / MILLISECONDS
        if self.settings.service_time_varies:
            service_time *= exponential_factor(request[RECORD].request_id)
        await asyncio.sleep(service_time * self.state.slowdown(_now()) * self._service_time_factor)

    async def _lookup(self, request: web.Request) -> web.Response:
        async with self._slot(request):
            await self._work(request)
        request_id = request[RECORD].request_id
        body = answers.lookup_body(self.settings.service, request_id, request.query.get("q", ""))
        return web.Response(body=body, headers=self._headers(request_id))

    async def _submit(self, request: web.Request) -> web.Response:
        submitted = await request.read()
        async with self._slot(request):
            await self._work(request)
        request_id = request[RECORD].request_id
        body = answers.submission_body(self.settings.service, request_id, submitted)
        return web.Response(body=body, headers=self._headers(request_id))

    async def _download(self, request: web.Request) -> web.Response:
        length = _number(request, "bytes", 100_000, MAX_DOWNLOAD_BYTES)
        async with self._slot(request):
            await self._work(request)
        request_id = request[RECORD].request_id
        body = answers.download_body(self.settings.service, request_id, int(length))
        return web.Response(body=body, headers=self._headers(request_id))

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        seconds = _number(request, "seconds", 1.0, math.inf)
        interval_ms = _number(request, "interval_ms", 100.0, math.inf)
        request_id = request[RECORD].request_id
        response = web.StreamResponse(headers=self._headers(request_id))
        async with self._slot(request):
            await self._work(request)
            await response.prepare(request)
        request[DEADLINE].reschedule(None)
        for number in range(answers.stream_chunks(seconds, interval_ms)):
            await response.write(answers.stream_chunk(self.settings.service, request_id, number))
            await asyncio.sleep(interval_ms / MILLISECONDS)
        await response.write_eof()
        return response

    async def _report(self, _request: web.Request) -> web.Response:
        return json_response(self.state.report(_now()))

    async def _journal(self, _request: web.Request) -> web.Response:
        return json_response(self.journal.answer())

    async def _set_draining(self, request: web.Request) -> web.Response:
        self.state.draining = (await read_body(request, DrainBody)).draining
        self.state.record_report(_now())
        return web.Response(status=204)

    async def _set_service_time_factor(self, request: web.Request) -> web.Response:
        self._service_time_factor = (await read_body(request, ServiceTimeFactorBody)).factor
        return web.Response(status=204)

    async def _set_report_faults(self, request: web.Request) -> web.Response:
        self.state.faults = await read_body(request, ReportFaults)
        return web.Response(status=204)

    def _headers(self, request_id: str) -> dict[str, str]:
        return {
            answers.REQUEST_HEADER: request_id,
            answers.SERVICE_HEADER: self.settings.service,
            answers.HOST_HEADER: self.settings.host,
        }

    def _not_run_response(self, request_id: str) -> web.Response:
        headers = {**self._headers(request_id), answers.NOT_RUN_HEADER: "1", "retry-after": "1"}
        return web.Response(status=503, headers=headers)


def exponential_factor(request_id: str) -> float:
    """Return a factor of mean 1, exponentially distributed, derived from the request ID."""
    digest = hashlib.sha256(request_id.encode()).digest()
    uniform = (int.from_bytes(digest[:8], "big") + 0.5) / 2**64
    return -math.log(uniform)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _deadline_seconds(request: web.Request) -> float | None:
    text = request.headers.get(answers.DEADLINE_HEADER, "")
    return int(text) / MILLISECONDS if text.isdecimal() else None


def _number(request: web.Request, name: str, default: float, maximum: float) -> float:
    text = request.query.get(name)
    try:
        number = default if text is None else float(text)
    except ValueError as error:
        raise web.HTTPBadRequest(text=f"{name} is not a number") from error
    if not 0 < number <= maximum:
        raise web.HTTPBadRequest(text=f"{name} is out of range")
    return number


async def run_backend(settings: BackendSettings) -> None:
    """Run one backend until SIGTERM or SIGINT."""
    stop = install_stop_event()
    backend = Backend(settings, _now())
    runner = await start_http(backend.application(), Endpoint.parse(settings.listen))
    log = structlog.get_logger()
    log.info("backend_ready", service=settings.service, host=settings.host, listen=settings.listen)
    await stop.wait()
    await runner.cleanup()
