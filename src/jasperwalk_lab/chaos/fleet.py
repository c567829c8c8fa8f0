"""A fleet into whose processes, links and disks faults can be injected."""

from __future__ import annotations

import shutil
from collections.abc import Iterable
from pathlib import Path

import aiohttp
import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.backend import DrainBody
from jasperwalk_lab.backend_core import ReportFaults
from jasperwalk_lab.chaos.links import Cut
from jasperwalk_lab.chaos.links_process import CutsBody
from jasperwalk_lab.chaos.planner import LINKS, ChaosPlanner, LinkLayout
from jasperwalk_lab.chaos.schedule import FleetFacts
from jasperwalk_lab.control_client import ControlClient
from jasperwalk_lab.example import Example
from jasperwalk_lab.fabric_process import CutBody, FlowList, FlowView
from jasperwalk_lab.fleet import FLEET_READY_SECONDS, Fleet
from jasperwalk_lab.fleet_options import FleetOptions
from jasperwalk_lab.fleet_settings import agent_name, backend_name
from jasperwalk_lab.journal import JournalRecord, read_journal_file
from jasperwalk_lab.layout import BalancerPlace, ControlPlace, MemberPlace
from jasperwalk_lab.platform_list import MachineState, StateChange
from jasperwalk_lab.supervisor import health_url

REPLACEMENTS = 2
LINKS_READY_SECONDS = 10.0
AGENT_STOP_SECONDS = 90.0
"""Maximum duration of a planned stop: an agent waits for its open streams."""


