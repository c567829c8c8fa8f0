"""Tracks how current a follower's replica is, and decides when the follower has to leave it."""

from __future__ import annotations

import math

from jasperwalk.distribution.follower_events import LeaveReason
from jasperwalk.messages.distribution import Heartbeat

MILLISECONDS_PER_SECOND = 1000


class ReplicaContact:
    """State of the current replica, from its messages; times are seconds of a monotonic clock.

    `stale_seconds` bounds a replica's silence, its quorum age, and how long it may stay behind.
    `grace_seconds` is how much longer a replica is kept that had its quorum and lost it.
    """

    def __init__(self, stale_seconds: float) -> None:
        self._stale_seconds = stale_seconds
        self._grace_seconds = 0.0
        self._was_fresh = False
        self._last_message_at = 0.0
        self._behind_since: float | None = None
        self._quorum_contact_at: float | None = None
        self._replica_revision = 0
        self._fresh_at = -math.inf

    @property
    def is_behind(self) -> bool:
        """Whether the replica's table is older than the follower's."""
        return self._behind_since is not None

    def connected(self, now: float, grace_seconds: float) -> None:
        """Reset for another replica; the freshness of the table is kept."""
        self._grace_seconds = grace_seconds
        self._was_fresh = False
        self._last_message_at = now
        self._quorum_contact_at = None
        self._behind_since = None

    def record_message(self, now: float) -> bool:
        """Record a message; return False where the silence before it was too long."""
        if now - self._last_message_at >= self._stale_seconds:
            return False
        self._last_message_at = now
        return True

    def heartbeat(self, heartbeat: Heartbeat, own_revision: int, now: float) -> None:
        """Record the replica's quorum contact and revision."""
        quorum_contact_at = now - heartbeat.quorum_age_ms / MILLISECONDS_PER_SECOND
        if self._quorum_contact_at is not None:
            # Transit times of heartbeats differ; the time of contact never moves back.
            quorum_contact_at = max(quorum_contact_at, self._quorum_contact_at)
        self._quorum_contact_at = quorum_contact_at
        if now - quorum_contact_at < self._stale_seconds:
            self._was_fresh = True
        self._replica_revision = heartbeat.revision
        if heartbeat.revision >= own_revision:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        self.record_table(own_revision)

    def record_table(self, own_revision: int) -> None:
        """Record the follower's revision: the table is fresh once it has the replica's."""
        contact_at = self._quorum_contact_at
        if contact_at is not None and self._replica_revision <= own_revision:
            self._fresh_at = max(self._fresh_at, contact_at)

    def freshness_age(self, now: float) -> float:
        """Return the seconds since the table was known to be the newest; inf for never."""
        return now - self._fresh_at

    def reason_to_leave(self, now: float) -> LeaveReason | None:
        """Return why the replica has to be left now, None where it does not."""
        limit = self._stale_seconds
        if now - self._last_message_at >= limit:
            return LeaveReason.SILENT
        contact_at = self._quorum_contact_at
        if contact_at is not None and now - contact_at >= limit + self._grace():
            return LeaveReason.STALE_QUORUM
        if self._behind_since is not None and now - self._behind_since >= limit:
            return LeaveReason.BEHIND
        return None

    def leave_at(self) -> float:
        """Return when there will be a reason to leave, if no message arrives until then."""
        oldest = self._last_message_at
        if self._quorum_contact_at is not None:
            oldest = min(oldest, self._quorum_contact_at + self._grace())
        if self._behind_since is not None:
            oldest = min(oldest, self._behind_since)
        return oldest + self._stale_seconds

    def _grace(self) -> float:
        return self._grace_seconds if self._was_fresh else 0.0
