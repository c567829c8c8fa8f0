"""The promises of the datagram plane, each checked on a soak's history."""

from __future__ import annotations

import enum
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

import msgspec

from jasperwalk_lab.soak.history import (
    HostAtEnd,
    MachineStall,
    OpeningReceived,
    RequestOutcome,
    RequestStarted,
    SoakHistory,
    ZoneOrdered,
)
from jasperwalk_lab.soak.refusal_checks import priority_violations, ran_though_refused

HOST_DRAIN_SECONDS = 0.5
"""Acknowledgements of an agent hold at once; the rest is for packets under way."""
ZONE_DRAIN_SECONDS = 4.0
"""Within this time an order holds wherever a balancer or the agent has a home."""
CONFIGURATION_SECONDS = 4.0
"""Age of an acknowledgement from which no replica may answer with an older configuration."""
UNPLANNED_FAULT_REACH_SECONDS = 6.0
"""A reset counts as planned work's where no other fault was this near before it."""
RECOVERY_SECONDS = 6.0
"""Time after the last fault in which the service comes back."""
MIN_ANSWERED_SHARE = 0.97
"""Share of the requests after that which have to be answered: one in a hundred may meet its end
of the run."""
MIN_REQUESTS_AFTER_RECOVERY = 20
MIN_FLOWS_PER_HOST = 10.0
"""New flows a host of a service on average from which one without any is left out: with flows
chosen at random that happens once in twenty thousand."""
MAX_MEMORY_GROWTH = 1.5
MEMORY_SLACK_BYTES = 24 << 20
DESCRIPTOR_SLACK = 24


class SoakPromise(enum.StrEnum):
    """What must hold."""

    AT_MOST_ONCE = "a request runs at most once"
    RIGHT_ANSWER = "an answer belongs to the request"
    RIGHT_SERVICE = "a packet reaches only hosts of its service"
    HOST_DRAINED = "a host that drains gets no new flow"
    ZONE_DRAINED = "a drained zone gets no new flow"
    WARM_UP = "a cold host gets no more flows a second than it bears"
    CONFIGURATION_KEPT = "an acknowledged configuration is read back"
    READ_AT_END = "a configuration is read back at all at the end"
    PLANNED_WORK = "planned work resets no open flow"
    BACK_IN_TIME = "service is back in time after the last fault"
    HOSTS_BACK_IN_USE = "every host gets new flows again after the last fault"
    NO_EXIT = "no process ends by itself"
    STOPS_IN_TIME = "a process ends within the grace of its stop signal"
    OTHER_WRITERS = "an announcement that names no host is not taken"
    URGENT_FIRST = "no urgent request is refused while a less urgent one is begun at its host"
    REFUSED_NOT_RUN = "what was refused as not run did not run"
    RESOURCES = "memory and descriptors return to where they were"


TIMED_PROMISES = frozenset(
    (
        SoakPromise.HOST_DRAINED,
        SoakPromise.ZONE_DRAINED,
        SoakPromise.WARM_UP,
        SoakPromise.READ_AT_END,
        SoakPromise.BACK_IN_TIME,
        SoakPromise.HOSTS_BACK_IN_USE,
        SoakPromise.STOPS_IN_TIME,
        SoakPromise.URGENT_FIRST,
    )
)
"""Promises with a time in them: a machine that stands still for seconds can break them."""
STALL_REACH_SECONDS = 10.0
"""How near to a stall of the machine a promise with a time in it may be broken by it: the longest
time in one is that until the service is back, and the look at it after that."""


class SoakViolation(msgspec.Struct, frozen=True):
    """A broken promise: when, and what was seen."""

    promise: SoakPromise
    at: float
    detail: str


Check = Callable[[SoakHistory, float], Iterator[SoakViolation]]
"""A check; the number is how many new flows a second a cold host may get."""


def check_all(history: SoakHistory, cold_flows_per_second: float) -> list[SoakViolation]:
    """Return every broken promise, in the order of time."""
    found = [each for check in CHECKS for each in check(history, cold_flows_per_second)]
    return sorted(found, key=lambda each: each.at)


def without_stall_violations(
    violations: list[SoakViolation], stalls: list[MachineStall]
) -> list[SoakViolation]:
    """Leave out promises with a time in them that were broken near a stall of the machine."""
    return [
        each
        for each in violations
        if each.promise not in TIMED_PROMISES
        or not any(abs(stall.at - each.at) <= STALL_REACH_SECONDS for stall in stalls)
    ]


