"""Plays an experiment's timed events on a fleet."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.config.parameters import ParameterType
from jasperwalk_lab.backend import DrainBody, PaceBody
from jasperwalk_lab.backend_core import ReportFaults
from jasperwalk_lab.control_client import AcceptedChange
from jasperwalk_lab.errors import LabSettingsError
from jasperwalk_lab.example import Example
from jasperwalk_lab.experiments.definition import Action, Event
from jasperwalk_lab.experiments.lines import EventLine
from jasperwalk_lab.fleet import Fleet
from jasperwalk_lab.journal import JournalRecord
from jasperwalk_lab.layout import BalancerPlace, MemberPlace
from jasperwalk_lab.supervisor import health_url

IN_FORCE_TIMEOUT_SECONDS = 10.0


class EventPlayer:
    """Plays events in order; `lost_hosts` and `weights` say what they changed."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._example = fleet.layout.example
        self.lost_hosts: set[str] = set()
        self.kept_journal: list[JournalRecord] = []
        self.lines: list[EventLine] = []
        self.weights = {
            member.host: float(member.weight)
            for service in self._example.services()
            for member in service.members
        }

    async def play(self, events: tuple[Event, ...], began: float) -> None:
        """Play events, each when it is due or as soon as the one before is in force."""
        loop = asyncio.get_running_loop()
        for event in sorted(events, key=lambda each: each.at):
            await asyncio.sleep(max(0.0, began + event.at - loop.time()))
            started = loop.time()
            change = await self._act(event)
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

    async def _act(self, event: Event) -> AcceptedChange | None:
        match event.action:
            case Action.KILL_BALANCER:
                await self._fleet.kill_balancer(self._balancer(event.target))
            case Action.JOIN_BALANCER:
                await self._fleet.join_balancer(self._balancer(event.target))
            case Action.KILL_HOST:
                place = self._member(event.target)
                self.lost_hosts.add(event.target)
                self.kept_journal += await self._fleet.journals_of([place])
                await self._fleet.kill_host(place)
            case Action.DRAIN_HOST | Action.RESUME_HOST | Action.SET_WEIGHT:
                return await self._change(event)
            case Action.SLOW_HOST:
                await self._put(event.target, "/lab/pace", PaceBody(event.value))
            case Action.FALSE_LOAD:
                body = ReportFaults(false_busy=int(event.value))
                await self._put(event.target, "/lab/faults", body)
            case Action.LAGGING_LOAD:
                body = ReportFaults(lag_seconds=event.value)
                await self._put(event.target, "/lab/faults", body)
            case Action.SHED:
                await self._put(event.target, "/lab/drain", DrainBody(bool(event.value)))
        return None

    async def _change(self, event: Event) -> AcceptedChange:
        async with self._fleet.control_client() as control:
            if event.action is Action.DRAIN_HOST:
                return await control.drain(event.target)
            if event.action is Action.RESUME_HOST:
                return await control.resume(event.target)
            place = self._member(event.target)
            self._example = with_weight(self._example, place.listen, int(event.value))
            self.weights[event.target] = event.value
            tenant = next(
                each
                for each in self._example.tenants
                if any(
                    member["address"] == str(place.listen)
                    for value in each.values.values()
                    if isinstance(value, list)
                    for member in value
                )
            )
            return await control.put_tenant(tenant)

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


def with_weight(example: Example, address: Endpoint, weight: int) -> Example:
    """Return the example with another weight of the member at `address`."""
    tenants = []
    for tenant in example.tenants:
        values = dict(tenant.values)
        for name, parameter in example.template.parameters.items():
            if parameter.shape.type is ParameterType.MEMBERS and name in values:
                values[name] = [
                    {**each, "weight": weight} if each["address"] == str(address) else each
                    for each in values[name]
                ]
        tenants.append(msgspec.structs.replace(tenant, values=values))
    return example.with_tenants(tuple(tenants))
