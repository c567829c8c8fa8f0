"""On how many balancers and agents a revision is in force: the leader's merged view.

Each replica reports its subscribers to the leader (see `subscriber_reports`). If several replicas
report the same subscriber, the most recent report of it counts. A subscriber that no replica has
received a message from for `SUBSCRIBER_EXPIRY_SECONDS` no longer counts, so that a machine that is
permanently gone does not keep a change from being reported in force.

Limit of "in force": a balancer that is cut off from control, but alive and reached by callers,
continues to decide by its last table, by design. Once it has expired here, a change is reported in
force although that balancer still decides by an older table. The newer configuration takes effect
at the agents all the same: each compares the revision that a forwarded datagram carries with its
own, and decides again if its own is newer and fresh (`jasperwalk.agent.handover`). An agent that is
cut off too is offline in the table after a few seconds, and balancers in contact with control no
longer choose it.

Counts are known only while no replica's report is missing. They are None just after a change of
leader, and while a replica that reported a moment ago is silent.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.control.subscriber_reports import (
    MILLISECONDS_PER_SECOND,
    SUBSCRIBER_EXPIRY_SECONDS,
    UNREPORTED_SILENCE_SECONDS,
    ReportedSubscriber,
    SubscriberKey,
    SubscriberReport,
)
from jasperwalk.messages.distribution import SubscriberRole

REPORT_GAP_SECONDS = 1.25
"""Silence of a replica after which it may have subscribers that it has not reported yet.

