"""Benchmark of the balancer against a bare Python UDP forwarder, in alternation.

Every datagram goes over loopback to a socket that nobody reads, so that only the forwarder
is measured. Two generators, each a process of its own, send to it; `busy` shows whether they
kept it busy. The bare forwarder reads with `recv` and sends with `sendto`, in a blocking loop.
"""

from __future__ import annotations

import statistics
import time

from bench.forwarders import ReaderKind, make_core, run_balancer_loop, run_bare
from bench.harness import MEBIBYTE, MICROSECONDS, Figure
from bench.running import (
    MAX_CASE_SECONDS,
    WARM_UP_SECONDS,
    Forwarder,
    Rate,
    balancer_round,
    running_forwarder,
    running_sink,
    running_traffic,
)
from bench.traffic import SERVICE_ID, TrafficClass, new_datagram, table_entries
from jasperwalk.addresses import Endpoint
from jasperwalk.distribution.follower_table import FollowerTable
from jasperwalk.routing.candidates import CandidateIndex

ROUNDS = 7
"""Alternations of bare forwarder and balancer."""
BARE_ROUND_COUNT = 200_000
"""Datagrams of one round of the bare forwarder, some half a second's worth."""
DISTINCT_FLOWS = 300_000
DECISIONS = 50_000
BARE = "bare forwarder"
BARE_CPU = "bare.cpu"


def measure() -> list[Figure]:
    """Measure everything; takes about half a minute."""
    with running_sink() as sink:
        established = _measure_established(sink)
        bare_cpu = next(figure for figure in established if figure.name == BARE_CPU)
        return [
            *established,
            *_measure_decisions(sink),
            *_measure_classes(sink, bare_cpu.value),
            *_measure_memory(sink),
        ]


def _measure_established(sink: Endpoint) -> list[Figure]:
    """Alternate between the bare forwarder and the balancer with each of two socket readers."""
    bare: list[Rate] = []
    direct: list[Rate] = []
    protocol: list[Rate] = []
    with (
        running_forwarder(run_bare, sink, BARE_ROUND_COUNT) as bare_forwarder,
        running_forwarder(run_balancer_loop, sink, ReaderKind.DIRECT_SOCKET) as direct_loop,
        running_forwarder(run_balancer_loop, sink, ReaderKind.DATAGRAM_PROTOCOL) as protocol_loop,
    ):
        for _ in range(ROUNDS):
            bare.append(_bare_round(bare_forwarder, sink))
            direct.append(balancer_round(direct_loop, sink, TrafficClass.ESTABLISHED))
            protocol.append(balancer_round(protocol_loop, sink, TrafficClass.ESTABLISHED))
    bare_rate = statistics.median(rate.per_second for rate in bare)
    bare_cpu = statistics.median(rate.cpu_microseconds for rate in bare)
    return [
        _rate_figure("balancer.established.rate", direct, bare_rate),
        _ratio_figure("balancer.established.ratio", direct, bare),
        _cpu_ratio_figure("balancer.established.cpu-ratio", direct, bare),
        _rate_figure("balancer.datagram-protocol.rate", protocol, bare_rate),
        _ratio_figure("balancer.datagram-protocol.ratio", protocol, bare),
        _cpu_figure(BARE_CPU, bare, None),
        _cpu_figure("balancer.established.cpu", direct, bare_cpu),
        _busy_figure("bare.busy", bare),
        _busy_figure("balancer.established.busy", direct),
    ]


def _measure_decisions(sink: Endpoint) -> list[Figure]:
    """Time the core alone on Initials, each of another flow."""
    core = make_core(sink)
    initials = [new_datagram(number) for number in range(DECISIONS)]
    now = time.monotonic()
    started = time.perf_counter()
    for initial in initials:
        core.handle(initial, now)
    seconds = time.perf_counter() - started
    assert core.counters.new_flows == DECISIONS
    baseline = _choices_per_second(sink)
    name = "choice of candidates alone"
    per_second = DECISIONS / seconds
    return [
        Figure(
            "balancer.decision.time", MICROSECONDS / per_second, "us", MICROSECONDS / baseline, name
        ),
        Figure("balancer.decision.rate", per_second, "decisions/s", baseline, name),
    ]


