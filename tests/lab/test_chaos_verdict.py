"""The verdict of a run: no violation in a good record, and each kind of broken promise found."""

from __future__ import annotations

import dataclasses

import pytest

from jasperwalk_lab.chaos.api import Accepted, NotDecided, Refused
from jasperwalk_lab.chaos.faults import FaultKind, FaultRecord
from jasperwalk_lab.chaos.observations import AgentLoss, LeavingPeriod, Observations
from jasperwalk_lab.chaos.operators import ChangeHistory, InForceTime, SubmittedChange
from jasperwalk_lab.chaos.report import MIN_REQUESTS
from jasperwalk_lab.chaos.revisions import RevisionSample
from jasperwalk_lab.chaos.verdict import FinalState, RunRecord, judge
from jasperwalk_lab.chaos.violations import ChaosPromise
from jasperwalk_lab.fabric_process import FlowView
from jasperwalk_lab.history import ViolationKind
from jasperwalk_lab.journal import JournalRecord, RunOutcome
from jasperwalk_lab.operations import (
    Answered,
    BreakReason,
    Broken,
    CallHistory,
    CallRecord,
    Flow,
    Lookup,
    NotRun,
    Submission,
    Unknown,
)

LOOKUP = Lookup(query="naslov")
SUBMISSION = Submission(body=b"Ana, Marko")
HOST, AGENT, PORT = "u-1", "127.0.0.1:7100", 5000
BROKEN = Broken(BreakReason.TIMED_OUT)
KINDS = (
    FaultKind.HOST_LOST,
    FaultKind.BALANCER_KILLED,
    FaultKind.CONTROL_CUT,
    FaultKind.AGENT_FROZEN,
)


def call(request_id, outcome=None, operation=LOOKUP, invoked=10.0):
    body = operation.expected("urednik", request_id)
    outcome = outcome or Answered(200, "urednik", request_id, HOST, body)
    flow = Flow(caller_port=PORT, opened=9.0)
    return CallRecord(request_id, "urednik", operation, invoked, 20.0, outcome, flow)


def ran(request_id, service="urednik", at=10.5):
    return JournalRecord(request_id, service, HOST, "/x", RunOutcome.COMPLETED, ran_at=at)


def change(change_id, expected, *answers):
    return SubmittedChange(change_id, "godisnjak", expected, 64, 1.0, 2.0, list(answers))


WON = change("c-1", 3, Accepted(7, 7), Accepted(7, 7))
LOST = change("c-2", 3, Refused("revision-mismatch", 7))


def good_record():
    outcomes = {each.change_id: each.answers[0] for each in (WON, LOST)}
    return RunRecord(
        example="zagreb",
        seed=1,
        seconds=40.0,
        calls=CallHistory([call(f"a-{number}") for number in range(MIN_REQUESTS)]),
        changes=ChangeHistory([WON, LOST], [InForceTime("c-1", 0.5, accepted=2.0, ended=2.5)]),
        observations=Observations(),
        happened=[FaultRecord(kind, "x", 1.0, 2.0) for kind in KINDS],
        samples=[RevisionSample("balancer-1", at, at + 5) for at in (1, 2)],
        final=FinalState(
            raced_tenant="godisnjak",
            initial_revision=3,
            tenant_revisions={"control-1": 7},
            outcomes={"control-1": outcomes},
            table_revision=7,
            process_revisions={"balancer-1": 7},
        ),
        journal=[ran(f"a-{number}") for number in range(MIN_REQUESTS)],
        flows=[FlowView(PORT, AGENT, 9.1)],
        processes=3,
        duration_seconds=50.0,
    )


def with_calls(*records, journal=()):
    def spoil(record):
        record.calls.records.extend(records)
        record.journal.extend(journal)

    return spoil


def with_changes(*changes):
    """Add changes whose first answers control has stored."""

    def spoil(record):
        record.changes.changes.extend(changes)
        kept = {each.change_id: each.answers[0] for each in changes}
        record.final.outcomes["control-1"].update(kept)

    return spoil


def spoil_leaving(record):
    record.observations.leaving.append(LeavingPeriod(HOST, "host-drained", 4.0, 12.0))


def spoil_samples(record):
    record.samples.append(RevisionSample("balancer-1", 3, 6))


def spoil_in_force_reports(record):
    words = ("127.0.0.1:1: no answer",)
    fault = FaultRecord(FaultKind.CONTROL_KILLED, "control-1", 8.0, 9.0)
    record.happened.append(fault)
    waits = {"c-1": 18.5, "c-2": 19.5}  # the limit is ten seconds after the end of the fault
    for change_id, ended in waits.items():
        record.changes.in_force.append(InForceTime(change_id, None, 2.0, ended, words))


def spoil_propagation(record):
    record.happened.append(FaultRecord(FaultKind.BALANCER_FROZEN, "balancer-1", 5.0, 8.0))
    record.samples = [RevisionSample("balancer-1", at, 6) for at in (1.0, 17.5, 18.5)]


