"""Start-up shared by the processes of the datagram plane: logs, signals, the event loop."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import TextIO, cast

import structlog

from jasperwalk.observability.logs import configure_logging
from jasperwalk.observability.output import NonBlockingOutput
from jasperwalk.runtime import run, stop_event

GARBAGE_THRESHOLD = 20_000
"""Allocations between two runs of the garbage collector. A run takes long and finds little, because
packets create no reference cycles."""

logger = structlog.get_logger(__name__)


def serve(
    process: str, name: str, log_level: str, main: Callable[[asyncio.Event], Awaitable[None]]
) -> None:
    """Run a process until SIGTERM; SIGHUP is only logged, settings are read whenever used."""
    output = cast(TextIO, NonBlockingOutput(sys.stdout.fileno()))
    configure_logging(process, name, log_level, output)
    gc.freeze()
    gc.set_threshold(GARBAGE_THRESHOLD)
    gc.enable()
    run(_serve(main))


async def _serve(main: Callable[[asyncio.Event], Awaitable[None]]) -> None:
    stop = stop_event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, _log_reload)
    await main(stop)


def _log_reload() -> None:
    """Log the signal; settings that may change (the seeds) are read again whenever used."""
    logger.info("settings-changed")
