"""Draws the faults of a soak from its seed: the same seed and targets give the same schedule.

Steady faults never put more targets out of service at once than the system has to tolerate. Bursts
come in addition: many faults start within a second and overlap, also on the same target.
"""

from __future__ import annotations

import random

import msgspec

from jasperwalk_lab.soak.faults import (
    OVERLOAD_KINDS,
    PLANNED_KINDS,
    SEPARATELY_DRAWN_KINDS,
    SHAPES,
    FaultKind,
    PlannedFault,
    TargetGroup,
)

FIRST_FAULT_SECONDS = 2.0
LAST_FAULT_BEFORE_END_SECONDS = 8.0
"""Faults end early enough for the recovery of the service to be observed."""
FAULT_INTERVAL_SECONDS = (0.4, 2.2)
"""Shortest and longest time between two steady faults."""
MAX_CONTROLS_DOWN = 1
"""With more than one of three replicas down there is no quorum."""
MAX_AGENTS_DOWN = 2
MAX_BALANCERS_DOWN = 1
SETTLE_SECONDS = 3.0
"""Time after a fault before the same target gets another, and before all processes are killed."""
EVERYTHING = "everything"
FAULT_BURST_INTERVAL_SECONDS = (9.0, 15.0)
"""Shortest and longest time between the starts of two bursts."""
SEPARATE_KINDS_INTERVAL_SECONDS = (5.0, 10.0)
"""Shortest and longest time between two faults of `SEPARATELY_DRAWN_KINDS`."""
FAULT_BURST_SECONDS = 1.0
"""Time within which the faults of a burst start."""
FAULTS_PER_BURST = (4, 8)
"""Fewest and most faults of a burst in the smallest fleet."""
BASE_KINDS = tuple(
    k for k in FaultKind if k not in OVERLOAD_KINDS and k not in SEPARATELY_DRAWN_KINDS
)
NEVER_IN_BURSTS = frozenset((FaultKind.CONTROL_WIPED, FaultKind.ALL_KILLED))
"""A lost disk together with dead replicas may exceed what the system has to tolerate."""
DISK_LOSS_MARGIN_SECONDS = 8.0
"""Distance between a lost disk and a burst: the replaced replica needs the log again first."""
PLANNED_WORK_INTERVAL_SECONDS = (0.2, 1.0)
"""Shortest and longest time between two starts of planned work in a run of nothing else."""
AGENT_RESTARTS_SECONDS = 4.0
"""Time before a drained zone is restored in which its agents are restarted."""
BASE_AGENT_COUNT = 6
MAX_SCALE = 3
"""Larger fleets get more faults, up to this factor: one machine starts all their processes."""


class SoakTargets(msgspec.Struct, frozen=True):
    """The names of the targets of faults."""

    controls: tuple[str, ...]
    balancers: tuple[str, ...]
    agents: tuple[str, ...]
    zones: tuple[str, ...]
    agents_by_zone: dict[str, tuple[str, ...]] = {}
    """Used by runs of planned work alone; a zone without agents gets no restarts with its drain."""

    def of(self, group: TargetGroup) -> tuple[str, ...]:
        """Return the targets of a group; a host goes by the name of the agent beside it."""
        return {
            TargetGroup.CONTROL: self.controls,
            TargetGroup.BALANCER: self.balancers,
            TargetGroup.AGENT: self.agents,
            TargetGroup.HOST: self.agents,
            TargetGroup.ZONE: self.zones,
            TargetGroup.CALLERS: (EVERYTHING,),
            TargetGroup.ALL: (EVERYTHING,),
        }[group]


MAX_DOWN = {
    TargetGroup.CONTROL: MAX_CONTROLS_DOWN,
    TargetGroup.BALANCER: MAX_BALANCERS_DOWN,
    TargetGroup.AGENT: MAX_AGENTS_DOWN,
    TargetGroup.HOST: MAX_AGENTS_DOWN,
    TargetGroup.ZONE: 1,
    TargetGroup.CALLERS: 1,
    TargetGroup.ALL: 1,
}


