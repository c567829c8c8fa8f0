"""What a scale run consists of: its sizes, its hollow nodes, and the configuration they serve."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from jasperwalk.addresses import Endpoint
from jasperwalk.config.tenants import Tenant
from jasperwalk.messages.distribution import SubscriberRole
from jasperwalk_lab.scale.channel import HollowFacts

REAL_BALANCERS = 2
REAL_AGENTS = 2
"""Real processes beside the hollow ones, counted within the sizes that are asked for."""
BALANCERS_PER_PROCESS = 250
AGENTS_PER_PROCESS = 500
HOLLOW_PROCESS_LIMIT = 24
RACK_BALANCERS = 5
RACK_AGENTS = 40
"""Hollow nodes that restart together as one rack."""
ZONES = ("zone-1", "zone-2", "zone-3", "zone-4")
TEMPLATE_NAME = "scale-service"
SLOTS = 4
FIRST_WEIGHT = 100

HOSTS_PER_PREFIX = 250
AGENT_NETWORK = 220
"""Second octet of the first hollow agent's address; nothing listens there."""
LISTENER_NETWORK = 240
AGENT_PORT = 7200
LISTENER_PORT = 443

TEMPLATE_TEXT = f"""
name = "{TEMPLATE_NAME}"
description = "One service of the scale run."

[parameters.listener]
type = "address"
description = "VIP and port."

[parameters.members]
type = "members"
description = "Hosts of the service."
minimum = 1
maximum = 1024

[parameters.queue_length]
type = "integer"
description = "Requests that may wait for a slot."
default = 64
minimum = 0
maximum = 1024

[[services]]
name = "lookups"
listener = "${{listener}}"
objective = "least-imbalance"
members = "${{members}}"

[services.member_defaults]
weight = {FIRST_WEIGHT}
slots = {SLOTS}

[services.limits]
queue_length = "${{queue_length}}"
queue_wait_ms = 500
request_deadline_ms = 30000
slow_start_ms = 5000

[services.health_monitor]
path = "/health"
interval_ms = 1000
timeout_ms = 500
failures_to_offline = 3
"""


@dataclass(frozen=True)
class ScaleSize:
    """How many balancers, agents and services a run has, the real processes among them."""

    balancers: int
    agents: int
    services: int

    @property
    def subscribers(self) -> int:
        """Balancers and agents together."""
        return self.balancers + self.agents

    @property
    def entries(self) -> int:
        """Members and services of the routing table; its four keys are left out."""
        return self.agents + self.services

    def __str__(self) -> str:
        """Return `BALANCERS:AGENTS:SERVICES`."""
        return f"{self.balancers}:{self.agents}:{self.services}"


@dataclass(frozen=True)
class PlannedMember:
    """One member: its host name, its zone and its agent's address."""

    host: str
    zone: str
    address: Endpoint


@dataclass(frozen=True)
class HollowShare:
    """The hollow followers of one process, all of one role."""

    name: str
    role: SubscriberRole
    followers: tuple[HollowFacts, ...]


def numbered_address(network: int, number: int, port: int) -> Endpoint:
    """Return the loopback end point of a number, 0 to about a million, within a network."""
    prefix, last = divmod(number, HOSTS_PER_PREFIX)
    second, third = divmod(prefix, HOSTS_PER_PREFIX)
    return Endpoint(host=f"127.{network + second}.{third}.{last + 1}", port=port)


def plan_members(size: ScaleSize, real_addresses: list[Endpoint]) -> list[PlannedMember]:
    """Plan all members; the first ones are the real agents at their own addresses."""
    return [
        PlannedMember(
            host=f"host-{number:06d}",
            zone=ZONES[number % len(ZONES)],
            address=(
                real_addresses[number]
                if number < len(real_addresses)
                else numbered_address(AGENT_NETWORK, number, AGENT_PORT)
            ),
        )
        for number in range(size.agents)
    ]


def tenant_of(number: int, size: ScaleSize, members: list[PlannedMember], weight: int) -> Tenant:
    """Build the tenant with service `number`; it has every services-th member."""
    values: dict[str, Any] = {
        "listener": str(numbered_address(LISTENER_NETWORK, number, LISTENER_PORT)),
        "members": [
            {
                "host": member.host,
                "zone": member.zone,
                "address": str(member.address),
                "weight": weight,
                "slots": SLOTS,
            }
            for member in members[number :: size.services]
        ],
    }
    return Tenant(
        name=f"tenant-{number:05d}", template=TEMPLATE_NAME, template_version=0, values=values
    )


def plan_shares(size: ScaleSize, members: list[PlannedMember]) -> list[HollowShare]:
    """Spread the hollow nodes over processes, each with nodes of one role."""
    agents = [
        HollowFacts(name=member.host, zone=member.zone, address=member.address)
        for member in members[REAL_AGENTS:]
    ]
    balancers = [
        HollowFacts(
            name=f"hollow-balancer-{number:06d}",
            zone=ZONES[number % len(ZONES)],
            address=numbered_address(LISTENER_NETWORK + 5, number, LISTENER_PORT),
        )
        for number in range(REAL_BALANCERS, size.balancers)
    ]
    balancer_processes, agent_processes = process_counts(len(balancers), len(agents))
    shares = _shares(SubscriberRole.BALANCER, balancers, balancer_processes)
    return [*shares, *_shares(SubscriberRole.AGENT, agents, agent_processes)]


def process_counts(balancers: int, agents: int) -> tuple[int, int]:
    """Return the numbers of processes for hollow balancers and agents, within the limit."""
    wanted_balancers = -(-balancers // BALANCERS_PER_PROCESS)
    wanted_agents = -(-agents // AGENTS_PER_PROCESS)
    wanted = wanted_balancers + wanted_agents
    if wanted <= HOLLOW_PROCESS_LIMIT:
        return wanted_balancers, wanted_agents
    for_balancers = max(1, wanted_balancers * HOLLOW_PROCESS_LIMIT // wanted)
    return for_balancers, HOLLOW_PROCESS_LIMIT - for_balancers


def _shares(
    role: SubscriberRole, followers: list[HollowFacts], processes: int
) -> Iterator[HollowShare]:
    for number in range(processes):
        yield HollowShare(
            name=f"hollow-{role.value}s-{number + 1}",
            role=role,
            followers=tuple(followers[number::processes]),
        )
