"""Starts forwarders and the traffic towards them, and computes the rates of a window."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from multiprocessing.connection import Connection

from bench.forwarders import Command, ReaderKind, Snapshot
from bench.harness import MICROSECONDS, spawning
from bench.traffic import AGENT_HOSTS, TrafficClass, generate
from jasperwalk.addresses import Endpoint

ROUND_SECONDS = 0.6
WARM_UP_SECONDS = 0.1
GENERATORS = 2
"""Sending processes: one alone does not keep the bare forwarder busy."""
MAX_DATAGRAMS = 2_000_000
"""Maximum of datagrams from one generator."""
MAX_CASE_SECONDS = 20.0


@dataclass(frozen=True)
class Rate:
    """Datagrams of one window: per second, and processor time per datagram."""

    per_second: float
    cpu_microseconds: float
    busy: float
    """Processor time over wall time: below about 0.95 the generators were the bottleneck."""

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
    """A running forwarder: its control connection and its endpoint."""

    control: Connection
    endpoint: Endpoint

    def snapshot(self) -> Snapshot:
        """Ask for a snapshot and wait for it."""
        self.control.send(Command.SNAPSHOT)
        return self.receive()

    def receive(self) -> Snapshot:
        """Wait for a snapshot."""
        if not self.control.poll(MAX_CASE_SECONDS):
            raise TimeoutError("a forwarder did not answer")
        snapshot = self.control.recv()
        assert isinstance(snapshot, Snapshot)
        return snapshot


def balancer_round(forwarder: Forwarder, sink: Endpoint, traffic: TrafficClass) -> Rate:
    """Measure a running balancer for a window under traffic of one class."""
    with running_traffic(traffic, sink, forwarder.endpoint):
        wait_for_traffic(forwarder)
        before = forwarder.snapshot()
        time.sleep(ROUND_SECONDS)
        return Rate.between(before, forwarder.snapshot())


def wait_for_traffic(forwarder: Forwarder) -> None:
    """Wait until datagrams arrive: the generator takes a while to start."""
    deadline = time.monotonic() + MAX_CASE_SECONDS
    waiting = forwarder.snapshot().handled
    while forwarder.snapshot().handled == waiting:
        if time.monotonic() > deadline:
            raise TimeoutError("no datagram reached the forwarder")
        time.sleep(WARM_UP_SECONDS)


@contextlib.contextmanager
def running_sink() -> Iterator[Endpoint]:
    """Open the sockets that take the agents' place, all on one port; nobody reads them."""
    with contextlib.ExitStack() as stack:
        port = 0
        for host in reversed(AGENT_HOSTS):
            listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            stack.enter_context(listener)
            listener.bind((host, port))
            port = listener.getsockname()[1]
        yield Endpoint(AGENT_HOSTS[0], port)


@contextlib.contextmanager
def running_forwarder(
    target: Callable[..., None], sink: Endpoint, argument: ReaderKind | int
) -> Iterator[Forwarder]:
    """Run a forwarder in a process of its own."""
    ours, theirs = spawning.Pipe()
    process = spawning.Process(target=target, args=(theirs, sink, argument), daemon=True)
    process.start()
    try:
        if not ours.poll(MAX_CASE_SECONDS):
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
def running_traffic(traffic: TrafficClass, sink: Endpoint, target: Endpoint) -> Iterator[None]:
    """Run the generators, each in a process of its own."""
    stop = spawning.Event()
    processes = [
        spawning.Process(
            target=generate,
            args=(traffic, sink, target, stop, index * MAX_DATAGRAMS, MAX_DATAGRAMS),
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
            process.join(MAX_CASE_SECONDS)
            if process.is_alive():
                process.kill()
                process.join()