The sum of this and of the time that a subscriber takes to move to another replica must be below
`SUBSCRIBER_EXPIRY_SECONDS`: otherwise a subscriber would expire before its new replica reports it.
"""
MAX_LAGGARDS_NAMED = 100
"""Maximum number of laggards named in an answer; `laggard_count` counts them all."""


class InForce(msgspec.Struct, frozen=True):
    """Where a revision is in force.

    The counts are None where they are not known (yet). `laggards` names subscribers without
    the revision, and as `replica-ID` the replicas whose report is missing or older.
    """

    revision: int
    in_force: int | None = None
    balancers: int | None = None
    agents_in_force: int | None = None
    agents: int | None = None
    laggards: list[str] = []
    laggard_count: int = 0
    complete: bool = False


class SubscriberSighting(msgspec.Struct, frozen=True, gc=False):
    """What the leader knows of a subscriber; `revision` is the newest that it acknowledged.

    `seen_at` is the time of its last message, in seconds; for a subscriber that sends regularly
    it may be up to `UNREPORTED_SILENCE_SECONDS` too late.
    """

    name: str
    role: SubscriberRole
    address: Endpoint
    incarnation: int
    revision: int
    healthy: bool
    open_flows: int
    seen_at: float
    connection_id_generation: int = 0
    stateless_reset_generation: int = 0


@dataclass
class _Origin:
    """What one replica reported; subscribers are keyed by the numbers that it gave them."""

    sequence: int
    revision: int
    received_at: float
    recorded_since: float
    common_revision: int
    subscribers: dict[int, ReportedSubscriber] = field(default_factory=dict)
    revisions: dict[int, int] = field(default_factory=dict)
    silent_since: dict[int, float] = field(default_factory=dict)

    def subscriber_of(self, each: ReportedSubscriber) -> SubscriberSighting:
        """Return a subscriber as this replica reported it."""
        key, condition = each.key, each.condition
        return SubscriberSighting(
            name=key.name,
            role=key.role,
            address=key.address,
            incarnation=condition.incarnation,
            revision=self.revisions.get(each.number, self.common_revision),
            healthy=condition.healthy,
            open_flows=condition.open_flows,
            seen_at=self.silent_since.get(each.number, self.received_at),
            connection_id_generation=condition.connection_id_generation,
            stateless_reset_generation=condition.stateless_reset_generation,
        )


class InForceLedger:
    """The newest report of every replica, kept while this replica leads."""

    def __init__(self, now: float, expiry_seconds: float = SUBSCRIBER_EXPIRY_SECONDS) -> None:
        self._expiry_seconds = expiry_seconds
        self._term = 0
        self._leading_since = now
        self._origins: dict[int, _Origin] = {}
        self._merged: dict[SubscriberKey, SubscriberSighting] | None = None

    def start_term(self, term: int, now: float) -> None:
        """Discard all reports when a new term begins; does nothing within the current term."""
        if term != self._term:
            self._term = term
            self._leading_since = now
            self._origins = {}
            self._merged = None

    def record_report(self, origin_id: int, report: SubscriberReport, now: float) -> bool:
        """Record a report; return False if an earlier report is missing."""
        if report.term != self._term:
            return True
        former = self._origins.get(origin_id)
        if not report.full and (former is None or report.sequence != former.sequence + 1):
            return False
        recorded_seconds = report.recorded_ms / MILLISECONDS_PER_SECOND
        origin = _Origin(
            sequence=report.sequence,
            revision=report.revision,
            received_at=now,
            recorded_since=now - recorded_seconds,
            common_revision=report.common_revision,
            subscribers={} if former is None or report.full else former.subscribers,
        )
        for number in report.removed:
            origin.subscribers.pop(number, None)
        for each in report.changed:
            origin.subscribers[each.number] = each
        for group in report.groups:
            origin.revisions.update(dict.fromkeys(group.numbers, group.revision))
        for silent in report.silent:
            seen_at = now - silent.silence_ms / MILLISECONDS_PER_SECOND
            origin.silent_since[silent.number] = seen_at
        self._origins[origin_id] = origin
        self._merged = None
        return True

    def current(self, now: float) -> list[SubscriberSighting]:
        """Return the subscribers that have not expired."""
        oldest = now - self._expiry_seconds
        return [each for each in self._merge().values() if each.seen_at >= oldest]

    def in_force(self, revision: int, contact_ages: Mapping[int, float], now: float) -> InForce:
        """Return on which subscribers `revision` (or a newer one) is in force.

        `contact_ages` holds, by replica ID, the seconds since contact other than by reports (inf
        for never). The result is complete if there is a balancer, every balancer and agent has
        the revision, and no replica's report is missing or older than it.
        """
        seen = self.current(now)
        balancers = [each for each in seen if each.role is SubscriberRole.BALANCER]
        agents = [each for each in seen if each.role is SubscriberRole.AGENT]
        missing, late = self._incomplete_replicas(revision, contact_ages, now)
        laggards = [f"replica-{each}" for each in (*missing, *late)]
        laggards.extend(sorted(each.name for each in seen if each.revision < revision))
        named = laggards[:MAX_LAGGARDS_NAMED]
        if missing:
            return InForce(revision=revision, laggards=named, laggard_count=len(laggards))
        return InForce(
            revision=revision,
            in_force=_count_at(balancers, revision),
            balancers=len(balancers),
            agents_in_force=_count_at(agents, revision),
            agents=len(agents),
            laggards=named,
            laggard_count=len(laggards),
            complete=bool(balancers) and not laggards,
        )

    def _merge(self) -> dict[SubscriberKey, SubscriberSighting]:
        if self._merged is None:
            merged: dict[SubscriberKey, SubscriberSighting] = {}
            for origin in self._origins.values():
                for each in origin.subscribers.values():
                    seen, known = origin.subscriber_of(each), merged.get(each.key)
                    if known is None or _supersedes(seen, known):
                        merged[each.key] = seen
            self._merged = merged
        return self._merged

    def _incomplete_replicas(
        self, revision: int, contact_ages: Mapping[int, float], now: float
    ) -> tuple[list[int], list[int]]:
        """Return replicas that may have unreported subscribers, and those behind `revision`."""
        missing: list[int] = []
        late: list[int] = []
        for replica_id in sorted(contact_ages):
            origin = self._origins.get(replica_id)
            if not self._may_serve(origin, contact_ages[replica_id], now):
                continue
            if origin is None or self._may_have_unreported(origin, now):
                missing.append(replica_id)
            elif origin.revision < revision:
                late.append(replica_id)
        return missing, late

    def _may_serve(self, origin: _Origin | None, contact_age: float, now: float) -> bool:
        """Return whether a replica may have subscribers: they leave a replica that is stale."""
        received_at = self._leading_since if origin is None else origin.received_at
        return min(now - received_at, contact_age) < self._expiry_seconds

    def _may_have_unreported(self, origin: _Origin, now: float) -> bool:
        """Return whether a replica may have subscribers that it has not reported.

        This holds after a gap in its reports, and for one that has just started: subscribers
        may still be reconnecting to it.
        """
        if now - origin.received_at > REPORT_GAP_SECONDS:
            return True
        return now - origin.recorded_since < self._expiry_seconds


def _supersedes(seen: SubscriberSighting, known: SubscriberSighting) -> bool:
    """Return whether `seen` is newer; if the order is uncertain, the lower revision counts."""
    difference = seen.seen_at - known.seen_at
    if abs(difference) > UNREPORTED_SILENCE_SECONDS:
        return difference > 0
    return seen.revision < known.revision


def _count_at(seen: list[SubscriberSighting], revision: int) -> int:
    return sum(1 for each in seen if each.revision >= revision)