def _at_most_once(history: SoakHistory, _: float) -> Iterator[SoakViolation]:
    hosts: dict[str, str] = {}
    for run in history.runs:
        first = hosts.setdefault(run.request_id, run.host_id)
        if first != run.host_id:
            detail = f"{run.request_id} at {first} and {run.host_id}"
            yield SoakViolation(SoakPromise.AT_MOST_ONCE, run.at, detail)


def _right_answer(history: SoakHistory, _: float) -> Iterator[SoakViolation]:
    for request in history.requests:
        is_answered = request.outcome is RequestOutcome.ANSWERED
        if is_answered and request.answered_id != request.request_id:
            detail = f"{request.request_id} got the answer of {request.answered_id}"
            yield SoakViolation(SoakPromise.RIGHT_ANSWER, request.at, detail)


def _right_service(history: SoakHistory, _: float) -> Iterator[SoakViolation]:
    arrived: list[OpeningReceived | RequestStarted] = [*history.openings, *history.runs]
    for seen in arrived:
        if seen.service != seen.route_service:
            detail = f"{seen.host_id} of {seen.service} got a packet for {seen.route_service}"
            yield SoakViolation(SoakPromise.RIGHT_SERVICE, seen.at, detail)


def _host_drained(history: SoakHistory, _: float) -> Iterator[SoakViolation]:
    drained_at = {each.host_id: each.at for each in history.drained}
    for opening in history.openings:
        since = drained_at.get(opening.host_id)
        if since is not None and opening.at > since + HOST_DRAIN_SECONDS:
            detail = f"{opening.host_id}, {opening.at - since:.2f} s after its acknowledgement"
            yield SoakViolation(SoakPromise.HOST_DRAINED, opening.at, detail)


def _zone_drained(history: SoakHistory, _: float) -> Iterator[SoakViolation]:
    for begins_at, ends_at, zone in _drained_spans(history):
        for opening in history.openings:
            if opening.zone == zone and begins_at < opening.at < ends_at:
                detail = f"{opening.host_id} in {zone}"
                yield SoakViolation(SoakPromise.ZONE_DRAINED, opening.at, detail)


def _drained_spans(history: SoakHistory) -> Iterator[tuple[float, float, str]]:
    """Yield from when to when each zone has to be without new flows.

    An order to restore it that is under way together with the one to drain it may come last.
    """
    for order in history.zones:
        if not order.drained or order.acknowledged_at is None:
            continue
        later = [
            max(each.sent_at, order.sent_at)
            for each in history.zones
            if each.zone == order.zone and not each.drained and _may_follow(each, order)
        ]
        yield order.acknowledged_at + ZONE_DRAIN_SECONDS, min(later, default=1e9), order.zone


def _may_follow(restore: ZoneOrdered, drain: ZoneOrdered) -> bool:
    """Tell whether an order to restore may have taken effect after one to drain."""
    if restore.acknowledged_at is not None:
        return restore.acknowledged_at > drain.sent_at
    if restore.given_up_at is None:
        return True
    return restore.given_up_at + ZONE_DRAIN_SECONDS > drain.sent_at


def _warm_up(history: SoakHistory, cold_flows_per_second: float) -> Iterator[SoakViolation]:
    times: dict[str, list[float]] = defaultdict(list)
    for opening in history.openings:
        times[opening.host_id].append(opening.at)
    for cold in history.cold:
        seen = [at for at in times[cold.host_id] if cold.begins_at <= at < cold.ends_at]
        for start in seen:
            count = sum(start <= at < start + 1.0 for at in seen)
            if count > cold_flows_per_second:
                detail = f"{cold.host_id} got {count} within a second"
                yield SoakViolation(SoakPromise.WARM_UP, start, detail)
                break


def _configuration_kept(history: SoakHistory, _: float) -> Iterator[SoakViolation]:
    for read in history.reads:
        old_enough = read.asked_at - CONFIGURATION_SECONDS
        is_last = read.asked_at >= history.ends_at
        acknowledged = [
            each.version for each in history.acknowledged if each.at <= old_enough or is_last
        ]
        newest = max(acknowledged, default=0)
        if newest and not read.is_answered:
            detail = f"no answer, {newest} was acknowledged"
            yield SoakViolation(SoakPromise.READ_AT_END, read.asked_at, detail)
        elif read.version < newest:
            detail = f"version {read.version}, {newest} was acknowledged"
            yield SoakViolation(SoakPromise.CONFIGURATION_KEPT, read.asked_at, detail)


def _planned_work(history: SoakHistory, _: float) -> Iterator[SoakViolation]:
    unplanned = [each for each in history.faults if not each.planned.is_planned]
    for reset in history.resets:
        near = [
            each
            for each in unplanned
            if each.began_at <= reset.at
            and reset.at <= (each.ended_at or history.ends_at) + UNPLANNED_FAULT_REACH_SECONDS
        ]
        if not near:
            detail = f"{reset.flow} at {reset.host_id}"
            yield SoakViolation(SoakPromise.PLANNED_WORK, reset.at, detail)


