"""Stand-in of the platform's machine list, which shows changes of machines with a delay.

`GET /machines` answers `{"version": n, "machines": [{"host", "address", "zone", "state"}]}`.
`PUT /lab/machines/{host}` with `{"state": "live" | "leaving" | "absent"}` changes the
actual state, `PUT /lab/lag` with `{"seconds": s}` the delay until the list shows a change.
"""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass

import msgspec
import structlog
from aiohttp import web
from pydantic import BaseModel, ConfigDict

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.serving import install_stop_event, json_response, read_body, start_http


class MachineState(enum.StrEnum):
    """State of a machine; an absent one is not listed."""

    LIVE = "live"
    LEAVING = "leaving"
    ABSENT = "absent"


class MachineSettings(BaseModel):
    """One machine of the list; `address` is its agent's forwarding endpoint."""

    model_config = ConfigDict(extra="forbid")

    host: str
    address: str
    zone: str
    state: MachineState = MachineState.LIVE


class PlatformListSettings(BaseModel):
    """Settings of the stand-in."""

    model_config = ConfigDict(extra="forbid")

    listen: str
    lag_seconds: float = 1.0
    machines: list[MachineSettings]


class ListedMachine(msgspec.Struct, frozen=True):
    """One machine as the list shows it."""

    host: str
    address: str
    zone: str
    state: MachineState


class MachineListAnswer(msgspec.Struct, frozen=True):
    """The answer to `GET /machines`."""

    version: int
    machines: list[ListedMachine]


class StateChange(msgspec.Struct, frozen=True):
    """Body of `PUT /lab/machines/{host}`."""

    state: MachineState


class LagChange(msgspec.Struct, frozen=True):
    """Body of `PUT /lab/lag`."""

    seconds: float


@dataclass(frozen=True)
class _PendingChange:
    """A change of a machine's state that the list does not show before `due` (seconds)."""

    due: float
    host: str
    state: MachineState


class LaggingList:
    """The machine list: shows changes of state `lag_seconds` later, in order."""

    def __init__(self, machines: list[ListedMachine], lag_seconds: float) -> None:
        self.lag_seconds = lag_seconds
        self._machines = {machine.host: machine for machine in machines}
        self._pending: list[_PendingChange] = []
        self._version = 1

    def knows(self, host: str) -> bool:
        """Return whether `host` is or was a machine of the platform."""
        return host in self._machines

    def set_state(self, host: str, state: MachineState, now: float) -> None:
        """Change the actual state of `host` (which must be known) at `now`."""
        change = _PendingChange(due=now + self.lag_seconds, host=host, state=state)
        self._pending.append(change)

    def visible(self, now: float) -> MachineListAnswer:
        """Return what the list shows at `now`."""
        while self._pending and self._pending[0].due <= now:
            self._apply(self._pending.pop(0))
        listed = [m for m in self._machines.values() if m.state is not MachineState.ABSENT]
        return MachineListAnswer(version=self._version, machines=listed)

    def _apply(self, change: _PendingChange) -> None:
        machine = self._machines[change.host]
        self._machines[change.host] = msgspec.structs.replace(machine, state=change.state)
        self._version += 1


def build_application(machines: LaggingList) -> web.Application:
    """Build the HTTP application around `machines`."""

    async def list_machines(_request: web.Request) -> web.Response:
        return json_response(machines.visible(asyncio.get_running_loop().time()))

    async def set_machine(request: web.Request) -> web.Response:
        host = request.match_info["host"]
        if not machines.knows(host):
            raise web.HTTPNotFound
        change = await read_body(request, StateChange)
        machines.set_state(host, change.state, asyncio.get_running_loop().time())
        return web.Response(status=204)

    async def set_lag(request: web.Request) -> web.Response:
        machines.lag_seconds = (await read_body(request, LagChange)).seconds
        return web.Response(status=204)

    application = web.Application()
    application.router.add_get("/machines", list_machines)
    application.router.add_put("/lab/machines/{host}", set_machine)
    application.router.add_put("/lab/lag", set_lag)
    return application


async def run_platform_list(settings: PlatformListSettings) -> None:
    """Run the stand-in until SIGTERM or SIGINT."""
    stop = install_stop_event()
    machines = LaggingList(
        [ListedMachine(**machine.model_dump()) for machine in settings.machines],
        settings.lag_seconds,
    )
    runner = await start_http(build_application(machines), Endpoint.parse(settings.listen))
    structlog.get_logger().info("platform_list_ready", listen=settings.listen)
    await stop.wait()
    await runner.cleanup()
