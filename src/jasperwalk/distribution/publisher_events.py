"""Settings and effects of the publisher core."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from jasperwalk.addresses import Endpoint


@dataclass(frozen=True)
class PublisherConfig:
    """Timing in seconds, sizes in bytes.

    A link is limited to `link_bytes_per_second` on average and `link_burst_bytes` at once.
    A replica whose quorum age is over `stale_seconds` refuses new subscribers.
    `outstanding_limit` bounds the updates that a subscriber has not acknowledged yet; beyond
    it, changes are held back and sent together as one delta.

    `join_limit` subscribers may start with a snapshot at the same time, each for `join_seconds`
    at most; those whose table a delta brings up to date are not counted. Others are refused
    with a time to retry: `retry_after_ms` at the earliest, `retries_per_second` subscribers
    each second, `max_retry_after_ms` at the latest.
    `slice_subscribers` are sent heartbeats or changes in one call, so that the event loop is
    not held up by all of them.
    """

    heartbeat_seconds: float = 0.5
    silent_seconds: float = 5.0
    stale_seconds: float = 2.0
    register_retry_seconds: float = 1.0
    link_bytes_per_second: float = 5_000.0
    link_burst_bytes: float = 256.0 * 1024
    outstanding_limit: int = 4
    snapshot_part_entries: int = 128
    max_delta_bytes: int = 1024 * 1024
    snapshot_reuse_seconds: float = 10.0
    subscriber_limit: int = 16_384
    retry_after_ms: int = 1_000
    max_retry_after_ms: int = 4_000
    retries_per_second: float = 500.0
    join_limit: int = 128
    join_seconds: float = 2.0
    slice_subscribers: int = 256


class CloseReason(enum.StrEnum):
    """Why a publisher closes a subscriber's connection."""

    SILENT = "silent"
    REPLACED = "replaced"
    STALE_REPLICA = "stale-replica"
    TOO_MANY_SUBSCRIBERS = "too-many-subscribers"
    TOO_MANY_SNAPSHOTS = "too-many-snapshots"
    RECONNECTED = "reconnected"
    SUBSCRIBED_TWICE = "subscribed-twice"


@dataclass(frozen=True)
class SendTo:
    """Send one encoded message; the same bytes object serves every subscriber of a scope."""

    subscriber_id: int
    payload: bytes


@dataclass(frozen=True)
class CloseSubscriber:
    """Close the connection after what was sent on it; the core has already removed it."""

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
