"""Benchmark of overload: established datagrams that are forwarded during a flood of new flows.

Established traffic arrives at a constant rate, well below the balancer's capacity. The flood comes
from several senders without a limit; `flood.offered` is its rate, against the rate that the
balancer handles with new flows alone. The balancer has its default limit on new flows. Three cases:
no flood, then in alternation the balancer, and the balancer with one queue for all packets.
"""

from __future__ import annotations

import contextlib
import statistics
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from bench.forwarders import LIMITED_FLOWS_PER_SECOND, ReaderKind, run_balancer_loop
from bench.harness import Figure, spawning
from bench.running import (
    MAX_CASE_SECONDS,
    Forwarder,
    balancer_round,
    running_forwarder,
    running_sink,
    wait_for_traffic,
)
from bench.traffic import BURST_LENGTH, TrafficClass, flood, generate_evenly
from jasperwalk.addresses import Endpoint
from jasperwalk.settings.models import DEFAULT_NEW_FLOWS_PER_SECOND

ROUNDS = 3
ESTABLISHED_PER_SECOND = 20_000
ESTABLISHED_COUNT = 30_000 // BURST_LENGTH * BURST_LENGTH
FLOOD_SENDERS = 2
SETTLING_SECONDS = 0.2


@dataclass(frozen=True)
class FloodRound:
    """One round: share of established datagrams forwarded, and rates per second."""

    share: float
    new_flows: float
    offered: float


def measure() -> list[Figure]:
    """Measure the shares; takes about half a minute."""
    assert LIMITED_FLOWS_PER_SECOND == DEFAULT_NEW_FLOWS_PER_SECOND
    with running_sink() as sink:
        with running_forwarder(run_balancer_loop, sink, ReaderKind.LIMITED) as loop:
            capacity = balancer_round(loop, sink, TrafficClass.NEW).per_second
            without_flood = [_run_round(loop, sink, senders=0) for _ in range(ROUNDS)]
        one_queue: list[FloodRound] = []
        separate: list[FloodRound] = []
        for _ in range(ROUNDS):
            one_queue.append(_run_flooded(sink, ReaderKind.LIMITED_ONE_QUEUE))
            separate.append(_run_flooded(sink, ReaderKind.LIMITED))
    return [
        _figure(
            "overload.established.calm", [each.share for each in without_flood], "forwarded", None
        ),
        _figure(
            "overload.established.flooded",
            [each.share for each in separate],
            "forwarded",
            statistics.median(each.share for each in one_queue),
        ),
        _figure(
            "overload.new-flows.flooded",
            [each.new_flows for each in separate],
            "flows/s",
            statistics.median(each.new_flows for each in one_queue),
        ),
        Figure(
            "overload.flood.offered",
            statistics.median(each.offered for each in [*one_queue, *separate]),
            "datagrams/s",
            capacity,
            "handled of new flows alone",
        ),
        Figure("overload.new-flows.limit", float(DEFAULT_NEW_FLOWS_PER_SECOND), "flows/s"),
    ]


def _run_flooded(sink: Endpoint, kind: ReaderKind) -> FloodRound:
    with running_forwarder(run_balancer_loop, sink, kind) as loop:
        return _run_round(loop, sink, FLOOD_SENDERS)


def _run_round(loop: Forwarder, sink: Endpoint, senders: int) -> FloodRound:
    """Send the established datagrams while `senders` processes flood the balancer."""
    with _flood(sink, loop.endpoint, senders) as sent:
        if senders:
            wait_for_traffic(loop)
        before, sent_before, started = loop.snapshot(), sent(), time.monotonic()
        arguments = (TrafficClass.ESTABLISHED, sink, loop.endpoint)
        process = spawning.Process(
            target=generate_evenly, args=(*arguments, ESTABLISHED_COUNT, ESTABLISHED_PER_SECOND)
        )
        process.start()
        process.join(MAX_CASE_SECONDS)
        assert process.exitcode == 0, process.exitcode
        time.sleep(SETTLING_SECONDS)
        seconds, offered = time.monotonic() - started, sent() - sent_before
        after = loop.snapshot()
    return FloodRound(
        share=(after.established - before.established) / ESTABLISHED_COUNT,
        new_flows=(after.new_flows - before.new_flows) / seconds,
        offered=offered / seconds,
    )


@contextlib.contextmanager
def _flood(sink: Endpoint, target: Endpoint, senders: int) -> Iterator[Callable[[], int]]:
    """Run flooding processes; yield a function that returns how many datagrams they sent."""
    stop = spawning.Event()
    counts = [spawning.Value("Q", 0) for _ in range(senders)]
    processes = [
        spawning.Process(target=flood, args=(sink, target, stop, count), daemon=True)
        for count in counts
    ]
    for process in processes:
        process.start()
    try:
        yield lambda: sum(count.value for count in counts)
    finally:
        stop.set()
        for process in processes:
            process.join(MAX_CASE_SECONDS)
            if process.is_alive():
                process.kill()
                process.join()


def _figure(name: str, samples: list[float], unit: str, baseline: float | None) -> Figure:
    baseline_name = None if baseline is None else "one queue"
    return Figure(name, statistics.median(samples), unit, baseline, baseline_name, tuple(samples))
