"""The publisher's state of one subscriber."""

from __future__ import annotations

import math
from collections import deque

from jasperwalk.distribution.publisher_events import PublisherConfig
from jasperwalk.distribution.token_bucket import TokenBucket
from jasperwalk.distribution.update_encoder import KEYS_ONLY, WHOLE_TABLE, EncodedSnapshot
from jasperwalk.messages.distribution import Acknowledge, Subscribe, SubscriberRole


class SubscriberLink:
    """What was sent to a subscriber, what it acknowledged, and its byte budget."""

    __slots__ = (
        "acknowledged_revision",
        "bucket",
        "connection_id_generation",
        "healthy",
        "incarnation",
        "last_seen",
        "next_heartbeat",
        "next_part",
        "open_flows",
        "outstanding",
        "register_again_at",
        "scope",
        "sent_revision",
        "snapshot",
        "stateless_reset_generation",
        "subscribe",
        "subscriber_id",
        "wake_at",
    )

    def __init__(
        self, subscriber_id: int, subscribe: Subscribe, config: PublisherConfig, now: float
    ) -> None:
        self.subscriber_id = subscriber_id
        self.subscribe = subscribe
        self.bucket = TokenBucket(config.link_bytes_per_second, config.link_burst_bytes, now)
        self.scope = WHOLE_TABLE if self.is_balancer else KEYS_ONLY
        self.sent_revision = subscribe.revision
        self.acknowledged_revision = subscribe.revision
        self.outstanding: deque[int] = deque()
        self.snapshot: EncodedSnapshot | None = None
        self.next_part = 0
        self.incarnation = 0
        self.register_again_at = now
        self.healthy = False
        self.open_flows = 0
        self.connection_id_generation = 0
        self.stateless_reset_generation = 0
        self.last_seen = now
        self.next_heartbeat = now
        self.wake_at = math.inf

    @property
    def is_balancer(self) -> bool:
        """Whether the subscriber is a balancer."""
        return self.subscribe.role is SubscriberRole.BALANCER

    @property
    def identity(self) -> tuple[SubscriberRole, str, str]:
        """Role, name and boot ID: the same on every connection of one process."""
        return (self.subscribe.role, self.subscribe.name, self.subscribe.boot_id)

    def acknowledge(self, message: Acknowledge, now: float) -> None:
        """Record an acknowledgement, and remove the updates that it covers from the outstanding."""
        self.last_seen = now
        self.healthy = message.healthy
        self.open_flows = message.open_flows
        self.connection_id_generation = message.connection_id_generation
        self.stateless_reset_generation = message.stateless_reset_generation
        self.acknowledged_revision = max(self.acknowledged_revision, message.revision)
        while self.outstanding and self.outstanding[0] <= message.revision:
            self.outstanding.popleft()

    def start_snapshot(self, snapshot: EncodedSnapshot) -> None:
        """Start to send a snapshot, in place of one that is partly sent."""
        self.snapshot = snapshot
        self.next_part = 0

    def take_next_part(self) -> bytes:
        """Return the next part of the started snapshot; raises `ValueError` without one."""
        snapshot = self.snapshot
        if snapshot is None:
            raise ValueError("no snapshot was started")
        payload = snapshot.parts[self.next_part]
        self.next_part += 1
        if self.next_part == len(snapshot.parts):
            self.snapshot = None
            self.record_sent(snapshot.revision)
        return payload

    def record_sent(self, revision: int) -> None:
        """Record that the subscriber was sent everything up to `revision`."""
        self.sent_revision = revision
        self.outstanding.append(revision)
