"""The sans-IO core of a replica's publishing side: sends the table to its subscribers.

Every message is encoded once for all subscribers of a scope. A subscriber that is slow to
acknowledge, or whose link has used up its budget, gets no queue: what changed meanwhile goes
out as one delta from the revision that it was last sent.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Collection

from jasperwalk.addresses import Endpoint
from jasperwalk.config.routing_table import VersionedTable
from jasperwalk.distribution.follower_events import REPLACED_KIND
from jasperwalk.distribution.publisher_events import (
    CloseReason,
    CloseSubscriber,
    InForceReport,
    PublisherConfig,
    PublisherEffect,
    RegisterAgent,
    SendTo,
    report_in_force,
)
from jasperwalk.distribution.registrations import Registrations, RegistrationVerdict
from jasperwalk.distribution.subscriber_link import SubscriberLink
from jasperwalk.distribution.update_encoder import UpdateEncoder
from jasperwalk.messages import codec
from jasperwalk.messages.distribution import (
    Acknowledge,
    FromSubscriber,
    Heartbeat,
    Reject,
    Subscribe,
    SubscriberRole,
)

MILLISECONDS_PER_SECOND = 1000
HIGHEST_QUORUM_AGE_MS = 2**31 - 1
"""Quorum age that stands for unknown."""


class PublisherCore:
    """Publishes one table; every method returns the effects that the host carries out.

    `subscriber_id` is the host's number for a connection, not used twice. Times are seconds
    of one monotonic clock, `quorum_age` is in seconds, infinite when unknown.
    """

    def __init__(self, source: VersionedTable, config: PublisherConfig) -> None:
        self._config = config
        self._encoder = UpdateEncoder(source, config)
        self._registrations = Registrations()
        self._links: dict[int, SubscriberLink] = {}
        self._by_identity: dict[tuple[SubscriberRole, str, str], int] = {}
        self._agents_at: dict[Endpoint, set[int]] = {}
        self._heartbeats: list[tuple[float, int]] = []
        self._wakes: list[tuple[float, int]] = []
        self._quorum_contact_at = -math.inf

    @property
    def subscriber_count(self) -> int:
        """The number of subscribers."""
        return len(self._links)

    def next_deadline(self) -> float:
        """Return the time at which `tick` next has something to do."""
        heartbeat = self._heartbeats[0][0] if self._heartbeats else math.inf
        wake = self._wakes[0][0] if self._wakes else math.inf
        return min(heartbeat, wake)

    def links(self) -> Collection[SubscriberLink]:
        """Return the records of all subscribers, for reading only."""
        return self._links.values()

    def report(self, now: float, revision: int | None = None) -> InForceReport:
        """Report where `revision` is in force, the table's own where none is given."""
        wanted = self._encoder.table.revision if revision is None else revision
        return report_in_force(wanted, [link.standing(now) for link in self._links.values()])

    def subscriber_opened(
        self, subscriber_id: int, subscribe: Subscribe, now: float
    ) -> list[PublisherEffect]:
        """Take in a subscriber, or refuse it."""
        refusal = self._refusal(subscribe, now)
        if refusal is not None:
            return self._refuse(subscriber_id, refusal)
        link = SubscriberLink(subscriber_id, subscribe, self._config, now)
        effects = self._close_former_connection(link)
        self._add(link)
        self._set_scope_on_arrival(link, now)
        effects.extend(self._heartbeat(link, now))
        if subscriber_id in self._links:
            effects.extend(self._flush(link, now))
        return effects

    def message(
        self, subscriber_id: int, message: FromSubscriber, now: float
    ) -> list[PublisherEffect]:
        """Take in a message of a subscriber."""
        link = self._links.get(subscriber_id)
        if link is None:
            return []
        match message:
            case Acknowledge():
                link.acknowledge(message, now)
                return self._flush(link, now)
            case Subscribe():
                return self._close(link, CloseReason.SUBSCRIBED_TWICE)

    def subscriber_closed(self, subscriber_id: int) -> None:
        """Forget a subscriber whose connection ended."""
        link = self._links.get(subscriber_id)
        if link is not None:
            self._forget(link)

    def table_advanced(self, now: float) -> list[PublisherEffect]:
        """Publish what changed in the table."""
        self._encoder.advance()
        return self._flush_all(now)

    def table_replaced(self, source: VersionedTable, now: float) -> list[PublisherEffect]:
        """Go on with another table object, such as one restored from a snapshot."""
        self._encoder.replace_table(source)
        return self._flush_all(now)

    def tick(self, now: float, quorum_age: float) -> list[PublisherEffect]:
        """Send what is due: heartbeats, and updates that waited for their link's budget."""
        self._quorum_contact_at = now - quorum_age
        self._encoder.drop_old_snapshots(now)
        effects: list[PublisherEffect] = []
        while self._heartbeats and self._heartbeats[0][0] <= now:
            due, subscriber_id = heapq.heappop(self._heartbeats)
            link = self._links.get(subscriber_id)
            if link is not None and link.next_heartbeat == due:
                effects.extend(self._heartbeat_due(link, now))
        while self._wakes and self._wakes[0][0] <= now:
            due, subscriber_id = heapq.heappop(self._wakes)
            link = self._links.get(subscriber_id)
            if link is not None and link.wake_at == due:
                link.wake_at = math.inf
                effects.extend(self._flush(link, now))
        return effects

    def agent_registered(
        self, address: Endpoint, boot_id: str, incarnation: int, now: float
    ) -> list[PublisherEffect]:
        """Take in a committed registration; every replica is told of every one.

        Its agent hears of it at once. An older process at the same address is refused.
        """
        self._registrations.register(address, boot_id, incarnation)
        effects: list[PublisherEffect] = []
        for subscriber_id in sorted(self._agents_at.get(address, ())):
            link = self._links[subscriber_id]
            if link.subscribe.boot_id == boot_id:
                effects.extend(self._heartbeat(link, now))
            else:
                effects.extend(self._close_replaced(link))
        return effects

    def agent_refused(self, address: Endpoint, boot_id: str) -> list[PublisherEffect]:
        """Close an agent whose registration control refused because it was replaced."""
        effects: list[PublisherEffect] = []
        for subscriber_id in sorted(self._agents_at.get(address, ())):
            link = self._links[subscriber_id]
            if link.subscribe.boot_id == boot_id:
                effects.extend(self._close_replaced(link))
        return effects

    def agent_removed(self, address: Endpoint) -> None:
        """Forget the registration of an address that control removed."""
        self._registrations.remove(address)

    def _refusal(self, subscribe: Subscribe, now: float) -> CloseReason | None:
        if now - self._quorum_contact_at > self._config.stale_seconds:
            return CloseReason.STALE_REPLICA
        if len(self._links) >= self._config.subscriber_limit:
            return CloseReason.TOO_MANY_SUBSCRIBERS
        if subscribe.role is SubscriberRole.AGENT:
            verdict = self._registrations.judge(subscribe, self._encoder.table.revision)
            if verdict is RegistrationVerdict.REPLACED:
                return CloseReason.REPLACED
        return None

    def _refuse(self, subscriber_id: int, reason: CloseReason) -> list[PublisherEffect]:
        kind = REPLACED_KIND if reason is CloseReason.REPLACED else reason.value
        reject = Reject(kind=kind, detail=reason, retry_after_ms=self._config.retry_after_ms)
        return [
            SendTo(subscriber_id=subscriber_id, payload=codec.encode(reject)),
            CloseSubscriber(subscriber_id=subscriber_id, reason=reason),
        ]

    def _close_replaced(self, link: SubscriberLink) -> list[PublisherEffect]:
        self._forget(link)
        return self._refuse(link.subscriber_id, CloseReason.REPLACED)

    def _close(self, link: SubscriberLink, reason: CloseReason) -> list[PublisherEffect]:
        self._forget(link)
        return [CloseSubscriber(subscriber_id=link.subscriber_id, reason=reason)]

    def _close_former_connection(self, link: SubscriberLink) -> list[PublisherEffect]:
        # A process that lost its connection comes back before this side notices the loss.
        former_id = self._by_identity.get(link.identity)
        if former_id is None:
            return []
        return self._close(self._links[former_id], CloseReason.RECONNECTED)

    def _add(self, link: SubscriberLink) -> None:
        self._links[link.subscriber_id] = link
        self._by_identity[link.identity] = link.subscriber_id
        if not link.is_balancer:
            at_address = self._agents_at.setdefault(link.subscribe.address, set())
            at_address.add(link.subscriber_id)

    def _forget(self, link: SubscriberLink) -> None:
        del self._links[link.subscriber_id]
        if self._by_identity.get(link.identity) == link.subscriber_id:
            del self._by_identity[link.identity]
        at_address = self._agents_at.get(link.subscribe.address, set())
        at_address.discard(link.subscriber_id)
        if not at_address:
            self._agents_at.pop(link.subscribe.address, None)

    def _heartbeat_due(self, link: SubscriberLink, now: float) -> list[PublisherEffect]:
        if now - link.last_seen > self._config.silent_seconds:
            return self._close(link, CloseReason.SILENT)
        return self._heartbeat(link, now)

    def _heartbeat(self, link: SubscriberLink, now: float) -> list[PublisherEffect]:
        effects = self._check_registration(link, now)
        if link.subscriber_id not in self._links:
            return effects
        link.next_heartbeat = now + self._config.heartbeat_seconds
        heapq.heappush(self._heartbeats, (link.next_heartbeat, link.subscriber_id))
        payload = codec.encode(
            Heartbeat(
                revision=self._encoder.table.revision,
                quorum_age_ms=self._quorum_age_ms(now),
                incarnation=link.incarnation,
            )
        )
        effects.append(self._send(link, payload))
        return effects

    def _quorum_age_ms(self, now: float) -> int:
        # Aged since the last tick: a process that stood still must not pass for fresh.
        milliseconds = (now - self._quorum_contact_at) * MILLISECONDS_PER_SECOND
        return int(min(max(milliseconds, 0.0), HIGHEST_QUORUM_AGE_MS))

    def _check_registration(self, link: SubscriberLink, now: float) -> list[PublisherEffect]:
        if link.is_balancer:
            return []
        subscribe = link.subscribe
        match self._registrations.judge(subscribe, self._encoder.table.revision):
            case RegistrationVerdict.REGISTERED:
                registration = self._registrations.at(subscribe.address)
                link.incarnation = 0 if registration is None else registration.incarnation
            case RegistrationVerdict.REPLACED:
                return self._close_replaced(link)
            case RegistrationVerdict.NEW:
                return self._propose_registration(link, now)
            case RegistrationVerdict.UNKNOWN:
                pass
        return []

    def _propose_registration(self, link: SubscriberLink, now: float) -> list[PublisherEffect]:
        if now < link.register_again_at:
            return []
        link.register_again_at = now + self._config.register_retry_seconds
        subscribe = link.subscribe
        return [
            RegisterAgent(
                address=subscribe.address,
                boot_id=subscribe.boot_id,
                name=subscribe.name,
                zone=subscribe.zone,
            )
        ]

    def _set_scope_on_arrival(self, link: SubscriberLink, now: float) -> None:
        if link.is_balancer:
            return
        # The agent's own copy may be of another service, which its revision does not tell.
        address = link.subscribe.address
        link.scope = self._encoder.scope_of_agent(address)
        history = self._encoder.history
        known = history.covers(link.sent_revision)
        if not known or history.moved_after(address, link.sent_revision):
            self._start_snapshot(link, now)

    def _flush_all(self, now: float) -> list[PublisherEffect]:
        effects: list[PublisherEffect] = []
        for link in self._links.values():
            effects.extend(self._flush(link, now))
        return effects

    def _flush(self, link: SubscriberLink, now: float) -> list[PublisherEffect]:
        """Send what the link's budget and its outstanding updates allow."""
        self._follow_scope(link, now)
        effects: list[PublisherEffect] = []
        while self._has_update(link):
            if len(link.outstanding) >= self._config.outstanding_limit:
                break
            if not link.bucket.allows(now):
                self._wake_later(link, now)
                break
            payload = self._next_payload(link, now)
            effects.append(self._send(link, payload))
        return effects

    def _follow_scope(self, link: SubscriberLink, now: float) -> None:
        if link.is_balancer or link.sent_revision > self._encoder.table.revision:
            return
        scope = self._encoder.scope_of_agent(link.subscribe.address)
        if scope != link.scope:
            link.scope = scope
            self._start_snapshot(link, now)

    def _start_snapshot(self, link: SubscriberLink, now: float) -> None:
        # A table behind the subscriber has nothing for it but heartbeats.
        if link.sent_revision <= self._encoder.table.revision:
            snapshot = self._encoder.snapshot(link.scope, link.sent_revision, now)
            link.start_snapshot(snapshot)

    def _has_update(self, link: SubscriberLink) -> bool:
        return link.snapshot is not None or link.sent_revision < self._encoder.table.revision

    def _next_payload(self, link: SubscriberLink, now: float) -> bytes:
        if link.snapshot is None:
            delta = self._encoder.delta(link.scope, link.sent_revision)
            if delta is not None:
                link.sent(self._encoder.table.revision)
                return delta
            link.start_snapshot(self._encoder.snapshot(link.scope, link.sent_revision, now))
        return link.take_part()

    def _wake_later(self, link: SubscriberLink, now: float) -> None:
        ready_at = link.bucket.ready_at(now)
        if ready_at < link.wake_at:
            link.wake_at = ready_at
            heapq.heappush(self._wakes, (ready_at, link.subscriber_id))

    def _send(self, link: SubscriberLink, payload: bytes) -> SendTo:
        link.bucket.spend(len(payload))
        return SendTo(subscriber_id=link.subscriber_id, payload=payload)
