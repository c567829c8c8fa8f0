"""Shared parts of the stand-in processes: TOML settings, logs, HTTP server, stop on signals."""

from __future__ import annotations

import asyncio
import signal
import sys
import tomllib
from pathlib import Path
from typing import TypeVar

import msgspec
import structlog
from aiohttp import web
from pydantic import BaseModel, ValidationError

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.errors import LabSettingsError

SettingsType = TypeVar("SettingsType", bound=BaseModel)
BodyType = TypeVar("BodyType", bound=msgspec.Struct)


def load_lab_settings(path: Path, model: type[SettingsType]) -> SettingsType:
    """Read a stand-in's TOML settings; raise `LabSettingsError` naming the file."""
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
        return model.model_validate(values)
    except (OSError, tomllib.TOMLDecodeError, ValidationError) as error:
        raise LabSettingsError(path=path, reason=str(error)) from error


def configure_lab_logging() -> None:
    """Log each event as one line of key=value pairs to standard error."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )


def install_stop_event() -> asyncio.Event:
    """Return an event that SIGTERM or SIGINT sets."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


async def start_http(application: web.Application, endpoint: Endpoint) -> web.AppRunner:
    """Serve `application` at `endpoint`; a client that disconnects cancels its handler."""
    runner = web.AppRunner(
        application, handler_cancellation=True, access_log=None, shutdown_timeout=0.5
    )
    await runner.setup()
    await web.TCPSite(runner, endpoint.host, endpoint.port, reuse_address=True).start()
    return runner


def http_endpoint(runner: web.AppRunner) -> Endpoint:
    """Return the endpoint that a runner listens on, for a server bound to port 0."""
    host, port = runner.addresses[0][:2]
    return Endpoint(host=host, port=port)


async def read_body(request: web.Request, expected: type[BodyType]) -> BodyType:
    """Decode a JSON body; answer 400 when it is not of the `expected` type."""
    try:
        return msgspec.json.decode(await request.read(), type=expected)
    except msgspec.MsgspecError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def json_response(body: msgspec.Struct, status: int = 200) -> web.Response:
    """Answer with a typed body as JSON."""
    encoded = msgspec.json.encode(body)
    return web.Response(status=status, body=encoded, content_type="application/json")
