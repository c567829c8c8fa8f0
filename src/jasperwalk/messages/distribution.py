"""Messages between control replicas (publishers) and balancers or agents (subscribers).

All are sent over one framed TCP connection per subscriber, which the subscriber opens.
"""

from __future__ import annotations

import enum

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.config.table_entries import EntryKey, TableEntry
from jasperwalk.messages.codec import Decoder


class SubscriberRole(enum.StrEnum):
    """Kind of process that subscribes; it determines which entries are sent."""

    BALANCER = "balancer"
    AGENT = "agent"


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """First message of a subscriber.

    `boot_id` is drawn once per process start. `address` is the forwarding end point.
    `revision` is the newest revision that the subscriber holds, 0 for none.
    `incarnation` is the newest committed incarnation that this process has received, 0 for
    none; it identifies a process that was replaced while it was suspended.
    An agent is sent the keys, its own service and the members of that service; a balancer
    is sent everything.
    """

    name: str
    role: SubscriberRole
    zone: str
    address: Endpoint
    boot_id: str
    revision: int
    incarnation: int = 0


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The complete table (of the subscriber's scope) at `revision`, in numbered parts.

    A subscriber replaces its table only after part `parts - 1` of the same revision.
    """

    revision: int
    part: int
    parts: int
    entries: list[TableEntry]


class Delta(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Changes after `base_revision`, up to and including `revision`."""

    base_revision: int
    revision: int
    upserts: list[TableEntry]
    removals: list[EntryKey]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Sent by a replica every heartbeat interval.

    `quorum_age_ms` is the time since the replica last knew that its leader had contact with
    a quorum, in milliseconds; a subscriber changes to another replica when it is too high.
    `incarnation` is the agent's committed incarnation, 0 while it has none (or a balancer).
    """

    revision: int
    quorum_age_ms: int
    incarnation: int


class Acknowledge(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Sent by a subscriber when `revision` is in force, and as its own heartbeat.

    `healthy` is an agent's view of its backend: False when the backend does not answer.
    `open_flows` is the number of the agent's connections (0 for a balancer).
    `connection_id_generation` and `stateless_reset_generation` are those of the oldest keys
    that the agent's open flows still use, 0 where that is not known.
    """

    revision: int
    healthy: bool
    open_flows: int
    connection_id_generation: int = 0
    stateless_reset_generation: int = 0


class Reject(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """A replica's refusal of a subscriber, with the time after which to retry."""

    kind: str
    detail: str
    retry_after_ms: int


class ReplicaEndpoints(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The voting replicas as committed at log index `index`; sent first and when they change.

    A subscriber keeps the list of the highest index, beside the replicas of its settings, so
    that it still finds control after every machine that its settings name was replaced.
    """

    index: int
    endpoints: list[Endpoint]


FromSubscriber = Subscribe | Acknowledge
FromPublisher = Snapshot | Delta | Heartbeat | Reject | ReplicaEndpoints

FROM_SUBSCRIBER_DECODER: Decoder[FromSubscriber] = Decoder(FromSubscriber)
FROM_PUBLISHER_DECODER: Decoder[FromPublisher] = Decoder(FromPublisher)
