"""Open flows are reset when agents and balancers are restarted, after flows opened in an evacuation.

TROUBLE=0 leaves all planned work out, TROUBLE=restarts the evacuation alone.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from plane import Plane, finish, now, run

AGENTS, BALANCERS, ZONES = 30, 4, ("a", "b", "c")
CLIENTS = 400
PAUSE_S = (4.0, 9.0)
"""Pause of a client between two requests on its flow, less than `idleTimeoutMs` (15 s)."""
EVACUATED, EVACUATION_S = "c", 14.0
ROLL_SHARE, ROLL_AT_ONCE, ROLL_GAP_S = 0.3, 4, 1.3
BALANCER_SHARE = 0.45


async def client(plane: Plane, begins_in: float) -> None:
    """Keep one flow for many requests, with pauses; a lost flow is opened anew."""
    await asyncio.sleep(begins_in)
    while True:
        flow = await plane.client.open(plane.listener)
        if flow is None:
            await asyncio.sleep(0.5)
            continue
        while not flow["reset"] and not flow["closed"]:
            if await plane.client.request(flow) != "answered":
                break
            await asyncio.sleep(random.uniform(*PAUSE_S))
        plane.client.finish(flow)


async def restart(plane: Plane, name: str) -> None:
    await plane.processes[name].stop()
    await asyncio.sleep(0.3)
    await plane.processes[name].start()


async def roll(plane: Plane, names: list[str], share: float, at_once: int) -> None:
    """Stop and start a share of the processes, some at a time."""
    chosen = random.sample(names, max(1, round(share * len(names))))
    async with asyncio.TaskGroup() as group:
        for first in range(0, len(chosen), at_once):
            for name in chosen[first:first + at_once]:
                group.create_task(restart(plane, name))
            await asyncio.sleep(ROLL_GAP_S)


async def end_evacuation(plane: Plane) -> None:
    await asyncio.sleep(EVACUATION_S)
    await plane.order("DELETE", f"/evacuations/{EVACUATED}")


async def case(plane: Plane) -> int:
    trouble = os.environ.get("TROUBLE", "1")
    evacuates, restarts = trouble not in ("0", "restarts"), trouble != "0"
    if evacuates and not await plane.order("POST", f"/evacuations/{EVACUATED}"):
        print("cannot run: the evacuation was not taken")
        return 2
    began = now()
    await asyncio.sleep(1.0)
    clients = [asyncio.create_task(client(plane, random.uniform(0.0, 3.0)))
               for _ in range(CLIENTS)]
    ending = asyncio.create_task(end_evacuation(plane)) if evacuates else None
    agents, balancers = list(plane.hosts), list(plane.balancers)
    for at in (6.0, 12.0, 18.0):
        await asyncio.sleep(max(0.0, began + at - now()))
        if restarts:
            await asyncio.gather(roll(plane, agents, ROLL_SHARE, ROLL_AT_ONCE),
                                 roll(plane, balancers, BALANCER_SHARE, 1))
    await asyncio.sleep(max(0.0, began + 32.0 - now()))
    if ending is not None:
        await ending
    for each in clients:
        each.cancel()
    await asyncio.gather(*clients, return_exceptions=True)

    # FLOW (a): a client receives a reset that its flow's host did not send, while that host lives
    # and has the flow open. No host ends here, and none resets a flow.
    broken = [each for each in plane.resets if each["holder"] is not None and each["sum"] == 0]
    opened = sum(each["first"] for each in plane.openings)
    text = (f"open flows reset while their host was alive: {len(broken)}; flows opened: {opened}; "
            f"resets in all: {len(plane.resets)}")
    plane.record.note("result", text=text)
    print(text)
    if opened < CLIENTS / 2:
        print("cannot run: there was no traffic")
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    finish(run(case, Path(__file__).resolve().parent, AGENTS, BALANCERS, ZONES))
