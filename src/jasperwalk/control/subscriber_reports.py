"""Reports of a replica's subscribers to the leader (sans-IO).

A report holds the changes since the previous one; the first to a leader is full. A subscriber is
introduced once with a number and identified by it from then on. A known subscriber that a report
does not name has acknowledged the common revision, and its last message is no older than
`UNREPORTED_SILENCE_SECONDS`. A report without changes is therefore a few dozen bytes.

A subscriber whose connection ended stays in the reports, as a silent one, until it reconnects or
has expired everywhere. This is how a new leader learns of subscribers that are moving from one
replica to another.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.distribution.subscriber_link import SubscriberLink
from jasperwalk.messages.distribution import SubscriberRole

SUBSCRIBER_EXPIRY_SECONDS = 5.0
"""Seconds without a message from a subscriber after which it no longer counts."""
UNREPORTED_SILENCE_SECONDS = 1.25
"""Maximum silence of a subscriber that a report does not name; two acknowledgements."""
FLOW_CHANGE_DIVISOR = 8
"""A count of open flows is reported again once it differs by more than 1 / this."""
MILLISECONDS_PER_SECOND = 1000


class SubscriberKey(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """Identity of a subscriber; a host may run agents at several addresses."""

    role: SubscriberRole
    name: str
    address: Endpoint


class SubscriberCondition(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """What a subscriber reports of itself, except its revision; `open_flows` is approximate.

    0 open flows is exact. The generations are those of the oldest keys that the agent's flows
    depend on, 0 if not known.
    """

    incarnation: int
    healthy: bool
    open_flows: int
    connection_id_generation: int = 0
    stateless_reset_generation: int = 0


class ReportedSubscriber(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """A new subscriber, or one whose condition changed; `number` identifies it at its replica."""

    number: int
    key: SubscriberKey
    condition: SubscriberCondition


class RevisionGroup(msgspec.Struct, frozen=True, array_like=True):
    """Subscribers that acknowledged a revision other than the common one."""

    revision: int
    numbers: list[int]


class SilentSubscriber(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """A subscriber without a message for a while, or whose connection ended."""

    number: int
    silence_ms: int


class SubscriberReport(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The subscribers of the sender, for the leader of `term`.

    `sequence` counts the sender's reports. A `full` report replaces everything reported before;
    any other is valid only after the report of the previous sequence number. `revision` is that
    of the sender's table. `recorded_ms` is the time for which the sender has recorded its
    subscribers. `groups` and `silent` are complete in every report.
    """

    term: int
    sequence: int
    full: bool
    revision: int
    recorded_ms: int
    common_revision: int
    changed: list[ReportedSubscriber]
    removed: list[int]
    groups: list[RevisionGroup]
    silent: list[SilentSubscriber]


@dataclass(slots=True)
class _Record:
    link: SubscriberLink
    key: SubscriberKey
    condition: SubscriberCondition | None = None
    connected: bool = True


class SubscriberReporter:
    """Keeps what was reported to the leader; `now` is in seconds of one monotonic clock.

    `first_sequence` differs between two starts of a process, so that its reports are not taken
    for a continuation of those from before the restart.
    """

    def __init__(
        self,
        now: float,
        first_sequence: int,
        expiry_seconds: float = SUBSCRIBER_EXPIRY_SECONDS,
    ) -> None:
        self._recorded_since = now
        self._expiry_seconds = expiry_seconds
        self._records: dict[int, _Record] = {}
        self._destination: tuple[int, int] | None = None
        self._sequence = first_sequence

    def restart(self) -> None:
        """Make the next report a full one, because a report was lost."""
        self._destination = None

    def report(
        self, links: Iterable[SubscriberLink], leader_id: int, term: int, revision: int, now: float
    ) -> SubscriberReport:
        """Return the next report to the leader of `term`; call `restart` if it is not sent."""
        full = self._destination != (leader_id, term)
        if full:
            self._destination = (leader_id, term)
            for record in self._records.values():
                record.condition = None
        removed = self._update_records(links, now)
        counts = Counter(each.link.acknowledged_revision for each in self._records.values())
        common = max(counts, key=lambda each: (counts[each], each), default=revision)
        report = SubscriberReport(
            term=term,
            sequence=self._sequence,
            full=full,
            revision=revision,
            recorded_ms=int((now - self._recorded_since) * MILLISECONDS_PER_SECOND),
            common_revision=common,
            changed=self._changed(),
            removed=[] if full else removed,
            groups=self._groups(common),
            silent=self._silent(now),
        )
        self._sequence += 1
        return report

    def _update_records(self, links: Iterable[SubscriberLink], now: float) -> list[int]:
        """Update the records from the present links; return the numbers of removed subscribers."""
        for record in self._records.values():
            record.connected = False
        present: set[SubscriberKey] = set()
        for link in links:
            if link.subscriber_id not in self._records:
                self._records[link.subscriber_id] = _Record(link=link, key=_key_of(link))
            record = self._records[link.subscriber_id]
            record.connected = True
            present.add(record.key)
        removed = [
            number
            for number, record in self._records.items()
            if not record.connected and self._is_obsolete(record, present, now)
        ]
        for number in removed:
            del self._records[number]
        return removed

    def _is_obsolete(self, record: _Record, present: set[SubscriberKey], now: float) -> bool:
        return record.key in present or now - record.link.last_seen > self._expiry_seconds

    def _changed(self) -> list[ReportedSubscriber]:
        changed: list[ReportedSubscriber] = []
        for number, record in self._records.items():
            if not _is_condition_current(record):
                record.condition = _condition_of(record.link)
                changed.append(ReportedSubscriber(number, record.key, record.condition))
        return changed

    def _groups(self, common_revision: int) -> list[RevisionGroup]:
        numbers: dict[int, list[int]] = {}
        for number, record in self._records.items():
            revision = record.link.acknowledged_revision
            if revision != common_revision:
                numbers.setdefault(revision, []).append(number)
        return [RevisionGroup(revision, numbers[revision]) for revision in sorted(numbers)]

    def _silent(self, now: float) -> list[SilentSubscriber]:
        silent: list[SilentSubscriber] = []
        for number, record in self._records.items():
            silence = max(now - record.link.last_seen, 0.0)
            if silence > UNREPORTED_SILENCE_SECONDS or not record.connected:
                silence_ms = int(silence * MILLISECONDS_PER_SECOND)
                silent.append(SilentSubscriber(number, silence_ms))
        return silent


def _key_of(link: SubscriberLink) -> SubscriberKey:
    subscribe = link.subscribe
    return SubscriberKey(role=subscribe.role, name=subscribe.name, address=subscribe.address)


def _condition_of(link: SubscriberLink) -> SubscriberCondition:
    return SubscriberCondition(
        incarnation=link.incarnation,
        healthy=link.healthy,
        open_flows=link.open_flows,
        connection_id_generation=link.connection_id_generation,
        stateless_reset_generation=link.stateless_reset_generation,
    )


def _is_condition_current(record: _Record) -> bool:
    """Return whether what was last reported of a subscriber is still accurate enough."""
    reported, link = record.condition, record.link
    return (
        reported is not None
        and reported.incarnation == link.incarnation
        and reported.healthy == link.healthy
        and reported.connection_id_generation == link.connection_id_generation
        and reported.stateless_reset_generation == link.stateless_reset_generation
        and _is_flow_count_current(reported.open_flows, link.open_flows)
    )


def _is_flow_count_current(reported: int, open_flows: int) -> bool:
    if not reported or not open_flows:
        return reported == open_flows
    return abs(open_flows - reported) * FLOW_CHANGE_DIVISOR <= reported
