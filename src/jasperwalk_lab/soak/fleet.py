"""The processes of a soak: control replicas, balancers and agents, started through `platform/`.

Each has loopback addresses of its own. Replicas and agents advertise the addresses of relays, which
inject link faults.
"""

from __future__ import annotations

import asyncio
import random
import shutil
import socket
from dataclasses import dataclass
from pathlib import Path

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.ports import common_ports
from jasperwalk_lab.soak.callers import BalancerPlace
from jasperwalk_lab.soak.hosts import HostPlace
from jasperwalk_lab.soak.processes import SoakProcess
from jasperwalk_lab.soak.relays import TcpRelay, UdpRelay
from jasperwalk_lab.soak.schedule import SoakTargets
from jasperwalk_lab.supervisor import Supervisor

ZONES = ("north", "south")
SERVICES = ("web", "export")
CLAIM_PORT = 47_011
"""Port that a run binds at one address of its block, so that no other run takes the block."""
BLOCKS = range(40, 120)
"""Second octets of the loopback addresses that runs may use."""
WARM_UP_FLOOR = 5
ROLES = ("control", "balancer", "agent")
STORAGE_FAULT_FILE = "storage-fault"


@dataclass(frozen=True)
class SoakSize:
    """How many processes and callers a run has."""

    controls: int
    balancers: int
    agents: int
    long_callers: int
    idle_callers: int
    """Callers whose open flows are idle for seconds."""
    short_requests_per_second: float


SIZES = {
    "small": SoakSize(3, 3, 6, 16, 12, 20.0),
    # Eighty processes, of which ten start at a time: the limit of eight processors.
    "large": SoakSize(5, 15, 60, 60, 60, 60.0),
}


class NoFreeAddressBlock(Exception):
    """Every block of loopback addresses is in use by another run."""


