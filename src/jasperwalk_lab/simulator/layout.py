"""The simulated deployments: scaled-down Zagreb and Hanoi with the brief's delays.

A layout names the hosts, zones, services and addresses of the fleet, all derived from numbers.
"""

from __future__ import annotations

from dataclasses import dataclass

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.simulator.network import NetworkConditions

PEER_PORT = 6000
BALANCER_PORT = 7100
AGENT_PORT = 7000
BACKEND_PORT = 8000
FABRIC = Endpoint("127.0.0.9", 9000)


@dataclass(frozen=True)
class ServiceLayout:
    """A service: the number of its hosts, and the slots of each."""

    name: str
    host_count: int
    slots: int

    def hosts(self) -> list[str]:
        """Return the names of the hosts."""
        return [f"{self.name}-{number}" for number in range(1, self.host_count + 1)]


@dataclass(frozen=True)
class Layout:
    """A deployment; `between_zones` and `to_clients` are one-way delays in seconds."""

    name: str
    zones: tuple[str, ...]
    between_zones: float
    to_clients: float
    services: tuple[ServiceLayout, ...]
    replica_count: int = 3
    balancer_count: int = 3

    def conditions(self) -> NetworkConditions:
        """Return the network conditions without faults."""
        return NetworkConditions(between_zones=self.between_zones, to_clients=self.to_clients)

    def zone(self, number: int) -> str:
        """Return the zone of the machine with this number; numbers cycle through the zones."""
        return self.zones[number % len(self.zones)]

    def replica_endpoint(self, machine: int) -> Endpoint:
        """Return the address of the control replica on a machine."""
        return Endpoint(f"127.0.1.{machine}", PEER_PORT)

    def balancer_endpoint(self, number: int) -> Endpoint:
        """Return the address at which a balancer receives datagrams."""
        return Endpoint(f"127.0.2.{number}", BALANCER_PORT)

    def listener(self, service: str) -> Endpoint:
        """Return the VIP and port of a service."""
        names = [each.name for each in self.services]
        return Endpoint(f"127.1.0.{names.index(service) + 1}", 443)

    def agent_endpoint(self, host: str) -> Endpoint:
        """Return the forwarding address of a host's agent."""
        hosts = [each for service in self.services for each in service.hosts()]
        return Endpoint(f"127.0.3.{hosts.index(host) + 1}", AGENT_PORT)

    def service(self, name: str) -> ServiceLayout:
        """Return a service by its name."""
        return next(each for each in self.services if each.name == name)


ZAGREB = Layout(
    name="zagreb",
    zones=("dvorana-a", "dvorana-b", "dvorana-c"),
    between_zones=0.0015,
    to_clients=0.001,
    services=(ServiceLayout("urednik", 4, 4), ServiceLayout("probni-otisak", 2, 4)),
)
HANOI = Layout(
    name="hanoi",
    zones=("hn-caugiay", "hn-hoalac", "hn-longbien", "hn-thanhxuan"),
    between_zones=0.0005,
    to_clients=0.003,
    services=(ServiceLayout("segment-svc", 4, 3), ServiceLayout("export-svc", 2, 3)),
)
