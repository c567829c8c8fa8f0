"""Benchmark of distribution: sending a change, applying it, and counting where it is in force.

One process acts as the replica and, in turn, as its subscribers. The publisher's messages go
through one UDP socket that nobody reads, so that each subscriber costs a system call. The bare loop
encodes the same delta once and writes the same bytes as often, without budgets, outstanding updates
and scopes.
"""

from __future__ import annotations

import math
import random
import socket
import statistics
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from bench.harness import MICROSECONDS, Figure
from bench.traffic import AGENT_HOSTS, KEY, member_entry, service_entry
from jasperwalk.addresses import Endpoint
from jasperwalk.config.routing_table import Changes, VersionedTable
from jasperwalk.config.table_entries import MemberEntry, TableEntry
from jasperwalk.control.in_force import InForceLedger
from jasperwalk.control.subscriber_reports import SubscriberReporter
from jasperwalk.distribution.follower import FollowerCore
from jasperwalk.distribution.follower_events import FollowerConfig, SubscriberFacts
from jasperwalk.distribution.publisher import PublisherCore
from jasperwalk.distribution.publisher_events import PublisherConfig, PublisherEffect, SendTo
from jasperwalk.messages import codec
from jasperwalk.messages.distribution import (
    FROM_PUBLISHER_DECODER,
    Acknowledge,
    Delta,
    Snapshot,
    Subscribe,
    SubscriberRole,
)

SERVICES = 1_000
MEMBERS_PER_SERVICE = 4
SUBSCRIBERS = 5_000
BALANCERS_OF_MIXED = 1_000
"""Subscribers that are balancers in the mixed case; the others are agents."""
CHANGES = 20
APPLIED_CHANGES = 2_000
MILLISECONDS = 1000.0
SECONDS_PER_CHANGE = 60.0
"""Pause between two changes, which refills the links' budgets; only the cores' clock advances."""
LEADER = 1
REPLICA = 2
TERM = 1


@dataclass
class FlushTimes:
    """Seconds of each change, and the messages and bytes sent for all of them."""

    flush: list[float] = field(default_factory=list)
    bare: list[float] = field(default_factory=list)
    acknowledge: list[float] = field(default_factory=list)
    report: list[float] = field(default_factory=list)
    merge: list[float] = field(default_factory=list)
    count: list[float] = field(default_factory=list)
    report_bytes: list[int] = field(default_factory=list)
    messages: int = 0
    sent_bytes: int = 0


def measure() -> list[Figure]:
    """Measure flushing, applying and counting; takes about a quarter of a minute."""
    with _sink() as write:
        balancers = _flush_changes(write, SUBSCRIBERS)
        mixed = _flush_changes(write, BALANCERS_OF_MIXED)
    return [
        *_flush_figures("distribution.5000-balancers", balancers),
        *_flush_figures("distribution.1000-balancers-4000-agents", mixed),
        *_in_force_figures(balancers),
        _measure_follower(),
    ]


def _flush_changes(write: Callable[[bytes], int], balancers: int) -> FlushTimes:
    """Publish changes to `SUBSCRIBERS`, of which `balancers` are balancers; time each part."""
    replica = _Replica(balancers)
    times = FlushTimes()
    ledger = InForceLedger(replica.now)
    ledger.start_term(TERM, replica.now)
    reporter = SubscriberReporter(replica.now, first_sequence=1)
    for number in range(CHANGES):
        replica.change(number)
        started = time.perf_counter()
        payloads = replica.publish(write)
        times.flush.append(time.perf_counter() - started)
        times.messages += len(payloads)
        times.sent_bytes += sum(map(len, payloads))
        times.bare.append(_bare_flush(replica.last_delta(), payloads, write))
        times.acknowledge.append(replica.acknowledge_all())
        _count_in_force(replica, reporter, ledger, times)
    return times


