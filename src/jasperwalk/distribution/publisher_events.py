"""Settings, effects and reports of the publisher core."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from jasperwalk.addresses import Endpoint
from jasperwalk.messages.distribution import SubscriberRole


@dataclass(frozen=True)
class PublisherConfig:
    """Timing in seconds, sizes in bytes.

    A link carries `link_bytes_per_second` in the long run and `link_burst_bytes` at once.
    A replica whose quorum age is over `stale_seconds` refuses new subscribers.
    `outstanding_limit` bounds the updates that a subscriber has not acknowledged yet; beyond
    it, changes wait at the source and go out as one delta.
    """

    heartbeat_seconds: float = 0.5
    silent_seconds: float = 5.0
    stale_seconds: float = 2.0
    register_retry_seconds: float = 1.0
    link_bytes_per_second: float = 5_000.0
    link_burst_bytes: float = 256.0 * 1024
    outstanding_limit: int = 4
    snapshot_part_entries: int = 128
    longest_delta_bytes: int = 1024 * 1024
    snapshot_reuse_seconds: float = 10.0
    subscriber_limit: int = 16_384
    retry_after_ms: int = 1_000


class CloseReason(enum.StrEnum):
    """Why a publisher closes a subscriber's connection."""

    SILENT = "silent"
    REPLACED = "replaced"
    STALE_REPLICA = "stale-replica"
    TOO_MANY_SUBSCRIBERS = "too-many-subscribers"
    RECONNECTED = "reconnected"
    SUBSCRIBED_TWICE = "subscribed-twice"


@dataclass(frozen=True)
class SendTo:
    """Send one encoded message; the same bytes object serves every subscriber of a scope."""

    subscriber_id: int
    payload: bytes


@dataclass(frozen=True)
class CloseSubscriber:
    """Close the connection after what was sent on it; the core has forgotten it already."""

    subscriber_id: int
    reason: CloseReason


@dataclass(frozen=True)
class RegisterAgent:
    """Propose the registration of this agent; repeated until `agent_registered` is called."""

    address: Endpoint
    boot_id: str
    name: str
    zone: str


PublisherEffect = SendTo | CloseSubscriber | RegisterAgent


@dataclass(frozen=True)
class SubscriberStanding:
    """What the publisher knows of one subscriber.

    `incarnation` is 0 for a balancer and for an agent without registration. `silence_seconds`
    is the time since its last message.
    """

    name: str
    role: SubscriberRole
    zone: str
    address: Endpoint
    boot_id: str
    incarnation: int
    acknowledged_revision: int
    healthy: bool
    open_flows: int
    silence_seconds: float
    connection_id_generation: int = 0
    stateless_reset_generation: int = 0


@dataclass(frozen=True)
class RoleCount:
    """On how many of the subscribers of a role a revision is in force."""

    in_force: int
    total: int


@dataclass(frozen=True)
class InForceReport:
    """Where `revision` is in force among the subscribers of one replica."""

    revision: int
    balancers: RoleCount
    agents: RoleCount
    laggards: list[SubscriberStanding]
    subscribers: list[SubscriberStanding]


def report_in_force(revision: int, subscribers: list[SubscriberStanding]) -> InForceReport:
    """Count where `revision`, or a newer one, is in force, and name where it is not."""
    laggards = [each for each in subscribers if each.acknowledged_revision < revision]
    return InForceReport(
        revision=revision,
        balancers=_count(SubscriberRole.BALANCER, subscribers, laggards),
        agents=_count(SubscriberRole.AGENT, subscribers, laggards),
        laggards=laggards,
        subscribers=subscribers,
    )


def _count(
    role: SubscriberRole,
    subscribers: list[SubscriberStanding],
    laggards: list[SubscriberStanding],
) -> RoleCount:
    total = sum(1 for each in subscribers if each.role is role)
    behind = sum(1 for each in laggards if each.role is role)
    return RoleCount(in_force=total - behind, total=total)
