"""Entries of the routing table (services, members, fleet keys) and their keys.

Control renders accepted configuration into entries. Balancers and agents hold copies, kept
current by snapshots and deltas, and never accept a revision older than their own.

Entries hold no references to each other, so they are kept out of Python's cycle collection
(`gc=False`): scanning a region's tens of thousands of them would stall a process.
"""

from __future__ import annotations

import enum

import msgspec

from jasperwalk.addresses import Endpoint


class Objective(enum.StrEnum):
    """The balancing goal that operators set for a service."""

    FEWEST_BROKEN_FLOWS = "fewest-broken-flows"
    LEAST_IMBALANCE = "least-imbalance"


class AdminState(enum.StrEnum):
    """The state of a member that operators or the platform's list request."""

    ENABLED = "enabled"
    DRAINING = "draining"


class OperatingStatus(enum.StrEnum):
    """What control has observed of a member. Only `ONLINE` ones get new work."""

    UNREGISTERED = "unregistered"
    ONLINE = "online"
    UNHEALTHY = "unhealthy"
    """Its agent reports that it takes no new work: the backend is down, or it is stopping."""
    OFFLINE = "offline"
    """Its agent is silent; its flows may be lost."""


class KeyPurpose(enum.StrEnum):
    """What a fleet key protects."""

    CONNECTION_ID = "connection-id"
    STATELESS_RESET = "stateless-reset"
    TICKET = "ticket"
    DATAGRAM = "datagram"


class HealthMonitor(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """How an agent checks its backend: path of the GET, interval and time-out in ms."""

    path: str
    interval_ms: int
    timeout_ms: int
    failures_to_offline: int


class ServiceLimits(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """Admission limits at each member of the service.

    `queue_length` requests may wait for a slot, each at most `queue_wait_ms`.
    `request_deadline_ms` applies to a request without a deadline of its own.
    `slow_start_ms` is the time over which a cold member's weight rises to its full value.
    """

    queue_length: int
    queue_wait_ms: int
    request_deadline_ms: int
    slow_start_ms: int


class ServiceEntry(msgspec.Struct, frozen=True, gc=False, array_like=True, tag=1):
    """One service: a listener (VIP and port) and the rules for its pool of members.

    `service_id` (1 to 2**24 - 1) is assigned once by control and never used again.
    """

    service_id: int
    name: str
    tenant: str
    listener: Endpoint
    objective: Objective
    limits: ServiceLimits
    health_monitor: HealthMonitor


class MemberEntry(msgspec.Struct, frozen=True, gc=False, array_like=True, tag=2):
    """One member of a service's pool: an agent with its backend.

    `address` is the agent's forwarding end point. `incarnation` (1 to 65535) names the
    registered start of the agent behind that address, 0 while none has registered.
    """

    address: Endpoint
    service_id: int
    host: str
    zone: str
    weight: int
    slots: int
    admin_state: AdminState
    operating_status: OperatingStatus
    incarnation: int


class KeyEntry(msgspec.Struct, frozen=True, gc=False, array_like=True, tag=3):
    """One fleet key. `rotation` (0 to 6) is the QUIC-LB config rotation for connection IDs.

    The `active` key of a purpose is used for new values; others are only accepted.
    `generation` counts the keys of a purpose as they are installed: a key with a higher one
    than the active key's waits for its activation, one with a lower one was superseded, at
    `superseded_at_ms` (Unix time in ms, 0 for a key that was not).
    """

    purpose: KeyPurpose
    rotation: int
    secret: bytes
    active: bool
    generation: int = 0
    superseded_at_ms: int = 0


TableEntry = ServiceEntry | MemberEntry | KeyEntry


class ServiceKey(msgspec.Struct, frozen=True, gc=False, array_like=True, tag=1):
    """Key of a `ServiceEntry`."""

    service_id: int


class MemberKey(msgspec.Struct, frozen=True, gc=False, array_like=True, tag=2):
    """Key of a `MemberEntry`."""

    address: Endpoint


class FleetKeyKey(msgspec.Struct, frozen=True, gc=False, array_like=True, tag=3):
    """Key of a `KeyEntry`."""

    purpose: KeyPurpose
    rotation: int


EntryKey = ServiceKey | MemberKey | FleetKeyKey


def key_of(entry: TableEntry) -> EntryKey:
    """Return the key under which an entry is stored."""
    match entry:
        case ServiceEntry():
            return ServiceKey(service_id=entry.service_id)
        case MemberEntry():
            return MemberKey(address=entry.address)
        case KeyEntry():
            return FleetKeyKey(purpose=entry.purpose, rotation=entry.rotation)


def accepts_new_work(member: MemberEntry) -> bool:
    """Tell whether a member may be chosen for new flows."""
    return (
        member.admin_state is AdminState.ENABLED
        and member.operating_status is OperatingStatus.ONLINE
        and member.weight > 0
        and member.incarnation > 0
    )