class ChaosFleet(Fleet):
    """A fleet with relays in front of its control replicas, and methods that cause faults."""

    def __init__(self, example: Example, run_folder: Path, seed: int) -> None:
        super().__init__(example, run_folder, seed)
        self.control_slots: dict[str, ControlPlace] = {
            place.name: place for place in self.layout.controls
        }
        """The current replica of each place, by the name of the place's first replica."""
        self.unused_replacements = list(self.links.replacements)
        self._cuts: list[Cut] = []
        self._balancers = {
            place.name: place for place in (*self.layout.balancers, *self.layout.spare_balancers)
        }
        self._members = {place.host: place for place in self.layout.members}

    def _make_planner(self, seed: int, _options: FleetOptions) -> ChaosPlanner:
        self.links = self._plan_links()
        self.planner = ChaosPlanner(
            self.layout, self.run_folder, self.certificates, seed, self.links
        )
        return self.planner

    def _plan_links(self) -> LinkLayout:
        """Reserve the relays' ports on the control machines' own addresses."""
        controls = self.layout.controls
        replacements = tuple(
            ControlPlace(
                name=f"control-{len(controls) + 1 + number}",
                replica_id=len(controls) + 1 + number,
                zone=controls[number].zone,
                peer=self._reservations.reserve(controls[number].peer.host),
                api=self._reservations.reserve(controls[number].api.host),
            )
            for number in range(REPLACEMENTS)
        )
        relays = {
            place.name: self._reservations.reserve(self.layout.fabric_admin.host)
            for place in (*controls, *replacements)
        }
        admin = self._reservations.reserve(self.layout.fabric_admin.host)
        return LinkLayout(admin=admin, relays=relays, replacements=replacements)

    def facts(self) -> FleetFacts:
        """Return the names that the schedule needs."""
        hosts: dict[str, tuple[str, ...]] = {}
        for member in self.layout.members:
            hosts[member.service] = (*hosts.get(member.service, ()), member.host)
        return FleetFacts(
            balancers=tuple(place.name for place in self.layout.balancers),
            spare_balancers=tuple(place.name for place in self.layout.spare_balancers),
            controls=tuple(self.control_slots),
            hosts=hosts,
        )

    async def start(self) -> None:
        """Start the links, then everything else."""
        self._reservations.release()
        await self.supervisor.start(self.planner.links())
        await self.supervisor.wait_ready([LINKS], LINKS_READY_SECONDS)
        await super().start()

    def control_client(self) -> ControlClient:
        """Return a client of the current replicas."""
        return ControlClient(self.control_apis())

    def control_apis(self) -> list[Endpoint]:
        """Return the API endpoints of the current replicas."""
        return [place.api for place in self.control_slots.values()]

    def balancer(self, name: str) -> BalancerPlace:
        """Return the place of a balancer."""
        return self._balancers[name]

    def member(self, host: str) -> MemberPlace:
        """Return the place of a host."""
        return self._members[host]

    async def start_balancer(self, name: str) -> None:
        """Start a balancer that the fabric knows, and wait until it gets datagrams."""
        await self.supervisor.start(self.planner.balancer(self.balancer(name)))
        await self.supervisor.wait_ready([name], FLEET_READY_SECONDS)
        await self._wait_sprayed({name})

    async def start_control(self, place: ControlPlace) -> None:
        """Start a replica and wait until it is healthy."""
        await self.supervisor.start(self.planner.control(place))
        await self.supervisor.wait_ready([place.name], FLEET_READY_SECONDS)

    async def start_agent(self, host: str) -> None:
        """Start an agent and wait until it is healthy."""
        await self.supervisor.start(self.planner.agent(self.member(host)))
        await self.supervisor.wait_ready([agent_name(self.member(host))], FLEET_READY_SECONDS)

    async def start_host(self, host: str) -> None:
        """Start a lost host's backend and agent again."""
        place = self.member(host)
        await self.supervisor.start(self.planner.backend(place))
        await self.supervisor.wait_ready([backend_name(place)], FLEET_READY_SECONDS)
        await self.start_agent(host)

    async def stop_agent(self, host: str) -> int:
        """Stop an agent as in a planned stop; return its exit status."""
        return await self.supervisor.stop(agent_name(self.member(host)), AGENT_STOP_SECONDS)

    def wipe(self, place: ControlPlace) -> None:
        """Remove a replica's data folder, as a lost disk does."""
        shutil.rmtree(self.planner.data_folder(place))

    async def add_cuts(self, cuts: Iterable[Cut]) -> None:
        """Add cuts to those in effect."""
        self._cuts.extend(cuts)
        await self._put_cuts()

    async def remove_cuts(self, cuts: Iterable[Cut]) -> None:
        """End cuts."""
        for cut in cuts:
            self._cuts.remove(cut)
        await self._put_cuts()

    async def _put_cuts(self) -> None:
        await _put(self.links.admin, "/lab/cuts", CutsBody(self._cuts))

    async def cut_balancer(self, name: str, cut: bool) -> None:
        """Cut, or restore, the path from the fabric to a balancer."""
        await _put(self.layout.fabric_admin, f"/lab/balancers/{name}/cut", CutBody(cut))

    async def cut_answers(self, host: str, cut: bool) -> None:
        """Cut, or restore, the path from an agent to the fabric."""
        agent = self.member(host).listen
        await _put(self.layout.fabric_admin, f"/lab/agents/{agent}/cut", CutBody(cut))

    async def set_machine(self, host: str, state: MachineState) -> None:
        """Change the state of a host, which the platform's list shows after its lag."""
        await _put(self.layout.platform_list, f"/lab/machines/{host}", StateChange(state))

    async def set_shedding(self, host: str, shedding: bool) -> None:
        """Make a backend shed all requests, or accept them again."""
        await _put(self.member(host).backend, "/lab/drain", DrainBody(shedding))

    async def set_report_faults(self, host: str, faults: ReportFaults) -> None:
        """Make a backend's reports wrong."""
        await _put(self.member(host).backend, "/lab/faults", faults)

    async def flows(self) -> list[FlowView]:
        """Return which agents answered which flows."""
        url = health_url(self.layout.fabric_admin, "/lab/flows")
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            return msgspec.json.decode(await response.read(), type=FlowList).flows

    def read_journals(self) -> list[JournalRecord]:
        """Read the journal files of all backends, including killed ones."""
        files = self.planner.journal_files()
        return [record for path in files for record in read_journal_file(path)]


async def _put(admin: Endpoint, path: str, body: msgspec.Struct) -> None:
    data = msgspec.json.encode(body)
    url = health_url(admin, path)
    async with aiohttp.ClientSession() as session, session.put(url, data=data) as response:
        response.raise_for_status()
