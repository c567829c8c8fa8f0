"""The real processes of a scale run: control, a few balancers and agents, the platform's list."""

from __future__ import annotations

import asyncio
from pathlib import Path
from types import TracebackType
from typing import Self

import aiohttp
import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.config.templates import parse_template
from jasperwalk_lab.certificates import write_certificates
from jasperwalk_lab.control_client import AcceptedChange, ControlClient
from jasperwalk_lab.example import Example, ZoneDelays
from jasperwalk_lab.fleet_options import FleetOptions
from jasperwalk_lab.fleet_settings import FleetPlanner, agent_name
from jasperwalk_lab.layout import (
    CONTROL_REPLICAS,
    BalancerPlace,
    ControlPlace,
    Layout,
    LoopbackHosts,
    MemberPlace,
)
from jasperwalk_lab.ports import PortReservations
from jasperwalk_lab.scale.errors import NoControlLeader
from jasperwalk_lab.scale.plan import (
    FIRST_WEIGHT,
    REAL_AGENTS,
    REAL_BALANCERS,
    SLOTS,
    TEMPLATE_NAME,
    TEMPLATE_TEXT,
    ZONES,
    PlannedMember,
    ScaleSize,
    plan_members,
    tenant_of,
)
from jasperwalk_lab.supervisor import Supervisor, health_url

READY_SECONDS = 30.0
SUBMISSIONS_AT_ONCE = 8
STATUS_TIMEOUT_SECONDS = 2.0
PLAIN_LINKS = FleetOptions(protect_links=False)
"""Hollow processes have no certificates."""
NO_DELAYS = ZoneDelays(between_zones_ms=0.0, to_clients_ms=0.0)


class ControlStatus(msgspec.Struct, frozen=True):
    """What a replica's health page says."""

    replica_id: int
    leader_id: int
    has_quorum: bool
    revision: int


class MeasuredSupervisor(Supervisor):
    """A supervisor that names the process IDs, for measuring."""

    def process_id(self, name: str) -> int:
        """Return the ID of a running process."""
        return self._processes[name].pid


