"""What a replica reports of its subscribers to the leader (sans-IO).

A report says what changed since the one before it; the first to a leader says everything.
Subscribers are introduced once with a number, and named by it from then on. What a report
does not name is vouched for: it holds the common revision, and was heard within
`UNREPORTED_SILENCE_SECONDS`. So a report of a steady replica is a few dozen bytes.

A subscriber whose connection ended stays in the reports, as a silent one, until it is back or
forgotten everywhere. A new leader learns in this way of subscribers that are under way from
one replica to another.
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
"""Seconds without a message of a subscriber after which it no longer counts."""
UNREPORTED_SILENCE_SECONDS = 1.25
"""Longest silence of a subscriber that a report does not name; two acknowledgements."""
FLOW_CHANGE_DIVISOR = 8
"""The number of open flows is reported anew when it moved by more than one part of these."""
MILLISECONDS_PER_SECOND = 1000


class SubscriberKey(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """What tells subscribers apart; a host may run agents at several addresses."""

    role: SubscriberRole
    name: str
    address: Endpoint


class SubscriberCondition(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """What a subscriber says of itself; all but its revision, and its open flows roughly.

    Zero open flows are exactly none. The generations are those of the oldest keys that the
    agent's flows rest on, 0 where that is not known.
    """

    incarnation: int
    healthy: bool
    open_flows: int
    connection_id_generation: int = 0
    stateless_reset_generation: int = 0


class ReportedSubscriber(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """A subscriber that is new, or whose condition changed; `number` names it in its origin."""

    number: int
    key: SubscriberKey
    condition: SubscriberCondition


class RevisionGroup(msgspec.Struct, frozen=True, array_like=True):
    """The subscribers that acknowledged another revision than the common one."""

    revision: int
    numbers: list[int]


class SilentSubscriber(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """A subscriber that was not heard for a while, or whose connection ended."""

    number: int
    silence_ms: int


class SubscriberReport(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The subscribers of the sender, for the leader of `term`.

    `sequence` counts the sender's reports. A `full` one clears what was reported before; any
    other follows the report of the sequence below, and is worth nothing without it.
    `revision` is that of the sender's table. `recorded_ms` tells for how long the sender has
    kept its record of subscribers. `groups` and `silent` are whole in every report.
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

    `first_sequence` differs between two starts of a process, so that a report of the former
    one is not taken for the next of this one.
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
        """Let the next report say everything, because one was lost."""
        self._destination = None

    def report(
        self, links: Iterable[SubscriberLink], leader_id: int, term: int, revision: int, now: float
    ) -> SubscriberReport:
        """Return the next report to the leader of `term`; it has to be sent, or `restart`."""
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
        """Take in who is connected now; return the numbers of those that no longer count."""
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
    """Tell whether what was last reported of a subscriber is still near enough."""
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
