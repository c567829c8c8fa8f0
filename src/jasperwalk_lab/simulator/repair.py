"""Replaces a control replica that lost its disk, as an operator does: remove, add, promote."""

from __future__ import annotations

import asyncio
from random import Random

from jasperwalk.control.peer_messages import (
    ReplicaAddition,
    ReplicaChange,
    ReplicaPromotion,
    ReplicaRemoval,
)
from jasperwalk.errors import JasperwalkError
from jasperwalk_lab.simulator.hosts import ControlHost
from jasperwalk_lab.simulator.world import World

STEP_SECONDS = 0.5
MAX_REPAIR_SECONDS = 60.0


async def replace_replica(world: World, host: ControlHost, random: Random) -> None:
    """Wipe a machine's disk, restart it, and make it a voter under a new replica ID."""
    lost = host.replica_id
    new = world.new_replica_id()
    host.wipe(new)
    await asyncio.sleep(random.uniform(0.5, 2.0))
    host.start()
    until = world.now + MAX_REPAIR_SECONDS
    while world.now < until:
        step = _next_step(world, host, lost, new)
        if step is None:
            world.record.trace(world.now, f"repaired {host.name} as {new}")
            return
        await _propose(world, step)
        await asyncio.sleep(STEP_SECONDS)
    world.record_violation(f"repair-stuck: replica {lost} as {new}")


def _next_step(world: World, host: ControlHost, lost: int, new: int) -> ReplicaChange | None:
    leader = world.leader()
    if leader is None or leader.replica is None:
        return ReplicaRemoval(lost)
    members = leader.replica.runner.membership
    if members.find(lost) is not None:
        return ReplicaRemoval(lost)
    found = members.find(new)
    if found is None:
        return ReplicaAddition(new, host.endpoint)
    return None if found.voting else ReplicaPromotion(new)


async def _propose(world: World, step: ReplicaChange) -> None:
    leader = world.leader()
    if leader is None or leader.replica is None or leader.process is None:
        return
    change = leader.replica.change_replicas

    async def propose() -> None:
        try:
            await change(step)
        except JasperwalkError as error:
            world.record.trace(world.now, f"repair {type(step).__name__} {error.kind}")

    # The operator stops waiting after this time; the proposal continues.
    await asyncio.wait([leader.process.start(propose())], timeout=2.0)
