"""The loop on virtual time."""

import asyncio

import pytest

from jasperwalk_lab.simulator.clock import CLOCK_START_SECONDS, SimulatedProcess, VirtualLoop


@pytest.fixture
def loop():
    loop = VirtualLoop()
    yield loop
    loop.close()


def test_time_jumps_to_the_next_timer(loop):
    loop.run_until_complete(asyncio.sleep(3600.0))
    assert loop.time() == pytest.approx(CLOCK_START_SECONDS + 3600.0)


def test_time_passes_for_a_process_that_waits_for_a_deadline_without_sleeping(loop):
    async def spin():
        until = loop.time() + 1e-4
        while loop.time() < until:
            await asyncio.sleep(0)

    loop.run_until_complete(spin())


def test_a_process_that_never_waits_is_detected(loop):
    async def spin():
        while True:
            await asyncio.sleep(0)

    with pytest.raises(RuntimeError, match="spins"):
        loop.run_until_complete(spin())


def test_a_frozen_process_resumes_late_and_a_killed_one_never(loop):
    ticks = []

    async def run():
        process = SimulatedProcess("agent", "a", world=None)

        async def work():
            for _ in range(3):
                await asyncio.sleep(1.0)
                ticks.append(round(loop.time() - CLOCK_START_SECONDS))

        process.start(work())
        await asyncio.sleep(1.5)
        process.freeze()
        await asyncio.sleep(4.0)
        process.thaw()
        await asyncio.sleep(0.5)
        process.kill()
        await asyncio.sleep(5.0)

    loop.run_until_complete(run())
    assert ticks == [1, 6]