def _bare_flush(delta: Delta, payloads: list[bytes], write: Callable[[bytes], int]) -> float:
    started = time.perf_counter()
    codec.encode(delta)
    for payload in payloads:
        write(payload)
    return time.perf_counter() - started


def _count_in_force(
    replica: _Replica, reporter: SubscriberReporter, ledger: InForceLedger, times: FlushTimes
) -> None:
    """Time a replica's report, its merge by the leader, and the count there."""
    started = time.perf_counter()
    links = replica.core.links()
    report = reporter.report(links, LEADER, TERM, replica.revision, replica.now)
    reported = time.perf_counter()
    times.report_bytes.append(len(codec.encode(report)))
    merge_started = time.perf_counter()
    assert ledger.record_report(REPLICA, report, replica.now)
    merged = time.perf_counter()
    answer = ledger.in_force(replica.revision, {REPLICA: 0.0}, replica.now)
    counted = time.perf_counter()
    assert answer.complete, answer
    times.report.append(reported - started)
    times.merge.append(merged - merge_started)
    times.count.append(counted - merged)


def _write(effects: Iterable[PublisherEffect], write: Callable[[bytes], int]) -> list[bytes]:
    payloads = [effect.payload for effect in effects if isinstance(effect, SendTo)]
    for payload in payloads:
        write(payload)
    return payloads


class _Replica:
    """A publisher core over a table; its subscribers are reduced to their revisions."""

    def __init__(self, balancers: int) -> None:
        self.now = 0.0
        self.revision = 1
        self._table = VersionedTable()
        for entry in _entries():
            self._table.upsert(entry, self.revision)
        config = PublisherConfig(silent_seconds=math.inf)
        self.core = PublisherCore(self._table, config)
        self.core.tick(self.now, 0.0)
        for subscriber_id in range(SUBSCRIBERS):
            self._open(subscriber_id, subscriber_id < balancers)
        self.acknowledge_all()

    def _open(self, subscriber_id: int, is_balancer: bool) -> None:
        role = SubscriberRole.BALANCER if is_balancer else SubscriberRole.AGENT
        address = _address(subscriber_id % (SERVICES * MEMBERS_PER_SERVICE))
        name = f"node-{subscriber_id}"
        subscribe = Subscribe(name, role, "bench", address, name, self.revision)
        assert self.core.subscriber_opened(subscriber_id, subscribe, self.now)

    def change(self, number: int) -> None:
        """Change one member of one service, `SECONDS_PER_CHANGE` after the previous change."""
        self.now += SECONDS_PER_CHANGE
        self._tick_until_idle()
        self.revision += 1
        member = _member(number % SERVICES, 0, weight=200 + number)
        assert self._table.upsert(member, self.revision)

    def publish(self, write: Callable[[bytes], int]) -> list[bytes]:
        """Write the change for every subscriber, slice by slice; return the payloads."""
        payloads = _write(self.core.table_advanced(self.now), write)
        while self.core.next_deadline() <= self.now:
            payloads += _write(self.core.tick(self.now, 0.0), write)
        assert len(payloads) == SUBSCRIBERS
        return payloads

    def _tick_until_idle(self) -> None:
        while self.core.next_deadline() <= self.now:
            self.core.tick(self.now, 0.0)

    def last_delta(self) -> Delta:
        """Return the delta of the last change as a balancer gets it."""
        changes = self._table.changes_since(self.revision - 1)
        assert isinstance(changes, Changes)
        return Delta(self.revision - 1, self.revision, changes.upserts, changes.removals)

    def acknowledge_all(self) -> float:
        """Have every subscriber acknowledge the revision; return the seconds it took."""
        message = Acknowledge(self.revision, healthy=True, open_flows=0)
        started = time.perf_counter()
        for subscriber_id in range(SUBSCRIBERS):
            self.core.message(subscriber_id, message, self.now)
        return time.perf_counter() - started


