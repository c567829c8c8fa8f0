"""Benchmark of a complete agent with its backend against aioquic's bare server, in alternation.

Callers are unmodified clients in processes of their own; callers of the agent route their packets
with a balancer's core. Control and the backend share a process, and another process forwards
answers from the agent to callers. Only the agent's own process is measured.
"""

from __future__ import annotations

import contextlib
import statistics
import tempfile
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from multiprocessing.connection import Connection
from multiprocessing.process import BaseProcess
from pathlib import Path

import psutil

from bench.agent_servers import (
    run_bare_server,
    run_control_and_backend,
    run_fabric,
    run_measured_agent,
)
from bench.callers import CallerPlan, CallerResult, Workload, run_caller
from bench.harness import MICROSECONDS, Figure, spawning
from jasperwalk.addresses import Endpoint
from jasperwalk_lab.certificates import CertificateFiles, write_certificates

ROUNDS = 3
ROUND_SECONDS = 2.0
CALLERS = 4
"""Calling processes: several, as a client's handshake costs about as much as the server's."""
HANDSHAKES_AT_A_TIME = 4
REQUESTS_AT_A_TIME = 8
"""Concurrent requests per connection; `HTTP1_REQUESTS_AT_A_TIME` is per calling process."""
HTTP1_REQUESTS_AT_A_TIME = 32
HELD_BATCHES = (50, 400)
MAX_REPLY_WAIT_SECONDS = 60.0
KIBIBYTE = 1024


@dataclass(frozen=True)
class Server:
    """A measured server: its process and how callers reach it."""

    process: psutil.Process
    target: Endpoint
    through_balancer: bool

    def cpu_seconds(self) -> float:
        """Return the processor time used so far."""
        times = self.process.cpu_times()
        return float(times.user + times.system)


@dataclass(frozen=True)
class Round:
    """One round of callers against one server."""

    per_second: float
    cpu_microseconds: float
    busy: float


def measure() -> list[Figure]:
    """Measure handshakes, requests and memory; takes about a minute."""
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        files = write_certificates(Path(folder))
        agent, backend = _start_agent(stack, files)
        bare = _start_bare(stack, files)
        return [
            *_measure_memory(agent, bare),
            *_measure_handshakes(agent, bare),
            *_measure_requests(agent, bare, backend),
        ]


def _measure_memory(agent: Server, bare: Server) -> list[Figure]:
    held = [_bytes_per_connection(server) for server in (agent, bare)]
    name = "agent.connection.memory"
    return [Figure(name, held[0] / KIBIBYTE, "KiB", held[1] / KIBIBYTE, "bare HTTP/3 server")]


def _measure_handshakes(agent: Server, bare: Server) -> list[Figure]:
    plan = (Workload.HANDSHAKES, HANDSHAKES_AT_A_TIME)
    rounds = [(_run_round(agent, *plan), _run_round(bare, *plan)) for _ in range(ROUNDS)]
    agent_rounds, baselines = [each[0] for each in rounds], [each[1] for each in rounds]
    return _figures("agent.handshake", agent_rounds, "bare HTTP/3 server", baselines)


def _measure_requests(agent: Server, bare: Server, backend: Server) -> list[Figure]:
    agent_rounds: list[Round] = []
    bare_rounds: list[Round] = []
    backend_rounds: list[Round] = []
    for _ in range(ROUNDS):
        agent_rounds.append(_run_round(agent, Workload.REQUESTS, REQUESTS_AT_A_TIME))
        bare_rounds.append(_run_round(bare, Workload.REQUESTS, REQUESTS_AT_A_TIME))
        plan = (Workload.HTTP1_REQUESTS, HTTP1_REQUESTS_AT_A_TIME)
        backend_rounds.append(_run_round(backend, *plan))
    return [
        *_figures("agent.request", agent_rounds, "bare HTTP/3 server", bare_rounds),
        *_figures("agent.request-to-back-end", agent_rounds, "bare back end", backend_rounds),
    ]


