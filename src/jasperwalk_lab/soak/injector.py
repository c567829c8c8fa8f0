"""Brings a soak's faults about, and undoes them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import ClassVar

from jasperwalk_lab.soak.faults import SHAPES, FaultKind, HappenedFault, PlannedFault
from jasperwalk_lab.soak.fleet import ProcessNotRunning, SoakFleet, SoakProcess
from jasperwalk_lab.soak.history import SoakHistory
from jasperwalk_lab.soak.hosts import SoakHost
from jasperwalk_lab.soak.operators import Operators
from jasperwalk_lab.soak.relays import LinkCondition

LOSS = 0.3
SLOW_LINK_SECONDS = 0.15
SLOW_STORAGE_SECONDS = 0.4
DRAIN_SECONDS = 0.8

Clock = Callable[[], float]
Progress = Callable[[str], None]

KILLS = frozenset((FaultKind.CONTROL_KILLED, FaultKind.BALANCER_KILLED, FaultKind.AGENT_KILLED))
PAUSES = frozenset((FaultKind.CONTROL_PAUSED, FaultKind.BALANCER_PAUSED, FaultKind.AGENT_PAUSED))
STOPS = frozenset(
    (FaultKind.CONTROL_TERMINATED, FaultKind.BALANCER_TERMINATED, FaultKind.AGENT_TERMINATED)
)
LINKS = {
    FaultKind.CONTROL_LINKS_SILENT: LinkCondition(silent_forth=True, silent_back=True),
    FaultKind.CONTROL_LINKS_ONE_WAY: LinkCondition(silent_back=True),
    FaultKind.CONTROL_LINKS_SLOW: LinkCondition(delay_seconds=SLOW_LINK_SECONDS),
    FaultKind.AGENT_LINKS_LOSSY: LinkCondition(loss=LOSS),
    FaultKind.AGENT_LINKS_SILENT: LinkCondition(silent_forth=True, silent_back=True),
    FaultKind.AGENT_LINKS_ONE_WAY: LinkCondition(silent_back=True),
}
STORAGE = {
    FaultKind.STORAGE_SLOW: f"slow {SLOW_STORAGE_SECONDS}",
    FaultKind.STORAGE_FULL: "full",
    FaultKind.STORAGE_SYNC_FAILS: "sync-fails",
}


class RunningHosts:
    """The hosts that run now, by the agent beside them; each start has the next number."""

    def __init__(self, make: Callable[[str, int, bool], SoakHost]) -> None:
        """`make` builds the host beside an agent: its number, and whether it starts cold."""
        self._make = make
        self._numbers: dict[str, int] = {}
        self._hosts: dict[str, SoakHost] = {}

    def all(self) -> list[SoakHost]:
        """Return the hosts that were started last."""
        return list(self._hosts.values())

    def beside(self, agent: str) -> SoakHost:
        """Return the host beside an agent."""
        return self._hosts[agent]

    async def start(self, agent: str, is_cold: bool) -> None:
        """Start another host there."""
        number = self._numbers[agent] = self._numbers.get(agent, 0) + 1
        host = self._hosts[agent] = self._make(agent, number, is_cold)
        await host.start()


class SoakInjector:
    """Runs a schedule; faults that cannot be brought about are recorded with the reason."""

    def __init__(
        self,
        fleet: SoakFleet,
        hosts: RunningHosts,
        operators: Operators,
        clock: Clock,
        history: SoakHistory,
        progress: Progress,
        drawn: random.Random,
    ) -> None:
        self._fleet = fleet
        self._hosts = hosts
        self._operators = operators
        self._clock = clock
        self._history = history
        self._progress = progress
        self._drawn = drawn
        self.now: list[str] = []
        """The faults that hold now, for people who watch."""

    async def run(self, planned: list[PlannedFault]) -> None:
        """Bring all of them about, each at its time; return when the last one is undone."""
        async with asyncio.TaskGroup() as tasks:
            for fault in planned:
                tasks.create_task(self._strike_at(fault))

    async def _strike_at(self, fault: PlannedFault) -> None:
        await asyncio.sleep(max(0.0, fault.at - self._clock()))
        began_at, label = self._clock(), f"{fault.kind} {fault.target}"
        self.now.append(label)
        failure = ""
        try:
            await self._strike(fault)
        except (ProcessNotRunning, OSError) as error:
            failure = f"{type(error).__name__}: {error}"
            self._progress(f"{label} failed: {failure}")
        finally:
            self.now.remove(label)
        ended_at = self._clock()
        self._history.faults.append(HappenedFault(fault, began_at, ended_at, failure))

    async def _strike(self, fault: PlannedFault) -> None:
        kind, target = fault.kind, fault.target
        if kind in KILLS:
            await self._kill([self._fleet.processes[target]], fault.seconds)
        elif kind in STOPS:
            await self._stop(self._fleet.processes[target], fault.seconds)
        elif kind in PAUSES:
            await self._fleet.processes[target].pause(fault.seconds)
        elif kind in LINKS:
            await self._spoil_links(target, LINKS[kind], fault.seconds)
        elif kind in STORAGE:
            await self._spoil_storage(target, STORAGE[kind], fault.seconds)
        else:
            await self._handlers[kind](self, fault)

    async def _kill(self, processes: list[SoakProcess], seconds: float) -> None:
        await asyncio.gather(*(each.kill() for each in processes))
        await asyncio.sleep(seconds)
        await asyncio.gather(*(each.start() for each in processes))

    async def _stop(self, process: SoakProcess, seconds: float) -> None:
        await process.stop()
        await asyncio.sleep(seconds)
        await process.start()

    async def _spoil_links(self, target: str, condition: LinkCondition, seconds: float) -> None:
        tcp, udp = self._fleet.control_relays.get(target), self._fleet.agent_relays.get(target)
        relay = tcp or udp
        if relay is None:
            raise ProcessNotRunning(target)
        relay.condition = condition
        await asyncio.sleep(seconds)
        relay.condition = LinkCondition()

    async def _spoil_storage(self, control: str, line: str, seconds: float) -> None:
        path = self._fleet.storage_fault_file(control)
        path.write_text(line, encoding="ascii")
        await asyncio.sleep(seconds)
        path.unlink(missing_ok=True)

    async def _wipe(self, fault: PlannedFault) -> None:
        process = self._fleet.processes[fault.target]
        await process.kill()
        self._fleet.wipe(fault.target)
        await asyncio.sleep(fault.seconds)
        await process.start()

    async def _reset_links(self, fault: PlannedFault) -> None:
        self._fleet.control_relays[fault.target].reset()

    async def _crash_host(self, fault: PlannedFault) -> None:
        await self._hosts.beside(fault.target).crash()
        await asyncio.sleep(fault.seconds)
        await self._hosts.start(fault.target, is_cold=True)

    async def _replace_host(self, fault: PlannedFault) -> None:
        await self._hosts.beside(fault.target).drain(DRAIN_SECONDS)
        await asyncio.sleep(fault.seconds)
        await self._hosts.start(fault.target, is_cold=True)

    async def _turn_away(self, fault: PlannedFault) -> None:
        host = self._hosts.beside(fault.target)
        host.turns_away = True
        await asyncio.sleep(fault.seconds)
        host.turns_away = False

    async def _drain_zone(self, fault: PlannedFault) -> None:
        await self._operators.drain_zone(fault.target, drained=True)
        await asyncio.sleep(fault.seconds)
        await self._operators.drain_zone(fault.target, drained=False)

    async def _kill_all(self, fault: PlannedFault) -> None:
        await self._kill(list(self._fleet.processes.values()), fault.seconds)

    _handlers: ClassVar[
        dict[FaultKind, Callable[[SoakInjector, PlannedFault], Awaitable[None]]]
    ] = {
        FaultKind.CONTROL_WIPED: _wipe,
        FaultKind.CONTROL_LINKS_RESET: _reset_links,
        FaultKind.HOST_CRASHED: _crash_host,
        FaultKind.HOST_REPLACED: _replace_host,
        FaultKind.HOST_TURNS_AWAY: _turn_away,
        FaultKind.ZONE_DRAINED: _drain_zone,
        FaultKind.ALL_KILLED: _kill_all,
    }


def covers_every_kind() -> bool:
    """Tell whether each kind of fault can be brought about."""
    known = KILLS | PAUSES | STOPS | LINKS.keys() | STORAGE.keys() | SoakInjector._handlers.keys()
    return known == SHAPES.keys()
