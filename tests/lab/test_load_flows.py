"""Flows are kept by rank, replaced when they are of no use, and closed once they are idle."""

from __future__ import annotations

import asyncio
import contextlib
import random

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.load.flows import FlowPool


class StandInConnection:
    def __init__(self):
        self.alive = True
        self.pinged = asyncio.Event()

    def send_ping(self):
        self.pinged.set()


class StandInCaller:
    """Opens a connection each time; `open_now` are those that are not closed."""

    def __init__(self):
        self.open_now = []

    @contextlib.asynccontextmanager
    async def connect(self, _service, _listener):
        connection = StandInConnection()
        self.open_now.append(connection)
        yield connection
        self.open_now.remove(connection)


def run(scenario, flow_seconds=1e6, ping_seconds=None):
    async def with_pool():
        caller = StandInCaller()
        listener, source = Endpoint("127.0.0.1", 9), random.Random(1)
        pool = FlowPool(caller, "s", listener, 3, flow_seconds, source, ping_seconds)
        await pool.open_all()
        await scenario(pool, caller)
        await pool.close()
        assert caller.open_now == []

    asyncio.run(with_pool())


def test_a_rank_keeps_its_flow_and_gets_another_when_that_has_ended():
    async def scenario(pool, caller):
        assert (pool.opened, len(caller.open_now)) == (3, 3)
        kept, ended = pool.flow(0), pool.flow(1)
        (await ended.connection()).alive = False
        assert pool.flow(0) is kept
        assert pool.flow(1) is not ended
        assert pool.opened == 4

    run(scenario)


def test_a_flow_whose_life_is_over_closes_after_its_last_call():
    async def scenario(pool, caller):
        old = pool.flow(0)
        connection = await old.connection()
        with old.in_use():
            newer = pool.flow(0)
            assert newer is not old
            await newer.connection()
            assert connection in caller.open_now
        await old.closed()
        assert connection not in caller.open_now

    run(scenario, flow_seconds=1e-9)


@pytest.mark.parametrize("ping_seconds", [0.001, None])
def test_an_open_flow_sends_pings_only_with_a_ping_interval(ping_seconds):
    async def scenario(pool, _caller):
        connection = await pool.flow(0).connection()
        if ping_seconds is None:
            await asyncio.sleep(0.02)
            assert not connection.pinged.is_set()
        else:
            await connection.pinged.wait()

    run(scenario, ping_seconds=ping_seconds)
