"""Benchmark of the request scheduler: time and memory of a request that waits, or does not."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable

from bench.harness import Figure, median_microseconds
from jasperwalk.flows.terms import CarriedTerms
from jasperwalk.scheduling.fair_shares import FairShares
from jasperwalk.scheduling.request_order import PriorityOrder
from jasperwalk.scheduling.request_scheduler import RequestScheduler

WAITING_COUNTS = (4, 32)
"""Requests that wait at a host with one slot: under typical load, and in an overload."""
REQUESTS = 10_000
WORK_SECONDS = 0.04
PACKET = bytes(932)
"""A request's packet with its head."""
TERMS = [
    CarriedTerms(priority, 0.3, 2.5, group) for priority in (1, 2) for group in (11, 12, 13, 14)
]
BARE = "a request that is passed on and noted"


def measure() -> list[Figure]:
    """Measure a request's way through the scheduler; takes a few seconds."""
    bare = _median_time(_forward, 0)
    figures = [
        Figure(
            f"request-scheduler.wait.{count}-waiting", _median_time(_wait, count), "us", bare, BARE
        )
        for count in WAITING_COUNTS
    ]
    return [
        *figures,
        Figure("request-scheduler.memory", _memory_bytes(), "bytes", len(PACKET), "its packet"),
    ]


def _scheduler(count: int) -> RequestScheduler:
    scheduler = RequestScheduler(PriorityOrder(FairShares()))
    for number in range(count):
        _hold(scheduler, number, 0.0)
    return scheduler


def _hold(scheduler: RequestScheduler, number: int, now: float) -> None:
    scheduler.hold(number.to_bytes(12, "big"), PACKET, number, TERMS[number % len(TERMS)], now)


def _wait(scheduler: RequestScheduler, number: int, now: float) -> None:
    _hold(scheduler, number, now)
    scheduler.take_next(True, WORK_SECONDS, now)


def _forward(scheduler: RequestScheduler, number: int, now: float) -> None:
    scheduler.record_started(TERMS[number % len(TERMS)], WORK_SECONDS, now)


def _median_time(step: Callable[[RequestScheduler, int, float], None], count: int) -> float:
    """Return the median microseconds of a request."""

    def prepare() -> Callable[[int], None]:
        scheduler = _scheduler(count)
        return lambda number: step(scheduler, count + number, 0.01 * (count + number))

    return median_microseconds(prepare, REQUESTS)


def _memory_bytes() -> float:
    """Return the bytes of a waiting request, including its packet."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    scheduler = RequestScheduler(PriorityOrder(FairShares()))
    for number in range(1000):
        packet = bytes(bytearray(PACKET))
        scheduler.hold(number.to_bytes(12, "big"), packet, number, TERMS[number % 8], 0.0)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / len(scheduler)
