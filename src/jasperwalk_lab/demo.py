"""The demo: under traffic a balancer is killed, another one joins, and a weight changes.

The calls are then checked against the backends' journals; the summary names each broken promise.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from jasperwalk.config.parameters import ParameterType
from jasperwalk.config.rendering import RenderedService
from jasperwalk.config.tenants import Tenant
from jasperwalk.errors import JasperwalkError
from jasperwalk_lab.caller import Caller
from jasperwalk_lab.example import Example, load_example
from jasperwalk_lab.fleet import Fleet, make_run_folder
from jasperwalk_lab.fleet_options import DEFAULT_OPTIONS, FleetOptions
from jasperwalk_lab.history import HistoryChecker, HistoryReport, LoadPhase, imbalance
from jasperwalk_lab.journal import JournalRecord
from jasperwalk_lab.operations import CallHistory
from jasperwalk_lab.summary import (
    MIN_ANSWERED,
    MIN_STREAMS,
    BrokenPromise,
    DemoSummary,
    PromiseKind,
    summarise,
)
from jasperwalk_lab.traffic import Traffic, TrafficTarget

STREAMS = MIN_STREAMS + 10
STREAM_SECONDS = 10.0
SHORT_CALLERS = 16
WARM_UP_SECONDS = 1.5
IN_FORCE_TIMEOUT_SECONDS = 15.0
TRAFFIC_TIMEOUT_SECONDS = 45.0
AFTER_CHANGE_SECONDS = 2.0
WEIGHT_DIVISOR = 4
STREAM_PATH = "/stream"

Progress = Callable[[str], None]


@dataclass(frozen=True)
class DemoResult:
    """Summary and the full report behind it."""

    summary: DemoSummary
    report: HistoryReport


async def run_demo(
    example_name: str,
    seed: int,
    runs: Path,
    progress: Progress,
    options: FleetOptions = DEFAULT_OPTIONS,
) -> DemoResult:
    """Run the demo; logs, settings and data stay in a new folder under `runs`."""
    started_at = asyncio.get_running_loop().time()
    run_folder = make_run_folder(runs, f"demo-{example_name}")
    progress(f"run folder {run_folder}, seed {seed}")
    async with Fleet(load_example(example_name), run_folder, seed, options) as fleet:
        await fleet.start()
        elapsed = asyncio.get_running_loop().time() - started_at
        progress(f"fleet of {len(fleet.layout.members)} agents is up after {elapsed:.1f} s")
        demo = Demo(fleet, seed, progress)
        await demo.run()
        sent = ", ".join(f"{each.name} {each.sent}" for each in await fleet.sprayed())
        progress(f"datagrams sprayed: {sent}")
        journal = await fleet.journals()
        demo.record_ended_processes()
        progress("stopping the fleet")
    report = HistoryChecker(journal).check(demo.history.records)
    summary = summarise(
        report,
        example=example_name,
        seed=seed,
        imbalance=demo.imbalance(journal),
        in_force_seconds=demo.in_force_seconds,
        duration_seconds=asyncio.get_running_loop().time() - started_at,
        failures=demo.failures,
    )
    return DemoResult(summary=summary, report=report)


class Demo:
    """The steps of the demo on a running fleet."""

    def __init__(self, fleet: Fleet, seed: int, progress: Progress) -> None:
        self.history = CallHistory()
        self.in_force_seconds: float | None = None
        self.failures: list[BrokenPromise] = []
        self._fleet = fleet
        self._progress = progress
        self._example_before = fleet.layout.example
        self._example_after = lower_one_weight(fleet.layout.example)
        self._journal_at_change: list[JournalRecord] = []
        caller = Caller(f"demo{seed}", fleet.certificates.ca_file, self.history)
        self._traffic = Traffic(caller, self.history, self._targets(), random.Random(seed))

    async def run(self) -> None:
        """Run traffic and change the fleet meanwhile; failures are added to `failures`."""
        try:
            async with asyncio.timeout(TRAFFIC_TIMEOUT_SECONDS):
                await self._run_traffic()
        except TimeoutError:
            detail = f"traffic did not end within {TRAFFIC_TIMEOUT_SECONDS:.0f} s"
            self.failures.append(BrokenPromise(PromiseKind.RUN_TIMED_OUT, detail))
        self._progress(f"traffic ended: {len(self.history.records)} requests")

    async def _run_traffic(self) -> None:
        async with asyncio.TaskGroup() as tasks:
            streams = tasks.create_task(self._traffic.run_streams(STREAMS, STREAM_SECONDS))
            tasks.create_task(self._traffic.run_short_calls(SHORT_CALLERS))
            try:
                await self._change_fleet()
            except JasperwalkError as error:
                detail = error.describe()
                self.failures.append(BrokenPromise(PromiseKind.CHANGE_FAILED, detail))
            await streams
            await self._wait_for_calls()
            self._traffic.stop()

    async def _change_fleet(self) -> None:
        layout = self._fleet.layout
        await asyncio.sleep(WARM_UP_SECONDS)
        self._progress(f"killing {layout.balancers[0].name} under load")
        await self._fleet.kill_balancer(layout.balancers[0])
        self._progress(f"{layout.spare_balancers[0].name} joins")
        await self._fleet.join_balancer(layout.spare_balancers[0])
        await self._change_weight()
        await asyncio.sleep(AFTER_CHANGE_SECONDS)

    async def _change_weight(self) -> None:
        changed = [
            after
            for before, after in zip(
                self._example_before.tenants, self._example_after.tenants, strict=True
            )
            if before != after
        ]
        self._progress("changing a weight under load")
        started = asyncio.get_running_loop().time()
        async with self._fleet.control_client() as control:
            change = await control.put_tenant(changed[0])
            view = await control.wait_in_force(change, IN_FORCE_TIMEOUT_SECONDS)
        if view.complete:
            self.in_force_seconds = asyncio.get_running_loop().time() - started
        self._journal_at_change = await self._fleet.journals()
        places = f"{view.in_force} of {view.balancers} balancers"
        agents = f"{view.agents_in_force} of {view.agents} agents"
        self._progress(f"revision {view.revision} in force on {places}, {agents}")

    async def _wait_for_calls(self) -> None:
        while self._traffic.short_calls() < MIN_ANSWERED:
            await asyncio.sleep(0.1)

    def record_ended_processes(self) -> None:
        """Record each process that ended without being stopped."""
        for name in self._fleet.supervisor.ended_unexpectedly():
            self.failures.append(BrokenPromise(PromiseKind.PROCESS_ENDED, name))

    def imbalance(self, journal: list[JournalRecord]) -> float:
        """Return the imbalance of the least balanced service, by runs of short calls."""
        runs_before = _short_runs(self._journal_at_change)
        runs_after = _short_runs(journal) - runs_before
        services = zip(self._example_before.services(), self._example_after.services(), strict=True)
        return max(
            imbalance(
                [LoadPhase(_weights(before), runs_before), LoadPhase(_weights(after), runs_after)]
            )
            for before, after in services
        )

    def _targets(self) -> list[TrafficTarget]:
        return [
            TrafficTarget(
                service=service.name,
                listener=service.listener,
                share=sum(member.slots for member in service.members),
            )
            for service in self._example_before.services()
        ]


def lower_one_weight(example: Example) -> Example:
    """Return the example with the first member's weight lowered to a quarter."""
    weights = {m.address: m.weight for service in example.services() for m in service.members}
    tenant = example.tenants[0]
    name = next(
        name
        for name, parameter in example.template.parameters.items()
        if parameter.shape.type is ParameterType.MEMBERS and name in tenant.values
    )
    first, *others = tenant.values[name]
    weight = next(w for address, w in weights.items() if str(address) == first["address"])
    lowered = {**first, "weight": max(1, weight // WEIGHT_DIVISOR)}
    values = {**tenant.values, name: [lowered, *others]}
    changed: Tenant = msgspec.structs.replace(tenant, values=values)
    return example.with_tenants((changed, *example.tenants[1:]))


def _weights(service: RenderedService) -> dict[str, int]:
    return {member.host: member.weight for member in service.members}


def _short_runs(journal: list[JournalRecord]) -> Counter[str]:
    return Counter(record.host for record in journal if record.ran and record.path != STREAM_PATH)
