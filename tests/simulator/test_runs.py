"""Whole runs: repeatable, without violations, and every scenario of the list is there."""

import json

import pytest
from click.testing import CliRunner

from jasperwalk_lab.commands.simulate import simulate
from jasperwalk_lab.simulator.campaign import Job, run_job
from jasperwalk_lab.simulator.scenarios import SCENARIOS, Failure, Promise


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_no_promise_is_broken(scenario):
    result = run_job(Job(scenario.name, 1))
    assert result.violations == []
    assert result.report.answered > 50
    assert result.accepted > 20


def test_the_same_seed_gives_the_same_trace():
    first, second = run_job(Job("second-loss", 2)), run_job(Job("second-loss", 2))
    assert first.trace_hash == second.trace_hash
    assert first.events == second.events
    assert run_job(Job("second-loss", 3)).trace_hash != first.trace_hash


def test_every_promise_and_every_failure_of_the_brief_occurs():
    result = CliRunner().invoke(simulate, ["--list", "--json"])
    listed = json.loads(result.stdout)["scenarios"]
    assert {promise for each in listed for promise in each["promises"]} == {*Promise}
    assert {failure for each in listed for failure in each["failures"]} == {*Failure}


def test_a_failing_seed_is_reported_with_its_replay_and_minimal_faults():
    mutant = "late-answer-reused"
    arguments = ["--scenario", "misleading-back-ends", "--seeds", "1", "--mutant", mutant]
    result = CliRunner().invoke(simulate, [*arguments, "--processes", "1", "--json"])
    assert result.exit_code == 1
    failed = json.loads(result.stdout)["failed"][0]
    assert failed["replay"] == " ".join(["jasperwalk-lab simulate", *arguments])
    assert any(violation.startswith("wrong-answer") for violation in failed["violations"])
    assert failed["faults"]
    assert all("stalls=True" in fault for fault in failed["faults"])
    assert any("wrong-answer" in event for event in failed["events"])


@pytest.mark.parametrize("seeds", ["", "a-b", "5-4"])
def test_invalid_seeds_are_refused(seeds):
    result = CliRunner().invoke(simulate, ["--seeds", seeds])
    assert result.exit_code == 2
