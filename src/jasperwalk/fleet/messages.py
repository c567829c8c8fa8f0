"""Messages of a node's link to a control replica.

A node (balancer or agent) opens one link to one replica, its *home*, and announces itself.
The home tells the other replicas; every replica tells the balancers that are linked to it.
"""

from __future__ import annotations

import enum

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.flows.routes import FlowRoute
from jasperwalk.messages.codec import Decoder

CLUSTER_ID = "jasperwalk-fleet"
"""Name of the cluster in the Hello of every link of the datagram plane."""


class NodeRole(enum.StrEnum):
    """What a node does."""

    BALANCER = "balancer"
    AGENT = "agent"


class HostPhase(enum.StrEnum):
    """What an agent knows of the host beside it."""

    UNKNOWN = "unknown"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    ABSENT = "absent"
    """No host has run there since the agent's process began; one may start."""


HOSTLESS_PHASES = frozenset((HostPhase.GONE, HostPhase.ABSENT))
"""Phases in which no flow can be held beside the agent."""


class NodeRecord(msgspec.Struct, frozen=True, array_like=True):
    """A node as it announces itself.

    `incarnation` is drawn at random by each process. `endpoint` takes the plane's frames.
    The host's fields (service, phase, capacity in requests, slow start left in seconds at
    the time of sending) are empty for a balancer.
    """

    name: str
    incarnation: int
    role: NodeRole
    zone: str
    endpoint: Endpoint
    service: str = ""
    phase: HostPhase = HostPhase.UNKNOWN
    capacity: int = 0
    slow_start_seconds: float = 0.0
    host_zone: str = ""
    """The host's zone as it announces itself, empty where that is the agent's own."""
    reads_terms: bool = False
    """True for an agent that reads a route's terms beside opening packets."""

    def zone_of_host(self) -> str:
        """Return the zone whose draining concerns the host."""
        return self.host_zone or self.zone


class Announce(msgspec.Struct, frozen=True, array_like=True, tag=301):
    """A node to its home: who I am now; sent on every change."""

    record: NodeRecord


class NodePing(msgspec.Struct, frozen=True, array_like=True, tag=302):
    """A node to its home, at a steady pace; answered by `HomeStatus`.

    `zones_revision` numbers the drained zones that it goes by.
    """

    zones_revision: int = 0


class HomeStatus(msgspec.Struct, frozen=True, array_like=True, tag=303):
    """The home's answer. `current` tells that it holds the newest configuration for sure.

    `flow_idle_ms` is the longest rest of a flow by that configuration, 0 where none is known.
    `zones_revision` numbers the drained zones that the home holds.
    """

    current: bool
    version: int
    replicas: list[Endpoint]
    flow_idle_ms: int = 0
    zones_revision: int = 0


class FleetUpdate(msgspec.Struct, frozen=True, array_like=True, tag=304):
    """The home to a balancer: agents that changed or left; `is_snapshot` replaces all it knew.

    An agent in both lists left a moment ago without deregistering: it may still hold flows.
    `removed_seconds_ago` has the time since each agent of `removed` left, or is empty where all
    left just now.
    """

    is_snapshot: bool
    records: list[NodeRecord]
    removed: list[Endpoint]
    removed_seconds_ago: list[float] = []

    def removals(self) -> list[tuple[Endpoint, float]]:
        """Return the agents that left, each with how long ago."""
        ages = self.removed_seconds_ago or [0.0] * len(self.removed)
        return list(zip(self.removed, ages, strict=False))


class RoutesUpdate(msgspec.Struct, frozen=True, array_like=True, tag=305):
    """The home to a balancer: what changed between two versions; from 0 it is everything.

    Routes are told apart by their listeners.
    """

    from_version: int
    version: int
    changed: list[FlowRoute]
    removed: list[Endpoint]


class DrainedZones(msgspec.Struct, frozen=True, array_like=True, tag=306):
    """The home to every node: the zones whose hosts get no new flows, all of them.

    `revision` rises with each change; what has a lower one is older.
    """

    revision: int = 0
    zones: list[str] = []


class WarmUp(msgspec.Struct, frozen=True, array_like=True):
    """What a host of a service bears while it warms up.

    `seconds` is how long a host is cold after its start, `flows_per_second` how many new flows it
    bears then; 0 where the configuration names no figure.
    """

    seconds: float = 0.0
    flows_per_second: float = 0.0


class WarmUpUpdate(msgspec.Struct, frozen=True, array_like=True, tag=307):
    """The home to an agent: what this version of the configuration says of its service."""

    version: int
    warm_up: WarmUp


NodeMessage = Announce | NodePing
NODE_DECODER: Decoder[NodeMessage] = Decoder(NodeMessage)

HomeMessage = HomeStatus | FleetUpdate | RoutesUpdate | DrainedZones | WarmUpUpdate
HOME_DECODER: Decoder[HomeMessage] = Decoder(HomeMessage)
