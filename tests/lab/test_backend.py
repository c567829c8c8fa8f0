"""Contract tests of the backend stand-in over real HTTP connections."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import msgspec
import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk_lab import answers
from jasperwalk_lab.backend import Backend, BackendSettings
from jasperwalk_lab.backend_core import BackendState, BackendStatus, ReportFaults
from jasperwalk_lab.journal import RunOutcome
from jasperwalk_lab.serving import http_endpoint, start_http

LONG_MS = 60_000.0


@contextlib.asynccontextmanager
async def running(**fields):
    settings = BackendSettings(
        service="urednik", host="u1", listen="127.0.0.1:0", **({"slots": 1} | fields)
    )
    backend = Backend(settings, asyncio.get_running_loop().time())
    runner = await start_http(backend.application(), Endpoint.parse(settings.listen))
    async with aiohttp.ClientSession(f"http://{http_endpoint(runner)}") as session:
        yield backend, session
    await runner.cleanup()


def headers(request_id="a-1", **more):
    return {answers.REQUEST_HEADER: request_id, **more}


async def until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.mark.parametrize(
    ("method", "path", "body", "expected"),
    [
        ("GET", "/lookup?q=x", b"", answers.lookup_body("urednik", "a-1", "x")),
        ("POST", "/submit", b"list", answers.submission_body("urednik", "a-1", b"list")),
        ("GET", "/download?bytes=999", b"", answers.download_body("urednik", "a-1", 999)),
        (
            "GET",
            "/stream?seconds=0.05&interval_ms=10",
            b"",
            answers.stream_body("urednik", "a-1", 5),
        ),
    ],
)
def test_each_path_answers_with_its_own_service_and_request(method, path, body, expected):
    async def scenario():
        async with running(service_time_ms=1.0) as (backend, session):
            request = session.request(method, path, data=body, headers=headers())
            async with request as response:
                assert response.status == 200
                assert response.headers[answers.SERVICE_HEADER] == "urednik"
                assert response.headers[answers.REQUEST_HEADER] == "a-1"
                assert await response.read() == expected
            assert [r.outcome for r in backend.journal.answer().records] == [RunOutcome.COMPLETED]

    asyncio.run(scenario())


def test_a_full_or_draining_back_end_sheds_without_running():
    async def scenario():
        async with running(service_time_ms=LONG_MS) as (backend, session):
            busy = asyncio.create_task(session.get("/lookup", headers=headers("a-1")))
            await until(lambda: backend.state.busy == 1)
            async with session.get("/lookup", headers=headers("a-2")) as response:
                assert (response.status, response.headers[answers.NOT_RUN_HEADER]) == (503, "1")
            busy.cancel()
            await until(lambda: backend.journal.count(RunOutcome.CANCELLED) == 1)
            await session.put("/lab/drain", data=b'{"draining": true}')
            async with session.get("/lookup", headers=headers("a-3")) as response:
                assert response.headers[answers.NOT_RUN_HEADER] == "1"
            shed = [r for r in backend.journal.answer().records if not r.ran]
            assert [r.request_id for r in shed] == ["a-2", "a-3"]
            assert backend.state.busy == 0

    asyncio.run(scenario())


def test_a_closed_connection_cancels_a_stream():
    async def scenario():
        async with running(service_time_ms=1.0) as (backend, session):
            path = "/stream?seconds=60&interval_ms=5"
            response = await session.get(path, headers=headers())
            await response.content.read(1)
            assert backend.state.busy == 0, "an open stream holds no slot"
            response.close()
            await until(lambda: backend.journal.count(RunOutcome.CANCELLED) == 1)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("occupied", "status", "outcome"),
    [(False, 504, RunOutcome.EXPIRED), (True, 503, RunOutcome.SHED)],
    ids=["while-running", "while-waiting"],
)
def test_a_deadline_ends_running_and_waiting(occupied, status, outcome):
    async def scenario():
        async with running(service_time_ms=LONG_MS, queue_length=1) as (backend, session):
            if occupied:
                other = asyncio.create_task(session.get("/lookup", headers=headers("a-0")))
                await until(lambda: backend.state.busy == 1)
            limited = headers(**{answers.DEADLINE_HEADER: "20"})
            async with session.get("/lookup", headers=limited) as response:
                assert response.status == status
                assert (answers.NOT_RUN_HEADER in response.headers) is occupied
            records = backend.journal.answer().records
            assert [r.outcome for r in records if r.request_id == "a-1"] == [outcome]
            if occupied:
                other.cancel()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "path", ["/download?bytes=x", "/download?bytes=-1", "/stream?interval_ms=0", "/submit"]
)
def test_bad_requests_are_refused_without_running(path):
    async def scenario():
        async with running() as (backend, session), session.get(path) as response:
            assert response.status in {400, 405}
            assert not any(r.ran for r in backend.journal.answer().records)

    asyncio.run(scenario())


def test_reports_lag_and_mislead():
    state = BackendState(slots=3, queue_length=0, cold_seconds=10.0, cold_factor=4.0, started=100.0)
    state.record_report(100.0)
    state.busy = 2
    state.record_report(105.0)
    assert state.report(105.0).busy == 2
    assert state.report(109.0).status is BackendStatus.STARTING
    assert state.report(110.0).status is BackendStatus.OK
    assert (state.slowdown(100.0), state.slowdown(105.0), state.slowdown(120.0)) == (4.0, 2.5, 1.0)
    state.faults = ReportFaults(lag_seconds=5.0)
    assert state.report(109.0).busy == 0
    state.faults = ReportFaults(false_status=BackendStatus.OK, false_busy=0)
    assert state.report(105.0) == msgspec.structs.replace(
        state.report(105.0), status=BackendStatus.OK, busy=0
    )
    assert state.report(105.0).busy == 0
