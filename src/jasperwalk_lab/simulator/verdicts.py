"""The promises, checked on the record of a run; each finding is one line of text."""

from __future__ import annotations

import itertools
import math
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from jasperwalk.control.state.commands import SetTenant
from jasperwalk.control.state.configuration_refusals import RevisionMismatch
from jasperwalk.control.state.outcomes import Accepted, Outcome
from jasperwalk_lab.history import HistoryChecker, HistoryReport, ViolationKind
from jasperwalk_lab.journal import JournalRecord
from jasperwalk_lab.operations import BreakReason, Broken, CallRecord
from jasperwalk_lab.simulator.backend import Arrival
from jasperwalk_lab.simulator.linearizability import (
    AcceptedAt,
    ChangeResult,
    Open,
    Operation,
    ReadAt,
    RefusedAt,
    find_order,
)
from jasperwalk_lab.simulator.record import Change, DrainSpan, Record

IN_FORCE_SECONDS = 10.0
"""Longest time until an accepted change is in force on a balancer that nothing disturbs."""
DRAINED_SECONDS = 5.0
"""Time after which a leaving host gets no new work."""
CERTAINLY_NOT_APPLIED = frozenset({"no-leader", "proposal-lost", "overloaded"})


@dataclass
class Measures:
    """Virtual seconds, one value for each occasion of a run.

    New work and changes count from the first sending of the change, or from the platform's word.
    """

    until_no_new_work: list[float] = field(default_factory=list)
    until_in_force: list[float] = field(default_factory=list)
    until_leader_replaced: list[float] = field(default_factory=list)
    until_current_after_restart: list[float] = field(default_factory=list)


def check_changes(changes: Iterable[Change], final: dict[str, int]) -> Iterator[str]:
    """Check operators' changes: one outcome each, and a linearizable history of each tenant.

    `final` holds the tenants' revisions after the run.
    """
    by_tenant: defaultdict[str, list[Operation]] = defaultdict(list)
    for change in changes:
        if len(set(change.outcomes)) > 1:
            yield f"two-outcomes: change {change.change_id}: {change.outcomes}"
        if isinstance(change.command, SetTenant):
            operation = _operation_of(change, change.command)
            if operation is not None:
                by_tenant[change.command.name].append(operation)
    for tenant, operations in sorted(by_tenant.items()):
        end = max(_ends(operations)) + 1.0
        read = Operation("final read", end, end, None, ReadAt(final.get(tenant, 0)))
        if find_order([*operations, read], initial=0) is None:
            yield f"not-linearizable: changes of tenant {tenant}"


def _ends(operations: list[Operation]) -> list[float]:
    return [each.invoked if math.isinf(each.completed) else each.completed for each in operations]


def _operation_of(change: Change, command: SetTenant) -> Operation | None:
    """Make one operation of a change with all its attempts; None where it had no effect."""
    if not change.attempts:
        return None
    invoked = change.attempts[0].invoked
    result: ChangeResult = Open()
    completed = math.inf
    for attempt in change.attempts:
        if attempt.outcome is None:
            continue
        completed = attempt.completed
        match attempt.outcome:
            case Accepted(subject_revision=revision):
                result = AcceptedAt(revision)
            case RevisionMismatch(current=current):
                result = RefusedAt(current)
            case _:
                return None
        break
    if isinstance(result, Open) and _certainly_had_no_effect(change):
        return None
    return Operation(change.change_id, invoked, completed, command.expected_revision, result)


def _certainly_had_no_effect(change: Change) -> bool:
    return all(attempt.refusal in CERTAINLY_NOT_APPLIED for attempt in change.attempts)


def check_outcomes_kept(
    changes: Iterable[Change], replica: str, found: dict[str, Outcome | None]
) -> Iterator[str]:
    """Check on one replica, after the run, that every change has the outcome it was told.

    `found` holds the replica's outcome of each change ID.
    """
    for change in changes:
        kept = found.get(change.change_id)
        for reported in change.outcomes:
            if kept != reported:
                yield f"accepted-lost: {change.change_id} on {replica}: told {reported}, kept {kept}"
        if kept is not None and not change.outcomes and _certainly_had_no_effect(change):
            yield f"refused-but-applied: {change.change_id} on {replica}"


def check_calls(
    record: Record, journal: Iterable[JournalRecord]
) -> tuple[HistoryReport, list[str]]:
    """Check callers' requests against what back ends ran."""
    calls = [
        call
        for call in record.calls
        if not (
            isinstance(call.outcome, Broken) and call.outcome.reason is BreakReason.NOT_CONNECTED
        )
    ]
    entries = list(journal)
    hosts: defaultdict[str, set[str]] = defaultdict(set)
    for entry in entries:
        hosts[entry.request_id].add(entry.host)
    excused = {
        call.request_id for call in calls if _is_excused(record, call, hosts[call.request_id])
    }
    report = HistoryChecker(entries).check(calls)
    findings = [
        f"{each.kind}: {each.request_id}: {each.detail}"
        for each in report.violations
        if each.kind is not ViolationKind.BROKEN_FLOW or each.request_id not in excused
    ]
    return report, findings


