"""Injects the planned faults of a soak at their times, and undoes them after their duration."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import ClassVar

from jasperwalk_lab.soak.faults import SHAPES, FaultKind, InjectedFault, PlannedFault
from jasperwalk_lab.soak.fleet import SoakFleet
from jasperwalk_lab.soak.history import ProcessKilledAtStop, SoakHistory
from jasperwalk_lab.soak.operators import Operators
from jasperwalk_lab.soak.overload import Surge
from jasperwalk_lab.soak.processes import ProcessNotRunning, SoakProcess
from jasperwalk_lab.soak.relays import LinkCondition
from jasperwalk_lab.soak.running_hosts import RunningHosts
from jasperwalk_lab.soak.surges import SurgeCallers

LINK_LOSS = 0.3
SLOW_LINK_SECONDS = 0.15
SLOW_STORAGE_SECONDS = 0.4
SLOW_HOST_FACTOR = 6.0
"""Factor on the service time of slow hosts."""
DRAIN_SECONDS = 0.8
COOLING_PROBABILITY = 0.8
"""Probability that the hosts of a zone are cold when it is restored."""

Clock = Callable[[], float]
Progress = Callable[[str], None]

RESTARTS_IN_A_ROW = 3
SIGNALS_IN_A_ROW = 5
STORM_CHANGES_AT_ONCE = 4
MAX_HOST_RESTARTS = 3

KILLS = frozenset((FaultKind.CONTROL_KILLED, FaultKind.BALANCER_KILLED, FaultKind.AGENT_KILLED))
PAUSES = frozenset((FaultKind.CONTROL_PAUSED, FaultKind.BALANCER_PAUSED, FaultKind.AGENT_PAUSED))
STOPS = frozenset(
    (FaultKind.CONTROL_TERMINATED, FaultKind.BALANCER_TERMINATED, FaultKind.AGENT_TERMINATED)
)
RESTARTED_OFTEN = frozenset(
    (
        FaultKind.CONTROL_RESTARTED_OFTEN,
        FaultKind.BALANCER_RESTARTED_OFTEN,
        FaultKind.AGENT_RESTARTED_OFTEN,
    )
)
SIGNALLED = frozenset(
    (FaultKind.CONTROL_SIGNALLED, FaultKind.BALANCER_SIGNALLED, FaultKind.AGENT_SIGNALLED)
)
LINKS = {
    FaultKind.CONTROL_LINKS_SILENT: LinkCondition(silent_forward=True, silent_backward=True),
    FaultKind.CONTROL_LINKS_ONE_WAY: LinkCondition(silent_backward=True),
    FaultKind.CONTROL_LINKS_SLOW: LinkCondition(delay_seconds=SLOW_LINK_SECONDS),
    FaultKind.AGENT_LINKS_LOSSY: LinkCondition(loss=LINK_LOSS),
    FaultKind.AGENT_LINKS_SILENT: LinkCondition(silent_forward=True, silent_backward=True),
    FaultKind.AGENT_LINKS_ONE_WAY: LinkCondition(silent_backward=True),
}
STORAGE = {
    FaultKind.STORAGE_SLOW: f"slow {SLOW_STORAGE_SECONDS}",
    FaultKind.STORAGE_FULL: "full",
    FaultKind.STORAGE_SYNC_FAILS: "sync-fails",
}


class SoakInjector:
    """Runs a schedule; a fault that cannot be injected is recorded with the reason."""

    def __init__(
        self,
        fleet: SoakFleet,
        hosts: RunningHosts,
        operators: Operators,
        surge_callers: SurgeCallers,
        clock: Clock,
        history: SoakHistory,
        progress: Progress,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._hosts = hosts
        self._operators = operators
        self._surge_callers = surge_callers
        self._clock = clock
        self._history = history
        self._progress = progress
        self._rng = rng
        self.now: list[str] = []
        """Labels of the active faults, for the progress lines."""

    async def run(self, planned: list[PlannedFault]) -> None:
        """Inject all of them, each at its time; return when the last one is undone."""
        async with asyncio.TaskGroup() as tasks:
            for fault in planned:
                tasks.create_task(self._inject_at(fault))

    async def _inject_at(self, fault: PlannedFault) -> None:
        await asyncio.sleep(max(0.0, fault.at - self._clock()))
        began_at, label = self._clock(), f"{fault.kind} {fault.target}"
        self.now.append(label)
        failure = ""
        try:
            await self._inject(fault)
        except (ProcessNotRunning, OSError) as error:
            failure = f"{type(error).__name__}: {error}"
            self._progress(f"{label} failed: {failure}")
        finally:
            self.now.remove(label)
        ended_at = self._clock()
        self._history.faults.append(InjectedFault(fault, began_at, ended_at, failure))

    async def _inject(self, fault: PlannedFault) -> None:
        kind, target = fault.kind, fault.target
        if kind in KILLS:
            await self._kill([self._fleet.processes[target]], fault.seconds)
        elif kind in STOPS:
            await self._stop(self._fleet.processes[target], fault.seconds)
        elif kind in RESTARTED_OFTEN:
            await self._restart_often(self._fleet.processes[target], fault.seconds)
        elif kind in SIGNALLED:
            await self._signal_often(self._fleet.processes[target], fault.seconds)
        elif kind in PAUSES:
            await self._fleet.processes[target].pause(fault.seconds)
        elif kind in LINKS:
            await self._degrade_links(target, LINKS[kind], fault.seconds)
        elif kind in STORAGE:
            await self._degrade_storage(target, STORAGE[kind], fault.seconds)
        else:
            await self._handlers[kind](self, fault)

    async def _kill(self, processes: list[SoakProcess], seconds: float) -> None:
        await asyncio.gather(*(each.kill() for each in processes))
        await asyncio.sleep(seconds)
        await asyncio.gather(*(each.start() for each in processes))

    async def _stop(self, process: SoakProcess, seconds: float) -> None:
        await self._end_by_signal(process)
        await asyncio.sleep(seconds)
        await process.start()

    async def _end_by_signal(self, process: SoakProcess) -> None:
        is_in_time = await process.stop()
        if not is_in_time:
            self._history.killed_at_stop.append(ProcessKilledAtStop(self._clock(), process.name))

    async def _restart_often(self, process: SoakProcess, seconds: float) -> None:
        """Stop or kill a process and start it again several times, also during its start-up."""
        for _ in range(RESTARTS_IN_A_ROW):
            if self._rng.choice((True, False)):
                await self._end_by_signal(process)
            else:
                await process.kill()
            await process.start()
            await asyncio.sleep(self._rng.uniform(0.0, seconds / RESTARTS_IN_A_ROW))

    async def _signal_often(self, process: SoakProcess, seconds: float) -> None:
        """Send a process the reload signal several times."""
        for _ in range(SIGNALS_IN_A_ROW):
            process.reload()
            await asyncio.sleep(self._rng.uniform(0.0, 2 * seconds / SIGNALS_IN_A_ROW))

    async def _degrade_links(self, target: str, condition: LinkCondition, seconds: float) -> None:
        tcp, udp = self._fleet.control_relays.get(target), self._fleet.agent_relays.get(target)
        relay = tcp or udp
        if relay is None:
            raise ProcessNotRunning(target)
        relay.condition = condition
        await asyncio.sleep(seconds)
        relay.condition = LinkCondition()

    async def _degrade_storage(self, control: str, line: str, seconds: float) -> None:
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

    async def _reject_openings(self, fault: PlannedFault) -> None:
        host = self._hosts.beside(fault.target)
        host.rejects_openings = True
        await asyncio.sleep(fault.seconds)
        host.rejects_openings = False

    async def _abandon_links(self, _fault: PlannedFault) -> None:
        """Silence every open connection to a replica; new connections work."""
        for relay in self._fleet.control_relays.values():
            relay.silence_open_connections()

    async def _deliver_late_announcement(self, fault: PlannedFault) -> None:
        """Crash a host, start another in its place, then deliver a call of the former one."""
        former = self._hosts.beside(fault.target)
        await former.crash()
        await self._hosts.start(fault.target, is_cold=True)
        await asyncio.sleep(fault.seconds)
        await former.announce_late(is_draining=self._rng.choice((True, False)))

    async def _start_surge(self, fault: PlannedFault) -> None:
        await self._surge_callers.surge(Surge.parse(fault.target), fault.seconds)

    async def _slow_down_host(self, fault: PlannedFault) -> None:
        host = self._hosts.beside(fault.target)
        host.service_time_factor = SLOW_HOST_FACTOR
        await asyncio.sleep(fault.seconds)
        host.service_time_factor = 1.0

    async def _drain_zone(self, fault: PlannedFault) -> None:
        """Drain a zone and restore it; mostly its hosts have gone cold meanwhile."""
        await self._operators.drain_zone(fault.target, drained=True)
        await asyncio.sleep(fault.seconds)
        if self._rng.random() < COOLING_PROBABILITY:
            for host in self._hosts.in_zone(fault.target):
                host.go_cold()
        await self._operators.drain_zone(fault.target, drained=False)

    async def _kill_all(self, fault: PlannedFault) -> None:
        running = [each for each in self._fleet.processes.values() if each.runs()]
        await self._kill(running, fault.seconds)

    async def _start_host_again(self, fault: PlannedFault) -> None:
        """End the host and start it again under its ID, once or several times.

        It crashes, or it drains first.
        """
        for _ in range(self._rng.randint(1, MAX_HOST_RESTARTS)):
            host = self._hosts.beside(fault.target)
            if self._rng.choice((True, False)):
                await host.drain(DRAIN_SECONDS)
            else:
                await host.crash()
            await asyncio.sleep(fault.seconds * self._rng.uniform(0.0, 0.5))
            await self._hosts.start_again(fault.target)
            await asyncio.sleep(fault.seconds * self._rng.uniform(0.0, 0.5))

    async def _impersonate_host(self, fault: PlannedFault) -> None:
        await self._hosts.beside(fault.target).announce_invalid()

    async def _storm_configurations(self, fault: PlannedFault) -> None:
        ends_at = self._clock() + fault.seconds
        while self._clock() < ends_at:
            changes = [self._operators.configure() for _ in range(STORM_CHANGES_AT_ONCE)]
            await asyncio.gather(*changes)

    async def _alternate_zone_orders(self, fault: PlannedFault) -> None:
        """Drain and restore a zone without pauses; the last order restores it."""
        ends_at = self._clock() + fault.seconds
        while self._clock() < ends_at:
            await self._operators.drain_zone(fault.target, drained=True)
            await self._operators.drain_zone(fault.target, drained=False)

    _handlers: ClassVar[
        dict[FaultKind, Callable[[SoakInjector, PlannedFault], Awaitable[None]]]
    ] = {
        FaultKind.CONTROL_WIPED: _wipe,
        FaultKind.CONTROL_LINKS_RESET: _reset_links,
        FaultKind.HOST_CRASHED: _crash_host,
        FaultKind.HOST_REPLACED: _replace_host,
        FaultKind.HOST_TURNS_AWAY: _reject_openings,
        FaultKind.ZONE_DRAINED: _drain_zone,
        FaultKind.CALLERS_RUSH: _start_surge,
        FaultKind.CONTROL_LINKS_ABANDONED: _abandon_links,
        FaultKind.HOST_SPEAKS_LATE: _deliver_late_announcement,
        FaultKind.HOST_SLOW: _slow_down_host,
        FaultKind.ALL_KILLED: _kill_all,
        FaultKind.HOST_STARTED_AGAIN: _start_host_again,
        FaultKind.HOST_IMPERSONATED: _impersonate_host,
        FaultKind.CONFIGURATION_STORM: _storm_configurations,
        FaultKind.ZONE_ORDERS_IN_A_ROW: _alternate_zone_orders,
    }


def covers_every_kind() -> bool:
    """Tell whether there is an injection for each kind of fault."""
    on_processes = KILLS | PAUSES | STOPS | RESTARTED_OFTEN | SIGNALLED
    known = on_processes | LINKS.keys() | STORAGE.keys() | SoakInjector._handlers.keys()
    return known == SHAPES.keys()
