"""Benchmark of a host's service times: per request, per evaluation, per choice of an agent."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from bench.harness import MICROSECONDS, Figure
from jasperwalk.addresses import Endpoint
from jasperwalk.fleet.messages import FleetUpdate, HostPhase, NodeRecord, NodeRole
from jasperwalk.fleet.targets import TargetPool
from jasperwalk.flows.service_time import encode_service_time
from jasperwalk.scheduling.host_service_times import SLOWDOWN_CACHE_SECONDS, HostServiceTimes
from jasperwalk.scheduling.slow_host import SlowHost

SEED = 20261202
COUNT = 20_000
ROUNDS = 7
SLOTS = 2
WORK_SECONDS = 0.05
BETWEEN_SECONDS = 0.02
AGENTS = 45
SERVICE = "web"
LISTENER = b"listen"


def measure() -> list[Figure]:
    """Measure everything; takes a few seconds."""
    plain, weighed = _choice_time(False), _choice_time(True)
    return [
        Figure("host-pace.request.time", _fastest_round(_requests), "us"),
        Figure("host-pace.judgement.time", _evaluation_time(), "us"),
        Figure("host-pace.choice.time", weighed, "us", plain, "by load alone"),
    ]


def _fastest_round(work: Callable[[], None]) -> float:
    """Return the microseconds per step of the fastest round; other load only slows rounds down."""
    times = []
    for _ in range(ROUNDS):
        started = time.process_time()
        work()
        times.append(time.process_time() - started)
    return MICROSECONDS * min(times) / COUNT


def _requests(service_times: HostServiceTimes | None = None) -> None:
    """Record requests and their answers."""
    service_times = service_times or HostServiceTimes()
    for number in range(COUNT):
        now = BETWEEN_SECONDS * number
        service_times.record_request(number, LISTENER, SLOTS, now)
        service_times.record_answer(number, SLOTS, now + WORK_SECONDS)


def _evaluation_time() -> float:
    """Time an evaluation that is computed again, as each `SLOWDOWN_CACHE_SECONDS` in an agent."""
    service_times = HostServiceTimes()
    _requests(service_times)
    slow_host = SlowHost(service_times)
    start = BETWEEN_SECONDS * COUNT

    def evaluate() -> None:
        for number in range(COUNT):
            # Back and forth, so that the same requests stay in the window.
            slow_host.evaluate(start + 2 * SLOWDOWN_CACHE_SECONDS * (number % 2))

    return _fastest_round(evaluate)


def _choice_time(weighs_slowdown: bool) -> float:
    """Time the choice of an agent where all hosts are equally fast."""
    pool = TargetPool("a", random.Random(SEED), weighs_slowdown=weighs_slowdown)
    records = [_record(number) for number in range(AGENTS)]
    pool.update(FleetUpdate(True, records, []), 0.0)
    for target in pool.all_targets():
        pool.record_service_time(target, LISTENER, encode_service_time(WORK_SECONDS), 0.0)
    keys = [random.Random(number).randbytes(12) for number in range(COUNT // 10)]

    def choose() -> None:
        for number, key in enumerate(keys):
            pool.choose(SERVICE, key, (), number / len(keys))

    return _fastest_round(choose) * COUNT / len(keys)


def _record(number: int) -> NodeRecord:
    endpoint = Endpoint(f"127.0.1.{number + 1}", 7602)
    return NodeRecord(
        f"a{number}", 1, NodeRole.AGENT, "a", endpoint, SERVICE, HostPhase.READY, SLOTS
    )
