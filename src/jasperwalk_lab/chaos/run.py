"""One chaos run: a fleet, traffic, operators and faults at the same time, then the verdict."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from pathlib import Path

import aiohttp
import msgspec
import psutil

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.caller import Caller
from jasperwalk_lab.chaos.actions import FaultActions
from jasperwalk_lab.chaos.api import ChangeAnswer, NotDecided, ReplicaApi
from jasperwalk_lab.chaos.fleet import ChaosFleet
from jasperwalk_lab.chaos.injector import Injector
from jasperwalk_lab.chaos.observations import Observations
from jasperwalk_lab.chaos.operators import Operators
from jasperwalk_lab.chaos.report import ChaosReport
from jasperwalk_lab.chaos.revisions import RevisionSampler, read_revision
from jasperwalk_lab.chaos.schedule import plan_faults
from jasperwalk_lab.chaos.traffic import ChaosTraffic
from jasperwalk_lab.chaos.verdict import FinalState, RunRecord, judge
from jasperwalk_lab.example import load_example
from jasperwalk_lab.fleet import make_run_folder
from jasperwalk_lab.fleet_settings import agent_name
from jasperwalk_lab.operations import CallHistory
from jasperwalk_lab.traffic import TrafficTarget

QUIET_SECONDS = 2.0
"""Time for which traffic continues after the last fault was undone."""
CURRENT_TIMEOUT_SECONDS = 15.0
CURRENT_POLL_SECONDS = 0.05
FINAL_IN_FORCE_SECONDS = 15.0
OUTCOME_ATTEMPTS = 40
HISTORY_FILE = "history.json"
"""File in the run's folder with all records."""
MAX_OVERTIME_SECONDS = 120.0
"""Time that a run may take beyond its own length before it is aborted."""

Progress = Callable[[str], None]


async def run_chaos(
    example_name: str, seconds: float, seed: int, runs: Path, progress: Progress
) -> ChaosReport:
    """Run one fleet under faults for `seconds`; logs and journals stay in a folder of `runs`."""
    started_at = asyncio.get_running_loop().time()
    load_before = psutil.getloadavg()[0]
    run_folder = make_run_folder(runs, f"chaos-{example_name}")
    progress(f"run folder {run_folder}, seed {seed}")
    async with ChaosFleet(load_example(example_name), run_folder, seed) as fleet:
        await fleet.start()
        chaos = ChaosRun(fleet, seconds, seed, progress)
        async with asyncio.timeout(seconds + MAX_OVERTIME_SECONDS):
            await chaos.run()
            final = await chaos.final_state()
        flows = await fleet.flows()
        progress("stopping the fleet")
    record = RunRecord(
        example=example_name,
        seed=seed,
        seconds=seconds,
        calls=chaos.calls,
        changes=chaos.operators.history,
        observations=chaos.observations,
        happened=chaos.injector.happened,
        samples=chaos.sampler.samples,
        final=final,
        journal=fleet.read_journals(),
        flows=flows,
        processes=fleet.supervisor.max_running,
        duration_seconds=asyncio.get_running_loop().time() - started_at,
        load_average_before=load_before,
        load_average_after=psutil.getloadavg()[0],
        cores=psutil.cpu_count() or 0,
    )
    (run_folder / HISTORY_FILE).write_bytes(msgspec.json.encode(record))
    return judge(record)


