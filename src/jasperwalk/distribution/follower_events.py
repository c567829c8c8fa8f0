"""Settings, effects and reasons of the follower core."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from jasperwalk.addresses import Endpoint
from jasperwalk.messages.distribution import FromSubscriber, SubscriberRole

REPLACED_KIND = "replaced"
"""`Reject.kind` for a process whose address has a newer registered process."""


@dataclass(frozen=True)
class FollowerConfig:
    """Timing of a follower, all in seconds.

    `replica_stale_seconds` bounds a replica's silence, its quorum age, and the time that it
    may stay behind this follower's revision. The back-off doubles from `backoff_base_seconds`
    up to `backoff_cap_seconds`, and each wait is drawn between half of it and all of it.

    A replica that lost its quorum is kept for a random part of `leave_spread_seconds` longer,
    because a leader is usually elected meanwhile. A replica that fell silent is left at once, and
    the next one is tried after a random part of the same spread. The spread doubles, up to
    `backoff_cap_seconds`, each time that a replica is left for either reason, until a fresh replica
    has served for `settled_seconds`.
    """

    replica_stale_seconds: float = 2.0
    acknowledge_interval_seconds: float = 0.5
    connect_timeout_seconds: float = 2.0
    backoff_base_seconds: float = 0.1
    backoff_cap_seconds: float = 5.0
    leave_spread_seconds: float = 1.0
    settled_seconds: float = 5.0


@dataclass(frozen=True)
class SubscriberFacts:
    """A subscriber's description of itself; `boot_id` is drawn once per process start."""

    name: str
    role: SubscriberRole
    zone: str
    address: Endpoint
    boot_id: str


class LeaveReason(enum.StrEnum):
    """Why a follower left a replica."""

    CONNECT_TIMEOUT = "connect-timeout"
    SILENT = "silent"
    STALE_QUORUM = "stale-quorum"
    BEHIND = "behind"
    GAP = "gap"
    BROKEN_SNAPSHOT = "broken-snapshot"
    REJECTED = "rejected"
    REPLACED = "replaced"


@dataclass(frozen=True)
class Connect:
    """Open a connection to this replica."""

    endpoint: Endpoint


@dataclass(frozen=True)
class Disconnect:
    """Drop the connection, or the attempt to open one."""

    reason: LeaveReason


@dataclass(frozen=True)
class Send:
    """Send this message on the connection."""

    message: FromSubscriber


@dataclass(frozen=True)
class TableChanged:
    """The table is now at `revision`."""

    revision: int


@dataclass(frozen=True)
class Replaced:
    """A newer process has this agent's address: give up all rights of the agent, and stop."""

    detail: str


FollowerEffect = Connect | Disconnect | Send | TableChanged | Replaced