class ScaleFleet:
    """Starts and stops the real processes; use it as an asynchronous context."""

    def __init__(self, size: ScaleSize, run_folder: Path, seed: int) -> None:
        self.size = size
        log_folder = run_folder / "logs"
        log_folder.mkdir()
        self.supervisor = MeasuredSupervisor(log_folder)
        self._reservations = PortReservations()
        hosts = LoopbackHosts(self._reservations)
        real_addresses = [hosts.endpoint() for _ in range(REAL_AGENTS)]
        self.members = plan_members(size, real_addresses)
        self.layout = _layout(size, self.members, hosts)
        certificates = write_certificates(run_folder)
        self._planner = FleetPlanner(self.layout, run_folder, certificates, seed, PLAIN_LINKS)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Return the fleet, not yet started."""
        timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT_SECONDS)
        self._session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        """Stop every process."""
        self._reservations.release()
        if self._session is not None:
            await self._session.close()
        await self.supervisor.stop_all()

    @property
    def control_endpoints(self) -> list[Endpoint]:
        """End points that followers connect to."""
        return [place.peer for place in self.layout.controls]

    @property
    def control_names(self) -> list[str]:
        """Process names of the control replicas."""
        return [place.name for place in self.layout.controls]

    @property
    def balancer_names(self) -> list[str]:
        """Process names of the real balancers."""
        return [place.name for place in self.layout.balancers]

    @property
    def agent_names(self) -> list[str]:
        """Process names of the real agents."""
        return [agent_name(place) for place in self.layout.members[:REAL_AGENTS]]

    def control_client(self) -> ControlClient:
        """Return a client of the control replicas."""
        return ControlClient([place.api for place in self.layout.controls])

    async def start_control(self) -> None:
        """Start control and the platform's list."""
        self._reservations.release()
        controls = [self._planner.control(place) for place in self.layout.controls]
        await self.supervisor.start_all([*controls, self._planner.platform_list()])
        await self.supervisor.wait_ready(self.control_names, READY_SECONDS)

    async def start_nodes(self) -> None:
        """Start the real balancers and agents, with a back end beside each agent."""
        members = self.layout.members[:REAL_AGENTS]
        plans = [self._planner.backend(place) for place in members]
        plans += [self._planner.agent(place) for place in members]
        plans += [self._planner.balancer(place) for place in self.layout.balancers]
        await self.supervisor.start_all(plans)

    async def submit_configuration(self) -> AcceptedChange:
        """Submit the template and every tenant; return an accepted change of a tenant."""
        turns = asyncio.Semaphore(SUBMISSIONS_AT_ONCE)
        async with self.control_client() as control:
            await control.put_template(TEMPLATE_NAME, TEMPLATE_TEXT)

            async def submit(number: int) -> AcceptedChange:
                async with turns:
                    return await self.put_weight(control, number, FIRST_WEIGHT)

            changes = await asyncio.gather(*(submit(each) for each in range(self.size.services)))
        return max(changes, key=lambda change: change.revision)

    async def put_weight(self, control: ControlClient, number: int, weight: int) -> AcceptedChange:
        """Give all members of service `number` a weight."""
        return await control.put_tenant(tenant_of(number, self.size, self.members, weight))

    async def kill_control(self, name: str) -> None:
        """Kill a control replica without warning."""
        await self.supervisor.kill(name)

    async def restart_control(self, name: str) -> None:
        """Start a control replica that was killed, on its old data folder."""
        place = next(place for place in self.layout.controls if place.name == name)
        await self.supervisor.start(self._planner.control(place))

    async def leader_name(self) -> str:
        """Return the name of the leading replica; raise `NoControlLeader`."""
        leaders = {status.leader_id for status in await self.statuses()} - {0}
        for place in self.layout.controls:
            if leaders == {place.replica_id}:
                return place.name
        raise NoControlLeader()

    async def statuses(self) -> list[ControlStatus]:
        """Return the health pages of the replicas that answer."""
        answers = await asyncio.gather(*(self.status(name) for name in self.control_names))
        return [answer for answer in answers if answer is not None]

    async def status(self, name: str) -> ControlStatus | None:
        """Return one replica's health page, None when it does not answer."""
        place = next(place for place in self.layout.controls if place.name == name)
        if self._session is None:
            return None
        try:
            async with self._session.get(health_url(place.api)) as response:
                return msgspec.json.decode(await response.read(), type=ControlStatus)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
            return None


def _layout(size: ScaleSize, members: list[PlannedMember], hosts: LoopbackHosts) -> Layout:
    return Layout(
        example=Example("scale", TEMPLATE_TEXT, parse_template(TEMPLATE_TEXT), (), NO_DELAYS),
        controls=tuple(
            ControlPlace(
                name=f"control-{number}",
                replica_id=number,
                zone=ZONES[number % len(ZONES)],
                peer=hosts.endpoint(),
                api=hosts.endpoint(),
            )
            for number in range(1, CONTROL_REPLICAS + 1)
        ),
        balancers=tuple(
            BalancerPlace(
                name=f"balancer-{number + 1}",
                zone=ZONES[number % len(ZONES)],
                listen=hosts.endpoint(),
                admin=hosts.endpoint(),
                delay_ms=0.0,
            )
            for number in range(REAL_BALANCERS)
        ),
        spare_balancers=(),
        members=tuple(
            _member_place(member, number, size, hosts) for number, member in enumerate(members)
        ),
        fabric_return=hosts.endpoint(),
        fabric_admin=hosts.endpoint(),
        platform_list=hosts.endpoint(),
    )


def _member_place(
    member: PlannedMember, number: int, size: ScaleSize, hosts: LoopbackHosts
) -> MemberPlace:
    """Place a member; a hollow one has no admin page and no back end."""
    is_real = number < REAL_AGENTS
    return MemberPlace(
        host=member.host,
        service=f"lookups-{number % size.services}",
        zone=member.zone,
        slots=SLOTS,
        listen=member.address,
        admin=hosts.endpoint() if is_real else member.address,
        backend=hosts.endpoint() if is_real else member.address,
    )
