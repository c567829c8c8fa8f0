"""Soaks of real processes with fixed seeds: every promise holds under enough kinds of faults.

Time limits are not asserted near a stall of the machine: the run records the lateness of its own
event loop, which no process of the product can cause.
"""

import asyncio

import pytest

from jasperwalk_lab.soak.checks import without_stall_violations
from jasperwalk_lab.soak.faults import FaultSelection
from jasperwalk_lab.soak.run import run_soak
from jasperwalk_lab.soak.schedule import LAST_FAULT_BEFORE_END_SECONDS

SECONDS = 45.0
MIN_FAULT_KINDS = 15
MIN_ANSWERED = 500
PLANNED_SECONDS = 40.0
PLANNED_SEED = 3
"""Its schedule restarts the agents of a drained zone, whose hosts go cold after that."""


@pytest.mark.parametrize("seed", [101, 20261203])
def test_every_promise_holds(tmp_path, seed):
    report = asyncio.run(run_soak(SECONDS, seed, tmp_path, lambda _line: None))
    assert without_stall_violations(report.violations, report.stalls) == []
    assert len(report.faults) >= MIN_FAULT_KINDS
    assert report.requests["answered"] >= MIN_ANSWERED


def test_planned_work_that_overlaps_resets_no_open_flow(tmp_path):
    """Guards against denials of flows that a host holds, e.g. once it goes cold in a drained zone.

    Nothing but planned work is under way, so every reset of an open flow counts.
    """
    run = run_soak(
        PLANNED_SECONDS,
        PLANNED_SEED,
        tmp_path,
        lambda _line: None,
        selection=FaultSelection.PLANNED,
    )
    report = asyncio.run(run)
    assert without_stall_violations(report.violations, report.stalls) == []
    assert report.faults["zone-drained"] > 0
    assert report.faults["agent-terminated"] > 0
    assert report.requests["answered"] >= MIN_ANSWERED


@pytest.mark.parametrize("seed", [101])
def test_urgent_requests_come_first_under_overload_alone(tmp_path, seed):
    """The shortest run has surges and slow hosts, and no time for any other fault."""
    run = run_soak(LAST_FAULT_BEFORE_END_SECONDS, seed, tmp_path, lambda _line: None)
    report = asyncio.run(run)
    assert without_stall_violations(report.violations, report.stalls) == []
    assert report.faults["callers-rush"] == 3
    assert sum(report.refused.values()) > 0