def _measure_follower() -> Figure:
    """Apply deltas of one change each to a table of full size, against decoding them only."""
    table = _entries()
    core = _connected_follower()
    core.message(Snapshot(1, 0, 1, table), 0.0)
    payloads = [
        codec.encode(Delta(revision, revision + 1, [_member(revision % SERVICES, 1, revision)], []))
        for revision in range(1, APPLIED_CHANGES + 1)
    ]
    started = time.perf_counter()
    for payload in payloads:
        core.message(FROM_PUBLISHER_DECODER.decode(payload), 0.0)
    applied = time.perf_counter() - started
    assert core.table.revision == APPLIED_CHANGES + 1
    started = time.perf_counter()
    for payload in payloads:
        FROM_PUBLISHER_DECODER.decode(payload)
    decoded = time.perf_counter() - started
    per_change = MICROSECONDS / APPLIED_CHANGES
    return Figure(
        "distribution.follower.apply",
        applied * per_change,
        "us/change",
        decoded * per_change,
        "decoding alone",
    )


def _connected_follower() -> FollowerCore:
    replica = Endpoint(AGENT_HOSTS[0], 1)
    facts = SubscriberFacts("bench", SubscriberRole.BALANCER, "bench", replica, "boot")
    core = FollowerCore(FollowerConfig(), facts, [replica], random.Random(1))
    core.tick(0.0)
    core.connected(replica, 0.0)
    return core


def _flush_figures(name: str, times: FlushTimes) -> list[Figure]:
    pairs = list(zip(times.flush, times.bare, strict=True))
    ratios = tuple(bare / flush for flush, bare in pairs)
    return [
        _time_figure(f"{name}.flush", times.flush, statistics.median(times.bare)),
        Figure(f"{name}.flush.ratio", statistics.median(ratios), "of the bare loop", 1.0, "bare"),
        Figure(f"{name}.messages", times.messages / CHANGES, "messages/change"),
        Figure(f"{name}.bytes", times.sent_bytes / times.messages, "bytes/message"),
        _time_figure(f"{name}.acknowledgements", times.acknowledge, _bare_store()),
    ]


def _in_force_figures(times: FlushTimes) -> list[Figure]:
    baseline = _bare_store()
    return [
        _time_figure("distribution.in-force.report-of-5000", times.report, baseline),
        _time_figure("distribution.in-force.merge-of-5000", times.merge, baseline),
        _time_figure("distribution.in-force.count-of-5000", times.count, baseline),
        Figure("distribution.in-force.report", statistics.median(times.report_bytes), "bytes"),
    ]


def _bare_store() -> float:
    """Store a revision for each subscriber in a dictionary: the minimum cost of accounting."""
    revisions: dict[int, int] = {}
    started = time.perf_counter()
    for subscriber_id in range(SUBSCRIBERS):
        revisions[subscriber_id] = 1
    return time.perf_counter() - started


def _time_figure(name: str, seconds: list[float], baseline: float) -> Figure:
    samples = tuple(each * MILLISECONDS for each in seconds)
    value = statistics.median(samples)
    return Figure(name, value, "ms/change", baseline * MILLISECONDS, "bare loop", samples)


def _entries() -> list[TableEntry]:
    services = [
        service_entry(number + 1, Endpoint("127.1.0.1", number + 1)) for number in range(SERVICES)
    ]
    members = [
        _member(service, member, weight=100)
        for service in range(SERVICES)
        for member in range(MEMBERS_PER_SERVICE)
    ]
    return [*services, *members, KEY]


def _member(service: int, member: int, weight: int) -> MemberEntry:
    return member_entry(_address(service * MEMBERS_PER_SERVICE + member), service + 1, weight)


def _address(number: int) -> Endpoint:
    return Endpoint(AGENT_HOSTS[0], number + 1)


@contextmanager
def _sink() -> Iterator[Callable[[bytes], int]]:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as listener,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
    ):
        listener.bind((AGENT_HOSTS[0], 0))
        sender.connect(listener.getsockname())
        yield sender.send
