"""Injects and undoes each kind of fault: one asynchronous context per kind.

A context takes the name of its target: a balancer, a control replica's place or a host. Entering
it injects the fault, leaving it undoes the fault.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager

from jasperwalk_lab.backend_core import BackendStatus, ReportFaults
from jasperwalk_lab.chaos.faults import FaultKind
from jasperwalk_lab.chaos.fleet import ChaosFleet
from jasperwalk_lab.chaos.links import ANY_PROCESS, Cut
from jasperwalk_lab.chaos.observations import (
    AgentLoss,
    LeavingPeriod,
    Observations,
    Recovery,
)
from jasperwalk_lab.chaos.repair import lose_disk, replace_replica
from jasperwalk_lab.control_client import AcceptedChange
from jasperwalk_lab.fleet_settings import agent_name
from jasperwalk_lab.platform_list import MachineState

PLATFORM_LAG_SECONDS = 1.0
"""Default lag of the platform list: a change of a machine's state shows that much later."""
IN_FORCE_SECONDS = 10.0
SECOND_LOSS_SECONDS = 1.5
MISLEADING_REPORTS = (
    ReportFaults(false_status=BackendStatus.DRAINING),
    ReportFaults(lag_seconds=4.0, false_busy=0),
    ReportFaults(false_status=BackendStatus.OK, false_busy=1000),
)

Action = Callable[[str], AbstractAsyncContextManager[None]]
MakeChanges = Callable[[], Awaitable[int]]
"""Submits hundreds of changes and returns how many were accepted."""
WaitCurrent = Callable[[str, float], Awaitable[float]]
"""Waits until a process has the newest change; returns the seconds since the given time."""


def _now() -> float:
    return asyncio.get_running_loop().time()