def _choices_per_second(sink: Endpoint) -> float:
    """Time the weighted choice of two candidates, without packets, limits or seals."""
    table = FollowerTable()
    table.replace(1, table_entries(sink))
    index = CandidateIndex(table)
    started = time.perf_counter()
    for number in range(DECISIONS):
        index.candidates(SERVICE_ID, number.to_bytes(8, "big"))
    return DECISIONS / (time.perf_counter() - started)


def _measure_classes(sink: Endpoint, bare_cpu: float) -> list[Figure]:
    """Measure the processor time of a datagram of each class, system calls included."""
    figures = []
    with running_forwarder(run_balancer_loop, sink, ReaderKind.DIRECT_SOCKET) as loop:
        for traffic in (TrafficClass.NEW, TrafficClass.HANDED_ON, TrafficClass.REJECTED):
            rates = [balancer_round(loop, sink, traffic) for _ in range(2)]
            figures.append(_cpu_figure(f"balancer.{traffic.value}.cpu", rates, bare_cpu))
            figures.append(_rate_figure(f"balancer.{traffic.value}.rate-alone", rates, None))
    return figures


def _measure_memory(sink: Endpoint) -> list[Figure]:
    """Compare the memory before and after packets of many distinct flows."""
    with running_forwarder(run_balancer_loop, sink, ReaderKind.DIRECT_SOCKET) as loop:
        balancer_round(loop, sink, TrafficClass.ESTABLISHED)
        before = loop.snapshot()
        deadline = time.monotonic() + MAX_CASE_SECONDS
        with running_traffic(TrafficClass.DISTINCT_FLOWS, sink, loop.endpoint):
            after = loop.snapshot()
            while after.established - before.established < DISTINCT_FLOWS:
                if time.monotonic() > deadline:
                    raise TimeoutError("too few distinct flows were forwarded")
                time.sleep(WARM_UP_SECONDS)
                after = loop.snapshot()
    flows = after.established - before.established
    growth = (after.memory_bytes - before.memory_bytes) / MEBIBYTE
    return [
        Figure("balancer.memory.distinct-flows", flows, "flows"),
        Figure("balancer.memory.growth", growth, "MiB"),
        Figure(
            "balancer.memory.after",
            after.memory_bytes / MEBIBYTE,
            "MiB",
            before.memory_bytes / MEBIBYTE,
            "before the flows",
        ),
    ]


def _bare_round(forwarder: Forwarder, sink: Endpoint) -> Rate:
    with running_traffic(TrafficClass.ESTABLISHED, sink, forwarder.endpoint):
        return Rate.between(forwarder.snapshot(), forwarder.receive())


def _rate_figure(name: str, rates: list[Rate], baseline: float | None) -> Figure:
    samples = tuple(rate.per_second for rate in rates)
    value = statistics.median(samples)
    baseline_name = None if baseline is None else BARE
    return Figure(name, value, "datagrams/s", baseline, baseline_name, samples)


def _ratio_figure(name: str, rates: list[Rate], baselines: list[Rate]) -> Figure:
    pairs = zip(rates, baselines, strict=True)
    samples = tuple(rate.per_second / baseline.per_second for rate, baseline in pairs)
    return Figure(name, statistics.median(samples), "of the bare forwarder", samples=samples)


def _cpu_ratio_figure(name: str, rates: list[Rate], baselines: list[Rate]) -> Figure:
    """Compare processor times, which other load on the machine affects less than rates."""
    pairs = zip(rates, baselines, strict=True)
    samples = tuple(base.cpu_microseconds / rate.cpu_microseconds for rate, base in pairs)
    return Figure(name, statistics.median(samples), "of the bare forwarder", samples=samples)


def _cpu_figure(name: str, rates: list[Rate], baseline: float | None) -> Figure:
    samples = tuple(rate.cpu_microseconds for rate in rates)
    baseline_name = None if baseline is None else BARE
    value = statistics.median(samples)
    return Figure(name, value, "us/datagram", baseline, baseline_name, samples)


def _busy_figure(name: str, rates: list[Rate]) -> Figure:
    samples = tuple(rate.busy for rate in rates)
    return Figure(name, statistics.median(samples), "of a core", samples=samples)