def _figures(
    name: str, rounds: list[Round], baseline_name: str, baselines: list[Round]
) -> list[Figure]:
    figures = []
    for measure_name, unit, pick in MEASURES:
        samples = tuple(pick(each) for each in rounds)
        baseline = statistics.median(pick(each) for each in baselines)
        value = statistics.median(samples)
        full_name = f"{name}.{measure_name}"
        figures.append(Figure(full_name, value, unit, baseline, baseline_name, samples))
    return figures


MEASURES: tuple[tuple[str, str, Callable[[Round], float]], ...] = (
    ("rate", "1/s", lambda each: each.per_second),
    ("cpu", "us", lambda each: each.cpu_microseconds),
    ("busy", "of a core", lambda each: each.busy),
)


def _run_round(server: Server, workload: Workload, concurrency: int) -> Round:
    plan = CallerPlan(workload, server.target, server.through_balancer, ROUND_SECONDS, concurrency)
    with contextlib.ExitStack() as stack:
        callers = [stack.enter_context(_process(run_caller, plan)) for _ in range(CALLERS)]
        for control, _ in callers:
            _receive(control)
        before = server.cpu_seconds()
        for control, _ in callers:
            control.send(None)
        results = [_receive_result(control) for control, _ in callers]
        cpu_seconds = server.cpu_seconds() - before
    completed = sum(each.completed for each in results)
    assert completed and not sum(each.failed for each in results), results
    seconds = max(each.seconds for each in results)
    return Round(completed / seconds, cpu_seconds * MICROSECONDS / completed, cpu_seconds / seconds)


def _bytes_per_connection(server: Server) -> float:
    plan = CallerPlan(
        Workload.HOLD, server.target, server.through_balancer, 0.0, 1, batches=HELD_BATCHES
    )
    sizes = []
    with _process(run_caller, plan) as (control, _):
        _receive(control)
        for _ in HELD_BATCHES:
            control.send(None)
            _receive(control)
            sizes.append(server.process.memory_info().rss)
        control.send(None)
    return float((sizes[-1] - sizes[0]) / HELD_BATCHES[-1])


def _start_agent(stack: contextlib.ExitStack, files: CertificateFiles) -> tuple[Server, Server]:
    control_and_backend, process = stack.enter_context(_process(run_control_and_backend))
    replica, backend = (
        _receive_endpoint(control_and_backend),
        _receive_endpoint(control_and_backend),
    )
    fabric, _ = stack.enter_context(_process(run_fabric))
    arguments = (replica, backend, _receive_endpoint(fabric), files)
    measured = stack.enter_context(_started(run_measured_agent, *arguments))
    agent = Server(
        psutil.Process(measured.pid), _receive_endpoint(control_and_backend), through_balancer=True
    )
    return agent, Server(psutil.Process(process.pid), backend, through_balancer=False)


def _start_bare(stack: contextlib.ExitStack, files: CertificateFiles) -> Server:
    control, process = stack.enter_context(_process(run_bare_server, files))
    return Server(psutil.Process(process.pid), _receive_endpoint(control), through_balancer=False)


@contextlib.contextmanager
def _process(
    target: Callable[..., None], *arguments: object
) -> Iterator[tuple[Connection, BaseProcess]]:
    """Run a process that gets its end of a pipe first."""
    ours, theirs = spawning.Pipe()
    with _started(target, theirs, *arguments) as process:
        theirs.close()
        yield ours, process


@contextlib.contextmanager
def _started(target: Callable[..., None], *arguments: object) -> Iterator[BaseProcess]:
    process = spawning.Process(target=target, args=arguments, daemon=True)
    process.start()
    try:
        yield process
    finally:
        process.kill()
        process.join()


def _receive(control: Connection) -> object:
    if not control.poll(MAX_REPLY_WAIT_SECONDS):
        raise TimeoutError("a process of the benchmark did not answer")
    return control.recv()


def _receive_endpoint(control: Connection) -> Endpoint:
    endpoint = _receive(control)
    assert isinstance(endpoint, Endpoint)
    return endpoint


def _receive_result(control: Connection) -> CallerResult:
    result = _receive(control)
    assert isinstance(result, CallerResult)
    return result
