"""Assigns a loopback endpoint to every process of an example's fleet.

The number of control replicas and balancers is fixed; agents and backends follow from the members
of the example. Every endpoint is on a loopback address of its own.
"""

from __future__ import annotations

import os
from dataclasses import dataclass

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.example import Example
from jasperwalk_lab.ports import PortReservations

CONTROL_REPLICAS = 3
BALANCERS = 3
SPARE_BALANCERS = 1
"""Balancers that are planned but not started with the fleet; they may join later."""
MIN_SECOND_OCTET = 16
SECOND_OCTETS = 200
HOSTS_PER_PREFIX = 250


@dataclass(frozen=True)
class ControlPlace:
    """Endpoints of a control replica."""

    name: str
    replica_id: int
    zone: str
    peer: Endpoint
    api: Endpoint


@dataclass(frozen=True)
class BalancerPlace:
    """Endpoints of a balancer; `delay_ms`: one-way delay from callers to agents through it."""

    name: str
    zone: str
    listen: Endpoint
    admin: Endpoint
    delay_ms: float


@dataclass(frozen=True)
class MemberPlace:
    """Endpoints of an agent and of the backend beside it."""

    host: str
    service: str
    zone: str
    slots: int
    listen: Endpoint
    admin: Endpoint
    backend: Endpoint


@dataclass(frozen=True)
class Layout:
    """The complete fleet; `example` has the endpoints of listeners and members."""

    example: Example
    controls: tuple[ControlPlace, ...]
    balancers: tuple[BalancerPlace, ...]
    spare_balancers: tuple[BalancerPlace, ...]
    members: tuple[MemberPlace, ...]
    fabric_return: Endpoint
    fabric_admin: Endpoint
    platform_list: Endpoint

    def listener(self, service: str) -> Endpoint:
        """Return the VIP and port of a service."""
        return next(each.listener for each in self.example.services() if each.name == service)


class LoopbackHosts:
    """Allocates loopback addresses 127.x.y.1, .2, ... with x and y from the process ID."""

    def __init__(self, reservations: PortReservations) -> None:
        process_id = os.getpid()
        second_octet = MIN_SECOND_OCTET + (process_id >> 8) % SECOND_OCTETS
        self._prefix = f"127.{second_octet}.{process_id & 0xFF}"
        self._reservations = reservations
        self._last = 0

    def endpoint(self) -> Endpoint:
        """Return a reserved port on an address that no other process of the fleet has."""
        self._last = self._last % HOSTS_PER_PREFIX + 1
        return self._reservations.reserve(f"{self._prefix}.{self._last}")


def plan_layout(example: Example, reservations: PortReservations) -> Layout:
    """Assign endpoints to every process of the example's fleet."""
    hosts = LoopbackHosts(reservations)
    relocated = example.relocated(hosts.endpoint, hosts.endpoint)
    zones = relocated.zones()
    balancers = [
        _balancer(number, zones, relocated, hosts) for number in range(BALANCERS + SPARE_BALANCERS)
    ]
    return Layout(
        example=relocated,
        controls=tuple(_control(number, zones, hosts) for number in range(CONTROL_REPLICAS)),
        balancers=tuple(balancers[:BALANCERS]),
        spare_balancers=tuple(balancers[BALANCERS:]),
        members=tuple(_members(relocated, hosts)),
        fabric_return=hosts.endpoint(),
        fabric_admin=hosts.endpoint(),
        platform_list=hosts.endpoint(),
    )


def _control(number: int, zones: list[str], hosts: LoopbackHosts) -> ControlPlace:
    return ControlPlace(
        name=f"control-{number + 1}",
        replica_id=number + 1,
        zone=zones[number % len(zones)],
        peer=hosts.endpoint(),
        api=hosts.endpoint(),
    )


def _balancer(
    number: int, zones: list[str], example: Example, hosts: LoopbackHosts
) -> BalancerPlace:
    zone = zones[number % len(zones)]
    # No stand-in delays packets between balancer and agent. Instead the fabric adds the delay
    # between zones for every balancer outside the first zone, which also reorders a flow's
    # packets.
    between_zones_ms = 0.0 if zone == zones[0] else example.delays.between_zones_ms
    return BalancerPlace(
        name=f"balancer-{number + 1}",
        zone=zone,
        listen=hosts.endpoint(),
        admin=hosts.endpoint(),
        delay_ms=example.delays.to_clients_ms + between_zones_ms,
    )


def _members(example: Example, hosts: LoopbackHosts) -> list[MemberPlace]:
    return [
        MemberPlace(
            host=member.host,
            service=service.name,
            zone=member.zone,
            slots=member.slots,
            listen=member.address,
            admin=hosts.endpoint(),
            backend=hosts.endpoint(),
        )
        for service in example.services()
        for member in service.members
    ]
