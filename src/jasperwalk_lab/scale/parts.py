"""Parts of control and of the nodes measured alone, at the size of one target region.

The slopes of the scale run say what grows with what; these say directly what single pieces
cost at a size that one machine cannot run whole.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Callable

import msgspec
import psutil

from jasperwalk.config.table import (
    AdminState,
    HealthMonitor,
    MemberEntry,
    Objective,
    OperatingStatus,
    ServiceEntry,
    ServiceLimits,
    TableEntry,
)
from jasperwalk.control.in_force import InForceLedger
from jasperwalk.control.peer_messages import PEER_DECODER
from jasperwalk.control.subscriber_reports import (
    ReportedSubscriber,
    SubscriberCondition,
    SubscriberKey,
    SubscriberReport,
)
from jasperwalk.distribution.follower_table import FollowerTable
from jasperwalk.membership.liveness import AgentObservation, LivenessConfig, LivenessTracker
from jasperwalk.membership.platform import (
    PlatformReconciler,
    ReconcilerConfig,
    parse_platform_list,
)
from jasperwalk.messages import codec
from jasperwalk.messages.distribution import (
    FROM_PUBLISHER_DECODER,
    Delta,
    Snapshot,
    SubscriberRole,
)
from jasperwalk.routing.candidates import CandidateIndex
from jasperwalk_lab.platform_list import ListedMachine, MachineListAnswer, MachineState
from jasperwalk_lab.scale.plan import (
    AGENT_NETWORK,
    AGENT_PORT,
    FIRST_WEIGHT,
    LISTENER_NETWORK,
    LISTENER_PORT,
    SLOTS,
    ZONES,
    numbered_address,
)

PART_ENTRIES = 128
"""Entries of one part of a snapshot, as the publisher sends them."""
REPETITIONS = 5


class ReportPart(msgspec.Struct, frozen=True):
    """One replica's whole report of its subscribers to the leader: bytes and processor time."""

    sightings: int
    report_bytes: int
    encode_seconds: float
    decode_seconds: float
    merge_seconds: float


class TablePart(msgspec.Struct, frozen=True):
    """A balancer takes a whole table: bytes sent, processor time, memory held.

    `candidates_unshared_bytes` is what the table's members take up once more, prepared for
    choosing, when every service has been asked for.
    """

    entries: int
    snapshot_bytes: int
    decode_seconds: float
    unshared_bytes: int
    candidates_unshared_bytes: int


class ZonePart(msgspec.Struct, frozen=True):
    """Every member of a zone changes its status in one delta to one balancer."""

    members: int
    delta_bytes: int
    encode_seconds: float
    apply_seconds: float


class JudgePart(msgspec.Struct, frozen=True):
    """The leader judges the liveness of all members once: processor time."""

    members: int
    seconds: float


class PlatformPart(msgspec.Struct, frozen=True):
    """The leader takes one poll of the platform's list: bytes and processor time."""

    machines: int
    list_bytes: int
    seconds: float


class Parts(msgspec.Struct, frozen=True):
    """All parts."""

    table: TablePart
    zone: ZonePart
    report: ReportPart
    judge: JudgePart
    platform_list: PlatformPart


def measure_parts(*, subscribers: int, members: int, services: int, zone_members: int) -> Parts:
    """Measure all parts in this process, the table first: memory let go would hide its own."""
    return Parts(
        table=_measure_table(members, services),
        zone=_measure_zone(members, services, zone_members),
        report=_measure_report(subscribers),
        judge=_measure_judge(members, services),
        platform_list=_measure_platform_list(members, services),
    )


def _measure_report(subscribers: int) -> ReportPart:
    """Measure a whole report, the largest: what a new leader gets of every replica."""
    report = _whole_report(subscribers)
    payload = codec.encode(report)
    return ReportPart(
        sightings=subscribers,
        report_bytes=len(payload),
        encode_seconds=_least_seconds(lambda: codec.encode(report)),
        decode_seconds=_least_seconds(lambda: PEER_DECODER.decode(payload)),
        merge_seconds=_least_seconds(lambda: _ledger_of(report).current(1.0)),
    )


def _whole_report(subscribers: int) -> SubscriberReport:
    condition = SubscriberCondition(incarnation=1, healthy=True, open_flows=1_800)
    reported = [
        ReportedSubscriber(
            number=number,
            key=SubscriberKey(
                role=SubscriberRole.AGENT,
                name=f"host-{number:06d}",
                address=numbered_address(AGENT_NETWORK, number, AGENT_PORT),
            ),
            condition=condition,
        )
        for number in range(subscribers)
    ]
    return SubscriberReport(
        term=1,
        sequence=0,
        whole=True,
        revision=100_000,
        recorded_ms=60_000,
        common_revision=100_000,
        changed=reported,
        forgotten=[],
        groups=[],
        silent=[],
    )


def _ledger_of(report: SubscriberReport) -> InForceLedger:
    ledger = InForceLedger(0.0)
    ledger.lead(report.term, 0.0)
    ledger.take(1, report, 1.0)
    return ledger