def _is_excused(record: Record, call: CallRecord, ran_at: set[str]) -> bool:
    """Tell whether a flow broke while its host was down, frozen or stalled: no planned change.

    `ran_at` are the hosts that the request reached, which may differ from the flow's.

    The planned end of a host's flows excuses only what was invoked after it, or crossed it.
    """
    outcome = call.outcome
    if not isinstance(outcome, Broken) or not outcome.host:
        return False
    if record.ended_as_planned(outcome.host, call.invoked):
        return True
    hosts = {outcome.host, *ran_at}
    return any(record.disturbed(host, call.invoked, call.completed) for host in hosts)


def check_drains(
    record: Record, arrivals: dict[str, list[Arrival]], measures: Measures
) -> Iterator[str]:
    """Check that a leaving host gets no new work after a few seconds."""
    for drain in record.drains:
        if record.disturbed(drain.host, drain.begin, min(drain.end, drain.begin + 60.0)):
            continue
        times = [
            arrival.at - drain.begin
            for arrival in arrivals.get(drain.host, [])
            if drain.begin <= arrival.at < drain.end
        ]
        if drain.end - drain.begin > DRAINED_SECONDS:
            until_accepted = drain.begin - drain.asked_at
            early = [
                arrival.at - drain.asked_at
                for arrival in arrivals.get(drain.host, [])
                if drain.asked_at <= arrival.at < drain.begin
            ]
            late = [until_accepted + seconds for seconds in times]
            measures.until_no_new_work.append(max([*early, *late], default=0.0))
        yield from _check_no_late_work(drain, times)


def _check_no_late_work(drain: DrainSpan, times: list[float]) -> Iterator[str]:
    late = [seconds for seconds in times if seconds > DRAINED_SECONDS]
    if late:
        yield f"new-work-while-leaving: {drain.host} {max(late):.2f} s after its drain"


def check_in_force(
    record: Record, balancers: Iterable[str], controls: list[str], measures: Measures, end: float
) -> Iterator[str]:
    """Check that accepted changes are in force in seconds wherever nothing is disturbed.

    A majority of the control machines has to be undisturbed for that time, too.
    """
    names = list(balancers)
    for change in record.changes:
        for attempt in change.attempts:
            if not isinstance(attempt.outcome, Accepted):
                continue
            begin, revision = attempt.completed, attempt.outcome.revision
            until = begin + IN_FORCE_SECONDS
            undisturbed = [name for name in controls if not record.disturbed(name, begin, until)]
            if 2 * len(undisturbed) <= len(controls) or until > end:
                continue
            for name in names:
                if record.disturbed(name, begin, until):
                    continue
                seconds = _seconds_until(record, name, revision, begin)
                if seconds > IN_FORCE_SECONDS:
                    yield f"not-in-force: revision {revision} on {name} after {IN_FORCE_SECONDS} s"
                else:
                    asked_at = change.attempts[0].invoked
                    measures.until_in_force.append(_seconds_until(record, name, revision, asked_at))


def _seconds_until(record: Record, name: str, revision: int, begin: float) -> float:
    reached = (mark.at for mark in record.table_revisions[name] if mark.revision >= revision)
    return max(0.0, next(reached, math.inf) - begin)


def measure_leader_gaps(record: Record, controls: list[str], measures: Measures) -> None:
    """Take the times without a leader while a majority of the control machines was well."""
    for gap in record.leader_gaps:
        undisturbed = [name for name in controls if not record.disturbed(name, gap.begin, gap.end)]
        if 2 * len(undisturbed) > len(controls):
            measures.until_leader_replaced.append(gap.end - gap.begin)


def measure_catch_up(record: Record, measures: Measures) -> None:
    """Take the times until a restarted balancer or agent had what control had at its start."""
    for restart in record.restarts:
        reached = [
            mark.at - restart.at
            for mark in record.table_revisions.get(restart.host, [])
            if mark.at >= restart.at and mark.revision >= restart.revision
        ]
        if reached:
            measures.until_current_after_restart.append(reached[0])


def check_revisions(record: Record) -> Iterator[str]:
    """Check that no process goes back to an older revision; a start begins at 0."""
    for name, table_revisions in sorted(record.table_revisions.items()):
        for before, after in itertools.pairwise(table_revisions):
            if 0 < after.revision < before.revision:
                yield f"revision-went-back: {name} from {before.revision} to {after.revision}"
