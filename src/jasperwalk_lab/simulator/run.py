"""One run: a scenario under a seed, from the start of the fleet to the verdicts."""

from __future__ import annotations

import asyncio
import gc
import logging
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import structlog

from jasperwalk.control.replica import ControlReplica
from jasperwalk_lab.history import HistoryReport
from jasperwalk_lab.simulator.caller import Caller
from jasperwalk_lab.simulator.clock import VirtualLoop
from jasperwalk_lab.simulator.disk import Disk
from jasperwalk_lab.simulator.faults import Fault, FaultInjector
from jasperwalk_lab.simulator.operators import Administrator, Operator, OperatorClient
from jasperwalk_lab.simulator.scenarios import Scenario
from jasperwalk_lab.simulator.system_substitutes import Replacement, replaced, system_replacements
from jasperwalk_lab.simulator.verdicts import (
    Measures,
    check_calls,
    check_changes,
    check_drains,
    check_in_force,
    check_outcomes_kept,
    check_revisions,
    measure_catch_up,
    measure_leader_gaps,
)
from jasperwalk_lab.simulator.world import World

READY_TIMEOUT_SECONDS = 30.0
SETTLE_SECONDS = 6.0
"""Quiet time after the last fault, in which everything has to come right."""
SETTLE_TIMEOUT_SECONDS = 40.0
CALLERS_PER_SERVICE = 4
OPERATOR_COUNT = 3


@dataclass(frozen=True)
class Defect:
    """A deliberate defect for a run: names replaced, or another kind of disk."""

    replacements: tuple[Replacement, ...] = ()
    disk_class: type[Disk] = Disk


@dataclass
class RunResult:
    """What came of a run."""

    scenario: str
    seed: int
    violations: list[str]
    trace_hash: str
    faults: list[str]
    measures: Measures
    report: HistoryReport = field(default_factory=HistoryReport)
    changes: int = 0
    accepted: int = 0
    not_connected: int = 0
    events: list[str] = field(default_factory=list)


def planned_faults(scenario: Scenario, seed: int) -> list[Fault]:
    """Return the timetable that a seed gives."""
    return scenario.plan(scenario.layout, Random(f"{seed}-{scenario.name}"))


def run_scenario(
    scenario: Scenario,
    seed: int,
    defect: Defect | None = None,
    faults: Sequence[Fault] | None = None,
    trace_file: Path | None = None,
) -> RunResult:
    """Run a scenario, with its own faults or with a part of them."""
    chosen = list(planned_faults(scenario, seed) if faults is None else faults)
    applied = defect or Defect()
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet, cache_logger_on_first_use=False)
    loop = VirtualLoop()
    try:
        with replaced([*system_replacements(), *applied.replacements]):
            result = loop.run_until_complete(_Run(scenario, seed, chosen, applied).perform())
        result.violations.extend(f"process-failed: {each}" for each in loop.failures[:3])
    finally:
        loop.close()
        del loop
        _discard_processes()
        structlog.reset_defaults()
    if trace_file is not None:
        trace_file.write_text("\n".join(result.events) + "\n")
    return result


def _discard_processes() -> None:
    """Drop what the run's processes left, without the noise of their unfinished tasks."""
    hook, sys.unraisablehook = sys.unraisablehook, lambda _: None
    try:
        gc.collect()
    finally:
        sys.unraisablehook = hook


