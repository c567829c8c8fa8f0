"""Benchmark of the balancer against a bare Python UDP forwarder, in alternation.

Every datagram goes over loopback to a socket that nobody reads, so that only the forwarder
is measured. Two generators, each a process of its own, feed it; `busy` tells whether they
kept it busy. The bare forwarder reads with `recv` and sends with `sendto`, in a blocking loop.
"""

from __future__ import annotations

import contextlib
import multiprocessing
import socket
import statistics
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from multiprocessing.connection import Connection

from bench.forwarders import Command, ReaderKind, Snapshot, make_core, run_balancer_loop, run_bare
from bench.harness import Figure
from bench.traffic import AGENT_HOSTS, TrafficClass, generate, new_datagram
from jasperwalk.addresses import Endpoint

ROUNDS = 7
"""Alternations of bare forwarder and balancer."""
ROUND_SECONDS = 0.6
BARE_ROUND_COUNT = 200_000
"""Datagrams of one round of the bare forwarder, some half a second's worth."""
DISTINCT_FLOWS = 300_000
DECISIONS = 50_000
WARM_UP_SECONDS = 0.1
GENERATORS = 2
"""Sending processes: one alone does not keep the bare forwarder busy."""
MOST_DATAGRAMS = 2_000_000
"""Bound on what one generator sends."""
LONGEST_CASE_SECONDS = 20.0
MICROSECONDS = 1e6
MEBIBYTE = 1024 * 1024

_context = multiprocessing.get_context("spawn")


@dataclass(frozen=True)
class Rate:
    """Datagrams of one window, a second and in processor time."""

    per_second: float
    cpu_microseconds: float
    busy: float
    """Processor time over wall time: below about 0.95 the generators were the limit."""

    @classmethod
    def between(cls, before: Snapshot, after: Snapshot) -> Rate:
        """Compute the rate of a window from the snapshots at its ends."""
        handled = after.handled - before.handled
        cpu_seconds = after.cpu_seconds - before.cpu_seconds
        wall_seconds = after.wall_seconds - before.wall_seconds
        return cls(
            per_second=handled / wall_seconds,
            cpu_microseconds=cpu_seconds * MICROSECONDS / handled,
            busy=cpu_seconds / wall_seconds,
        )


@dataclass(frozen=True)
class Forwarder:
    """A running forwarder: its control connection and its end point."""

    control: Connection
    endpoint: Endpoint

    def snapshot(self) -> Snapshot:
        """Ask for a snapshot and wait for it."""
        self.control.send(Command.SNAPSHOT)
        return self.receive()

    def receive(self) -> Snapshot:
        """Wait for a snapshot."""
        if not self.control.poll(LONGEST_CASE_SECONDS):
            raise TimeoutError("a forwarder did not answer")
        snapshot = self.control.recv()
        assert isinstance(snapshot, Snapshot)
        return snapshot


def measure() -> list[Figure]:
    """Measure everything; takes about half a minute."""
    with _sink() as sink:
        return [
            *_measure_established(sink),
            *_measure_decisions(sink),
            *_measure_classes(sink),
            *_measure_memory(sink),
        ]


