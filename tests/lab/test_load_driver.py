"""The loop is open: a late answer does not hold back later arrivals."""

from __future__ import annotations

import asyncio

from jasperwalk_lab.caller import Caller
from jasperwalk_lab.load.arrivals import draw_arrivals
from jasperwalk_lab.load.driver import OpenLoop
from jasperwalk_lab.load.listeners import FleetListeners
from jasperwalk_lab.load.profile import LoadProfile, ServiceLoad
from jasperwalk_lab.operations import CallHistory

SERVICE = ServiceLoad(service="s", requests_per_second=200, flows=2, lookups=1.0)
LISTENERS = FleetListeners(example="none", ca_file="", listeners={"s": "127.0.0.1:9"})


class StuckFlow:
    """Opens only on release, so that its calls are still in flight when the last arrival comes."""

    def __init__(self, release):
        self._release = release

    def in_use(self):
        return self

    def __enter__(self):
        return self

    def __exit__(self, *_):
        return False

    async def connection(self):
        await self._release.wait()


def run(tmp_path, most_outstanding):
    profile = LoadProfile(services=(SERVICE,), seconds=0.2, most_outstanding=most_outstanding)

    async def scenario():
        release = asyncio.Event()
        caller = Caller("test", tmp_path, CallHistory())
        loop = OpenLoop(caller, LISTENERS, profile, 1, lambda _: None)
        pool = loop._pools["s"]
        pool.flow = lambda _rank: StuckFlow(release)
        running = asyncio.create_task(loop.run())
        while loop.counts.due < len(expected(profile)):
            await asyncio.sleep(0.01)
        outstanding = loop.counts.outstanding
        release.set()
        return outstanding, await running

    return scenario, profile


def expected(profile):

    return list(draw_arrivals(profile, 1))


def test_all_arrivals_come_while_no_call_has_ended(tmp_path):
    scenario, profile = run(tmp_path, most_outstanding=1000)
    outstanding, result = asyncio.run(scenario())
    assert outstanding == result.due == len(expected(profile)) > 1
    assert (result.overflowed, result.broken) == (0, result.due)
    assert result.broken_by_reason == {"not-connected": result.due}


def test_arrivals_beyond_the_bound_are_counted_and_not_sent(tmp_path):
    scenario, profile = run(tmp_path, most_outstanding=5)
    outstanding, result = asyncio.run(scenario())
    assert outstanding == 5
    assert result.overflowed == len(expected(profile)) - 5
