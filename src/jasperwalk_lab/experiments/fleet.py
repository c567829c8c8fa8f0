"""A fleet whose processes can be replaced in the planned ways that experiments compare."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from jasperwalk_lab.fabric_process import FlowList, FlowView
from jasperwalk_lab.fleet import FLEET_READY_SECONDS, Fleet
from jasperwalk_lab.fleet_settings import agent_name
from jasperwalk_lab.layout import BalancerPlace, ControlPlace, MemberPlace
from jasperwalk_lab.supervisor import health_url

LAST_DATAGRAMS_SECONDS = 0.25
"""From the removal of a balancer from the fabric to its stop, for datagrams on their way."""
AGENT_STOP_SECONDS = 60.0
"""What a planned stop of an agent may take: it waits for its open requests."""


class ExperimentFleet(Fleet):
    """Stops and replaces processes as operators would, without a fault."""

    async def remove_balancer(self, place: BalancerPlace) -> None:
        """Take a balancer out of the fabric, then stop it."""
        url = health_url(self.layout.fabric_admin, f"/lab/balancers/{place.name}")
        async with aiohttp.ClientSession() as session, session.delete(url) as response:
            response.raise_for_status()
        await asyncio.sleep(LAST_DATAGRAMS_SECONDS)
        await self.supervisor.stop(place.name)

    async def restart_balancer(self, place: BalancerPlace) -> None:
        """Replace a balancer by a fresh process, as an upgrade does."""
        await self.remove_balancer(place)
        await self.join_balancer(place)

    async def restart_control(self, place: ControlPlace) -> None:
        """Stop a control replica and start it again with its data."""
        await self.supervisor.stop(place.name)
        await self.supervisor.start(self._planner.control(place))
        await self.supervisor.wait_ready([place.name], FLEET_READY_SECONDS)

    async def stop_agent(self, place: MemberPlace) -> int:
        """Stop an agent, which lets its open requests end first; return its exit status."""
        return await self.supervisor.stop(agent_name(place), AGENT_STOP_SECONDS)

    async def flows(self) -> list[FlowView]:
        """Return which agents answered which callers' ports."""
        url = health_url(self.layout.fabric_admin, "/lab/flows")
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            return msgspec.json.decode(await response.read(), type=FlowList).flows
