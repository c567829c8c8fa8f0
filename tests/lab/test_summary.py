"""The summary of a demo names each broken promise, and none in a good run."""

from __future__ import annotations

import json
import sys

import msgspec
import pytest
from click.testing import CliRunner

from jasperwalk_lab.cli import lab
from jasperwalk_lab.demo import DemoResult
from jasperwalk_lab.history import HistoryReport, Violation, ViolationKind
from jasperwalk_lab.summary import BrokenPromise, PromiseKind, broken_promises, summarise

ISSUE_KEYS = {
    "requests",
    "answered",
    "not_run",
    "unknown",
    "broken_flows",
    "wrong_service",
    "wrong_answer",
    "ran_twice",
    "imbalance",
    "in_force_seconds",
}


def good(**changes):
    fields = {"requests": 1100, "answered": 1100, "streams_answered": 50}
    return HistoryReport(**(fields | changes))


def violated(kind):
    return good(violations=[Violation(kind=kind, request_id="a-1", detail="")])


def result(report):
    summary = summarise(
        report,
        example="zagreb",
        seed=1,
        imbalance=1.2,
        in_force_seconds=0.5,
        duration_seconds=20.0,
        failures=[],
    )
    return DemoResult(summary=summary, report=report)


@pytest.mark.parametrize("kind", ViolationKind)
def test_every_violation_breaks_a_promise(kind):
    promises = broken_promises(violated(kind), 0.5, [])
    assert [promise.kind for promise in promises] == [PromiseKind.HISTORY]


@pytest.mark.parametrize(
    ("report", "in_force_seconds", "failures", "expected"),
    [
        (good(), 0.5, [], []),
        (good(answered=0, streams_answered=0), 0.5, [], [PromiseKind.TOO_FEW_ANSWERS] * 2),
        (good(answered=1049), 0.5, [], [PromiseKind.TOO_FEW_ANSWERS]),
        (good(streams_answered=49), 0.5, [], [PromiseKind.TOO_FEW_ANSWERS]),
        (good(), None, [], [PromiseKind.CHANGE_NOT_IN_FORCE]),
        (good(), 10.1, [], [PromiseKind.CHANGE_NOT_IN_FORCE]),
        (
            good(),
            0.5,
            [BrokenPromise(PromiseKind.PROCESS_ENDED, "agent-u1")],
            [PromiseKind.PROCESS_ENDED],
        ),
    ],
)
def test_promises_of_a_run(report, in_force_seconds, failures, expected):
    promises = broken_promises(report, in_force_seconds, failures)
    assert [promise.kind for promise in promises] == expected


@pytest.mark.parametrize(
    ("report", "status"), [(good(), 0), (violated(ViolationKind.BROKEN_FLOW), 1)]
)
def test_the_command_ends_with_one_json_object_and_the_verdict(report, status, monkeypatch):
    async def run_demo(*_arguments):
        return result(report)

    monkeypatch.setattr(sys.modules["jasperwalk_lab.commands.demo"], "run_demo", run_demo)
    ended = CliRunner().invoke(lab, ["demo", "--json"])
    assert ended.exit_code == status
    printed = json.loads(ended.stdout.splitlines()[-1])
    assert printed.keys() >= ISSUE_KEYS
    assert printed == msgspec.to_builtins(result(report).summary)
