"""Runs many simulations in parallel: every scenario under every seed, in worker processes."""

from __future__ import annotations

import os
import resource
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor

import msgspec

from jasperwalk_lab.simulator.mutants import mutant_named
from jasperwalk_lab.simulator.run import RunResult, run_scenario
from jasperwalk_lab.simulator.scenarios import Scenario, scenario_named
from jasperwalk_lab.simulator.verdicts import Measures


class RunSummary(msgspec.Struct):
    """The result of one run, without its trace; printed as JSON by `jasperwalk-lab simulate`."""

    scenario: str
    seed: int
    trace_hash: str
    violations: list[str]
    faults: list[str]
    requests: int
    answered: int
    not_run: int
    unknown: int
    broken: int
    not_connected: int
    changes: int
    accepted: int
    cpu_seconds: float
    measures: Measures


class Job(msgspec.Struct, frozen=True):
    """One run to execute; `mutant` is empty for the unmodified product."""

    scenario: str
    seed: int
    mutant: str = ""


def run_job(job: Job) -> RunResult:
    """Execute one run; the result has the complete trace."""
    scenario = scenario_named(job.scenario)
    mutant = mutant_named(job.mutant)
    return run_scenario(scenario, job.seed, None if mutant is None else mutant.defect)


def summarize(job: Job) -> RunSummary:
    """Execute one run and return its summary, with the CPU time it took."""
    before = _cpu_seconds()
    result = run_job(job)
    report = result.report
    return RunSummary(
        scenario=result.scenario,
        seed=result.seed,
        trace_hash=result.trace_hash,
        violations=result.violations,
        faults=result.faults,
        requests=report.requests,
        answered=report.answered,
        not_run=report.not_run,
        unknown=report.unknown,
        broken=report.broken,
        not_connected=result.not_connected,
        changes=result.changes,
        accepted=result.accepted,
        cpu_seconds=_cpu_seconds() - before,
        measures=result.measures,
    )


def run_campaign(
    scenarios: Sequence[Scenario],
    seeds: Sequence[int],
    mutant: str,
    processes: int,
    progress: Callable[[RunSummary], None],
) -> list[RunSummary]:
    """Run every scenario under every seed, and return the summaries in that order.

    `progress` is called with each summary as soon as all earlier ones are there.
    """
    jobs = [Job(scenario.name, seed, mutant) for scenario in scenarios for seed in seeds]
    summaries = []
    for summary in _results(jobs, processes):
        progress(summary)
        summaries.append(summary)
    return summaries


def _results(jobs: list[Job], processes: int) -> Iterator[RunSummary]:
    if processes == 1 or len(jobs) == 1:
        yield from map(summarize, jobs)
        return
    with ProcessPoolExecutor(processes) as pool:
        yield from pool.map(summarize, jobs)


def default_processes() -> int:
    """Return the default number of worker processes: one for each usable core."""
    return len(os.sched_getaffinity(0))


def _cpu_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