def _measure_judge(members: int, services: int) -> JudgePart:
    entries = _members(members, services)
    ledger = _ledger_of(_whole_report(members))
    tracker = LivenessTracker(LivenessConfig())

    def judge() -> None:
        # As `LeaderDuties` does it at every step.
        for sighting in ledger.current(1.0):
            observation = AgentObservation(
                address=sighting.address,
                incarnation=sighting.incarnation,
                healthy=sighting.healthy,
                silence_seconds=1.0 - sighting.seen_at,
            )
            tracker.observe(observation, 1.0)
        tracker.evaluate(entries, 1.0)

    return JudgePart(members=members, seconds=_least_seconds(judge))


def _measure_table(members: int, services: int) -> TablePart:
    entries: list[TableEntry] = [*_members(members, services), *_services(services)]
    chunks = [entries[at : at + PART_ENTRIES] for at in range(0, len(entries), PART_ENTRIES)]
    parts = [
        codec.encode(Snapshot(revision=1, part=number, parts=len(chunks), entries=chunk))
        for number, chunk in enumerate(chunks)
    ]
    before = _unshared_bytes()
    table = FollowerTable()
    seconds = _seconds(lambda: _take(table, parts))
    with_table = _unshared_bytes()
    candidates = CandidateIndex(table)
    for number in range(services):
        candidates.contenders(number + 1)
    return TablePart(
        entries=len(entries),
        snapshot_bytes=sum(len(part) for part in parts),
        decode_seconds=seconds,
        unshared_bytes=with_table - before,
        candidates_unshared_bytes=_unshared_bytes() - with_table,
    )


def _unshared_bytes() -> int:
    gc.collect()
    return int(psutil.Process().memory_full_info().uss)


def _measure_zone(members: int, services: int, zone_members: int) -> ZonePart:
    entries = _members(members, services)
    table = FollowerTable()
    table.replace(1, [*entries, *_services(services)])
    offline: list[TableEntry] = [
        msgspec.structs.replace(entry, operating_status=OperatingStatus.OFFLINE)
        for entry in entries[:zone_members]
    ]
    delta = Delta(base_revision=1, revision=2, upserts=offline, removals=[])
    payload = codec.encode(delta)

    def apply() -> None:
        message = FROM_PUBLISHER_DECODER.decode(payload)
        if isinstance(message, Delta):
            table.update(message.revision, message.upserts, message.removals)

    return ZonePart(
        members=zone_members,
        delta_bytes=len(payload),
        encode_seconds=_least_seconds(lambda: codec.encode(delta)),
        apply_seconds=_least_seconds(apply),
    )


def _take(table: FollowerTable, parts: list[bytes]) -> None:
    entries: list[TableEntry] = []
    for part in parts:
        message = FROM_PUBLISHER_DECODER.decode(part)
        if isinstance(message, Snapshot):
            entries.extend(message.entries)
    table.replace(1, entries)


def _measure_platform_list(members: int, services: int) -> PlatformPart:
    entries = _members(members, services)
    machines = [
        ListedMachine(
            host=entry.host, address=str(entry.address), zone=entry.zone, state=MachineState.LIVE
        )
        for entry in entries
    ]
    document = msgspec.json.encode(MachineListAnswer(version=1, machines=machines))
    reconciler = PlatformReconciler(ReconcilerConfig())
    reconciler.reconcile(parse_platform_list(document), entries)
    seconds = _least_seconds(lambda: reconciler.reconcile(parse_platform_list(document), entries))
    return PlatformPart(machines=members, list_bytes=len(document), seconds=seconds)


def _members(members: int, services: int) -> list[MemberEntry]:
    return [
        MemberEntry(
            address=numbered_address(AGENT_NETWORK, number, AGENT_PORT),
            service_id=number % services + 1,
            host=f"host-{number:06d}",
            zone=ZONES[number % len(ZONES)],
            weight=FIRST_WEIGHT,
            slots=SLOTS,
            admin_state=AdminState.ENABLED,
            operating_status=OperatingStatus.ONLINE,
            incarnation=1,
        )
        for number in range(members)
    ]


def _services(services: int) -> list[ServiceEntry]:
    limits = ServiceLimits(
        queue_length=64, queue_wait_ms=500, request_deadline_ms=30_000, slow_start_ms=5_000
    )
    monitor = HealthMonitor(
        path="/health", interval_ms=1_000, timeout_ms=500, failures_to_offline=3
    )
    return [
        ServiceEntry(
            service_id=number + 1,
            name="lookups",
            tenant=f"tenant-{number:05d}",
            listener=numbered_address(LISTENER_NETWORK, number, LISTENER_PORT),
            objective=Objective.LEAST_IMBALANCE,
            limits=limits,
            health_monitor=monitor,
        )
        for number in range(services)
    ]


def _least_seconds(action: Callable[[], object]) -> float:
    return min(_seconds(action) for _ in range(REPETITIONS))


def _seconds(action: Callable[[], object]) -> float:
    """Return the processor time of one call."""
    began = time.process_time()
    action()
    return time.process_time() - began
