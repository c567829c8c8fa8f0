"""The checks of a run, on histories that are known to be correct or incorrect."""

import pytest

from jasperwalk.control.state.commands import SetTenant
from jasperwalk.control.state.outcomes import Accepted, RevisionMismatch
from jasperwalk_lab.journal import JournalRecord, RunOutcome
from jasperwalk_lab.operations import (
    Answered,
    BreakReason,
    Broken,
    CallRecord,
    LongStream,
    Lookup,
    NotRun,
    Submission,
    Unknown,
)
from jasperwalk_lab.simulator.backend import Arrival
from jasperwalk_lab.simulator.linearizability import (
    AcceptedAt,
    Open,
    Operation,
    ReadAt,
    RefusedAt,
    find_order,
)
from jasperwalk_lab.simulator.minimization import kind_of
from jasperwalk_lab.simulator.record import (
    Attempt,
    Change,
    DrainSpan,
    Interval,
    Record,
    TableRevision,
)
from jasperwalk_lab.simulator.verdicts import (
    Measures,
    check_calls,
    check_changes,
    check_drains,
    check_in_force,
    check_outcomes_kept,
    check_revisions,
)

INFINITE = float("inf")


def op(name, invoked, completed, expected, result):
    return Operation(name, invoked, completed, expected, result)


ORDERS = {
    "one after the other": (
        True,
        [op("a", 0, 1, 0, AcceptedAt(5)), op("b", 2, 3, 5, AcceptedAt(6))],
    ),
    "a race with one winner": (
        True,
        [op("a", 0, 3, 0, AcceptedAt(5)), op("b", 1, 2, 0, RefusedAt(5))],
    ),
    "a lost answer that took effect": (
        True,
        [op("a", 0, INFINITE, 0, Open()), op("b", 1, 2, 7, AcceptedAt(9))],
    ),
    "a race with two winners": (
        False,
        [op("a", 0, 3, 0, AcceptedAt(5)), op("b", 1, 2, 0, AcceptedAt(6))],
    ),
    "refused by a revision that came later": (
        False,
        [op("a", 0, 1, 0, RefusedAt(5)), op("b", 2, 3, 0, AcceptedAt(5))],
    ),
    "accepted against a revision that was replaced before": (
        False,
        [
            op("a", 0, 1, 0, AcceptedAt(5)),
            op("b", 2, 3, None, AcceptedAt(6)),
            op("c", 4, 5, 5, AcceptedAt(7)),
        ],
    ),
    "an accepted change is gone at the end": (
        False,
        [op("a", 0, 1, 0, AcceptedAt(5)), op("read", 2, 2, None, ReadAt(0))],
    ),
    "an open change took effect before it was invoked": (
        False,
        [op("read", 0, 1, None, ReadAt(8)), op("a", 2, INFINITE, 0, Open())],
    ),
}


@pytest.mark.parametrize("case", ORDERS)
def test_linearizability(case):
    legal, operations = ORDERS[case]
    assert (find_order(operations, initial=0) is not None) == legal


def change(number, expected, *attempts):
    command = SetTenant(f"operator/{number}", expected, "studio-0", "studio", {})
    return Change(command, "operator", list(attempts))


def attempt(invoked, outcome, refusal=""):
    return Attempt("control-1", invoked, invoked + 0.5, outcome, refusal)


def accepted(revision):
    return Accepted(revision=revision, subject_revision=revision)


CHANGES = {
    # expected kinds of violations, changes, the tenant's revision after the run
    "resent, same outcome": (
        [],
        [change(1, 0, attempt(0, None), attempt(1, accepted(5)), attempt(2, accepted(5)))],
        5,
    ),
    "resent, another outcome": (
        ["two-outcomes"],
        [change(1, 0, attempt(0, accepted(5)), attempt(1, accepted(6)))],
        5,
    ),
    "two winners": (
        ["not-linearizable"],
        [change(1, 0, attempt(0, accepted(5))), change(2, 0, attempt(0, accepted(6)))],
        6,
    ),
    "reverted": (["not-linearizable"], [change(1, 0, attempt(0, accepted(5)))], 0),
    "refused though nothing was there": (
        ["not-linearizable"],
        [change(1, 4, attempt(0, RevisionMismatch("studio-0", 4, 9)))],
        0,
    ),
}


@pytest.mark.parametrize("case", CHANGES)
def test_changes(case):
    expected, changes, final = CHANGES[case]
    assert [kind_of(each) for each in check_changes(changes, {"studio-0": final})] == expected


@pytest.mark.parametrize(
    ("made", "kept", "expected"),
    [
        (change(1, 0, attempt(0, accepted(5))), accepted(5), []),
        (change(1, 0, attempt(0, accepted(5))), None, ["accepted-lost"]),
        (change(1, 0, attempt(0, accepted(5))), accepted(6), ["accepted-lost"]),
        (change(1, 0, attempt(0, None)), accepted(5), []),
        (change(1, 0, attempt(0, None, "no-leader")), accepted(5), ["refused-but-applied"]),
    ],
)
def test_outcomes_kept_by_a_replica(made, kept, expected):
    found = check_outcomes_kept([made], "control-1", {made.change_id: kept})
    assert [kind_of(each) for each in found] == expected


