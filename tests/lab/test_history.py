"""The history checker finds each kind of broken promise, and nothing in a good history."""

from __future__ import annotations

from collections import Counter

import pytest

from jasperwalk_lab.history import HistoryChecker, LoadPhase, ViolationKind, imbalance
from jasperwalk_lab.journal import JournalRecord, RunOutcome
from jasperwalk_lab.operations import (
    Answered,
    BreakReason,
    Broken,
    CallOutcome,
    CallRecord,
    LongStream,
    Lookup,
    NotRun,
    Operation,
    Submission,
    Unknown,
)

LOOKUP = Lookup(query="naslov")
SUBMISSION = Submission(body=b"Ana, Marko")
STREAM = LongStream(seconds=1.0, interval_ms=100.0)


def call(
    outcome: CallOutcome, operation: Operation = LOOKUP, request_id: str = "a-1"
) -> CallRecord:
    return CallRecord(
        request_id=request_id,
        service="urednik",
        operation=operation,
        invoked=0.0,
        completed=1.0,
        outcome=outcome,
    )


def run(
    host: str = "u1",
    outcome: RunOutcome = RunOutcome.COMPLETED,
    service: str = "urednik",
    request_id: str = "a-1",
) -> JournalRecord:
    return JournalRecord(
        request_id=request_id, service=service, host=host, path="/lookup", outcome=outcome
    )


def right(operation: Operation = LOOKUP, request_id: str = "a-1") -> Answered:
    return Answered(
        status=200,
        service="urednik",
        request_id=request_id,
        host="u1",
        body=operation.expected("urednik", request_id),
    )


def changed(**fields: object) -> Answered:
    base = {"status": 200, "service": "urednik", "request_id": "a-1", "host": "u1"}
    base["body"] = LOOKUP.expected("urednik", "a-1")
    return Answered(**(base | fields))


def broken(host: str = "u1") -> Broken:
    return Broken(reason=BreakReason.CONNECTION_ENDED, host=host)


GOOD = {
    "answered": ([call(right())], [run()]),
    "stream": ([call(right(STREAM), STREAM)], [run()]),
    "refused": ([call(NotRun(1.0))], [run(outcome=RunOutcome.SHED)]),
    "refused-without-arrival": ([call(NotRun(1.0))], []),
    "unknown-and-ran": ([call(Unknown(504), SUBMISSION)], [run()]),
    "unknown-and-did-not-run": ([call(Unknown(504), SUBMISSION)], []),
    "resent-with-its-ticket": (
        [call(Unknown(504), SUBMISSION), call(right(SUBMISSION), SUBMISSION)],
        [run()],
    ),
    "lookup-repeated-after-shedding": (
        [call(right())],
        [run(host="u2", outcome=RunOutcome.SHED), run()],
    ),
}

BAD = {
    "stream-cut": ([call(broken(), STREAM)], [run()], ViolationKind.BROKEN_FLOW),
    "never-connected": ([call(broken(""))], [], ViolationKind.BROKEN_FLOW),
    "answer-of-another-service": (
        [call(changed(service="probni-otisak"))],
        [run()],
        ViolationKind.WRONG_SERVICE,
    ),
    "reached-another-service": (
        [call(NotRun(1.0))],
        [run(service="probni-otisak", outcome=RunOutcome.SHED)],
        ViolationKind.WRONG_SERVICE,
    ),
    "answer-of-another-caller": (
        [call(changed(request_id="b-7"))],
        [run()],
        ViolationKind.WRONG_ANSWER,
    ),
    "body-of-another-caller": (
        [call(changed(body=LOOKUP.expected("urednik", "a-2")))],
        [run()],
        ViolationKind.WRONG_ANSWER,
    ),
    "answer-cut-short": (
        [call(changed(body=LOOKUP.expected("urednik", "a-1")[:-1]))],
        [run()],
        ViolationKind.WRONG_ANSWER,
    ),
    "answer-with-no-service": ([call(changed(service=""))], [run()], ViolationKind.WRONG_ANSWER),
    "error-status": ([call(changed(status=500))], [run()], ViolationKind.WRONG_ANSWER),
    "answer-that-nothing-ran": ([call(right())], [], ViolationKind.WRONG_ANSWER),
    "refused-but-ran": ([call(NotRun(1.0))], [run()], ViolationKind.NOT_RUN_BUT_RAN),
    "refused-but-cancelled-midway": (
        [call(NotRun(1.0))],
        [run(outcome=RunOutcome.CANCELLED)],
        ViolationKind.NOT_RUN_BUT_RAN,
    ),
    "ran-at-two-hosts": (
        [call(right(SUBMISSION), SUBMISSION)],
        [run(), run(host="u2")],
        ViolationKind.RAN_TWICE,
    ),
    "ran-twice-though-unknown": (
        [call(Unknown(504), SUBMISSION)],
        [run(outcome=RunOutcome.EXPIRED), run(outcome=RunOutcome.RUNNING)],
        ViolationKind.RAN_TWICE,
    ),
}


@pytest.mark.parametrize(("records", "journal"), GOOD.values(), ids=GOOD.keys())
def test_good_histories_have_no_violation(records, journal):
    report = HistoryChecker(journal).check(records)
    assert report.violations == []
    assert report.requests == len(records)


@pytest.mark.parametrize(("records", "journal", "kind"), BAD.values(), ids=BAD.keys())
def test_bad_histories_are_found(records, journal, kind):
    report = HistoryChecker(journal).check(records)
    assert {violation.kind for violation in report.violations} == {kind}


def test_a_break_on_a_lost_host_is_not_a_broken_flow():
    report = HistoryChecker([run()], lost_hosts={"u1"}).check([call(broken(""), STREAM)])
    assert report.violations == []
    assert (report.broken, report.broken_by_lost_host) == (1, 1)


def test_a_break_on_a_host_that_lived_is_one_though_another_was_lost():
    report = HistoryChecker([run()], lost_hosts={"u2"}).check([call(broken(), STREAM)])
    assert report.count(ViolationKind.BROKEN_FLOW) == 1


@pytest.mark.parametrize(
    ("phases", "expected"),
    [
        ([({"u1": 4, "u2": 4}, {"u1": 10, "u2": 10})], 1.0),
        ([({"u1": 1, "u2": 3}, {"u1": 10, "u2": 30})], 1.0),
        ([({"u1": 4, "u2": 4}, {"u1": 20})], 2.0),
        ([({"u1": 4, "u2": 4}, {})], 0.0),
        (
            [({"u1": 1, "u2": 1}, {"u1": 5, "u2": 5}), ({"u1": 1, "u2": 3}, {"u1": 5, "u2": 15})],
            1.0,
        ),
        ([({"u1": 1, "u2": 1}, {"u1": 5, "u2": 5}), ({"u1": 0, "u2": 1}, {"u1": 5, "u2": 5})], 2.0),
    ],
)
def test_imbalance_is_the_busiest_host_over_its_share(phases, expected):
    made = [LoadPhase(weights, Counter(runs)) for weights, runs in phases]
    assert imbalance(made) == pytest.approx(expected)
