"""A control replica loses its disk, and is replaced with an operator's commands."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import ClassVar

import aiohttp
import structlog

from jasperwalk.errors import JasperwalkError
from jasperwalk_lab.chaos.fleet import ChaosFleet
from jasperwalk_lab.fleet_settings import COMMANDS_FOLDER
from jasperwalk_lab.layout import ControlPlace
from jasperwalk_lab.supervisor import health_url

DISPLACED_TIMEOUT_SECONDS = 8.0
COMMAND_ATTEMPTS = 20
RETRY_SECONDS = 0.5
HTTP_UNAVAILABLE = 503

log = structlog.get_logger()


@dataclass(eq=False)
class RepairFailed(JasperwalkError):
    """A step of the repair failed."""

    kind: ClassVar[str] = "repair-failed"
    step: str
    detail: str

    def describe(self) -> str:
        """Name the step and what was observed."""
        return f"{self.step}: {self.detail}"


async def lose_disk(fleet: ChaosFleet, slot: str) -> None:
    """Kill a replica, remove its data, restart it, and wait until it finds its identity taken."""
    place = fleet.control_slots[slot]
    await fleet.supervisor.kill(place.name)
    fleet.wipe(place)
    await fleet.supervisor.start(fleet.planner.control(place))
    await _wait_displaced(place)
    await fleet.supervisor.stop(place.name)


async def replace_replica(fleet: ChaosFleet, slot: str) -> None:
    """Take an operator's steps: remove the old identity, start a new one, add and promote it."""
    lost = fleet.control_slots[slot]
    new = fleet.unused_replacements.pop(0)
    await _run_member_command(fleet, lost, "remove", str(lost.replica_id))
    await fleet.supervisor.start(fleet.planner.joining_control(new))
    address = str(fleet.links.relays[new.name])
    await _run_member_command(fleet, lost, "add", str(new.replica_id), address)
    await _run_member_command(fleet, lost, "promote", str(new.replica_id))
    fleet.control_slots[slot] = new


async def _wait_displaced(place: ControlPlace) -> None:
    """Wait until the replica with the empty disk reports that its identity is taken (503)."""
    deadline = asyncio.get_running_loop().time() + DISPLACED_TIMEOUT_SECONDS
    timeout = aiohttp.ClientTimeout(total=1.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while asyncio.get_running_loop().time() < deadline:
            try:
                async with session.get(health_url(place.api)) as response:
                    if response.status == HTTP_UNAVAILABLE:
                        return
            except (aiohttp.ClientError, TimeoutError):
                pass
            await asyncio.sleep(RETRY_SECONDS / 5)
    raise RepairFailed("wiped replica", f"{place.name} did not report itself as displaced")


async def _run_member_command(fleet: ChaosFleet, lost: ControlPlace, *command: str) -> None:
    """Run `jasperwalk member ...` until it succeeds; each attempt is a new process of the CLI."""
    apis = [str(p.api) for p in fleet.control_slots.values() if p.name != lost.name]
    flags = [flag for api in apis for flag in ("--api", api)]
    arguments = [str(COMMANDS_FOLDER / "jasperwalk"), "member", *command, *flags]
    for _ in range(COMMAND_ATTEMPTS):
        process = await asyncio.create_subprocess_exec(
            *arguments, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
        )
        output, _ = await process.communicate()
        if process.returncode == 0:
            log.info("operator_step", command=" ".join(command))
            return
        await asyncio.sleep(RETRY_SECONDS)
    raise RepairFailed(f"member {' '.join(command)}", output.decode(errors="replace").strip())