class SoakFleet:
    """Assigns addresses and settings to the processes, and runs them as an asynchronous context."""

    def __init__(self, folder: Path, rng: random.Random, size: SoakSize) -> None:
        """Claim a block of addresses and lay the processes out; raises `NoFreeAddressBlock`."""
        self.folder = folder
        self._claim, self._block = _claim_block()
        self._rng = rng
        self._control_hosts = self._hosts(1, size.controls)
        self._control_relays = self._hosts(2, size.controls)
        self._balancer_hosts = self._hosts(3, size.balancers)
        self._agent_hosts = self._hosts(4, size.agents)
        self._agent_relays = self._hosts(5, size.agents)
        claimed_hosts = [
            *self._control_hosts,
            *self._control_relays,
            *self._balancer_hosts,
            *self._agent_hosts,
            *self._agent_relays,
            self._host(9, 1),
        ]
        port_names = (
            "replica",
            "operators",
            "callers",
            "ready",
            "frames",
            "calls",
            "packets",
            "app",
        )
        self._ports = common_ports(port_names, claimed_hosts)
        self.callers = Endpoint(self._host(9, 1), self._ports["callers"])
        self.supervisor = Supervisor(folder)
        self.processes: dict[str, SoakProcess] = {}
        self.control_relays: dict[str, TcpRelay] = {}
        self.agent_relays: dict[str, UdpRelay] = {}
        self.balancers: list[BalancerPlace] = []
        self.hosts: dict[str, HostPlace] = {}
        self._lay_out()

    def _host(self, group: int, number: int) -> str:
        return f"127.{self._block}.{group}.{number}"

    def _hosts(self, group: int, count: int) -> list[str]:
        return [self._host(group, number) for number in range(1, count + 1)]

    def _at(self, host: str, port: str) -> Endpoint:
        return Endpoint(host, self._ports[port])

    def targets(self) -> SoakTargets:
        """Return the targets of faults."""
        by_role = {role: self.of_role(role) for role in ROLES}
        return SoakTargets(
            tuple(each.name for each in by_role["control"]),
            tuple(each.name for each in by_role["balancer"]),
            tuple(each.name for each in by_role["agent"]),
            ZONES,
            {zone: self._agents_in(zone) for zone in ZONES},
        )

    def _agents_in(self, zone: str) -> tuple[str, ...]:
        return tuple(name for name, place in self.hosts.items() if place.zone == zone)

    def of_role(self, role: str) -> list[SoakProcess]:
        """Return the processes of a role."""
        return [each for each in self.processes.values() if each.role == role]

    def replicas(self) -> list[Endpoint]:
        """Return the addresses of the replicas for operators."""
        return [self._at(host, "operators") for host in self._control_hosts]

    def _lay_out(self) -> None:
        for number, host in enumerate(self._control_hosts):
            self._lay_out_control(number, host)
        for number, host in enumerate(self._balancer_hosts):
            self._lay_out_balancer(number, host)
        for number, host in enumerate(self._agent_hosts):
            self._lay_out_agent(number, host)

    def _add(self, name: str, role: str, zone: str, **settings: object) -> None:
        seeds = [str(self._at(host, "operators")) for host in self._control_relays]
        common: dict[str, object] = {"name": name, "zone": zone, "seeds": seeds}
        self.processes[name] = SoakProcess(
            name, role, {**common, **settings}, self.folder, self.supervisor
        )

    def _lay_out_control(self, number: int, host: str) -> None:
        name = f"control-{number}"
        relay = self._at(self._control_relays[number], "replica")
        listen = self._at(host, "replica")
        self.control_relays[name] = TcpRelay(relay, listen)
        self._add(
            name,
            "control",
            ZONES[number % len(ZONES)],
            data_folder=str(self.folder / f"{name}-data"),
            operators_listen=str(self._at(host, "operators")),
            replica_listen=str(listen),
            replica_advertised=str(relay),
            storage_faults=str(self.storage_fault_file(name)),
            zones=list(ZONES),
            founding=True,
        )

    def _lay_out_balancer(self, number: int, host: str) -> None:
        name = f"balancer-{number}"
        callers, ready = self._at(host, "callers"), self._at(host, "ready")
        zone = ZONES[number % len(ZONES)]
        self.balancers.append(BalancerPlace(name, callers, ready, zone))
        self._add(
            name,
            "balancer",
            zone,
            callers_listen=str(callers),
            readiness_listen=str(ready),
            frames_listen=str(self._at(host, "frames")),
            replica_port=self._ports["replica"],
        )

    def _lay_out_agent(self, number: int, host: str) -> None:
        name = f"agent-{number}"
        zone, service = ZONES[number % len(ZONES)], SERVICES[number % 3 == 0]
        listen, relay = self._at(host, "frames"), self._at(self._agent_relays[number], "frames")
        place = HostPlace(
            name,
            service,
            zone,
            self._at(host, "app"),
            self._at(host, "packets"),
            self._at(host, "calls"),
        )
        self.hosts[name] = place
        self.agent_relays[name] = UdpRelay(relay, listen, self._host(6, number + 1), self._rng)
        self._add(
            name,
            "agent",
            zone,
            service=service,
            host=str(place.app),
            frames_listen=str(listen),
            frames_advertised=str(relay),
            host_packets_listen=str(place.packets),
            host_calls_listen=str(place.calls),
            readiness_listen=str(self._at(host, "ready")),
            callers_port=self.callers.port,
            replica_port=self._ports["replica"],
            warm_up_floor=WARM_UP_FLOOR,
        )

    def storage_fault_file(self, control: str) -> Path:
        """Return the file that sets the storage fault of a replica."""
        return self.folder / f"{control}-{STORAGE_FAULT_FILE}"

    def wipe(self, control: str) -> None:
        """Remove a replica's data folder; its process must not run."""
        shutil.rmtree(self.folder / f"{control}-data", ignore_errors=True)

    async def __aenter__(self) -> SoakFleet:
        """Start everything; only this first start founds the system."""
        for tcp in self.control_relays.values():
            await tcp.start()
        for udp in self.agent_relays.values():
            await udp.start()
        await asyncio.gather(*(each.start() for each in self.processes.values()))
        for control in self.of_role("control"):
            control.settings["founding"] = False
        return self

    async def __aexit__(self, *_failure: object) -> None:
        """Stop everything that was started here, by process ID."""
        ending = [each.stop() for each in self.processes.values()]
        await asyncio.gather(*ending, return_exceptions=True)
        for tcp in self.control_relays.values():
            await tcp.close()
        for udp in self.agent_relays.values():
            udp.close()
        self._claim.close()


def _claim_block() -> tuple[socket.socket, int]:
    """Return the socket that claims a block of addresses, and the block's number."""
    for block in random.SystemRandom().sample(BLOCKS, len(BLOCKS)):
        claim = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            claim.bind((f"127.{block}.9.254", CLAIM_PORT))
            claim.listen(1)
        except OSError:
            claim.close()
            continue
        return claim, block
    raise NoFreeAddressBlock("all blocks of loopback addresses are in use")
