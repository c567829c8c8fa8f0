"""The checks can fail: each mutant causes its kind of violation in its scenario."""

import pytest

from jasperwalk_lab.simulator.campaign import Job, run_job
from jasperwalk_lab.simulator.minimization import kind_of
from jasperwalk_lab.simulator.mutants import MUTANTS


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_a_mutant_is_caught(mutant):
    runs = (run_job(Job(mutant.scenario, seed, mutant.name)) for seed in mutant.seeds)
    assert any(kind_of(each) == mutant.violation for run in runs for each in run.violations)
