"""Running a daemon: the event loop and a clean stop on SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine

import uvloop

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run(main: Coroutine[None, None, None]) -> None:
    """Run a daemon's main coroutine on uvloop until it returns."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main)


def stop_event() -> asyncio.Event:
    """Return an event that the first SIGTERM or SIGINT sets.

    Call it inside the running loop. The process then shuts down in its own order: it stops
    taking new work, closes its ports and returns from its main coroutine.
    """
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for stop_signal in STOP_SIGNALS:
        loop.add_signal_handler(stop_signal, event.set)
    return event
