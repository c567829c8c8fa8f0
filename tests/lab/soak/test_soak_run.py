"""Soaks of real processes with fixed seeds: every promise holds under enough kinds of faults.

Time limits are not asserted near a stall of the machine: the run records the lateness of its own
event loop, which no process of the product can cause.
"""

import asyncio

import pytest

from jasperwalk_lab.soak.checks import without_stall_violations
from jasperwalk_lab.soak.run import run_soak
from jasperwalk_lab.soak.schedule import LAST_FAULT_BEFORE_END_SECONDS

SECONDS = 45.0
MIN_FAULT_KINDS = 15
MIN_ANSWERED = 500


@pytest.mark.parametrize("seed", [101, 20261203])
def test_every_promise_holds(tmp_path, seed):
    report = asyncio.run(run_soak(SECONDS, seed, tmp_path, lambda _line: None))
    assert without_stall_violations(report.violations, report.stalls) == []
    assert len(report.faults) >= MIN_FAULT_KINDS
    assert report.requests["answered"] >= MIN_ANSWERED


@pytest.mark.parametrize("seed", [101])
def test_urgent_requests_come_first_under_overload_alone(tmp_path, seed):
    """The shortest run has surges and slow hosts, and no time for any other fault."""
    run = run_soak(LAST_FAULT_BEFORE_END_SECONDS, seed, tmp_path, lambda _line: None)
    report = asyncio.run(run)
    assert without_stall_violations(report.violations, report.stalls) == []
    assert report.faults["callers-rush"] == 3
    assert sum(report.refused.values()) > 0