def spoil_propagation_without_excuse(record):
    record.happened.append(FaultRecord(FaultKind.BALANCER_CUT, "balancer-1", 5.0, 8.0))
    record.samples = [RevisionSample("balancer-1", at, 6) for at in (1.0, 17.5)]


def spoil_final_revision(record):
    record.final.process_revisions["agent-u-1"] = 6


def spoil_stored_outcome(record):
    record.final.outcomes["control-1"]["c-2"] = NotDecided("status 0")


def spoil_tenant(record):
    record.final.tenant_revisions["control-2"] = 3


def spoil_fault(record):
    record.happened.append(FaultRecord(KINDS[0], "x", 1.0, 2.0, failure="not healthy in time"))


def spoil_process(record):
    record.final.ended_processes.append("agent-u-1")


def spoil_requests(record):
    del record.calls.records[0]


def spoil_kinds(record):
    del record.happened[0]


def spoil_loss(record):
    """Break a flow whose agent was lost only after the flow had ended: no excuse."""
    record.calls.add(call("b", BROKEN))
    record.observations.agent_losses.append(AgentLoss(AGENT, HOST, 30.0, "agent-killed"))


BAD = [
    (ViolationKind.BROKEN_FLOW, with_calls(call("b", BROKEN))),
    (ViolationKind.BROKEN_FLOW, spoil_loss),
    (ViolationKind.WRONG_SERVICE, with_calls(call("b"), journal=[ran("b", "export-svc")])),
    (ViolationKind.WRONG_ANSWER, with_calls(call("b"))),
    (ViolationKind.NOT_RUN_BUT_RAN, with_calls(call("b", NotRun(1.0)), journal=[ran("b")])),
    (
        ChaosPromise.NOT_RUN_BUT_RAN,
        with_calls(
            call("b", operation=SUBMISSION),
            call("b", NotRun(1.0), SUBMISSION, invoked=11.0),
            journal=[ran("b")],
        ),
    ),
    (
        ViolationKind.RAN_TWICE,
        with_calls(call("b", Unknown(504), SUBMISSION), journal=[ran("b"), ran("b", at=12.0)]),
    ),
    (ChaosPromise.WORK_ON_LEAVING_HOST, spoil_leaving),
    (ChaosPromise.REVISION_WENT_BACK, spoil_samples),
    (ChaosPromise.NOT_KNOWN_IN_FORCE, spoil_in_force_reports),
    (ChaosPromise.NOT_IN_FORCE, spoil_propagation),
    (ChaosPromise.NOT_IN_FORCE, spoil_propagation_without_excuse),
    (ChaosPromise.NOT_IN_FORCE, spoil_final_revision),
    (ChaosPromise.CHANGE_LOST, spoil_stored_outcome),
    (ChaosPromise.NOT_LINEARIZABLE, spoil_tenant),
    (ChaosPromise.TWO_WINNERS, with_changes(change("c-3", 3, Accepted(7, 7)))),
    (
        ChaosPromise.RESEND_DIFFERS,
        with_changes(change("c-3", 3, Refused("revision-mismatch", 7), Accepted(7, 7))),
    ),
    (ChaosPromise.NOT_RECOVERED, spoil_fault),
    (ChaosPromise.PROCESS_ENDED, spoil_process),
    (ChaosPromise.TOO_FEW_REQUESTS, spoil_requests),
    (ChaosPromise.TOO_FEW_FAULTS, spoil_kinds),
]


def test_a_good_record_has_no_violation():
    report = judge(good_record())
    assert report.violations == []
    assert (report.requests, report.answered) == (MIN_REQUESTS, MIN_REQUESTS)
    assert (report.changes.accepted, report.changes.refused) == (1, 1)


@pytest.mark.parametrize(("kind", "spoil"), BAD, ids=lambda case: getattr(case, "value", ""))
def test_each_broken_promise_is_found(kind, spoil):
    record = good_record()
    spoil(record)
    report = judge(record)
    assert kind in {violation.kind for violation in report.violations}
    assert report.violation_count == len(report.violations) > 0


def test_time_counts_from_the_end_of_a_fault_that_kept_a_process_away():
    record = good_record()
    spoil_propagation(record)
    record.samples.pop()
    spoil_in_force_reports(record)
    report = judge(record)
    assert [found.detail.split()[0] for found in report.violations] == ["c-2"]
    assert (report.in_force.count, report.in_force_never_known) == (1, 2)


def test_every_kind_has_a_bad_record():
    assert {kind.value for kind, _ in BAD} == {*ChaosPromise, *ViolationKind}


def test_a_flow_on_a_killed_agent_is_counted_by_its_cause():
    record = good_record()
    record.calls.add(call("b", BROKEN))
    loss = AgentLoss(AGENT, HOST, 12.0, FaultKind.AGENT_KILLED.value)
    record = dataclasses.replace(record, observations=Observations(agent_losses=[loss]))
    report = judge(record)
    assert report.violations == []
    assert report.broken_flows_by_cause == {"agent-killed": 1}
