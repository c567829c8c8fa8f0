"""Faults: small typed events on a timetable, so that a failing run can be shortened."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from jasperwalk.config.table_entries import AdminState
from jasperwalk_lab.simulator.hosts import AgentHost, BalancerHost, ControlHost, Host
from jasperwalk_lab.simulator.operators import Administrator
from jasperwalk_lab.simulator.record import Interval, Restart
from jasperwalk_lab.simulator.repair import replace_replica
from jasperwalk_lab.simulator.world import FABRIC_LAG_SECONDS, World

RECOVERY_SECONDS = 4.0
"""Time after a fault for which a process still counts as disturbed: it reconnects and, where
it was lost, is found out."""
MAX_DRAIN_SECONDS = 20.0
MAX_MOVE_SECONDS = 30.0
MOVE_POLL_SECONDS = 0.02


@dataclass(frozen=True)
class Kill:
    """End a process at once; it starts again after `seconds`.

    With `power`, its machine goes too, so that nobody resets its connections.
    """

    host: str
    seconds: float
    power: bool = False


@dataclass(frozen=True)
class Freeze:
    """Stop a process as SIGSTOP does, for `seconds`."""

    host: str
    seconds: float


@dataclass(frozen=True)
class Cut:
    """Cut hosts off for `seconds`, from everyone else or from `apart_from` alone.

    With `one_way` they hear nothing, but are heard.
    """

    hosts: tuple[str, ...]
    seconds: float
    one_way: bool = False
    apart_from: tuple[str, ...] = ()


@dataclass(frozen=True)
class Wipe:
    """Lose a control machine's disk; an operator replaces the replica under a new ID.

    As soon as that is done, the machine `then_lose` is lost for `seconds`, if one is named.
    """

    host: str
    then_lose: str = ""
    seconds: float = 0.0


@dataclass(frozen=True)
class Drain:
    """An operator drains a host for `seconds`; with `stop`, its agent is stopped meanwhile."""

    host: str
    seconds: float
    stop: bool = False


@dataclass(frozen=True)
class Leave:
    """The platform says that a host is leaving, for `seconds`."""

    host: str
    seconds: float


@dataclass(frozen=True)
class Move:
    """Operators move a host from its service to another one."""

    host: str
    service: str


@dataclass(frozen=True)
class Mood:
    """A back end misbehaves for `seconds`; see `BackendBehaviour` for the fields."""

    host: str
    seconds: float
    refuses: bool = False
    stalls: bool = False
    shed_share: float = 0.0
    lies: bool | None = None


@dataclass(frozen=True)
class Weather:
    """The network loses and doubles datagrams for `seconds`."""

    seconds: float
    loss: float
    duplication: float


@dataclass(frozen=True)
class Burst:
    """Operators make many changes, one right after the other."""

    count: int


FaultAction = Kill | Freeze | Cut | Wipe | Drain | Leave | Move | Mood | Weather | Burst


@dataclass(frozen=True)
class Fault:
    """An action at a time, seconds after the fleet was ready."""

    at: float
    action: FaultAction

    def describe(self) -> str:
        """Describe the fault in one line."""
        return f"{self.at:.2f}s {self.action}"


class FaultInjector:
    """Carries faults out and notes whom they disturb."""

    def __init__(self, world: World, administrator: Administrator) -> None:
        self._world = world
        self._administrator = administrator
        self._cuts: list[set[tuple[str, str]]] = []

    async def run(self, faults: list[Fault]) -> None:
        """Carry out every fault at its time and return when the last one is over."""
        started_at = self._world.now
        await asyncio.gather(*(self._perform_at(started_at + fault.at, fault) for fault in faults))

    async def _perform_at(self, when: float, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, when - self._world.now))
        self._world.record.trace(self._world.now, f"fault {fault.action}")
        await self._perform(fault.action)
        self._world.record.trace(self._world.now, f"over {fault.action}")

    async def _perform(self, action: FaultAction) -> None:
        match action:
            case Kill():
                await self._kill(action)
            case Freeze():
                await self._freeze(action)
            case Cut():
                await self._cut(action)
            case Wipe():
                await self._wipe(action)
            case Drain():
                await self._drain(action)
            case Leave():
                await self._leave(action)
            case Move():
                await self._move(action)
            case Mood():
                await self._misbehave(action)
            case Weather():
                await self._degrade_network(action)
            case Burst():
                await self._burst(action)

    async def _kill(self, action: Kill) -> None:
        world, host = self._world, self._world.host(action.host)
        if host.process is None:
            return
        self._disturb(host.name, action.seconds)
        host.kill(machine_lost=action.power)
        if isinstance(host, BalancerHost):
            self._after(FABRIC_LAG_SECONDS, _leave_fabric, world, host)
        await asyncio.sleep(action.seconds)
        host.start()
        self._record_restart(host.name)
        if isinstance(host, BalancerHost):
            self._after(FABRIC_LAG_SECONDS, _join_fabric, world, host)

    def _record_restart(self, name: str) -> None:
        world, replica = self._world, self._world.any_replica()
        revision = 0 if replica is None else replica.state.revision
        world.record.restarts.append(Restart(name, world.now, revision))
        world.record.trace(world.now, f"restart {name}")

    async def _freeze(self, action: Freeze) -> None:
        host = self._world.host(action.host)
        self._disturb(host.name, action.seconds)
        host.freeze()
        await asyncio.sleep(action.seconds)
        host.thaw()

    async def _cut(self, action: Cut) -> None:
        world = self._world
        others = list(action.apart_from)
        if not others:
            others = [each.name for each in world.hosts if each.name not in action.hosts]
            others += world.operators_outside(action.hosts)
        pairs = {(other, name) for name in action.hosts for other in others}
        if not action.one_way:
            pairs |= {(name, other) for other, name in pairs}
        for name in action.hosts:
            self._disturb(name, action.seconds)
        self._cuts.append(pairs)
        self._apply_cuts()
        await asyncio.sleep(action.seconds)
        self._cuts.remove(pairs)
        self._apply_cuts()

    def _apply_cuts(self) -> None:
        self._world.network.cuts = set().union(*self._cuts)

    async def _wipe(self, action: Wipe) -> None:
        host = self._world.host(action.host)
        assert isinstance(host, ControlHost)
        begin = self._world.now
        await replace_replica(self._world, host, self._administrator.operator_client.random)
        self._world.record.disturbances[host.name].append(
            Interval(begin, self._world.now + RECOVERY_SECONDS)
        )
        if action.then_lose:
            await self._kill(Kill(action.then_lose, action.seconds, power=True))

    async def _drain(self, action: Drain) -> None:
        world, host = self._world, self._world.host(action.host)
        await self._administrator.drain(action.host)
        if action.stop and isinstance(host, AgentHost) and host.running:
            await asyncio.sleep(1.0)
            asked_at = world.now
            host.stop()
            await self._wait_until_stopped(host)
            ended_at = max(host.stopped_at, asked_at)
            span = Interval(ended_at, world.now + action.seconds + RECOVERY_SECONDS)
            world.record.planned_ends[host.name].append(span)
        await asyncio.sleep(action.seconds)
        host.start()
        await self._administrator.resume(action.host)
        world.record.trace(world.now, f"resumed {action.host}")

    async def _move(self, action: Move) -> None:
        world, host = self._world, self._world.host(action.host)
        await self._administrator.move(action.host, action.service)
        until = world.now + MAX_MOVE_SECONDS
        while not _serves(host, action.service) and world.now < until:
            await asyncio.sleep(MOVE_POLL_SECONDS)
        if not _serves(host, action.service):
            world.record_violation(f"move-stuck: {action.host} to {action.service}")
        world.moving.discard(action.host)
        world.record.trace(world.now, f"serving {action.host} {action.service}")
        world.record.planned_ends[action.host].append(Interval(world.now, world.now))

    async def _wait_until_stopped(self, host: AgentHost) -> None:
        until = self._world.now + MAX_DRAIN_SECONDS
        while host.process is not None and self._world.now < until:
            await asyncio.sleep(0.1)

    async def _leave(self, action: Leave) -> None:
        asked_at = self._world.now
        self._world.platform.leave(action.host)
        await self._wait_until_drained(action.host)
        self._administrator.record_drain(action.host, asked_at)
        await asyncio.sleep(action.seconds)
        self._administrator.record_drain_end(action.host)
        self._world.platform.stay(action.host)

    async def _wait_until_drained(self, host: str) -> None:
        for _ in range(300):
            replica = self._world.any_replica()
            if replica is not None and any(
                member.host == host and member.admin_state is AdminState.DRAINING
                for member in replica.state.members()
            ):
                return
            await asyncio.sleep(0.1)

    async def _misbehave(self, action: Mood) -> None:
        if action.stalls:
            self._disturb(action.host, action.seconds)
        behaviour = self._world.program(action.host).behaviour
        behaviour.refuses, behaviour.stalls = action.refuses, action.stalls
        behaviour.shed_share, behaviour.lies = action.shed_share, action.lies
        await asyncio.sleep(action.seconds)
        behaviour.refuses, behaviour.stalls, behaviour.shed_share, behaviour.lies = (
            False,
            False,
            0.0,
            None,
        )

    async def _degrade_network(self, action: Weather) -> None:
        conditions = self._world.network.conditions
        conditions.loss, conditions.duplication = action.loss, action.duplication
        await asyncio.sleep(action.seconds)
        conditions.loss, conditions.duplication = 0.0, 0.0

    async def _burst(self, action: Burst) -> None:
        await self._administrator.burst(action.count)

    def _disturb(self, name: str, seconds: float) -> None:
        now = self._world.now
        span = Interval(now, now + seconds + RECOVERY_SECONDS)
        self._world.record.disturbances[name].append(span)

    def _after(self, seconds: float, act: object, world: World, host: BalancerHost) -> None:
        asyncio.get_running_loop().call_later(seconds, act, world, host)  # type: ignore[arg-type]


def _serves(host: Host, service: str) -> bool:
    """Tell whether an agent has a service as its own."""
    assert isinstance(host, AgentHost)
    view = None if host.agent is None else host.agent.view
    return view is not None and view.service is not None and view.service.name == service


def _leave_fabric(world: World, host: BalancerHost) -> None:
    if host.process is None and host.endpoint in world.fabric_balancers:
        world.fabric_balancers.remove(host.endpoint)


def _join_fabric(world: World, host: BalancerHost) -> None:
    if host.process is not None and host.endpoint not in world.fabric_balancers:
        world.fabric_balancers.append(host.endpoint)
