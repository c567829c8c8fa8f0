"""Parts that run together: how they end, and what is said of one that does not."""

import asyncio

import pytest
from structlog.testing import capture_logs

from jasperwalk import concurrency
from jasperwalk.concurrency import run_together

LONG_SECONDS = 3600.0


class PartFailed(Exception):
    pass


async def fail():
    raise PartFailed


def test_the_first_failure_ends_the_other_parts():
    ended = []

    async def part():
        try:
            await asyncio.sleep(LONG_SECONDS)
        finally:
            ended.append("part")

    with pytest.raises(PartFailed):
        asyncio.run(run_together([part(), fail()]))
    assert ended == ["part"]


def test_a_part_that_outlasts_its_cancellation_is_named(monkeypatch):
    """Without the line, a process that does not end tells nothing of which part holds it."""
    monkeypatch.setattr(concurrency, "CANCELLATION_WARNING_SECONDS", 0.01)

    async def scenario():
        released = asyncio.Event()

        async def deaf_part():
            try:
                await asyncio.sleep(LONG_SECONDS)
            except asyncio.CancelledError:
                await released.wait()

        together = asyncio.ensure_future(run_together([deaf_part()]))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        together.cancel()
        await asyncio.sleep(0.1)
        assert not together.done()
        released.set()
        await asyncio.wait({together})

    with capture_logs() as lines:
        asyncio.run(scenario())
    named = [line for line in lines if line["event"] == "cancelled-part-still-runs"]
    assert named
    assert named[0]["part"].endswith("deaf_part")
