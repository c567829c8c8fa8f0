"""Runs a command's coroutine so that a signal stops the fleet before the command exits."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any, TypeVar

import click
import uvloop

ResultType = TypeVar("ResultType")


def run_stoppable(main: Coroutine[Any, Any, ResultType]) -> ResultType:
    """Run `main`; SIGINT or SIGTERM cancels it, and the command then aborts (status 1).

    Cancellation lets every `async with` of `main` stop what it started.
    """
    try:
        return uvloop.run(_cancelled_by_signals(main))
    except asyncio.CancelledError as error:
        raise click.Abort from error


async def _cancelled_by_signals(main: Coroutine[Any, Any, ResultType]) -> ResultType:
    task = asyncio.ensure_future(main)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    return await task
