"""The schedule that a soak's seed draws, and that every kind of fault can be injected."""

import msgspec
import pytest

from jasperwalk_lab.errors import LabSettingsError
from jasperwalk_lab.soak.faults import (
    OVERLOAD_KINDS,
    PLANNED_KINDS,
    SEPARATELY_DRAWN_KINDS,
    SHAPES,
    FaultKind,
    TargetGroup,
)
from jasperwalk_lab.soak.injector import covers_every_kind
from jasperwalk_lab.soak.kept_seeds import KeptSeed, read_kept_seeds
from jasperwalk_lab.soak.overload import (
    FAULT_FREE_SECONDS,
    Surge,
    SurgeScope,
    plan_overload,
    plan_with_overload,
)
from jasperwalk_lab.soak.schedule import (
    AGENT_RESTARTS_SECONDS,
    FAULTS_PER_BURST,
    LAST_FAULT_BEFORE_END_SECONDS,
    MAX_DOWN,
    NEVER_IN_BURSTS,
    SoakTargets,
    max_down,
    plan_fault_bursts,
    plan_faults,
    plan_planned_work,
    plan_steady_faults,
)

TARGETS = SoakTargets(
    ("control-0", "control-1", "control-2"),
    ("balancer-0", "balancer-1", "balancer-2"),
    tuple(f"agent-{number}" for number in range(6)),
    ("north", "south"),
)


def test_the_same_seed_gives_the_same_schedule():
    assert plan_steady_faults(TARGETS, 120.0, 7) == plan_steady_faults(TARGETS, 120.0, 7)
    assert plan_steady_faults(TARGETS, 120.0, 7) != plan_steady_faults(TARGETS, 120.0, 8)


def test_a_few_schedules_have_every_kind_of_fault():
    drawn = {fault.kind for seed in range(20) for fault in plan_steady_faults(TARGETS, 120.0, seed)}
    assert drawn == set(FaultKind) - OVERLOAD_KINDS - set(SEPARATELY_DRAWN_KINDS)
    drawn = {fault.kind for seed in range(20) for fault in plan_with_overload(TARGETS, 120.0, seed)}
    assert drawn == set(FaultKind)
    assert covers_every_kind()


@pytest.mark.parametrize("seed", range(20))
def test_no_more_targets_are_down_at_once_than_the_limit(seed):
    planned = plan_steady_faults(TARGETS, 120.0, seed)
    for fault in planned:
        group = SHAPES[fault.kind].group
        others = [
            each
            for each in planned
            if SHAPES[each.kind].group is group and each.at <= fault.at < each.ends_at
        ]
        assert len(others) <= MAX_DOWN[group]
        if group is TargetGroup.ALL:
            assert len([each for each in planned if each.at <= fault.at < each.ends_at]) == 1


@pytest.mark.parametrize("seed", range(20))
def test_faults_are_over_before_the_end(seed):
    last = max(fault.ends_at for fault in plan_steady_faults(TARGETS, 60.0, seed))
    assert last <= 60.0 - LAST_FAULT_BEFORE_END_SECONDS + 1.0


def test_kept_seeds_are_read_with_their_causes(tmp_path):
    path = tmp_path / "seeds.txt"
    path.write_text("# comment\n\n12 | 60 | a cause\n")
    assert read_kept_seeds(path) == [KeptSeed(12, 60.0, "a cause")]
    assert read_kept_seeds(tmp_path / "none.txt") == []


def test_a_malformed_line_of_kept_seeds_is_named(tmp_path):
    path = tmp_path / "seeds.txt"
    path.write_text("twelve | 60 | a cause\n")
    with pytest.raises(LabSettingsError, match="twelve"):
        read_kept_seeds(path)


def test_the_kept_seeds_of_the_repository_can_be_read():
    assert all(each.cause for each in read_kept_seeds())


LARGE = SoakTargets(
    tuple(f"control-{number}" for number in range(5)),
    tuple(f"balancer-{number}" for number in range(30)),
    tuple(f"agent-{number}" for number in range(120)),
    ("north", "south"),
)


@pytest.mark.parametrize("seed", range(20))
def test_faults_of_a_burst_overlap(seed):
    bursts = plan_fault_bursts(TARGETS, 120.0, seed)
    at_once = [sum(each.at <= fault.at < each.ends_at for each in bursts) for fault in bursts]
    assert max(at_once) >= FAULTS_PER_BURST[0] - 1
    assert not {fault.kind for fault in bursts} & NEVER_IN_BURSTS


def test_bursts_hit_one_target_more_than_once_at_a_time():
    met = [
        (one, other)
        for seed in range(20)
        for one in plan_fault_bursts(TARGETS, 120.0, seed)
        for other in plan_fault_bursts(TARGETS, 120.0, seed)
        if one is not other and one.target == other.target and one.at <= other.at < one.ends_at
    ]
    assert met


