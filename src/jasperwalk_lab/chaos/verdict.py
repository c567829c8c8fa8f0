"""Runs all checks on the records of a run and builds the report."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from jasperwalk_lab.chaos.api import Accepted, ChangeAnswer, Refused
from jasperwalk_lab.chaos.attribution import FlowAttribution
from jasperwalk_lab.chaos.change_checks import (
    check_in_force,
    check_order,
    check_resends,
    check_stored_outcomes,
    check_winners,
)
from jasperwalk_lab.chaos.faults import FaultRecord
from jasperwalk_lab.chaos.leaving import LeavingReport, check_leaving
from jasperwalk_lab.chaos.observations import Observations
from jasperwalk_lab.chaos.operators import ChangeHistory
from jasperwalk_lab.chaos.propagation import check_propagation
from jasperwalk_lab.chaos.refusals import check_resent_refusals
from jasperwalk_lab.chaos.report import (
    ChangeFigures,
    ChaosReport,
    check_size,
    count_faults,
    recovery_figures,
    spread,
)
from jasperwalk_lab.chaos.revisions import RevisionSample, check_revisions
from jasperwalk_lab.chaos.violations import ChaosPromise, ChaosViolation
from jasperwalk_lab.fabric_process import FlowView
from jasperwalk_lab.history import HistoryChecker, HistoryReport
from jasperwalk_lab.journal import JournalRecord
from jasperwalk_lab.operations import CallHistory


@dataclass
class FinalState:
    """State that the fleet reported after the end of all faults."""

    raced_tenant: str
    initial_revision: int
    """The raced tenant's revision before the first race."""
    tenant_revisions: dict[str, int] = field(default_factory=dict)
    """The raced tenant's revision on each replica, 0 without an answer."""
    outcomes: dict[str, dict[str, ChangeAnswer]] = field(default_factory=dict)
    """The outcome of each change, by replica."""
    table_revision: int = 0
    process_revisions: dict[str, int] = field(default_factory=dict)
    ended_processes: list[str] = field(default_factory=list)


@dataclass
class RunRecord:
    """Everything that a run recorded."""

    example: str
    seed: int
    seconds: float
    calls: CallHistory
    changes: ChangeHistory
    observations: Observations
    happened: list[FaultRecord]
    samples: list[RevisionSample]
    final: FinalState
    journal: list[JournalRecord]
    flows: list[FlowView]
    processes: int
    duration_seconds: float
    load_average_before: float = 0.0
    load_average_after: float = 0.0
    cores: int = 0


def judge(record: RunRecord) -> ChaosReport:
    """Check the record against all promises."""
    losses = record.observations.agent_losses
    attribution = FlowAttribution(record.flows, losses, record.journal)
    calls = HistoryChecker(record.journal, cause_of=attribution.cause_of).check(
        record.calls.records
    )
    leaving = check_leaving(record.observations.leaving, record.journal)
    violations = list(_violations(record, calls, leaving))
    faults = count_faults(record.happened)
    violations += check_size(calls.requests, faults)
    in_force = [each.seconds for each in record.changes.in_force if each.seconds is not None]
    return ChaosReport(
        example=record.example,
        seed=record.seed,
        seconds=record.seconds,
        violations=violations,
        violation_count=len(violations),
        faults=faults,
        requests=calls.requests,
        answered=calls.answered,
        not_run=calls.not_run,
        unknown=calls.unknown,
        broken_flows_by_cause=dict(sorted(calls.broken_by_cause.items())),
        streams_answered=calls.streams_answered,
        leaving_hosts=spread(leaving.seconds),
        in_force=spread(in_force),
        in_force_never_known=len(record.changes.in_force) - len(in_force),
        changes=_change_figures(record.changes),
        recoveries=recovery_figures(record.observations.recoveries),
        processes=record.processes,
        revision_samples=len(record.samples),
        duration_seconds=round(record.duration_seconds, 1),
        load_average_before=round(record.load_average_before, 2),
        load_average_after=round(record.load_average_after, 2),
        cores=record.cores,
    )


def _violations(
    record: RunRecord, calls: HistoryReport, leaving: LeavingReport
) -> Iterator[ChaosViolation]:
    for found in calls.violations:
        yield ChaosViolation(found.kind.value, f"{found.request_id}: {found.detail}")
    yield from check_resent_refusals(record.calls.records, record.journal)
    yield from leaving.violations
    yield from check_revisions(record.samples)
    changes = record.changes.changes
    yield from check_resends(changes)
    yield from check_winners(changes)
    yield from check_in_force(record.changes.in_force, record.happened)
    yield from check_propagation(changes, record.samples, record.happened)
    yield from check_final(record.final, record.changes)
    for fault in record.happened:
        if fault.failure is not None:
            detail = f"{fault.kind.value} {fault.target}: {fault.failure}"
            yield ChaosViolation(ChaosPromise.NOT_RECOVERED, detail)
    for process in record.final.ended_processes:
        yield ChaosViolation(ChaosPromise.PROCESS_ENDED, process)


def check_final(final: FinalState, changes: ChangeHistory) -> Iterator[ChaosViolation]:
    """Check that all processes have the same final state, with every accepted change."""
    for replica, outcomes in final.outcomes.items():
        yield from check_stored_outcomes(changes.changes, replica, outcomes)
    for revision in set(final.tenant_revisions.values()):
        yield from check_order(
            changes.changes, final.raced_tenant, final.initial_revision, revision
        )
    expected_revision = max(final.table_revision, changes.newest_revision())
    for process, revision in final.process_revisions.items():
        if revision < expected_revision:
            detail = f"{process} is at revision {revision}, not {expected_revision}, at the end"
            yield ChaosViolation(ChaosPromise.NOT_IN_FORCE, detail)


def _change_figures(history: ChangeHistory) -> ChangeFigures:
    first_answers = [change.answers[0] for change in history.changes if change.answers]
    races = {(c.tenant, c.expected) for c in history.changes if c.expected is not None}
    return ChangeFigures(
        submitted=len(history.changes),
        accepted=sum(isinstance(first, Accepted) for first in first_answers),
        refused=sum(isinstance(first, Refused) for first in first_answers),
        undecided=len(history.changes) - len(first_answers),
        resent=sum(len(change.answers) > 1 for change in history.changes),
        races=len(races),
    )