def max_down(targets: SoakTargets, group: TargetGroup) -> int:
    """Return how many targets of a group may be down at once: the same share in every fleet."""
    if group is TargetGroup.CONTROL:
        return (len(targets.controls) - 1) // 2
    if group is TargetGroup.BALANCER:
        return max(MAX_BALANCERS_DOWN, len(targets.balancers) // 3)
    if group in (TargetGroup.AGENT, TargetGroup.HOST):
        return max(MAX_AGENTS_DOWN, len(targets.agents) // 3)
    return MAX_DOWN[group]


def plan_fault_bursts(targets: SoakTargets, seconds: float, seed: int) -> list[PlannedFault]:
    """Plan the fault bursts of a run of `seconds`, ordered by start."""
    rng = random.Random(f"rushes {seed}")
    kinds = [kind for kind in BASE_KINDS if kind not in NEVER_IN_BURSTS]
    scale = _scale(targets)
    latest = seconds - LAST_FAULT_BEFORE_END_SECONDS
    planned: list[PlannedFault] = []
    at = rng.uniform(*FAULT_BURST_INTERVAL_SECONDS)
    while at < latest:
        for _ in range(scale * rng.randint(*FAULTS_PER_BURST)):
            kind = rng.choice(kinds)
            shape = SHAPES[kind]
            begins_at = round(at + rng.uniform(0.0, FAULT_BURST_SECONDS), 2)
            length = round(rng.uniform(shape.shortest, shape.longest), 2)
            if begins_at + length <= latest + 1.0:
                target = rng.choice(targets.of(shape.group))
                planned.append(PlannedFault(begins_at, kind, target, length))
        at += rng.uniform(*FAULT_BURST_INTERVAL_SECONDS)
    return sorted(planned, key=lambda each: each.at)


def plan_separately_drawn(targets: SoakTargets, seconds: float, seed: int) -> list[PlannedFault]:
    """Plan the faults of `SEPARATELY_DRAWN_KINDS`, regardless of other faults at the time."""
    rng = random.Random(f"later kinds {seed}")
    planned: list[PlannedFault] = []
    at = rng.uniform(*SEPARATE_KINDS_INTERVAL_SECONDS)
    while at < seconds - LAST_FAULT_BEFORE_END_SECONDS:
        kind = rng.choice(SEPARATELY_DRAWN_KINDS)
        planned.append(_draw_shape(kind, targets, at, rng))
        at += rng.uniform(*SEPARATE_KINDS_INTERVAL_SECONDS)
    latest = seconds - LAST_FAULT_BEFORE_END_SECONDS + 1.0
    return [each for each in planned if each.ends_at <= latest]


def plan_planned_work(targets: SoakTargets, seconds: float, seed: int) -> list[PlannedFault]:
    """Plan a run of planned work alone, ordered by start.

    It overlaps on the same zone, agent and host; only the number of processes that are down at
    once is limited. Kinds are drawn in rounds of all of them, each in random order. The agents of
    a drained zone are restarted before the zone is restored.
    """
    rng = random.Random(f"planned work {seed}")
    latest = seconds - LAST_FAULT_BEFORE_END_SECONDS
    planned: list[PlannedFault] = []
    remaining_kinds: list[FaultKind] = []
    at = FIRST_FAULT_SECONDS
    while at < latest:
        if not remaining_kinds:
            remaining_kinds = rng.sample(PLANNED_KINDS, len(PLANNED_KINDS))
        fault = _draw_shape(remaining_kinds.pop(), targets, at, rng)
        if fault.ends_at <= latest + 1.0 and not _exceeds_limit(fault, planned, targets):
            planned.append(fault)
            if fault.kind is FaultKind.ZONE_DRAINED:
                planned.extend(_draw_agent_restarts(fault, targets, planned, rng))
        at += rng.uniform(*PLANNED_WORK_INTERVAL_SECONDS) / _scale(targets)
    return sorted(planned, key=lambda each: each.at)


def _draw_agent_restarts(
    drain: PlannedFault, targets: SoakTargets, planned: list[PlannedFault], rng: random.Random
) -> list[PlannedFault]:
    """Return restarts of a drained zone's agents, one after the other, before it is restored."""
    agents = targets.agents_by_zone.get(drain.target, ())
    restarts: list[PlannedFault] = []
    for number, agent in enumerate(rng.sample(agents, len(agents))):
        begins_at = drain.ends_at - AGENT_RESTARTS_SECONDS * (1.0 - number / len(agents))
        restart = _draw_shape(FaultKind.AGENT_TERMINATED, targets, begins_at, rng)
        restart = msgspec.structs.replace(restart, target=agent)
        others = [each for each in (*planned, *restarts) if _is_on_agent(each)]
        settling = {each.target for each in others if _are_too_close(each, restart)}
        active = [each for each in others if _are_within(each, restart, 0.0)]
        if agent not in settling and len(active) < max_down(targets, TargetGroup.AGENT):
            restarts.append(restart)
    return restarts


def _is_on_agent(fault: PlannedFault) -> bool:
    return SHAPES[fault.kind].group is TargetGroup.AGENT


def _exceeds_limit(fault: PlannedFault, planned: list[PlannedFault], targets: SoakTargets) -> bool:
    """Tell whether too many targets of a group would have work at once, or one of them twice."""
    group = SHAPES[fault.kind].group
    near = {
        each.target
        for each in planned
        if SHAPES[each.kind].group is group and _are_too_close(each, fault)
    }
    return fault.target in near or len(near) >= max_down(targets, group)


def _draw_shape(
    kind: FaultKind, targets: SoakTargets, at: float, rng: random.Random
) -> PlannedFault:
    """Return a fault of a kind with a random duration and target."""
    shape = SHAPES[kind]
    seconds = round(rng.uniform(shape.shortest, shape.longest), 2)
    return PlannedFault(round(at, 2), kind, rng.choice(targets.of(shape.group)), seconds)


def _scale(targets: SoakTargets) -> int:
    return min(MAX_SCALE, max(1, len(targets.agents) // BASE_AGENT_COUNT))


def plan_faults(targets: SoakTargets, seconds: float, seed: int) -> list[PlannedFault]:
    """Plan the steady faults and the bursts of a run, ordered by start."""
    fault_bursts = plan_fault_bursts(targets, seconds, seed)
    steady = [
        each
        for each in plan_steady_faults(targets, seconds, seed)
        if not _is_too_near_burst(each, fault_bursts)
    ]
    return sorted([*steady, *fault_bursts], key=lambda each: each.at)


def _is_too_near_burst(fault: PlannedFault, fault_bursts: list[PlannedFault]) -> bool:
    """Tell whether a disk would be lost, or all be killed, near a burst that hits replicas."""
    if fault.kind not in NEVER_IN_BURSTS:
        return False
    return any(
        _are_within(fault, each, DISK_LOSS_MARGIN_SECONDS)
        for each in fault_bursts
        if SHAPES[each.kind].group is TargetGroup.CONTROL
    )


def plan_steady_faults(targets: SoakTargets, seconds: float, seed: int) -> list[PlannedFault]:
    """Plan the steady faults of a run of `seconds`, ordered by start.

    Kinds are drawn in rounds of all of them, each in random order.
    """
    rng = random.Random(f"soak {seed}")
    planned: list[PlannedFault] = []
    remaining_kinds: list[FaultKind] = []
    at = FIRST_FAULT_SECONDS
    scale = _scale(targets)
    while at < seconds - LAST_FAULT_BEFORE_END_SECONDS:
        if not remaining_kinds:
            remaining_kinds = rng.sample(BASE_KINDS, len(BASE_KINDS))
        kind = remaining_kinds.pop()
        if SHAPES[kind].group is TargetGroup.ALL:
            # Everything is killed only while no other fault is active.
            at = max([at, *(each.ends_at + SETTLE_SECONDS for each in planned)])
        fault = _draw(kind, targets, planned, at, rng)
        if fault is not None and fault.ends_at <= seconds - LAST_FAULT_BEFORE_END_SECONDS + 1.0:
            planned.append(fault)
        at += rng.uniform(*FAULT_INTERVAL_SECONDS) / scale
    return planned


def _draw(
    kind: FaultKind,
    targets: SoakTargets,
    planned: list[PlannedFault],
    at: float,
    rng: random.Random,
) -> PlannedFault | None:
    """Return the next fault, None where it would put too many targets out of service."""
    shape = SHAPES[kind]
    fault = _draw_shape(kind, targets, at, rng)
    target = fault.target
    near = [each for each in planned if _are_too_close(each, fault)]
    if shape.group is TargetGroup.ALL:
        return None if near else fault
    if any(SHAPES[each.kind].group is TargetGroup.ALL for each in near):
        return None
    same_group = {each.target for each in near if SHAPES[each.kind].group is shape.group}
    is_too_much = target in same_group or len(same_group) >= max_down(targets, shape.group)
    return None if is_too_much else fault


def _are_too_close(one: PlannedFault, other: PlannedFault) -> bool:
    """Tell whether two faults overlap, or one follows the other within `SETTLE_SECONDS`."""
    return _are_within(one, other, SETTLE_SECONDS)


def _are_within(one: PlannedFault, other: PlannedFault, seconds: float) -> bool:
    """Tell whether two faults overlap, or one follows the other within `seconds`."""
    return one.at < other.ends_at + seconds and other.at < one.ends_at + seconds
