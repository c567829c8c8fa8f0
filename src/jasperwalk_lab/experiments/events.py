"""Plays an experiment's timed events on a fleet."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from jasperwalk_lab.backend import DrainBody, ServiceTimeFactorBody
from jasperwalk_lab.backend_core import ReportFaults
from jasperwalk_lab.control_client import AcceptedChange
from jasperwalk_lab.errors import LabSettingsError
from jasperwalk_lab.experiments.breaks import TimedEvent
from jasperwalk_lab.experiments.configuration import tenant_of, with_default, with_weight
from jasperwalk_lab.experiments.definition import Action, Event
from jasperwalk_lab.experiments.fleet import ExperimentFleet
from jasperwalk_lab.experiments.imbalance import WeightsSince
from jasperwalk_lab.experiments.lines import EventLine
from jasperwalk_lab.fleet_settings import agent_name
from jasperwalk_lab.journal import JournalRecord
from jasperwalk_lab.layout import BalancerPlace, ControlPlace, MemberPlace
from jasperwalk_lab.supervisor import health_url

IN_FORCE_TIMEOUT_SECONDS = 10.0


class EventPlayer:
    """Plays events in order, and keeps what the measures have to know of them.

    `lost_hosts` holds when each killed host was killed (seconds), `unclean_stops` the
    processes whose planned stop did not end with status 0.
    """

    def __init__(self, fleet: ExperimentFleet) -> None:
        self._fleet = fleet
        self._example = fleet.layout.example
        self._weights = {
            member.host: float(member.weight)
            for service in self._example.services()
            for member in service.members
        }
        self._inactive: set[str] = set()
        self._stops: list[asyncio.Task[None]] = []
        self.lost_hosts: dict[str, float] = {}
        self.kept_journal: list[JournalRecord] = []
        self.lines: list[EventLine] = []
        self.timed: list[TimedEvent] = []
        self.unclean_stops: list[str] = []
        self.weight_history = [WeightsSince(0.0, dict(self._weights))]

    async def play(self, events: tuple[Event, ...], began: float) -> None:
        """Play events, each when it is due or as soon as the one before is in force."""
        loop = asyncio.get_running_loop()
        for event in sorted(events, key=lambda each: each.at):
            await asyncio.sleep(max(0.0, began + event.at - loop.time()))
            started = loop.time()
            self.timed.append(TimedEvent(event.action.value, started))
            change = await self._act(event)
            self._note_weights(event)
            in_force = None
            if change is not None:
                in_force = await self._seconds_to_force(change, started)
            line = EventLine(
                at=started - began,
                action=event.action,
                target=event.target,
                value=event.value,
                in_force_seconds=in_force,
            )
            self.lines.append(line)
        await asyncio.gather(*self._stops)

    async def _act(self, event: Event) -> AcceptedChange | None:
        match event.action:
            case Action.DRAIN_HOST | Action.RESUME_HOST | Action.SET_WEIGHT | Action.SET_DEFAULT:
                return await self._change(event)
            case Action.KILL_HOST | Action.STOP_AGENT:
                await self._end(event)
            case Action.RESTART_CONTROL:
                await self._fleet.restart_control(self._control(event.target))
            case Action.SLOW_HOST | Action.FALSE_LOAD | Action.LAGGING_LOAD | Action.SHED:
                await self._disturb(event)
            case _:
                await self._act_on_balancer(event)
        return None

    async def _act_on_balancer(self, event: Event) -> None:
        place = self._balancer(event.target)
        match event.action:
            case Action.KILL_BALANCER:
                await self._fleet.kill_balancer(place)
            case Action.JOIN_BALANCER:
                await self._fleet.join_balancer(place)
            case Action.REMOVE_BALANCER:
                await self._fleet.remove_balancer(place)
            case Action.RESTART_BALANCER:
                await self._fleet.restart_balancer(place)

    async def _end(self, event: Event) -> None:
        place = self._member(event.target)
        if event.action is Action.STOP_AGENT:
            # It waits for its open requests; later events do not wait for that.
            self._stops.append(asyncio.create_task(self._stop_agent(place)))
            return
        self.kept_journal += await self._fleet.journals_of([place])
        self.lost_hosts[event.target] = asyncio.get_running_loop().time()
        await self._fleet.kill_host(place)

    async def _stop_agent(self, place: MemberPlace) -> None:
        status = await self._fleet.stop_agent(place)
        if status != 0:
            self.unclean_stops.append(f"{agent_name(place)} (status {status})")

    async def _disturb(self, event: Event) -> None:
        """Change how a back end works or what its load page tells."""
        match event.action:
            case Action.SLOW_HOST:
                await self._put(event.target, "/lab/pace", ServiceTimeFactorBody(event.value))
            case Action.FALSE_LOAD:
                body = ReportFaults(false_busy=int(event.value))
                await self._put(event.target, "/lab/faults", body)
            case Action.LAGGING_LOAD:
                body = ReportFaults(lag_seconds=event.value)
                await self._put(event.target, "/lab/faults", body)
            case Action.SHED:
                await self._put(event.target, "/lab/drain", DrainBody(bool(event.value)))

    async def _change(self, event: Event) -> AcceptedChange:
        async with self._fleet.control_client() as control:
            match event.action:
                case Action.DRAIN_HOST:
                    return await control.drain(event.target)
                case Action.RESUME_HOST:
                    return await control.resume(event.target)
                case Action.SET_DEFAULT:
                    self._example = with_default(self._example, event.target, int(event.value))
                    template = self._example.template
                    return await control.put_template(template.name, self._example.template_text)
            address = self._member(event.target).listen
            self._example = with_weight(self._example, address, int(event.value))
            return await control.put_tenant(tenant_of(self._example, address))

    def _note_weights(self, event: Event) -> None:
        match event.action:
            case Action.SET_WEIGHT:
                self._weights[event.target] = event.value
            case Action.DRAIN_HOST | Action.KILL_HOST | Action.STOP_AGENT:
                self._inactive.add(event.target)
            case Action.RESUME_HOST:
                self._inactive.discard(event.target)
            case _:
                return
        weights = {
            host: 0.0 if host in self._inactive else weight
            for host, weight in self._weights.items()
        }
        self.weight_history.append(WeightsSince(asyncio.get_running_loop().time(), weights))

    async def _seconds_to_force(self, change: AcceptedChange, started: float) -> float | None:
        async with self._fleet.control_client() as control:
            view = await control.wait_in_force(change, IN_FORCE_TIMEOUT_SECONDS)
        return asyncio.get_running_loop().time() - started if view.complete else None

    async def _put(self, host: str, path: str, body: msgspec.Struct) -> None:
        url = health_url(self._member(host).backend, path)
        data = msgspec.json.encode(body)
        async with aiohttp.ClientSession() as session, session.put(url, data=data) as response:
            response.raise_for_status()

    def _member(self, host: str) -> MemberPlace:
        for place in self._fleet.layout.members:
            if place.host == host:
                return place
        raise LabSettingsError(self._fleet.run_folder, f"the fleet has no host {host!r}")

    def _balancer(self, name: str) -> BalancerPlace:
        layout = self._fleet.layout
        for place in (*layout.balancers, *layout.spare_balancers):
            if place.name == name:
                return place
        raise LabSettingsError(self._fleet.run_folder, f"the fleet has no balancer {name!r}")

    def _control(self, name: str) -> ControlPlace:
        for place in self._fleet.layout.controls:
            if place.name == name:
                return place
        raise LabSettingsError(self._fleet.run_folder, f"the fleet has no replica {name!r}")
