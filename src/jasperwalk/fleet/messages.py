"""Messages of a node's link to a control replica.

A node (balancer or agent) opens one link to one replica, its *home*, and announces itself.
The home informs the other replicas; every replica informs the balancers that are linked to it.
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
    """The kind of a node."""

    BALANCER = "balancer"
    AGENT = "agent"


class HostPhase(enum.StrEnum):
    """State of a host, as far as the agent beside it knows."""

    UNKNOWN = "unknown"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    ABSENT = "absent"
    """No host has run there since the agent's process started; one may start."""


HOSTLESS_PHASES = frozenset((HostPhase.GONE, HostPhase.ABSENT))
"""Phases in which no flow can be held beside the agent."""


class NodeRecord(msgspec.Struct, frozen=True, array_like=True):
    """A node as it announces itself.

    `incarnation` is drawn at random by each process. `endpoint` receives the plane's frames.
    The host's fields (service, phase, capacity in requests, seconds left of its slow start when
    the record is sent) are empty for a balancer.
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
    """The host's zone as the host announces it, empty where that is the agent's own."""
    reads_terms: bool = False
    """True for an agent that reads a route's terms beside opening packets."""

    def zone_of_host(self) -> str:
        """Return the zone whose drain applies to the host."""
        return self.host_zone or self.zone


class Announce(msgspec.Struct, frozen=True, array_like=True, tag=301):
    """From a node to its home: the node's current record; sent on every change."""

    record: NodeRecord


class NodePing(msgspec.Struct, frozen=True, array_like=True, tag=302):
    """From a node to its home, at a fixed interval; answered by `HomeStatus`.

    `zones_revision` is the revision of the drained zones that the node applies.
    """

    zones_revision: int = 0


class HomeStatus(msgspec.Struct, frozen=True, array_like=True, tag=303):
    """The home's answer. `current` tells that it certainly holds the newest configuration.

    `flow_idle_ms` is that configuration's idle time-out of a flow, 0 if none is known.
    `zones_revision` is the revision of the drained zones that the home holds.
    """

    current: bool
    version: int
    replicas: list[Endpoint]
    flow_idle_ms: int = 0
    zones_revision: int = 0


class FleetUpdate(msgspec.Struct, frozen=True, array_like=True, tag=304):
    """From the home to a balancer: agents that changed or left.

    A message with `is_snapshot` replaces all that the balancer knew. An agent in both lists left a
    moment ago without deregistering: it may still hold flows. `removed_seconds_ago` has the time
    since each agent of `removed` left, or is empty if all have left just now.
    """

    is_snapshot: bool
    records: list[NodeRecord]
    removed: list[Endpoint]
    removed_seconds_ago: list[float] = []

    def removals(self) -> list[tuple[Endpoint, float]]:
        """Return the agents that left, each with the seconds since then."""
        ages = self.removed_seconds_ago or [0.0] * len(self.removed)
        return list(zip(self.removed, ages, strict=False))


class RoutesUpdate(msgspec.Struct, frozen=True, array_like=True, tag=305):
    """From the home to a balancer: the changes between two versions; from 0 it has all routes.

    A route is identified by its listener.
    """

    from_version: int
    version: int
    changed: list[FlowRoute]
    removed: list[Endpoint]


class DrainedZones(msgspec.Struct, frozen=True, array_like=True, tag=306):
    """From the home to every node: all zones whose hosts get no new flows.

    `revision` rises with each change; a message with a lower one is older.
    """

    revision: int = 0
    zones: list[str] = []


class WarmUp(msgspec.Struct, frozen=True, array_like=True):
    """Limit on the new flows of a host that warms up.

    `seconds` is how long a host is cold after its start, `flows_per_second` how many new flows it
    can take then; 0 where the configuration names no value.
    """

    seconds: float = 0.0
    flows_per_second: float = 0.0


class WarmUpUpdate(msgspec.Struct, frozen=True, array_like=True, tag=307):
    """From the home to an agent: its service's warm-up in this version of the configuration."""

    version: int
    warm_up: WarmUp


NodeMessage = Announce | NodePing
NODE_DECODER: Decoder[NodeMessage] = Decoder(NodeMessage)

HomeMessage = HomeStatus | FleetUpdate | RoutesUpdate | DrainedZones | WarmUpUpdate
HOME_DECODER: Decoder[HomeMessage] = Decoder(HomeMessage)