LOOKUP, SUBMISSION = Lookup("q"), Submission(b"names")


def call(identity, operation, outcome, invoked=1.0, completed=2.0):
    return CallRecord(identity, "urednik", operation, invoked, completed, outcome)


def correct_answer(identity, operation):
    body = operation.expected("urednik", identity)
    return Answered(200, "urednik", identity, "urednik-1", body)


def journal_entry(identity, host="urednik-1", service="urednik", outcome=RunOutcome.COMPLETED):
    return JournalRecord(identity, service, host, "/", outcome)


STREAM = LongStream(1.0, 250.0)
CUT = Broken(BreakReason.CONNECTION_ENDED, "urednik-1")
CALLS = {
    # expected kinds of violations, calls, journal of the backends
    "answered": ([], [call("a", LOOKUP, correct_answer("a", LOOKUP))], [journal_entry("a")]),
    "another caller's answer": (
        ["wrong-answer"],
        [call("a", LOOKUP, correct_answer("b", LOOKUP))],
        [journal_entry("a"), journal_entry("b")],
    ),
    "a part of the answer": (
        ["wrong-answer"],
        [call("a", STREAM, Answered(200, "urednik", "a", "urednik-1", b"urednik"))],
        [journal_entry("a")],
    ),
    "answered without a run": (
        ["wrong-answer"],
        [call("a", LOOKUP, correct_answer("a", LOOKUP))],
        [],
    ),
    "ran at another service": (
        ["wrong-service"],
        [call("a", LOOKUP, Unknown(504))],
        [journal_entry("a", "export-svc-1", "export-svc")],
    ),
    "not run, and did not": ([], [call("a", LOOKUP, NotRun(1.0))], []),
    "not run, shed": (
        [],
        [call("a", LOOKUP, NotRun(1.0))],
        [journal_entry("a", outcome=RunOutcome.SHED)],
    ),
    "not run, but ran": (
        ["not-run-but-ran"],
        [call("a", LOOKUP, NotRun(1.0))],
        [journal_entry("a")],
    ),
    "not run, but cancelled late": (
        ["not-run-but-ran"],
        [call("a", SUBMISSION, NotRun(1.0))],
        [journal_entry("a", outcome=RunOutcome.CANCELLED)],
    ),
    "unknown, ran twice": (
        ["ran-twice"],
        [call("a", SUBMISSION, Unknown(504))],
        [journal_entry("a"), journal_entry("a", "urednik-2")],
    ),
    "a repeatable one ran twice": (
        [],
        [call("a", LOOKUP, Unknown(504))],
        [journal_entry("a"), journal_entry("a")],
    ),
    "a cut stream": (["broken-flow"], [call("a", STREAM, CUT)], [journal_entry("a")]),
}


@pytest.mark.parametrize("case", CALLS)
def test_calls(case):
    expected, calls, journal = CALLS[case]
    _, findings = check_calls(Record(calls=calls), journal)
    assert [kind_of(each) for each in findings] == expected


@pytest.mark.parametrize(
    ("field", "span", "excused"),
    [
        ("disturbances", Interval(1.5, 3.0), True),
        ("disturbances", Interval(2.5, 3.0), False),
        ("planned_ends", Interval(0.5, 3.0), True),
        ("planned_ends", Interval(1.05, 3.0), True),
        ("planned_ends", Interval(1.5, 3.0), False),
    ],
)
def test_a_flow_may_break_with_its_host_but_not_by_a_planned_end(field, span, excused):
    record = Record(calls=[call("a", STREAM, CUT)])
    getattr(record, field)["urednik-1"].append(span)
    _, findings = check_calls(record, [journal_entry("a")])
    assert (findings == []) == excused


@pytest.mark.parametrize(("at", "expected"), [(14.0, []), (16.0, ["new-work-while-leaving"])])
def test_work_of_a_leaving_host(at, expected):
    record = Record(drains=[DrainSpan("urednik-1", 10.0, 20.0, asked_at=9.0)])
    arrivals = {"urednik-1": [Arrival(at, journal_entry("a"))]}
    found = list(check_drains(record, arrivals, Measures()))
    assert [kind_of(each) for each in found] == expected


@pytest.mark.parametrize(
    ("revisions", "expected"), [([3, 4, 0, 4], []), ([3, 5, 4], ["revision-went-back"])]
)
def test_revisions_of_a_process(revisions, expected):
    record = Record()
    record.table_revisions["balancer-1"] = [
        TableRevision(float(at), each) for at, each in enumerate(revisions)
    ]
    assert [kind_of(each) for each in check_revisions(record)] == expected


@pytest.mark.parametrize(
    ("reached_at", "cut", "expected"),
    [(3.0, None, []), (12.0, None, ["not-in-force"]), (12.0, Interval(2.0, 9.0), [])],
)
def test_changes_come_into_force(reached_at, cut, expected):
    record = Record(changes=[change(1, 0, attempt(0, accepted(5)))])
    record.table_revisions["balancer-1"] = [TableRevision(0.0, 4), TableRevision(reached_at, 5)]
    if cut is not None:
        record.disturbances["balancer-1"].append(cut)
    found = check_in_force(record, ["balancer-1"], ["control-1"], Measures(), end=60.0)
    assert [kind_of(each) for each in found] == expected
