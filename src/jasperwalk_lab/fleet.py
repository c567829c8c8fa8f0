"""A complete fleet on loopback: control, balancers, agents and the stand-ins around them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Collection, Iterable
from pathlib import Path
from types import TracebackType
from typing import Self

import aiohttp
import msgspec
import structlog

from jasperwalk_lab.certificates import CertificateFiles, write_certificates
from jasperwalk_lab.control_client import AcceptedChange, ControlClient
from jasperwalk_lab.errors import FleetNotReady
from jasperwalk_lab.example import Example
from jasperwalk_lab.fabric_process import BalancerBody, BalancerList, BalancerView
from jasperwalk_lab.fleet_options import DEFAULT_OPTIONS, FleetOptions
from jasperwalk_lab.fleet_settings import FleetPlanner, agent_name, backend_name
from jasperwalk_lab.journal import JournalAnswer, JournalRecord
from jasperwalk_lab.layout import BalancerPlace, Layout, MemberPlace, plan_layout
from jasperwalk_lab.ports import PortReservations
from jasperwalk_lab.supervisor import HEALTH_POLL_SECONDS, Supervisor, health_url

CONTROL_READY_SECONDS = 25.0
FLEET_READY_SECONDS = 25.0
IN_FORCE_SECONDS = 15.0

log = structlog.get_logger()


def make_run_folder(parent: Path, name: str) -> Path:
    """Create a new folder for the settings, data and logs of one run."""
    stamp = time.strftime("%Y%m%d-%H%M%S")
    number = 0
    while True:
        folder = parent.resolve() / f"{name}-{stamp}-{number}"
        try:
            folder.mkdir(parents=True)
        except FileExistsError:
            number += 1
            continue
        return folder


class Fleet:
    """Starts and stops the processes of an example; use it as an asynchronous context."""

    def __init__(
        self,
        example: Example,
        run_folder: Path,
        seed: int,
        options: FleetOptions = DEFAULT_OPTIONS,
    ) -> None:
        self.run_folder = run_folder
        self.certificates: CertificateFiles = write_certificates(run_folder)
        log_folder = run_folder / "logs"
        log_folder.mkdir()
        self.supervisor = Supervisor(log_folder)
        self._reservations = PortReservations()
        self.layout: Layout = plan_layout(example, self._reservations)
        self._planner = self._make_planner(seed, options)

    def _make_planner(self, seed: int, options: FleetOptions) -> FleetPlanner:
        """Return the planner of the fleet's processes."""
        return FleetPlanner(self.layout, self.run_folder, self.certificates, seed, options)

    async def __aenter__(self) -> Self:
        """Return the fleet, not yet started."""
        return self

    async def __aexit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        """Stop every process."""
        self._reservations.release()
        await self.supervisor.stop_all()

    def control_client(self) -> ControlClient:
        """Return a client of the fleet's control replicas."""
        return ControlClient([place.api for place in self.layout.controls])

    async def start(self) -> None:
        """Start every process, submit the configuration, and wait until all are ready."""
        self._reservations.release()
        controls = [self._planner.control(place) for place in self.layout.controls]
        stand_ins = [self._planner.platform_list(), self._planner.fabric()]
        stand_ins += [self._planner.backend(place) for place in self.layout.members]
        followers = [self._planner.balancer(place) for place in self.layout.balancers]
        followers += [self._planner.agent(place) for place in self.layout.members]
        await self.supervisor.start_all(controls + stand_ins + followers)
        await self.supervisor.wait_ready([p.name for p in controls], CONTROL_READY_SECONDS)
        log.info("control_ready", replicas=len(controls))
        last_change = await self.submit_configuration()
        names = [plan.name for plan in stand_ins + followers]
        await self.supervisor.wait_ready(names, FLEET_READY_SECONDS)
        async with self.control_client() as control:
            view = await control.wait_in_force(last_change, IN_FORCE_SECONDS)
        if not view.complete:
            reason = f"the configuration is not in force on {', '.join(view.laggards)}"
            raise FleetNotReady("fleet", reason, self.run_folder)
        await self._wait_sprayed({place.name for place in self.layout.balancers})
        log.info("fleet_ready", revision=view.revision)

    async def submit_configuration(self) -> AcceptedChange:
        """Submit the example's template and tenants; return the last accepted change."""
        example = self.layout.example
        async with self.control_client() as control:
            change = await control.put_template(example.template.name, example.template_text)
            for tenant in example.tenants:
                change = await control.put_tenant(tenant)
        return change

    async def kill_balancer(self, place: BalancerPlace) -> None:
        """Kill a balancer; the fabric detects that only by its probes."""
        await self.supervisor.kill(place.name)

    async def join_balancer(self, place: BalancerPlace) -> None:
        """Start a balancer that was not part of the fleet, and add it to the fabric."""
        await self.supervisor.start(self._planner.balancer(place))
        await self.supervisor.wait_ready([place.name], FLEET_READY_SECONDS)
        body = BalancerBody(
            address=str(place.listen), admin=str(place.admin), delay_ms=place.delay_ms
        )
        url = health_url(self.layout.fabric_admin, f"/lab/balancers/{place.name}")
        data = msgspec.json.encode(body)
        async with aiohttp.ClientSession() as session, session.put(url, data=data) as response:
            response.raise_for_status()
        await self._wait_sprayed({place.name})

    async def kill_host(self, place: MemberPlace) -> None:
        """Kill an agent and its backend, as the loss of their machine would."""
        await self.supervisor.kill(agent_name(place))
        await self.supervisor.kill(backend_name(place))

    async def journals(self, lost_hosts: Collection[str] = ()) -> list[JournalRecord]:
        """Collect the journals of all backends except those of lost hosts."""
        places = [place for place in self.layout.members if place.host not in lost_hosts]
        return await self.journals_of(places)

    async def journals_of(self, places: Iterable[MemberPlace]) -> list[JournalRecord]:
        """Collect the journals of some backends."""
        async with aiohttp.ClientSession() as session:
            answers = await asyncio.gather(*(self._journal(session, place) for place in places))
        return [record for answer in answers for record in answer.records]

    async def _journal(self, session: aiohttp.ClientSession, place: MemberPlace) -> JournalAnswer:
        async with session.get(health_url(place.backend, "/lab/journal")) as response:
            return msgspec.json.decode(await response.read(), type=JournalAnswer)

    async def sprayed(self) -> list[BalancerView]:
        """Return the fabric's view of the balancers, with the datagrams sent to each."""
        url = health_url(self.layout.fabric_admin, "/lab/balancers")
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            return msgspec.json.decode(await response.read(), type=BalancerList).balancers

    async def _wait_sprayed(self, names: set[str]) -> None:
        """Wait until the fabric's probes have found the named balancers healthy."""
        async with asyncio.timeout(FLEET_READY_SECONDS):
            while not names <= {each.name for each in await self.sprayed() if each.in_use}:
                await asyncio.sleep(HEALTH_POLL_SECONDS)