@pytest.mark.parametrize("seed", range(20))
def test_no_disk_is_lost_while_a_burst_hits_other_replicas(seed):
    planned = plan_faults(TARGETS, 120.0, seed)
    bursts = [
        each
        for each in plan_fault_bursts(TARGETS, 120.0, seed)
        if SHAPES[each.kind].group is TargetGroup.CONTROL
    ]
    for fault in planned:
        if fault.kind is FaultKind.CONTROL_WIPED:
            assert not [e for e in bursts if e.at < fault.ends_at and fault.at < e.ends_at]


def test_the_share_that_may_be_down_is_the_same_in_a_large_fleet():
    assert [max_down(LARGE, group) for group in (TargetGroup.CONTROL, TargetGroup.AGENT)] == [2, 40]
    assert {group: max_down(TARGETS, group) for group in TargetGroup} == MAX_DOWN
    assert len(plan_faults(LARGE, 60.0, 1)) > 2 * len(plan_faults(TARGETS, 60.0, 1))


@pytest.mark.parametrize("targets", [TARGETS, LARGE], ids=["small", "large"])
@pytest.mark.parametrize("seed", range(20))
def test_a_run_of_planned_work_has_nothing_else_and_keeps_the_limits(targets, seed):
    planned = plan_planned_work(targets, 60.0, seed)
    assert {each.kind for each in planned} <= set(PLANNED_KINDS)
    assert planned == plan_planned_work(targets, 60.0, seed)
    assert max(each.ends_at for each in planned) <= 60.0 - LAST_FAULT_BEFORE_END_SECONDS + 1.0
    for fault in planned:
        group = SHAPES[fault.kind].group
        at_once = [e for e in planned if SHAPES[e.kind].group is group]
        at_once = [e for e in at_once if e.at <= fault.at < e.ends_at]
        assert len(at_once) <= max_down(targets, group)


def test_planned_work_of_several_kinds_overlaps():
    """Guards against runs that restart no agent and replace no host while a zone is drained."""
    pairs = {
        (one.kind, other.kind)
        for seed in range(20)
        for one in plan_planned_work(TARGETS, 60.0, seed)
        for other in plan_planned_work(TARGETS, 60.0, seed)
        if one is not other and one.at <= other.at < one.ends_at
    }
    assert (FaultKind.ZONE_DRAINED, FaultKind.AGENT_TERMINATED) in pairs
    assert (FaultKind.ZONE_DRAINED, FaultKind.HOST_REPLACED) in pairs
    assert (FaultKind.HOST_REPLACED, FaultKind.AGENT_TERMINATED) in pairs


@pytest.mark.parametrize("seed", range(20))
def test_agents_of_a_drained_zone_are_restarted_before_it_is_restored(seed):
    """Guards against runs in which no host goes cold soon after its agent's restart."""
    by_zone = {"north": TARGETS.agents[::2], "south": TARGETS.agents[1::2]}
    planned = plan_planned_work(
        msgspec.structs.replace(TARGETS, agents_by_zone=by_zone), 60.0, seed
    )
    drains = [each for each in planned if each.kind is FaultKind.ZONE_DRAINED]
    restarts = [each for each in planned if each.kind is FaultKind.AGENT_TERMINATED]
    assert drains
    for drain in drains:
        restarted = {
            each.target
            for each in restarts
            if drain.ends_at - AGENT_RESTARTS_SECONDS <= each.at < drain.ends_at
        }
        assert restarted & set(by_zone[drain.target])
    assert planned == sorted(planned, key=lambda each: each.at)


@pytest.mark.parametrize("seed", range(20))
def test_a_run_begins_with_a_surge_of_each_scope_and_no_fault(seed):
    planned = plan_with_overload(TARGETS, 60.0, seed)
    calm = [each for each in planned if each.at < FAULT_FREE_SECONDS]
    assert calm
    assert {each.kind for each in calm} <= OVERLOAD_KINDS
    assert all(each.ends_at < FAULT_FREE_SECONDS for each in calm)
    bursts = [Surge.parse(e.target) for e in calm if e.kind is FaultKind.CALLERS_RUSH]
    assert sorted(each.scope for each in bursts) == sorted(SurgeScope)


@pytest.mark.parametrize("seed", range(20))
def test_overload_leaves_the_faults_of_a_seed_unchanged(seed):
    planned = plan_with_overload(TARGETS, 60.0, seed)
    added = OVERLOAD_KINDS | set(SEPARATELY_DRAWN_KINDS)
    without_overload = [each for each in planned if each.kind not in added]
    shifted = [round(each.at + FAULT_FREE_SECONDS, 2) for each in plan_faults(TARGETS, 60.0, seed)]
    assert [each.at for each in without_overload] == shifted
    last = FAULT_FREE_SECONDS + 60.0 - LAST_FAULT_BEFORE_END_SECONDS + 1.0
    assert max(each.ends_at for each in planned) <= last


def test_surges_also_overlap_faults():
    planned = plan_with_overload(TARGETS, 120.0, 1)
    bursts = [each for each in plan_overload(TARGETS, 120.0, 1) if each.at > FAULT_FREE_SECONDS]
    assert any(
        fault.at < surge.ends_at and surge.at < fault.ends_at
        for surge in bursts
        for fault in planned
        if fault.kind not in OVERLOAD_KINDS
    )
