"""One scale run at one size, from the first process to the last figure."""

from __future__ import annotations

import random
import time
from pathlib import Path

import psutil

from jasperwalk_lab.fleet import make_run_folder
from jasperwalk_lab.fleet_settings import CLUSTER_ID
from jasperwalk_lab.scale.errors import MemoryBudgetExceeded
from jasperwalk_lab.scale.figures import RecoveryFigures, ScaleFigures
from jasperwalk_lab.scale.fleet import ScaleFleet
from jasperwalk_lab.scale.measuring import Meter
from jasperwalk_lab.scale.phases import (
    RunningFleet,
    changes,
    idle,
    join,
    kill_leader,
    restart_rack,
    return_region,
)
from jasperwalk_lab.scale.plan import ScaleSize, plan_shares
from jasperwalk_lab.scale.pool import HollowPool
from jasperwalk_lab.scale.waiting import Progress

MEMORY_SHARE = 0.4
"""Share of the machine's memory that a run may take; half of it is the users' limit."""


async def run_scale(size: ScaleSize, seed: int, runs: Path, progress: Progress) -> ScaleFigures:
    """Run all phases; logs, settings and data stay in a new folder under `runs`.

    Raises `MemoryBudgetExceeded`, and what the fleet and the hollow processes raise.
    """
    began = time.monotonic()
    load_before = psutil.getloadavg()[0]
    run_folder = make_run_folder(runs, f"scale-{size.balancers}-{size.agents}-{size.services}")
    progress(f"run folder {run_folder}, seed {seed}, load average {load_before:.1f}")
    async with ScaleFleet(size, run_folder, seed) as fleet, HollowPool(run_folder / "logs") as pool:
        await pool.start(plan_shares(size, fleet.members))
        await fleet.start_control()
        progress(f"{len(pool.handles)} hollow processes and control are up; submitting")
        submitting = time.monotonic()
        await fleet.submit_configuration()
        submit_seconds = time.monotonic() - submitting
        progress(f"{size.services} tenants accepted in {submit_seconds:.1f} s")
        await fleet.start_nodes()
        meter = Meter(fleet, pool)
        async with fleet.control_client() as control:
            running = RunningFleet(fleet, pool, meter, control, random.Random(seed), progress)
            return await _measure(running, seed, began, load_before, submit_seconds)


async def _measure(
    running: RunningFleet, seed: int, began: float, load_before: float, submit_seconds: float
) -> ScaleFigures:
    size, progress, meter = running.fleet.size, running.progress, running.meter
    empty = await meter.sample(with_nodes=False)
    await running.pool.configure(CLUSTER_ID, running.fleet.control_endpoints, seed)
    joined = await join(running, submit_seconds)
    progress(
        f"joined: agents current after {_seconds(joined.agents_seconds)}, "
        f"balancers after {_seconds(joined.balancers_seconds)}"
    )
    _check_memory(meter, (await meter.sample()).resident_bytes())
    idled, idle_span = await idle(running, empty)
    progress(
        f"idle: balancer {idled.hollow_balancer.core_share:.3%} of a core, "
        f"agent {idled.hollow_agent.core_share:.3%}, control "
        + ", ".join(f"{each.core_share:.1%}" for each in idled.control)
    )
    changed = await changes(running, idle_span)
    everywhere = changed.last_node_from_submission
    progress(
        f"changes: on a node p99 {changed.in_force_from_submission.p99_ms:.0f} ms, "
        f"everywhere p50 {everywhere.p50_ms:.0f} ms, max {everywhere.max_ms:.0f} ms"
    )
    killed = await kill_leader(running)
    progress(f"killed leader: {_recovered(killed.until_fresh)}")
    rack = await restart_rack(running)
    progress(f"rack: {_recovered(rack.recovery)}")
    region = await return_region(running)
    progress(f"region: {_recovered(region.recovery)}")
    _check_memory(meter, meter.peak_resident_bytes)
    return ScaleFigures(
        balancers=size.balancers,
        agents=size.agents,
        services=size.services,
        entries=size.entries,
        seed=seed,
        seconds=time.monotonic() - began,
        hollow_processes=len(running.pool.handles),
        peak_resident_bytes=meter.peak_resident_bytes,
        load_average_before=load_before,
        join=joined,
        idle=idled,
        changes=changed,
        killed_leader=killed,
        rack=rack,
        region=region,
        failures=running.failures,
    )


def _check_memory(meter: Meter, used_bytes: int) -> None:
    limit_bytes = int(psutil.virtual_memory().total * MEMORY_SHARE)
    if max(used_bytes, meter.peak_resident_bytes) > limit_bytes:
        raise MemoryBudgetExceeded(used_bytes=used_bytes, limit_bytes=limit_bytes)


def _seconds(seconds: float | None) -> str:
    return "not in time" if seconds is None else f"{seconds:.1f} s"


def _recovered(recovery: RecoveryFigures) -> str:
    return (
        f"{_seconds(recovery.seconds)} until current, fresh at the least "
        f"{recovery.lowest_fresh} of {recovery.nodes}, control's peak "
        f"{recovery.control_peak_core_share:.0%} of a core"
    )
