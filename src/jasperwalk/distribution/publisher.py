"""The sans-IO publisher core of a replica: sends the routing table to its subscribers.

Subscribers are balancers and agents. The core admits or refuses them, sends heartbeats, snapshots
and deltas, and proposes the registration of agents. Every message is encoded once for all
subscribers of a scope. A subscriber that is slow to acknowledge, or whose link has used up its
byte budget, has no queue: what changed meanwhile is sent as one delta from the revision that it
was last sent.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Collection

from jasperwalk.addresses import Endpoint
from jasperwalk.config.routing_table import VersionedTable
from jasperwalk.distribution.flush_queue import FlushQueue
from jasperwalk.distribution.follower_events import REPLACED_KIND
from jasperwalk.distribution.join_admission import JoinAdmission
from jasperwalk.distribution.publisher_events import (
    CloseReason,
    CloseSubscriber,
    PublisherConfig,
    PublisherEffect,
    RegisterAgent,
    SendTo,
)
from jasperwalk.distribution.registrations import Registrations, RegistrationVerdict
from jasperwalk.distribution.subscriber_directory import SubscriberDirectory
from jasperwalk.distribution.subscriber_link import SubscriberLink
from jasperwalk.distribution.update_encoder import UpdateEncoder
from jasperwalk.distribution.update_selector import UpdateSelector
from jasperwalk.messages import codec
from jasperwalk.messages.distribution import (
    Acknowledge,
    FromSubscriber,
    Heartbeat,
    Reject,
    ReplicaEndpoints,
    Subscribe,
    SubscriberRole,
)

MILLISECONDS_PER_SECOND = 1000
MAX_QUORUM_AGE_MS = 2**31 - 1
"""Quorum age that stands for unknown."""


class PublisherCore:
    """Publishes one table; every method returns the effects that its adapter carries out.

    `subscriber_id` is the adapter's number for a connection, not used twice. Times are seconds
    of one monotonic clock, `quorum_age` is in seconds, infinite when unknown.
    """

    def __init__(self, source: VersionedTable, config: PublisherConfig) -> None:
        self._config = config
        self._encoder = UpdateEncoder(source, config)
        self._selector = UpdateSelector(self._encoder)
        self._registrations = Registrations()
        self._subscribers = SubscriberDirectory()
        self._admission = JoinAdmission(config)
        self._flushes = FlushQueue()
        self._heartbeats: list[tuple[float, int]] = []
        self._deferred_flushes: list[tuple[float, int]] = []
        self._quorum_contact_at = -math.inf
        self._ticked_at = -math.inf
        self._silence_counted_from = -math.inf
        """Time from which the silence of subscribers is counted at the earliest."""
        self._replicas: ReplicaEndpoints | None = None

    @property
    def subscriber_count(self) -> int:
        """The number of subscribers."""
        return len(self._subscribers)

    def next_deadline(self) -> float:
        """Return the time at which `tick` next has something to do; -inf for at once."""
        if self._flushes:
            return -math.inf
        heartbeat = self._heartbeats[0][0] if self._heartbeats else math.inf
        deferred_flush = self._deferred_flushes[0][0] if self._deferred_flushes else math.inf
        return min(heartbeat, deferred_flush)

    def links(self) -> Collection[SubscriberLink]:
        """Return the records of all subscribers, for reading only."""
        return self._subscribers.all()

    def subscriber_opened(
        self, subscriber_id: int, subscribe: Subscribe, now: float
    ) -> list[PublisherEffect]:
        """Admit a subscriber, or refuse it."""
        refusal = self._refusal(subscribe, now)
        if refusal is not None:
            return self._refuse(subscriber_id, refusal, self._retry_after_ms(refusal, now))
        link = SubscriberLink(subscriber_id, subscribe, self._config, now)
        effects = self._close_former_connection(link)
        self._subscribers.add(link)
        if self._selector.needs_snapshot(subscribe):
            self._admission.start(subscriber_id, now)
        self._selector.on_subscribed(link, now)
        effects.extend(self._heartbeat(link, now))
        if link in self._subscribers:
            effects.extend(self._send_replica_endpoints(link))
            effects.extend(self._flush(link, now))
        return effects

    def message(
        self, subscriber_id: int, message: FromSubscriber, now: float
    ) -> list[PublisherEffect]:
        """Handle a message of a subscriber."""
        link = self._subscribers.find(subscriber_id)
        if link is None:
            return []
        match message:
            case Acknowledge():
                self._admission.end(subscriber_id)
                link.acknowledge(message, now)
                return self._flush(link, now)
            case Subscribe():
                return self._close(link, CloseReason.SUBSCRIBED_TWICE)

    def subscriber_closed(self, subscriber_id: int) -> None:
        """Remove a subscriber whose connection ended."""
        link = self._subscribers.find(subscriber_id)
        if link is not None:
            self._remove_subscriber(link)

    def table_advanced(self, now: float) -> list[PublisherEffect]:
        """Publish changes of the table: to the first slice now, to the others at `tick`."""
        self._encoder.advance()
        self._flushes.add(self._subscribers.all())
        return self._flush_slice(now)

    def table_replaced(self, source: VersionedTable, now: float) -> list[PublisherEffect]:
        """Continue with another table object, such as one restored from a snapshot."""
        self._encoder.replace_table(source)
        self._flushes.add(self._subscribers.all())
        return self._flush_slice(now)

    def replicas_changed(self, index: int, endpoints: list[Endpoint]) -> list[PublisherEffect]:
        """Notify all subscribers of the voting replicas as committed at log index `index`."""
        if self._replicas is not None and self._replicas.endpoints == endpoints:
            return []
        self._replicas = ReplicaEndpoints(index=index, endpoints=endpoints)
        effects: list[PublisherEffect] = []
        for link in self._subscribers.all():
            effects.extend(self._send_replica_endpoints(link))
        return effects

    def record_quorum_age(self, now: float, quorum_age: float) -> None:
        """Record the seconds since contact with a quorum; a stale replica refuses subscribers."""
        self._quorum_contact_at = now - quorum_age

    def tick(self, now: float, quorum_age: float) -> list[PublisherEffect]:
        """Send what is due: heartbeats, and updates that waited for their slice or byte budget.

        One call sends one slice; if more is due, `next_deadline` returns -inf.
        """
        self.record_quorum_age(now, quorum_age)
        self._record_own_stall(now)
        self._encoder.drop_old_snapshots(now)
        effects = self._heartbeats_due(now)
        effects.extend(self._flush_deferred(now))
        effects.extend(self._flush_slice(now))
        return effects

    def _record_own_stall(self, now: float) -> None:
        # What subscribers sent while this process was suspended has not been read yet.
        if now - self._ticked_at > self._config.silent_seconds / 2:
            self._silence_counted_from = now
        self._ticked_at = now

    def _heartbeats_due(self, now: float) -> list[PublisherEffect]:
        effects: list[PublisherEffect] = []
        left = self._config.slice_subscribers
        while left and self._heartbeats and self._heartbeats[0][0] <= now:
            due, subscriber_id = heapq.heappop(self._heartbeats)
            link = self._subscribers.find(subscriber_id)
            if link is not None and link.next_heartbeat == due:
                left -= 1
                effects.extend(self._heartbeat_due(link, now))
        return effects

    def _flush_deferred(self, now: float) -> list[PublisherEffect]:
        effects: list[PublisherEffect] = []
        left = self._config.slice_subscribers
        while left and self._deferred_flushes and self._deferred_flushes[0][0] <= now:
            due, subscriber_id = heapq.heappop(self._deferred_flushes)
            link = self._subscribers.find(subscriber_id)
            if link is not None and link.wake_at == due:
                left -= 1
                link.wake_at = math.inf
                effects.extend(self._flush(link, now))
        return effects

    def agent_registered(
        self, address: Endpoint, boot_id: str, incarnation: int, now: float
    ) -> list[PublisherEffect]:
        """Handle a committed registration; every replica is notified of every one.

        Its agent is notified at once. An older process at the same address is closed.
        """
        self._registrations.register(address, boot_id, incarnation)
        effects: list[PublisherEffect] = []
        for link in self._subscribers.agents_at(address):
            if link.subscribe.boot_id == boot_id:
                effects.extend(self._heartbeat(link, now))
            elif 0 < max(link.subscribe.incarnation, link.incarnation) <= incarnation:
                effects.extend(self._close_replaced(link))
            else:
                # The registration may be of a former process: the log has it first.
                effects.extend(self._check_registration(link, now))
        return effects

    def agent_refused(self, address: Endpoint, boot_id: str) -> list[PublisherEffect]:
        """Close an agent whose registration control refused because it was replaced."""
        effects: list[PublisherEffect] = []
        for link in self._subscribers.agents_at(address):
            if link.subscribe.boot_id == boot_id:
                effects.extend(self._close_replaced(link))
        return effects

    def _refusal(self, subscribe: Subscribe, now: float) -> CloseReason | None:
        if now - self._quorum_contact_at > self._config.stale_seconds:
            return CloseReason.STALE_REPLICA
        if len(self._subscribers) >= self._config.subscriber_limit:
            return CloseReason.TOO_MANY_SUBSCRIBERS
        if subscribe.role is SubscriberRole.AGENT:
            verdict = self._registrations.verdict_for(subscribe, self._encoder.table.revision)
            if verdict is RegistrationVerdict.REPLACED:
                return CloseReason.REPLACED
        if self._selector.needs_snapshot(subscribe) and not self._admission.has_capacity(now):
            return CloseReason.TOO_MANY_SNAPSHOTS
        return None

    def _refuse(
        self, subscriber_id: int, reason: CloseReason, retry_after_ms: int
    ) -> list[PublisherEffect]:
        kind = REPLACED_KIND if reason is CloseReason.REPLACED else reason.value
        reject = Reject(kind=kind, detail=reason, retry_after_ms=retry_after_ms)
        return [
            SendTo(subscriber_id=subscriber_id, payload=codec.encode(reject)),
            CloseSubscriber(subscriber_id=subscriber_id, reason=reason),
        ]

    def _retry_after_ms(self, reason: CloseReason, now: float) -> int:
        # A replaced process does not retry, so it needs no retry time of its own.
        if reason is CloseReason.REPLACED:
            return self._config.retry_after_ms
        return self._admission.retry_after_ms(now)

    def _close_replaced(self, link: SubscriberLink) -> list[PublisherEffect]:
        self._remove_subscriber(link)
        reason = CloseReason.REPLACED
        return self._refuse(link.subscriber_id, reason, self._config.retry_after_ms)

    def _remove_subscriber(self, link: SubscriberLink) -> None:
        self._subscribers.remove(link)
        self._admission.end(link.subscriber_id)
        self._flushes.discard(link)

    def _close(self, link: SubscriberLink, reason: CloseReason) -> list[PublisherEffect]:
        self._remove_subscriber(link)
        return [CloseSubscriber(subscriber_id=link.subscriber_id, reason=reason)]

    def _close_former_connection(self, link: SubscriberLink) -> list[PublisherEffect]:
        # A process that lost its connection may reconnect before this side notices the loss.
        former = self._subscribers.find_same_process(link)
        return [] if former is None else self._close(former, CloseReason.RECONNECTED)

    def _heartbeat_due(self, link: SubscriberLink, now: float) -> list[PublisherEffect]:
        if now - max(link.last_seen, self._silence_counted_from) > self._config.silent_seconds:
            return self._close(link, CloseReason.SILENT)
        return self._heartbeat(link, now)

    def _heartbeat(self, link: SubscriberLink, now: float) -> list[PublisherEffect]:
        effects = self._check_registration(link, now)
        if link not in self._subscribers:
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

    def _send_replica_endpoints(self, link: SubscriberLink) -> list[PublisherEffect]:
        if self._replicas is None:
            return []
        return [self._send(link, codec.encode(self._replicas))]

    def _quorum_age_ms(self, now: float) -> int:
        # Counted up to now, not to the last tick: a suspended process must not appear fresh.
        milliseconds = (now - self._quorum_contact_at) * MILLISECONDS_PER_SECOND
        return int(min(max(milliseconds, 0.0), MAX_QUORUM_AGE_MS))

    def _check_registration(self, link: SubscriberLink, now: float) -> list[PublisherEffect]:
        if link.is_balancer:
            return []
        subscribe = link.subscribe
        match self._registrations.verdict_for(subscribe, self._encoder.table.revision):
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

    def _flush_slice(self, now: float) -> list[PublisherEffect]:
        effects: list[PublisherEffect] = []
        for link in self._flushes.take(self._config.slice_subscribers):
            effects.extend(self._flush(link, now))
        return effects

    def _flush(self, link: SubscriberLink, now: float) -> list[PublisherEffect]:
        """Send as many updates as the link's byte budget and outstanding limit allow."""
        self._selector.follow_scope(link, now)
        effects: list[PublisherEffect] = []
        while self._selector.has_update(link):
            if len(link.outstanding) >= self._config.outstanding_limit:
                break
            if not link.bucket.allows(now):
                self._defer_flush(link, now)
                break
            payload = self._selector.next_payload(link, now)
            effects.append(self._send(link, payload))
        return effects

    def _defer_flush(self, link: SubscriberLink, now: float) -> None:
        ready_at = link.bucket.ready_at(now)
        if ready_at < link.wake_at:
            link.wake_at = ready_at
            heapq.heappush(self._deferred_flushes, (ready_at, link.subscriber_id))

    def _send(self, link: SubscriberLink, payload: bytes) -> SendTo:
        link.bucket.spend(len(payload))
        return SendTo(subscriber_id=link.subscriber_id, payload=payload)