def _measure_established(sink: Endpoint) -> list[Figure]:
    """Alternate between the bare forwarder and the balancer's two ways to read its socket."""
    bare: list[Rate] = []
    direct: list[Rate] = []
    protocol: list[Rate] = []
    with (
        _forwarder(run_bare, sink, BARE_ROUND_COUNT) as bare_forwarder,
        _forwarder(run_balancer_loop, sink, ReaderKind.DIRECT_SOCKET) as direct_loop,
        _forwarder(run_balancer_loop, sink, ReaderKind.DATAGRAM_PROTOCOL) as protocol_loop,
    ):
        for _ in range(ROUNDS):
            bare.append(_bare_round(bare_forwarder, sink))
            direct.append(_balancer_round(direct_loop, sink, TrafficClass.ESTABLISHED))
            protocol.append(_balancer_round(protocol_loop, sink, TrafficClass.ESTABLISHED))
    bare_rate = statistics.median(rate.per_second for rate in bare)
    return [
        _rate_figure("balancer.established.rate", direct, bare_rate),
        _ratio_figure("balancer.established.ratio", direct, bare),
        _cpu_ratio_figure("balancer.established.cpu-ratio", direct, bare),
        _rate_figure("balancer.datagram-protocol.rate", protocol, bare_rate),
        _ratio_figure("balancer.datagram-protocol.ratio", protocol, bare),
        _cpu_figure("bare.cpu", bare),
        _cpu_figure("balancer.established.cpu", direct),
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
    return [
        Figure("balancer.decision.time", seconds * MICROSECONDS / DECISIONS, "us"),
        Figure("balancer.decision.rate", DECISIONS / seconds, "decisions/s"),
    ]


def _measure_classes(sink: Endpoint) -> list[Figure]:
    """Measure the processor time of a datagram of each class, system calls included."""
    figures = []
    with _forwarder(run_balancer_loop, sink, ReaderKind.DIRECT_SOCKET) as loop:
        for traffic in (TrafficClass.NEW, TrafficClass.REJECTED):
            rates = [_balancer_round(loop, sink, traffic) for _ in range(2)]
            figures.append(_cpu_figure(f"balancer.{traffic.value}.cpu", rates))
            figures.append(_rate_figure(f"balancer.{traffic.value}.rate-alone", rates, None))
    return figures


def _measure_memory(sink: Endpoint) -> list[Figure]:
    """Compare the memory before and after packets of many distinct flows."""
    with _forwarder(run_balancer_loop, sink, ReaderKind.DIRECT_SOCKET) as loop:
        _balancer_round(loop, sink, TrafficClass.ESTABLISHED)
        before = loop.snapshot()
        give_up_at = time.monotonic() + LONGEST_CASE_SECONDS
        with _traffic(TrafficClass.DISTINCT_FLOWS, sink, loop.endpoint):
            after = loop.snapshot()
            while after.established - before.established < DISTINCT_FLOWS:
                if time.monotonic() > give_up_at:
                    raise TimeoutError("too few distinct flows were forwarded")
                time.sleep(WARM_UP_SECONDS)
                after = loop.snapshot()
    flows = after.established - before.established
    growth = (after.memory_bytes - before.memory_bytes) / MEBIBYTE
    return [
        Figure("balancer.memory.distinct-flows", flows, "flows"),
        Figure("balancer.memory.growth", growth, "MiB"),
        Figure("balancer.memory.after", after.memory_bytes / MEBIBYTE, "MiB"),
    ]


def _bare_round(forwarder: Forwarder, sink: Endpoint) -> Rate:
    with _traffic(TrafficClass.ESTABLISHED, sink, forwarder.endpoint):
        return Rate.between(forwarder.snapshot(), forwarder.receive())


def _balancer_round(forwarder: Forwarder, sink: Endpoint, traffic: TrafficClass) -> Rate:
    with _traffic(traffic, sink, forwarder.endpoint):
        _await_traffic(forwarder)
        before = forwarder.snapshot()
        time.sleep(ROUND_SECONDS)
        return Rate.between(before, forwarder.snapshot())


def _await_traffic(forwarder: Forwarder) -> None:
    """Wait until the generator, which takes a while to start, is heard."""
    give_up_at = time.monotonic() + LONGEST_CASE_SECONDS
    waiting = forwarder.snapshot().handled
    while forwarder.snapshot().handled == waiting:
        if time.monotonic() > give_up_at:
            raise TimeoutError("no datagram reached the forwarder")
        time.sleep(WARM_UP_SECONDS)


@contextlib.contextmanager
def _sink() -> Iterator[Endpoint]:
    """Open the sockets that stand for the agents, all on one port; nobody reads them."""
    with contextlib.ExitStack() as stack:
        port = 0
        for host in reversed(AGENT_HOSTS):
            listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            stack.enter_context(listener)
            listener.bind((host, port))
            port = listener.getsockname()[1]
        yield Endpoint(AGENT_HOSTS[0], port)


@contextlib.contextmanager
def _forwarder(
    target: Callable[..., None], sink: Endpoint, argument: ReaderKind | int
) -> Iterator[Forwarder]:
    """Run a forwarder in a process of its own."""
    ours, theirs = _context.Pipe()
    process = _context.Process(target=target, args=(theirs, sink, argument), daemon=True)
    process.start()
    try:
        if not ours.poll(LONGEST_CASE_SECONDS):
            raise TimeoutError("a forwarder did not start")
        endpoint = ours.recv()
        yield Forwarder(control=ours, endpoint=endpoint)
        ours.send(Command.STOP)
        process.join(WARM_UP_SECONDS * 10)
    finally:
        if process.is_alive():
            process.kill()
        process.join()


@contextlib.contextmanager
def _traffic(traffic: TrafficClass, sink: Endpoint, target: Endpoint) -> Iterator[None]:
    """Run the generators, each in a process of its own."""
    stop = _context.Event()
    processes = [
        _context.Process(
            target=generate,
            args=(traffic, sink, target, stop, index * MOST_DATAGRAMS, MOST_DATAGRAMS),
            daemon=True,
        )
        for index in range(GENERATORS)
    ]
    for process in processes:
        process.start()
    try:
        yield
    finally:
        stop.set()
        for process in processes:
            process.join(LONGEST_CASE_SECONDS)
            if process.is_alive():
                process.kill()
                process.join()


def _rate_figure(name: str, rates: list[Rate], baseline: float | None) -> Figure:
    samples = tuple(rate.per_second for rate in rates)
    value = statistics.median(samples)
    baseline_name = None if baseline is None else "bare forwarder"
    return Figure(name, value, "datagrams/s", baseline, baseline_name, samples)


def _ratio_figure(name: str, rates: list[Rate], baselines: list[Rate]) -> Figure:
    pairs = zip(rates, baselines, strict=True)
    samples = tuple(rate.per_second / baseline.per_second for rate, baseline in pairs)
    return Figure(name, statistics.median(samples), "of the bare forwarder", samples=samples)


def _cpu_ratio_figure(name: str, rates: list[Rate], baselines: list[Rate]) -> Figure:
    """Compare processor times, which other work on the machine disturbs less than rates."""
    pairs = zip(rates, baselines, strict=True)
    samples = tuple(base.cpu_microseconds / rate.cpu_microseconds for rate, base in pairs)
    return Figure(name, statistics.median(samples), "of the bare forwarder", samples=samples)


def _cpu_figure(name: str, rates: list[Rate]) -> Figure:
    samples = tuple(rate.cpu_microseconds for rate in rates)
    return Figure(name, statistics.median(samples), "us/datagram", samples=samples)


def _busy_figure(name: str, rates: list[Rate]) -> Figure:
    samples = tuple(rate.busy for rate in rates)
    return Figure(name, statistics.median(samples), "of a core", samples=samples)
