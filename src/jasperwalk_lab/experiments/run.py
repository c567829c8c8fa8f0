"""Runs an experiment: a fresh fleet for each variant and seed, results as JSON lines."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import psutil

from jasperwalk_lab.caller import Caller
from jasperwalk_lab.errors import FleetNotReady
from jasperwalk_lab.example import load_example
from jasperwalk_lab.experiments.breaks import (
    HOST_LOST,
    FlowHolders,
    causes_by_flow,
    loss_figures,
    lost_host_of,
)
from jasperwalk_lab.experiments.definition import Experiment, Variant
from jasperwalk_lab.experiments.events import EventPlayer
from jasperwalk_lab.experiments.fleet import ExperimentFleet
from jasperwalk_lab.experiments.imbalance import average, imbalance_series
from jasperwalk_lab.experiments.lines import HeaderLine, RunLine, append_line
from jasperwalk_lab.experiments.sampler import AgentSampler
from jasperwalk_lab.experiments.waiting import Span, WaitingFigures, waiting_figures
from jasperwalk_lab.fleet import make_run_folder
from jasperwalk_lab.fleet_options import FlowPlacement
from jasperwalk_lab.history import HistoryChecker
from jasperwalk_lab.journal import JournalRecord
from jasperwalk_lab.load.driver import OpenLoop
from jasperwalk_lab.load.listeners import listeners_of
from jasperwalk_lab.load.result import LoadResult
from jasperwalk_lab.machine import commit, has_uncommitted_changes, machine_facts
from jasperwalk_lab.operations import CallHistory

MOST_EXAMPLES = 10
"""Violations that a result line describes in words."""

START_ATTEMPTS = 3
"""Tries to start a fleet: another program may take a port between its choice and its use."""

Progress = Callable[[str], None]


async def run_experiment(
    experiment: Experiment, definition: str, folder: Path, progress: Progress
) -> list[RunLine]:
    """Run everything and append each line to `folder` as it comes."""
    header = HeaderLine(
        experiment=experiment.name,
        question=experiment.question,
        began_at=time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        commit=commit(),
        uncommitted_changes=has_uncommitted_changes(),
        machine=machine_facts(),
        definition=definition,
    )
    append_line(folder, header)
    lines = []
    for seed, variant in experiment.schedule():
        line = await _run_once(experiment, variant, seed, folder, progress)
        append_line(folder, line)
        progress(describe_run(line))
        lines.append(line)
    return lines


def describe_run(line: RunLine) -> str:
    """Describe a run in one line."""
    work = " ".join(f"{name}={value:.2f}" for name, value in line.imbalance_work.items())
    lookup = line.load.latencies.get("lookup")
    p99 = "" if lookup is None else f" lookup_p99={lookup.p99_ms:.0f}ms"
    return (
        f"{line.variant:<16} seed={line.seed} waiting_share={line.waiting_share:.4f} "
        f"imbalance {work}{p99} answered={line.load.answered} not_run={line.load.not_run} "
        f"unknown={line.load.unknown} broken_flows={line.broken_flows} "
        f"lost_known={line.loss.known}/{line.loss.flows} violations={line.violations} "
        f"machine_load={line.machine_load_before:.1f}"
    )


async def _run_once(
    experiment: Experiment, variant: Variant, seed: int, folder: Path, progress: Progress
) -> RunLine:
    load_before = psutil.getloadavg()[0]
    async with _started_fleet(experiment, variant, seed, folder, progress) as fleet:
        await asyncio.sleep(experiment.settle_seconds)
        run = _Run(experiment, fleet, seed, progress)
        result = await run.load()
        return await run.line(variant, result, load_before)


@contextlib.asynccontextmanager
async def _started_fleet(
    experiment: Experiment, variant: Variant, seed: int, folder: Path, progress: Progress
) -> AsyncIterator[ExperimentFleet]:
    """Start a fleet; one that does not come up has measured nothing, and is tried again."""
    example = load_example(experiment.example)
    options = experiment.options(variant)
    for attempts_left in reversed(range(START_ATTEMPTS)):
        run_folder = make_run_folder(folder / "runs", f"{variant.name}-{seed}")
        async with ExperimentFleet(example, run_folder, seed, options) as fleet:
            try:
                await fleet.start()
            except FleetNotReady as error:
                progress(f"{variant.name} seed={seed}: did not start: {error.describe()}")
                if not attempts_left:
                    raise
                continue
            yield fleet
            return


class _Run:
    """One load on one fleet, with its events, samples and checks."""

    def __init__(
        self, experiment: Experiment, fleet: ExperimentFleet, seed: int, progress: Progress
    ) -> None:
        self._experiment = experiment
        self._fleet = fleet
        self._seed = seed
        self._history = CallHistory()
        self._player = EventPlayer(fleet)
        self._sampler = AgentSampler(fleet.layout.members)
        places = listeners_of(fleet)
        # The name depends on the seed alone, so that requests have the same identities, and
        # with them the same service times, under every variant.
        caller = Caller(f"x{seed}", Path(places.ca_file), self._history)
        self._loop = OpenLoop(caller, places, experiment.profile(), seed, progress)

    async def load(self) -> LoadResult:
        """Run the load and the events."""
        await self._loop.open_flows()
        sampling = asyncio.create_task(self._sampler.run())
        began = asyncio.get_running_loop().time()
        try:
            async with asyncio.TaskGroup() as tasks:
                load = tasks.create_task(self._loop.run())
                tasks.create_task(self._player.play(self._experiment.events, began))
            return load.result()
        finally:
            sampling.cancel()

    async def line(self, variant: Variant, result: LoadResult, load_before: float) -> RunLine:
        """Collect and check what the run left."""
        journal = await self._fleet.journals(self._player.lost_hosts)
        journal += self._player.kept_journal
        counters = await self._sampler.totals()
        await self._loop.close()
        holders = await self._flow_holders(journal)
        records, lost_hosts = self._history.records, self._player.lost_hosts
        report = HistoryChecker(
            journal,
            lost_hosts,
            lambda record: HOST_LOST if lost_host_of(record, holders, lost_hosts) else None,
        ).check(records)
        causes = causes_by_flow(records, holders, lost_hosts, self._player.timed)
        lasted = Span(self._loop.started_at, self._loop.started_at + result.seconds)
        slots = {place.host: place.slots for place in self._fleet.layout.members}
        waiting = waiting_figures(records, journal, slots, lasted)
        series = imbalance_series(
            self._sampler.samples, self._player.weight_history, self._loop.started_at
        )
        during = [each for each in series if each.at <= self._experiment.seconds]
        services = sorted({each.service for each in during})
        return RunLine(
            variant=variant.name,
            product=variant.placement is FlowPlacement.RENDEZVOUS,
            seed=self._seed,
            machine_load_before=load_before,
            machine_load_after=psutil.getloadavg()[0],
            load=result,
            waiting=waiting,
            waiting_share=_waiting_share(waiting),
            imbalance_work={
                name: average(each.work for each in during if each.service == name)
                for name in services
            },
            imbalance_flows={
                name: average(each.flows for each in during if each.service == name)
                for name in services
            },
            series=during,
            events=self._player.lines,
            counters=counters,
            broken_flows=dict(Counter(causes.values())),
            loss=loss_figures(records, holders, lost_hosts, causes),
            violations=dict(Counter(each.kind.value for each in report.violations)),
            violation_examples=[
                f"{each.kind} {each.request_id}: {each.detail}"
                for each in report.violations[:MOST_EXAMPLES]
            ],
            processes_ended=[
                *self._fleet.supervisor.ended_unexpectedly(),
                *self._player.unclean_stops,
            ],
        )

    async def _flow_holders(self, journal: list[JournalRecord]) -> FlowHolders:
        hosts = {str(place.listen): place.host for place in self._fleet.layout.members}
        return FlowHolders(await self._fleet.flows(), hosts, journal)


def _waiting_share(waiting: list[WaitingFigures]) -> float:
    requests = sum(each.requests for each in waiting)
    needless = sum(each.waited_needlessly + each.refused_needlessly for each in waiting)
    return needless / requests if requests else 0.0
