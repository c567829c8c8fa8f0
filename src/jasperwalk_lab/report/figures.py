"""The measures of a run that the report compares across variants."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from jasperwalk_lab.experiments.breaks import HOST_LOST
from jasperwalk_lab.experiments.lines import ExperimentResults, RunLine

Measure = Callable[[RunLine], float]


@dataclass(frozen=True)
class NamedMeasure:
    """A measure and its heading in the report."""

    heading: str
    value: Measure


def runs_by_variant(results: ExperimentResults) -> dict[str, list[RunLine]]:
    """Return the runs of each variant, in the order of the variants' first runs."""
    grouped: dict[str, list[RunLine]] = defaultdict(list)
    for run in results.runs:
        grouped[run.variant].append(run)
    return dict(grouped)


def measures(results: ExperimentResults) -> list[NamedMeasure]:
    """Return the measures of these runs, with those of each service and kind of operation."""
    services = sorted({name for run in results.runs for name in run.imbalance_work})
    kinds = sorted({kind for run in results.runs for kind in run.load.latencies})
    found = [NamedMeasure("waited or refused while a slot was free", _waiting_share)]
    for service in services:
        found += [
            NamedMeasure(f"imbalance of work, {service}", _work_of(service)),
            NamedMeasure(f"imbalance of flows, {service}", _flows_of(service)),
        ]
    for kind in kinds:
        found.append(NamedMeasure(f"p50 {kind}, ms", _p50_of(kind)))
        found.append(NamedMeasure(f"p99 {kind}, ms", _p99_of(kind)))
    found += [
        NamedMeasure("refused (not run)", lambda run: run.load.not_run),
        NamedMeasure("unknown", lambda run: run.load.unknown),
        NamedMeasure("broken flows", lambda run: sum(run.broken_flows.values())),
        NamedMeasure("broken flows, host not lost", _broken_without_loss),
        NamedMeasure("broken promises", lambda run: sum(run.violations.values())),
        NamedMeasure("machine load before", lambda run: run.machine_load_before),
    ]
    return found


def causes_of_breaks(runs: Iterable[RunLine]) -> dict[str, int]:
    """Return the number of broken flows of the runs by cause."""
    causes: Counter[str] = Counter()
    for run in runs:
        causes.update(run.broken_flows)
    return dict(causes)


def _broken_without_loss(run: RunLine) -> float:
    return sum(count for cause, count in run.broken_flows.items() if cause != HOST_LOST)


def _waiting_share(run: RunLine) -> float:
    return run.waiting_share


def _work_of(service: str) -> Measure:
    return lambda run: run.imbalance_work.get(service, 0.0)


def _flows_of(service: str) -> Measure:
    return lambda run: run.imbalance_flows.get(service, 0.0)


def _p50_of(kind: str) -> Measure:
    return lambda run: run.load.latencies[kind].p50_ms if kind in run.load.latencies else 0.0


def _p99_of(kind: str) -> Measure:
    return lambda run: run.load.latencies[kind].p99_ms if kind in run.load.latencies else 0.0
