"""A fake of control's HTTP API that gives the answers that a test sets."""

import asyncio
import threading
from dataclasses import dataclass, field

import pytest
from aiohttp import web
from click.testing import CliRunner

from jasperwalk.cli.main import main

CUT = "cut"
"""In place of an answer: the connection is closed after the request has been read."""


@dataclass
class SeenRequest:
    method: str
    path: str
    query: dict
    headers: dict
    body: bytes


@dataclass
class FakeReplica:
    """Answers each request with the next of `answers`, and repeats the last one."""

    answers: list = field(default_factory=list)
    seen: list = field(default_factory=list)
    address: str = ""

    def answer(self, body=None, status=200, **headers):
        self.answers.append((status, body, headers))

    def problem(self, status, kind, **headers):
        body = {"type": "x", "title": "x", "status": status, "kind": kind, "detail": "why"}
        self.answer(body, status, **headers)

    def cut(self):
        self.answers.append(CUT)

    async def handle(self, request):
        body = await request.read()
        path = request.raw_path.partition("?")[0]
        self.seen.append(
            SeenRequest(request.method, path, dict(request.query), dict(request.headers), body)
        )
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if answer == CUT:
            request.transport.abort()
            return web.Response()
        status, document, headers = answer
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        if isinstance(document, bytes):
            return web.Response(body=document, status=status, headers=headers)
        return web.json_response(document, status=status, headers=headers)


@pytest.fixture
def start_replica():
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    runners = []

    def run(coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, loop).result()

    async def start(replica):
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", replica.handle)
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=0)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        runners.append(runner)
        return "{}:{}".format(*runner.addresses[0][:2])

    def make():
        replica = FakeReplica()
        replica.address = run(start(replica))
        return replica

    yield make
    for runner in runners:
        run(runner.cleanup())
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


@pytest.fixture
def replica(start_replica):
    return start_replica()


@pytest.fixture
def run_command():
    """Run `jasperwalk ARGUMENTS...` with the API addresses of the given replicas."""

    def run(*arguments, replicas=()):
        addresses = " ".join(getattr(each, "address", each) for each in replicas)
        return CliRunner().invoke(
            main, [str(each) for each in arguments], env={"JASPERWALK_API": addresses or None}
        )

    return run
