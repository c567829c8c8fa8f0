"""A host that left with `DELETE` gets new flows again after the agent beside it was restarted."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from plane import BOUNDS, Plane, finish, now, run

LATE_S = 2.5
"""How late the host's last heartbeat comes: "A heartbeat may come seconds late."."""
SERVES_ON_S = 9.0
"""The host serves for `drainMs` after the acknowledgement and "at times many seconds" more."""
AGENT = "side-0"


async def one_request(plane: Plane) -> None:
    flow = await plane.client.open(plane.listener)
    if flow is None:
        plane.record.note("not-opened")
        return
    await plane.client.request(flow)
    plane.client.finish(flow)


async def clients(plane: Plane) -> None:
    """Forty new flows a second with one request each."""
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(one_request(plane))
            await asyncio.sleep(0.025 * random.uniform(0.8, 1.2))


async def case(plane: Plane) -> int:
    host, agent = plane.hosts[AGENT], plane.processes[AGENT]
    traffic = asyncio.create_task(clients(plane))
    await asyncio.sleep(4.0)

    # The host's last heartbeat is sent, held up on its way, and then the host leaves.
    host.beats = False
    await asyncio.sleep(BOUNDS["heartbeat_s"] + 0.3)
    late, sent_at = host.heartbeat(), now()
    plane.record.note("heartbeat-sent", host=host.name, call=host.call_seq)
    await asyncio.sleep(0.1)
    left_at = await host.leave()

    in_touch_at = 0.0
    if plane.trouble:
        # Planned work: the node beside the host is stopped and started.
        await asyncio.sleep(0.2)
        await agent.stop()
        await asyncio.sleep(0.2)
        await agent.start()
        in_touch_at = now() + BOUNDS["contact_s"]
    await asyncio.sleep(max(0.0, sent_at + LATE_S - now()))
    status = await host.send_beat(late)
    plane.record.note("late-heartbeat-arrived", host=host.name, call=host.call_seq, answer=status,
                      late_s=round(now() - sent_at, 2))

    await asyncio.sleep(max(0.0, left_at + SERVES_ON_S - now()))
    host.end()
    traffic.cancel()
    await asyncio.gather(traffic, return_exceptions=True)

    # DRAIN: later than `drainMs` after the acknowledgement, by machines in touch.
    bound = max(left_at + BOUNDS["drain_s"], in_touch_at)
    broken = [each for each in plane.openings
              if each["host"] is host and each["at"] > left_at + BOUNDS["drain_s"]
              and each["sent_at"] > bound]
    all_late = [each for each in plane.openings
                if each["host"] is host and each["at"] > left_at + BOUNDS["drain_s"]]
    others = sum(each["host"] is not host for each in plane.openings)
    text = (f"flows opened at the host that left, later than drainMs: {len(all_late)}, of these "
            f"through machines in touch: {len(broken)}; at other hosts in all: {others}")
    plane.record.note("result", text=text)
    print(text)
    if others < 100:
        print("cannot run: there was no traffic")
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    finish(run(case, Path(__file__).resolve().parent, agents=4))