class _Run:
    """The steps of one run."""

    def __init__(self, scenario: Scenario, seed: int, faults: list[Fault], defect: Defect) -> None:
        self._scenario = scenario
        self._seed = seed
        self._faults = faults
        self._defect = defect
        self._measures = Measures()
        self._report = HistoryReport()

    async def perform(self) -> RunResult:
        """Start the fleet, disturb it, let it settle, judge it."""
        world = World(self._seed, self._scenario.layout, self._defect.disk_class)
        administrator = Administrator(self._operator_client(world, 0))
        world.start()
        await administrator.set_up()
        if not await self._wait_until(world, world.ready, READY_TIMEOUT_SECONDS, "fleet-not-ready"):
            return self._result(world)
        injector = FaultInjector(world, administrator)
        tasks = [*self._start_operators(world), *self._start_callers(world)]
        await injector.run(self._faults)
        await asyncio.sleep(SETTLE_SECONDS)
        world.traffic = False
        await asyncio.wait(tasks, timeout=SETTLE_TIMEOUT_SECONDS)
        await self._wait_until(
            world, lambda: _is_settled(world), SETTLE_TIMEOUT_SECONDS, "fleet-not-settled"
        )
        self._check_run(world)
        return self._result(world)

    def _operator_client(self, world: World, number: int) -> OperatorClient:
        name = f"operator-{number}"
        side = world.controls[number % len(world.controls)]
        world.operator_sides[name] = side.name
        return OperatorClient(world, name, side.zone, Random(f"{self._seed}-{name}"))

    def _start_operators(self, world: World) -> list[asyncio.Task[None]]:
        operator_clients = [
            self._operator_client(world, number) for number in range(1, OPERATOR_COUNT + 1)
        ]
        return [
            operator_client.process.start(Operator(operator_client).run())
            for operator_client in operator_clients
        ]

    def _start_callers(self, world: World) -> list[asyncio.Task[None]]:
        tasks: list[asyncio.Task[None]] = []
        for service in world.layout.services:
            for number in range(CALLERS_PER_SERVICE):
                name = f"{service.name}-caller-{number}"
                random = Random(f"{self._seed}-{name}")
                caller = Caller(world.clients, name, service.name, random)
                tasks.append(world.clients.start(caller.run()))
        return tasks

    async def _wait_until(
        self, world: World, condition: Callable[[], bool], seconds: float, violation: str
    ) -> bool:
        until = world.now + seconds
        while not condition():
            if world.now >= until:
                world.record_violation(f"{violation}: within {seconds} s")
                return False
            await asyncio.sleep(0.05)
        return True

    def _check_run(self, world: World) -> None:
        record = world.record
        controls = [each.name for each in world.controls]
        for host in world.controls:
            if host.replica is not None:
                self._check_replica(world, host.name, host.replica)
        arrivals = {host: program.arrivals for host, program in world.programs.items()}
        journal = [each.record for host in arrivals.values() for each in host]
        self._report, broken = check_calls(record, journal)
        newest = world.any_replica()
        revisions = (
            {}
            if newest is None
            else {one.tenant.name: one.revision for one in newest.state.tenants()}
        )
        findings = [
            *broken,
            *check_changes(record.changes, revisions),
            *check_drains(record, arrivals, self._measures),
            *check_in_force(
                record,
                [each.name for each in world.balancers],
                controls,
                self._measures,
                world.now,
            ),
            *check_revisions(record),
            *_differing_tables(world),
        ]
        measure_leader_gaps(record, controls, self._measures)
        measure_catch_up(record, self._measures)
        for finding in findings:
            world.record_violation(finding)

    def _check_replica(self, world: World, name: str, replica: ControlReplica) -> None:
        found = {
            change.change_id: replica.state.outcome_of(change.change_id)
            for change in world.record.changes
        }
        for finding in check_outcomes_kept(world.record.changes, name, found):
            world.record_violation(finding)

    def _result(self, world: World) -> RunResult:
        record = world.record
        accepted = sum(
            any(outcome.accepted for outcome in change.outcomes) for change in record.changes
        )
        return RunResult(
            scenario=self._scenario.name,
            seed=self._seed,
            violations=list(record.violations),
            trace_hash=record.trace_hash(),
            faults=[fault.describe() for fault in self._faults],
            measures=self._measures,
            report=self._report,
            changes=len(record.changes),
            accepted=accepted,
            not_connected=record.not_connected,
            events=record.events,
        )


def _is_settled(world: World) -> bool:
    """Tell whether all replicas hold the same, and all followers are current."""
    replicas = [each.replica for each in world.controls]
    if any(each is None for each in replicas) or world.leader() is None:
        return False
    indices = {each.state.last_index for each in replicas if each is not None}
    return len(indices) == 1 and world.ready()


def _differing_tables(world: World) -> list[str]:
    """Name the balancers whose table is not the one that control accepted."""
    replica = world.any_replica()
    if replica is None:
        return ["no-replica: none runs after the run"]
    table = replica.state.table
    wanted = set(table.entries())
    return [
        f"table-differs: {each.name}"
        for each in world.balancers
        if each.balancer is not None and set(each.balancer._follower.table.entries()) != wanted
    ]
