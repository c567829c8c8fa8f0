"""Runs one soak: starts the processes and stand-ins, injects the faults, and writes the report.

The seed decides the schedule of faults and the traffic; the history is checked at the end.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.fleet import make_run_folder
from jasperwalk_lab.soak.callers import Callers, Router
from jasperwalk_lab.soak.checks import RECOVERY_SECONDS, check_all
from jasperwalk_lab.soak.faults import FaultSelection
from jasperwalk_lab.soak.fleet import SERVICES, SIZES, ZONES, SoakFleet, SoakSize
from jasperwalk_lab.soak.history import MachineStall, ProcessResources, SoakHistory
from jasperwalk_lab.soak.hosts import COLD_SECONDS, SoakHost
from jasperwalk_lab.soak.http_calls import HttpCaller
from jasperwalk_lab.soak.injector import SoakInjector
from jasperwalk_lab.soak.operators import Operators
from jasperwalk_lab.soak.overload import FAULT_FREE_SECONDS, plan_with_overload
from jasperwalk_lab.soak.report import SoakReport, make_report, write_page
from jasperwalk_lab.soak.routes import ROUTES, route_of
from jasperwalk_lab.soak.running_hosts import RunningHosts
from jasperwalk_lab.soak.schedule import plan_planned_work
from jasperwalk_lab.soak.surges import SurgeCallers
from jasperwalk_lab.soak.wire import READY_PATH, SoakConfiguration, SoakRoute

COLD_FLOWS_PER_SECOND = 8.0
MAX_COLD_FLOWS_PER_SECOND = 8
"""The limit that agents enforce; the check counts the flows that reach the hosts."""
LONG_PAUSE_SECONDS = 0.6
IDLE_PAUSE_SECONDS = 5.0
"""Average pause of callers whose flows are idle for seconds; the idle limit is 15 s."""
READY_SECONDS = 60.0
FIRST_SAMPLE_SECONDS = 1.5
PROGRESS_SECONDS = 5.0
MONITOR_INTERVAL_SECONDS = 0.2
STALL_SECONDS = 0.5
"""Lateness of the run's own event loop that is recorded as a stall of the machine."""
OBSERVATION_SECONDS = RECOVERY_SECONDS + 4.0
"""Time after the last fault in which the recovery of requests and hosts is observed."""
OK_STATUS = 200

Progress = Callable[[str], None]


async def run_soak(
    seconds: float,
    seed: int,
    runs: Path,
    progress: Progress,
    size: SoakSize = SIZES["small"],
    selection: FaultSelection = FaultSelection.ALL,
) -> SoakReport:
    """Run one soak; its logs, history and report are in a new folder of `runs`."""
    folder = make_run_folder(runs, f"soak-{seed}")
    progress(f"run folder {folder}, seed {seed}")
    async with SoakFleet(folder, random.Random(f"links {seed}"), size) as fleet:
        soak = Soak(fleet, size, seconds, seed, progress, selection)
        await soak.run()
        progress("stopping the processes")
    violations = check_all(soak.history, MAX_COLD_FLOWS_PER_SECOND)
    report = make_report(seed, seconds, soak.history, violations)
    (folder / "history.json").write_bytes(msgspec.json.encode(vars(soak.history)))
    (folder / "report.json").write_bytes(msgspec.json.encode(report))
    write_page(folder / "report.html", report, soak.history)
    progress(f"report {folder / 'report.html'}")
    return report


