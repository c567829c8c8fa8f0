"""On how many balancers and agents a revision is in force, merged from all replicas' reports.

Each replica reports the subscribers that it serves to every other replica. A subscriber that
moved between replicas counts by its newest sighting. One that nobody has seen for
`FORGET_AFTER_SECONDS` no longer counts: it has stopped forwarding new flows by itself by then,
and takes the newest revision before it forwards them again.

"In force everywhere" is a claim about subscribers of other replicas too, so it is made only
when every replica that was heard lately has reported from a table at that revision, and when
nothing can have been missed: not just after the start, nor after a replica was not heard.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.messages.distribution import SubscriberRole

FORGET_AFTER_SECONDS = 5.0
"""Seconds without a sighting after which a subscriber no longer counts."""
REPORT_GAP_SECONDS = 2.0
"""A pause between two reports of a replica after which subscribers may have been missed."""


class SubscriberSighting(msgspec.Struct, frozen=True, array_like=True):
    """What a replica knows of one subscriber.

    `revision` is the newest revision that it acknowledged.
    `age_ms` is the time since its last message, in milliseconds.
    """

    name: str
    role: SubscriberRole
    address: Endpoint
    incarnation: int
    revision: int
    healthy: bool
    open_flows: int
    age_ms: int


class InForce(msgspec.Struct, frozen=True):
    """Where a revision is in force.

    `laggards` names the subscribers without it, and as `replica-ID` the replicas that have
    not reported since.
    """

    revision: int
    in_force: int
    balancers: int
    agents_in_force: int
    agents: int
    laggards: list[str]
    complete: bool


class SeenSubscriber(msgspec.Struct, frozen=True):
    """A sighting with the time at which the subscriber was last heard (seconds)."""

    sighting: SubscriberSighting
    seen_at: float


class ReplicaReport(msgspec.Struct, frozen=True):
    """When a replica last reported (seconds), and its table's revision then."""

    heard_at: float
    revision: int


class SubscriberKey(msgspec.Struct, frozen=True):
    """What tells subscribers apart; a host may run agents at several addresses."""

    role: SubscriberRole
    name: str
    address: Endpoint


class InForceLedger:
    """Newest sighting of every subscriber of the region, and newest report of every replica."""

    def __init__(self, now: float, forget_after_seconds: float = FORGET_AFTER_SECONDS) -> None:
        self._forget_after_seconds = forget_after_seconds
        self._subscribers: dict[SubscriberKey, SeenSubscriber] = {}
        self._reports: dict[int, ReplicaReport] = {}
        self._complete_from = now + forget_after_seconds

    def report(
        self, replica_id: int, revision: int, sightings: Iterable[SubscriberSighting], now: float
    ) -> None:
        """Take in a replica's report, made from its table at `revision`."""
        former = self._reports.get(replica_id)
        if former is None or now - former.heard_at > REPORT_GAP_SECONDS:
            # Subscribers that moved meanwhile are in nobody's report until they are back.
            self._complete_from = max(self._complete_from, now + self._forget_after_seconds)
        self._reports[replica_id] = ReplicaReport(heard_at=now, revision=revision)
        self.merge(sightings, now)

    def merge(self, sightings: Iterable[SubscriberSighting], now: float) -> None:
        """Take in sightings; older ones than those known are left out."""
        for sighting in sightings:
            seen_at = now - sighting.age_ms / 1000
            key = SubscriberKey(sighting.role, sighting.name, sighting.address)
            known = self._subscribers.get(key)
            if known is None or seen_at >= known.seen_at:
                self._subscribers[key] = SeenSubscriber(sighting=sighting, seen_at=seen_at)

    def current(self, now: float) -> list[SeenSubscriber]:
        """Return the subscribers that still count, and forget the others."""
        oldest = now - self._forget_after_seconds
        self._subscribers = {
            key: seen for key, seen in self._subscribers.items() if seen.seen_at >= oldest
        }
        return list(self._subscribers.values())

    def in_force(self, revision: int, peers: Iterable[int], now: float) -> InForce:
        """Tell on which of the known subscribers `revision` (or a newer one) is in force.

        `peers` are the IDs of the other replicas. It is complete when every balancer and
        every agent has it, there is a balancer, and no replica's report is missing.
        """
        sightings = [seen.sighting for seen in self.current(now)]
        balancers = [each for each in sightings if each.role is SubscriberRole.BALANCER]
        agents = [each for each in sightings if each.role is SubscriberRole.AGENT]
        laggards = sorted(each.name for each in sightings if each.revision < revision)
        laggards.extend(f"replica-{each}" for each in self._late_replicas(revision, peers, now))
        return InForce(
            revision=revision,
            in_force=_count_at(balancers, revision),
            balancers=len(balancers),
            agents_in_force=_count_at(agents, revision),
            agents=len(agents),
            laggards=laggards,
            complete=bool(balancers) and not laggards and now >= self._complete_from,
        )

    def _late_replicas(self, revision: int, peers: Iterable[int], now: float) -> list[int]:
        """Return the replicas heard lately whose newest report was made before `revision`.

        One that was not heard for long serves nobody: its subscribers leave a stale replica.
        """
        oldest = now - self._forget_after_seconds
        late: list[int] = []
        for replica_id in sorted(peers):
            report = self._reports.get(replica_id)
            if report is not None and report.heard_at >= oldest and report.revision < revision:
                late.append(replica_id)
        return late


def _count_at(sightings: list[SubscriberSighting], revision: int) -> int:
    return sum(1 for sighting in sightings if sighting.revision >= revision)