def _last_fault_ends_at(history: SoakHistory) -> float:
    """Return when the last fault was over, or the last pressure: callers are late after it too."""
    return max((each.ended_at or each.began_at for each in history.faults), default=0.0)


def _back_in_time(history: SoakHistory, _: float) -> Iterator[SoakViolation]:
    last = _last_fault_ends_at(history)
    after = [each for each in history.requests if each.began_at > last + RECOVERY_SECONDS]
    counts = Counter(each.outcome for each in after)
    answered = counts[RequestOutcome.ANSWERED]
    if len(after) < MIN_REQUESTS_AFTER_RECOVERY or answered < MIN_ANSWERED_SHARE * len(after):
        detail = f"{answered} of {len(after)} requests, {RECOVERY_SECONDS} s after the last fault"
        yield SoakViolation(SoakPromise.BACK_IN_TIME, last + RECOVERY_SECONDS, detail)


def _hosts_back_in_use(history: SoakHistory, _: float) -> Iterator[SoakViolation]:
    last = _last_fault_ends_at(history)
    since = last + RECOVERY_SECONDS
    counts = Counter(each.host_id for each in history.openings if each.at > since)
    by_service: dict[str, list[HostAtEnd]] = defaultdict(list)
    for host in history.hosts_at_end:
        by_service[host.service].append(host)
    for hosts in by_service.values():
        flows = sum(counts[host.host_id] for host in hosts)
        if flows < MIN_FLOWS_PER_HOST * len(hosts):
            continue
        for host in hosts:
            if host.started_at <= last and not counts[host.host_id]:
                detail = f"{host.host_id}: 0 of {flows} new flows on {len(hosts)} hosts"
                yield SoakViolation(SoakPromise.HOSTS_BACK_IN_USE, since, detail)


def _no_exit(history: SoakHistory, _: float) -> Iterator[SoakViolation]:
    for name in history.ended_processes:
        yield SoakViolation(SoakPromise.NO_EXIT, history.ends_at, name)


def _stops_in_time(history: SoakHistory, _: float) -> Iterator[SoakViolation]:
    for killed in history.killed_at_stop:
        yield SoakViolation(SoakPromise.STOPS_IN_TIME, killed.at, killed.process)


def _other_writers(history: SoakHistory, _: float) -> Iterator[SoakViolation]:
    for taken in history.unusable_taken:
        detail = f"{taken.agent} took {taken.body!r}"
        yield SoakViolation(SoakPromise.OTHER_WRITERS, taken.at, detail)


def _urgent_first(history: SoakHistory, _: float) -> Iterator[SoakViolation]:
    for broken in priority_violations(history):
        started = ", ".join(f"{count} at {host}" for host, count in broken.counts.items())
        detail = f"{broken.refused.request_id}; less urgent ones begun after it: {started}"
        yield SoakViolation(SoakPromise.URGENT_FIRST, broken.refused.at, detail)


def _refused_not_run(history: SoakHistory, _: float) -> Iterator[SoakViolation]:
    for ran in ran_though_refused(history):
        detail = f"{ran.refused.request_id} at {ran.host_id}, refused at {ran.refused.at:.2f}"
        yield SoakViolation(SoakPromise.REFUSED_NOT_RUN, ran.at, detail)


def _resources(history: SoakHistory, _: float) -> Iterator[SoakViolation]:
    for use in history.uses:
        most_bytes = use.first_bytes * MAX_MEMORY_GROWTH + MEMORY_SLACK_BYTES
        if use.last_bytes > most_bytes:
            detail = f"{use.process}: {use.first_bytes >> 20} MB, then {use.last_bytes >> 20} MB"
            yield SoakViolation(SoakPromise.RESOURCES, history.ends_at, detail)
        if use.last_descriptors > use.first_descriptors + DESCRIPTOR_SLACK:
            detail = (
                f"{use.process}: {use.first_descriptors} descriptors, then {use.last_descriptors}"
            )
            yield SoakViolation(SoakPromise.RESOURCES, history.ends_at, detail)


CHECKS: tuple[Check, ...] = (
    _at_most_once,
    _right_answer,
    _right_service,
    _host_drained,
    _zone_drained,
    _warm_up,
    _configuration_kept,
    _planned_work,
    _back_in_time,
    _hosts_back_in_use,
    _no_exit,
    _stops_in_time,
    _other_writers,
    _urgent_first,
    _refused_not_run,
    _resources,
)