class ChaosRun:
    """The parts of a run on a started fleet."""

    def __init__(self, fleet: ChaosFleet, seconds: float, seed: int, progress: Progress) -> None:
        self._fleet = fleet
        self._progress = progress
        self._planned = plan_faults(fleet.facts(), seconds, seed)
        self._initial_revision = 0
        self.calls = CallHistory()
        self.observations = Observations()
        example = fleet.layout.example
        self.operators = Operators(example, fleet.control_apis, random.Random(seed + 1))
        actions = FaultActions(
            fleet, self.observations, self.operators.make_changes, self._wait_current
        )
        self.injector = Injector(actions, progress)
        self.sampler = RevisionSampler(self._follower_admins())
        caller = Caller(f"chaos{seed}", fleet.certificates.ca_file, self.calls)
        self._traffic = ChaosTraffic(caller, self._targets(), random.Random(seed), seconds)

    async def run(self) -> None:
        """Run everything until the last fault is undone and traffic has ended."""
        self._initial_revision = await self._tenant_revision(self._fleet.control_apis()[0])
        sampling = asyncio.create_task(self.sampler.run())
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._traffic.run())
            tasks.create_task(self.operators.run_races())
            await self.injector.run(self._planned)
            self._progress("the last fault is undone")
            await asyncio.sleep(QUIET_SECONDS)
            self.operators.stop()
            self._traffic.stop()
        await self.operators.close()
        sampling.cancel()
        await asyncio.gather(sampling, return_exceptions=True)

    async def final_state(self) -> FinalState:
        """Wait until all processes have the newest revision; return what they and control hold."""
        expected_revision = await self._newest_table_revision()
        final = FinalState(self.operators.raced_tenant, self._initial_revision)
        final.table_revision = expected_revision
        final.process_revisions = await self._wait_all_current(expected_revision)
        final.ended_processes = self._fleet.supervisor.ended_unexpectedly()
        for slot, place in self._fleet.control_slots.items():
            final.tenant_revisions[slot] = await self._tenant_revision(place.api)
            final.outcomes[slot] = await self._outcomes(place.api)
        return final

    async def _outcomes(self, replica: Endpoint) -> dict[str, ChangeAnswer]:
        """Ask a replica for the outcome of every change."""
        api = ReplicaApi()
        found: dict[str, ChangeAnswer] = {}
        for change in self.operators.history.changes:
            found[change.change_id] = await _wait_decided(api, replica, change.change_id)
        await api.close()
        return found

    async def _tenant_revision(self, replica: Endpoint) -> int:
        api = ReplicaApi()
        view = await api.tenant(replica, self.operators.raced_tenant)
        await api.close()
        return 0 if view is None else view.revision

    async def _newest_table_revision(self) -> int:
        """Return the newest revision of any replica."""
        timeout = aiohttp.ClientTimeout(total=CURRENT_POLL_SECONDS * 20)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            apis = self._fleet.control_apis()
            return max([await read_revision(session, api) for api in apis])

    async def _wait_all_current(self, expected_revision: int) -> dict[str, int]:
        """Wait until each follower and replica has `expected_revision`; return their revisions."""
        admins = self._running_admins()
        deadline = asyncio.get_running_loop().time() + FINAL_IN_FORCE_SECONDS
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                found = {name: await read_revision(session, at) for name, at in admins.items()}
                expired = asyncio.get_running_loop().time() > deadline
                if expired or all(revision >= expected_revision for revision in found.values()):
                    return found
                await asyncio.sleep(CURRENT_POLL_SECONDS)

    async def _wait_current(self, process: str, since: float) -> float:
        """Wait until a process has the newest accepted change; return seconds from `since`."""
        expected_revision = self.operators.history.newest_revision()
        admin = self._running_admins()[process]
        loop = asyncio.get_running_loop()
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with (
            asyncio.timeout(CURRENT_TIMEOUT_SECONDS),
            aiohttp.ClientSession(timeout=timeout) as session,
        ):
            while await read_revision(session, admin) < expected_revision:
                await asyncio.sleep(CURRENT_POLL_SECONDS)
        return loop.time() - since

    def _follower_admins(self) -> dict[str, Endpoint]:
        """Return the admin endpoints of all balancers and agents, by process name."""
        layout = self._fleet.layout
        balancers = (*layout.balancers, *layout.spare_balancers)
        admins = {place.name: place.admin for place in balancers}
        admins.update({agent_name(member): member.admin for member in layout.members})
        return admins

    def _running_admins(self) -> dict[str, Endpoint]:
        """Return the health pages of the balancers, agents and replicas that run now."""
        admins = self._follower_admins()
        admins.update({place.name: place.api for place in self._fleet.control_slots.values()})
        return {name: at for name, at in admins.items() if self._fleet.supervisor.runs(name)}

    def _targets(self) -> list[TrafficTarget]:
        return [
            TrafficTarget(
                service=service.name,
                listener=service.listener,
                share=sum(member.slots for member in service.members),
            )
            for service in self._fleet.layout.example.services()
        ]


async def _wait_decided(api: ReplicaApi, replica: Endpoint, change_id: str) -> ChangeAnswer:
    """Return an outcome; ask again a limited number of times while the replica does not know it."""
    answer = await api.change(replica, change_id)
    for _ in range(OUTCOME_ATTEMPTS):
        if not isinstance(answer, NotDecided):
            break
        await asyncio.sleep(CURRENT_POLL_SECONDS)
        answer = await api.change(replica, change_id)
    return answer
