"""The faults of a run: the same from the same seed, and within the limits of the fleet."""

from __future__ import annotations

from collections import Counter

import pytest

from jasperwalk_lab.chaos.faults import SHAPES, TargetGroup
from jasperwalk_lab.chaos.report import MIN_FAULT_KINDS
from jasperwalk_lab.chaos.schedule import (
    FIRST_FAULT_SECONDS,
    LAST_FAULT_BEFORE_END_SECONDS,
    MAX_IMPAIRED_CONTROLS,
    MIN_HEALTHY_BALANCERS,
    REPEAT_DELAY_SECONDS,
    FleetFacts,
    plan_faults,
)

SECONDS = 40.0
SEEDS = range(1, 21)
FACTS = FleetFacts(
    balancers=("balancer-1", "balancer-2", "balancer-3"),
    spare_balancers=("balancer-4",),
    controls=("control-1", "control-2", "control-3"),
    hosts={"urednik": ("u-1", "u-2", "u-3", "u-4"), "probni-otisak": ("p-1", "p-2", "p-3")},
)


def test_the_same_seed_plans_the_same_faults():
    plans = [plan_faults(FACTS, SECONDS, seed) for seed in (7, 7, 8)]
    assert plans[0] == plans[1] != plans[2]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_plan_keeps_its_times_and_has_kinds_enough(seed):
    planned = plan_faults(FACTS, SECONDS, seed)
    latest = SECONDS - LAST_FAULT_BEFORE_END_SECONDS + REPEAT_DELAY_SECONDS
    assert all(FIRST_FAULT_SECONDS <= fault.at <= latest for fault in planned)
    assert planned == sorted(planned, key=lambda fault: (fault.at, fault.target))
    assert len({fault.kind for fault in planned}) >= MIN_FAULT_KINDS


@pytest.mark.parametrize("seed", SEEDS)
def test_faults_keep_the_limits_on_processes_out_of_service(seed):
    planned = plan_faults(FACTS, SECONDS, seed)
    service_of = {host: name for name, hosts in FACTS.hosts.items() for host in hosts}
    limits = {
        TargetGroup.BALANCER: len(FACTS.balancers) - MIN_HEALTHY_BALANCERS,
        TargetGroup.CONTROL: MAX_IMPAIRED_CONTROLS,
    }
    for moment in (fault.at for fault in planned):
        impaired = [
            fault
            for fault in planned
            if SHAPES[fault.kind].impairs and fault.at <= moment < fault.at + fault.seconds
        ]
        assert len({fault.target for fault in impaired}) == len(impaired)
        for group, limit in limits.items():
            assert sum(SHAPES[fault.kind].group is group for fault in impaired) <= limit
        hosts = Counter(service_of[f.target] for f in impaired if f.target in service_of)
        assert all(count <= len(FACTS.hosts[name]) // 2 for name, count in hosts.items())
