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


class Announce(msgspec.Struct, frozen=True, array_like=True, tag=301):
    """A node to its home: who I am now; sent on every change."""

    record: NodeRecord


class NodePing(msgspec.Struct, frozen=True, array_like=True, tag=302):
    """A node to its home, at a steady pace; answered by `HomeStatus`."""


class HomeStatus(msgspec.Struct, frozen=True, array_like=True, tag=303):
    """The home's answer. `current` tells that it holds the newest configuration for sure.

    `flow_idle_ms` is the longest rest of a flow by that configuration, 0 where none is known.
    """

    current: bool
    version: int
    replicas: list[Endpoint]
    flow_idle_ms: int = 0


class FleetUpdate(msgspec.Struct, frozen=True, array_like=True, tag=304):
    """The home to a balancer: agents that changed or left; `whole` replaces all it knew.

    An agent in both lists left a moment ago without deregistering: it may still hold flows.
    `removed_seconds_ago` has the time since each agent of `removed` left, or is empty where all
    left just now.
    """

    whole: bool
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


NodeMessage = Announce | NodePing
NODE_DECODER: Decoder[NodeMessage] = Decoder(NodeMessage)

HomeMessage = HomeStatus | FleetUpdate | RoutesUpdate
HOME_DECODER: Decoder[HomeMessage] = Decoder(HomeMessage)