class Soak:
    """A run on started processes: its stand-ins, its schedule and its history."""

    def __init__(
        self,
        fleet: SoakFleet,
        size: SoakSize,
        seconds: float,
        seed: int,
        progress: Progress,
        selection: FaultSelection,
    ) -> None:
        self._fleet = fleet
        self._size = size
        self._progress = progress
        if selection is FaultSelection.PLANNED:
            self._seconds = seconds
            self._planned = plan_planned_work(fleet.targets(), seconds, seed)
        else:
            self._seconds = FAULT_FREE_SECONDS + seconds
            self._planned = plan_with_overload(fleet.targets(), seconds, seed)
        self._began_at = time.monotonic()
        self._rng = random.Random(f"traffic {seed}")
        self.history = SoakHistory()
        self._hosts = RunningHosts(self._make_host)
        self._router = Router(fleet.balancers, fleet.supervisor.exists)
        self._callers = Callers(
            fleet.callers,
            self._router,
            self._clock,
            self.history,
            self._hosts.all,
            route_of,
            self._rng,
        )
        normal_requests_per_second = (
            size.short_requests_per_second + size.long_callers / LONG_PAUSE_SECONDS
        )
        surge_callers = SurgeCallers(
            self._callers.request_once, ROUTES, ZONES, normal_requests_per_second, self._rng
        )
        self._operators = Operators(
            fleet.replicas(), _configuration, self._clock, self.history, self._rng
        )
        self._injector = SoakInjector(
            fleet,
            self._hosts,
            self._operators,
            surge_callers,
            self._clock,
            self.history,
            progress,
            self._rng,
        )
        self._first_sample: dict[str, tuple[int, int]] = {}

    def _clock(self) -> float:
        return time.monotonic() - self._began_at

    def _make_host(self, agent: str, number: int, generation: int, is_cold: bool) -> SoakHost:
        return SoakHost(
            self._fleet.hosts[agent],
            number,
            generation,
            self._clock,
            self.history,
            route_of,
            self._rng,
            is_cold,
        )

    async def run(self) -> None:
        """Start the service, run traffic and faults, and read the configuration back at the end."""
        await self._callers.start()
        for agent in self._fleet.hosts:
            await self._hosts.start(agent, is_cold=False)
        await self._operators.configure()
        await self._wait_until_ready()
        self._began_at = time.monotonic()
        self._discard_startup()
        background = [
            asyncio.create_task(job)
            for job in (
                self._router.run(),
                self._operators.change_configurations(),
                self._operators.read_repeatedly(),
                self._monitor(),
                self._short_requests(),
                *self._long_requests(self._size.long_callers, LONG_PAUSE_SECONDS),
                *self._long_requests(self._size.idle_callers, IDLE_PAUSE_SECONDS),
            )
        ]
        try:
            await self._injector.run(self._planned)
            # Long enough for the recovery checks, also where a fault ended late.
            await asyncio.sleep(max(OBSERVATION_SECONDS, self._seconds - self._clock()))
        finally:
            await _cancel(background)
        self.history.ends_at = self._clock()
        self.history.hosts_at_end.extend(self._hosts.descriptions())
        await self._operators.read_at_end()
        self._record_resources()
        self._callers.close()
        for host in self._hosts.all():
            await host.crash()

    def _discard_startup(self) -> None:
        """Count times from here, without openings before; acknowledged configurations stay."""
        self.history.openings.clear()
        self.history.hosts_began = [
            msgspec.structs.replace(each, at=0.0) for each in self.history.hosts_began
        ]
        for host in self._hosts.all():
            host.started_at = -COLD_SECONDS

    async def _wait_until_ready(self) -> None:
        caller = HttpCaller()
        async with asyncio.timeout(READY_SECONDS):
            for place in self._fleet.balancers:
                while (await caller.call(place.ready, "GET", READY_PATH)).status != OK_STATUS:
                    await asyncio.sleep(0.1)

    def _long_requests(self, callers: int, pause_seconds: float) -> list[Coroutine[Any, Any, None]]:
        return [
            self._callers.request_repeatedly(ROUTES[number % len(ROUTES)].listener, pause_seconds)
            for number in range(callers)
        ]

    async def _short_requests(self) -> None:
        async with asyncio.TaskGroup() as tasks:
            while True:
                listener = self._rng.choice(ROUTES).listener
                tasks.create_task(self._callers.request_once(listener))
                await asyncio.sleep(self._rng.expovariate(self._size.short_requests_per_second))

    async def _monitor(self) -> None:
        """Record stalls and processes that ended by themselves, and report progress."""
        reported_at = 0.0
        while True:
            slept_at = self._clock()
            await asyncio.sleep(MONITOR_INTERVAL_SECONDS)
            late_seconds = self._clock() - slept_at - MONITOR_INTERVAL_SECONDS
            if late_seconds > STALL_SECONDS:
                self.history.stalls.append(MachineStall(self._clock(), round(late_seconds, 2)))
            for name in self._fleet.supervisor.ended_unexpectedly():
                if name not in self.history.ended_processes:
                    self.history.ended_processes.append(name)
            if not self._first_sample and self._clock() > FIRST_SAMPLE_SECONDS:
                self._first_sample = {n: each.use() for n, each in self._fleet.processes.items()}
            if self._clock() - reported_at >= PROGRESS_SECONDS:
                reported_at = self._clock()
                self._report_progress(reported_at)

    def _report_progress(self, now: float) -> None:
        counts = Counter(each.outcome.value for each in self.history.requests)
        summary = ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
        faults = "; ".join(self._injector.now) or "none"
        self._progress(f"{now:6.1f} s of {self._seconds:.0f}  {summary}  faults now: {faults}")

    def _record_resources(self) -> None:
        for name, process in self._fleet.processes.items():
            first, last = self._first_sample.get(name, (0, 0)), process.use()
            if all(first) and all(last):
                use = ProcessResources(name, first[0], last[0], first[1], last[1])
                self.history.uses.append(use)


def _configuration(version: int) -> SoakConfiguration:
    idle = SoakRoute(Endpoint("198.18.0.2", 1000 + version % 1000), SERVICES[0])
    return SoakConfiguration(version, (*ROUTES, idle), COLD_SECONDS, COLD_FLOWS_PER_SECOND)


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
