"""A soak of real processes with fixed seeds: every promise holds, and enough was struck.

Nothing is asserted of times near a moment in which the machine itself stood still: the run notes
the lateness of its own event loop, which no process of the product can cause.
"""

import asyncio

import pytest

from jasperwalk_lab.soak.checks import not_excused
from jasperwalk_lab.soak.run import run_soak

SECONDS = 45.0
LEAST_KINDS = 15
LEAST_ANSWERED = 500


@pytest.mark.parametrize("seed", [101, 20261203])
def test_every_promise_holds(tmp_path, seed):
    report = asyncio.run(run_soak(SECONDS, seed, tmp_path, lambda _line: None))
    assert not_excused(report.violations, report.stalls) == []
    assert len(report.faults) >= LEAST_KINDS
    assert report.requests["answered"] >= LEAST_ANSWERED
