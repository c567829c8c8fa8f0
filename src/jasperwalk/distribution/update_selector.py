"""Selects what a subscriber is sent next: the next part of a snapshot, or one delta.

A delta has all that changed since the revision that the subscriber was last sent.
"""

from __future__ import annotations

from jasperwalk.distribution.subscriber_link import SubscriberLink
from jasperwalk.distribution.update_encoder import WHOLE_TABLE, UpdateEncoder
from jasperwalk.messages.distribution import Subscribe, SubscriberRole


class UpdateSelector:
    """Chooses between snapshot and delta, and follows an agent that moves to another service."""

    def __init__(self, encoder: UpdateEncoder) -> None:
        self._encoder = encoder

    def on_subscribed(self, link: SubscriberLink, now: float) -> None:
        """Set the scope of a new subscriber; a balancer's is the whole table."""
        if link.is_balancer:
            return
        # The agent's copy may be of another service, which its revision does not show.
        address = link.subscribe.address
        link.scope = self._encoder.scope_of_agent(address)
        history = self._encoder.history
        known = history.covers(link.sent_revision)
        if not known or history.moved_after(address, link.sent_revision):
            self._start_snapshot(link, now)

    def needs_snapshot(self, subscribe: Subscribe) -> bool:
        """Return whether a subscriber has no table that a delta would bring up to date."""
        revision = subscribe.revision
        if revision == 0:
            return True
        if revision >= self._encoder.table.revision:
            return False
        if subscribe.role is SubscriberRole.BALANCER:
            return self._encoder.delta(WHOLE_TABLE, revision) is None
        return not self._encoder.history.covers(revision)

    def follow_scope(self, link: SubscriberLink, now: float) -> None:
        """Start a new snapshot for an agent whose address now belongs to another service."""
        if link.is_balancer or link.sent_revision > self._encoder.table.revision:
            return
        scope = self._encoder.scope_of_agent(link.subscribe.address)
        if scope != link.scope:
            link.scope = scope
            self._start_snapshot(link, now)

    def has_update(self, link: SubscriberLink) -> bool:
        """Return whether there is an update to send."""
        return link.snapshot is not None or link.sent_revision < self._encoder.table.revision

    def next_payload(self, link: SubscriberLink, now: float) -> bytes:
        """Return the next update, and record it as sent."""
        if link.snapshot is None:
            delta = self._encoder.delta(link.scope, link.sent_revision)
            if delta is not None:
                link.record_sent(self._encoder.table.revision)
                return delta
            link.start_snapshot(self._encoder.snapshot(link.scope, link.sent_revision, now))
        return link.take_next_part()

    def _start_snapshot(self, link: SubscriberLink, now: float) -> None:
        # A subscriber ahead of this table is sent heartbeats only.
        if link.sent_revision <= self._encoder.table.revision:
            snapshot = self._encoder.snapshot(link.scope, link.sent_revision, now)
            link.start_snapshot(snapshot)