class FaultActions:
    """The faults of one fleet; data for the later checks is added to `observations`."""

    def __init__(
        self,
        fleet: ChaosFleet,
        observations: Observations,
        make_changes: MakeChanges,
        wait_current: WaitCurrent,
    ) -> None:
        self._fleet = fleet
        self._supervisor = fleet.supervisor
        self._observations = observations
        self._make_changes = make_changes
        self._wait_current = wait_current
        self._misleading_reports = itertools.cycle(MISLEADING_REPORTS)

    def action(self, kind: FaultKind) -> Action:
        """Return the context of a kind of fault."""
        actions: dict[FaultKind, Action] = {
            FaultKind.BALANCER_KILLED: self._balancer_killed,
            FaultKind.BALANCER_STOPPED: self._balancer_stopped,
            FaultKind.BALANCER_FROZEN: self._frozen,
            FaultKind.BALANCER_CUT: self._balancer_cut,
            FaultKind.BALANCER_WITHOUT_CONTROL: self._without_control,
            FaultKind.BALANCER_JOINED: self._balancer_joined,
            FaultKind.BALANCER_AWAY_FOR_CHANGES: self._balancer_away,
            FaultKind.CONTROL_KILLED: self._control_killed,
            FaultKind.CONTROL_FROZEN: self._control_frozen,
            FaultKind.CONTROL_CUT: self._control_cut,
            FaultKind.CONTROL_CUT_ONE_WAY: self._control_cut_one_way,
            FaultKind.CONTROL_WIPED: self._control_wiped,
            FaultKind.CONTROL_AWAY_FOR_CHANGES: self._control_away,
            FaultKind.HOST_LOST: self._host_lost,
            FaultKind.HOST_DRAINED: self._host_drained,
            FaultKind.HOST_LEAVING: self._host_leaving,
            FaultKind.AGENT_KILLED: self._agent_killed,
            FaultKind.AGENT_STOPPED: self._agent_stopped,
            FaultKind.AGENT_FROZEN: self._agent_frozen,
            FaultKind.AGENT_ANSWERS_CUT: self._answers_cut,
            FaultKind.AGENT_WITHOUT_CONTROL: self._without_control,
            FaultKind.BACKEND_SHEDS: self._backend_sheds,
            FaultKind.BACKEND_LIES: self._backend_lies,
        }
        return actions[kind]

    @contextlib.asynccontextmanager
    async def _balancer_killed(self, name: str) -> AsyncIterator[None]:
        await self._supervisor.kill(name)
        yield
        await self._fleet.start_balancer(name)

    @contextlib.asynccontextmanager
    async def _balancer_stopped(self, name: str) -> AsyncIterator[None]:
        await self._supervisor.stop(name)
        yield
        await self._fleet.start_balancer(name)

    @contextlib.asynccontextmanager
    async def _frozen(self, process: str) -> AsyncIterator[None]:
        self._supervisor.freeze(process)
        yield
        self._supervisor.thaw(process)

    @contextlib.asynccontextmanager
    async def _balancer_cut(self, name: str) -> AsyncIterator[None]:
        await self._fleet.cut_balancer(name, cut=True)
        yield
        await self._fleet.cut_balancer(name, cut=False)

    @contextlib.asynccontextmanager
    async def _without_control(self, process: str) -> AsyncIterator[None]:
        cuts = [Cut(process, ANY_PROCESS), Cut(ANY_PROCESS, process)]
        await self._fleet.add_cuts(cuts)
        yield
        await self._fleet.remove_cuts(cuts)

    @contextlib.asynccontextmanager
    async def _balancer_joined(self, name: str) -> AsyncIterator[None]:
        await self._fleet.join_balancer(self._fleet.balancer(name))
        yield

    @contextlib.asynccontextmanager
    async def _balancer_away(self, name: str) -> AsyncIterator[None]:
        await self._supervisor.kill(name)
        missed = await self._make_changes()
        yield
        restarted = _now()
        await self._fleet.start_balancer(name)
        await self._record_recovery(name, missed, restarted)

    @contextlib.asynccontextmanager
    async def _control_killed(self, slot: str) -> AsyncIterator[None]:
        place = self._fleet.control_slots[slot]
        await self._supervisor.kill(place.name)
        yield
        await self._fleet.start_control(place)

    @contextlib.asynccontextmanager
    async def _control_frozen(self, slot: str) -> AsyncIterator[None]:
        async with self._frozen(self._fleet.control_slots[slot].name):
            yield

    @contextlib.asynccontextmanager
    async def _control_cut(self, slot: str) -> AsyncIterator[None]:
        async with self._without_control(self._fleet.control_slots[slot].name):
            yield

    @contextlib.asynccontextmanager
    async def _control_cut_one_way(self, slot: str) -> AsyncIterator[None]:
        cuts = [Cut(ANY_PROCESS, self._fleet.control_slots[slot].name)]
        await self._fleet.add_cuts(cuts)
        yield
        await self._fleet.remove_cuts(cuts)

    @contextlib.asynccontextmanager
    async def _control_wiped(self, slot: str) -> AsyncIterator[None]:
        await lose_disk(self._fleet, slot)
        await replace_replica(self._fleet, slot)
        # Right after the repair has finished, a second replica is lost.
        other = next(name for name in self._fleet.control_slots if name != slot)
        async with self._control_killed(other):
            await asyncio.sleep(SECOND_LOSS_SECONDS)
        yield

    @contextlib.asynccontextmanager
    async def _control_away(self, slot: str) -> AsyncIterator[None]:
        place = self._fleet.control_slots[slot]
        await self._supervisor.kill(place.name)
        missed = await self._make_changes()
        yield
        restarted = _now()
        await self._fleet.start_control(place)
        await self._record_recovery(place.name, missed, restarted)

    @contextlib.asynccontextmanager
    async def _host_lost(self, host: str) -> AsyncIterator[None]:
        self._record_loss(host, FaultKind.HOST_LOST)
        await self._fleet.kill_host(self._fleet.member(host))
        yield
        await self._fleet.start_host(host)

    @contextlib.asynccontextmanager
    async def _agent_killed(self, host: str) -> AsyncIterator[None]:
        self._record_loss(host, FaultKind.AGENT_KILLED)
        await self._supervisor.kill(agent_name(self._fleet.member(host)))
        yield
        await self._fleet.start_agent(host)

    @contextlib.asynccontextmanager
    async def _host_drained(self, host: str) -> AsyncIterator[None]:
        await self._drain(host)
        period = self._record_leaving(host, FaultKind.HOST_DRAINED, _now())
        yield
        period.until = _now()
        await self._resume(host)

    @contextlib.asynccontextmanager
    async def _host_leaving(self, host: str) -> AsyncIterator[None]:
        await self._fleet.set_machine(host, MachineState.LEAVING)
        period = self._record_leaving(host, FaultKind.HOST_LEAVING, _now() + PLATFORM_LAG_SECONDS)
        yield
        period.until = _now()
        await self._fleet.set_machine(host, MachineState.LIVE)

    @contextlib.asynccontextmanager
    async def _agent_stopped(self, host: str) -> AsyncIterator[None]:
        """Drain, stop when drained, start again, resume: a planned restart."""
        change = await self._drain(host)
        period = self._record_leaving(host, FaultKind.AGENT_STOPPED, _now())
        async with self._fleet.control_client() as control:
            await control.wait_in_force(change, IN_FORCE_SECONDS)
        await self._fleet.stop_agent(host)
        yield
        await self._fleet.start_agent(host)
        period.until = _now()
        await self._resume(host)

    @contextlib.asynccontextmanager
    async def _agent_frozen(self, host: str) -> AsyncIterator[None]:
        async with self._frozen(agent_name(self._fleet.member(host))):
            yield

    @contextlib.asynccontextmanager
    async def _answers_cut(self, host: str) -> AsyncIterator[None]:
        await self._fleet.cut_answers(host, cut=True)
        yield
        await self._fleet.cut_answers(host, cut=False)

    @contextlib.asynccontextmanager
    async def _backend_sheds(self, host: str) -> AsyncIterator[None]:
        await self._fleet.set_shedding(host, shedding=True)
        yield
        await self._fleet.set_shedding(host, shedding=False)

    @contextlib.asynccontextmanager
    async def _backend_lies(self, host: str) -> AsyncIterator[None]:
        await self._fleet.set_report_faults(host, next(self._misleading_reports))
        yield
        await self._fleet.set_report_faults(host, ReportFaults())

    async def _drain(self, host: str) -> AcceptedChange:
        async with self._fleet.control_client() as control:
            return await control.drain(host)

    async def _resume(self, host: str) -> None:
        async with self._fleet.control_client() as control:
            await control.resume(host)

    def _record_leaving(self, host: str, cause: FaultKind, since: float) -> LeavingPeriod:
        period = LeavingPeriod(host=host, cause=cause.value, since=since)
        self._observations.leaving.append(period)
        return period

    def _record_loss(self, host: str, cause: FaultKind) -> None:
        agent = str(self._fleet.member(host).listen)
        loss = AgentLoss(agent=agent, host=host, at=_now(), cause=cause.value)
        self._observations.agent_losses.append(loss)

    async def _record_recovery(self, process: str, missed: int, restarted: float) -> None:
        seconds = await self._wait_current(process, restarted)
        self._observations.recoveries.append(Recovery(process, missed, seconds))
