"""Draws the faults of a run from a seed: the same seed and fleet give the same faults.

Kinds of faults are taken from a shuffled list of all kinds, which is refilled when it is empty. A
fault is planned only where the processes out of service at a time stay within their limits.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from jasperwalk_lab.chaos.faults import SHAPES, FaultKind, FaultShape, PlannedFault, TargetGroup

FIRST_FAULT_SECONDS = 1.5
LAST_FAULT_BEFORE_END_SECONDS = 6.0
GAP_SECONDS = (0.8, 2.2)
"""Minimum and maximum time between two injections."""
SIMULTANEOUS_SHARE = 0.35
"""Share of injections that are two faults at once."""
REPEATED_SHARE = 0.15
"""Share of faults that are repeated on a second target of the same group shortly after."""
REPEAT_DELAY_SECONDS = 0.4
SETTLE_SECONDS = 3.0
"""Minimum time between two faults of the same target."""
MIN_HEALTHY_BALANCERS = 2
MAX_IMPAIRED_CONTROLS = 1


@dataclass(frozen=True)
class FleetFacts:
    """What the schedule needs of a fleet: names of processes, and hosts by service."""

    balancers: tuple[str, ...]
    spare_balancers: tuple[str, ...]
    controls: tuple[str, ...]
    hosts: dict[str, tuple[str, ...]]


@dataclass
class _Plan:
    """The faults planned so far, and the limits that the next one must keep."""

    facts: FleetFacts
    planned: list[PlannedFault] = field(default_factory=list)

    def free_targets(self, kind: FaultKind, at: float, seconds: float) -> list[str]:
        """Return the targets that a fault of `kind` may have at `at`."""
        shape = SHAPES[kind]
        free = [t for t in self._targets(shape.group) if not self._is_targeted(t, at, seconds)]
        if not shape.impairs:
            return free
        return [target for target in free if self._is_within_limits(shape, target, at, seconds)]

    def _targets(self, group: TargetGroup) -> list[str]:
        match group:
            case TargetGroup.BALANCER:
                return list(self.facts.balancers)
            case TargetGroup.SPARE:
                return [s for s in self.facts.spare_balancers if not self._used(s)]
            case TargetGroup.CONTROL:
                return list(self.facts.controls)
            case TargetGroup.HOST:
                return [host for hosts in self.facts.hosts.values() for host in hosts]

    def _used(self, target: str) -> bool:
        return any(fault.target == target for fault in self.planned)

    def _is_targeted(self, target: str, at: float, seconds: float) -> bool:
        return any(
            fault.target == target and _overlap(fault, at, seconds, SETTLE_SECONDS)
            for fault in self.planned
        )

    def _impaired(self, group: TargetGroup, at: float, seconds: float) -> set[str]:
        """Return the targets of a group that are out of service for some of that time."""
        return {
            fault.target
            for fault in self.planned
            if SHAPES[fault.kind].group is group
            and SHAPES[fault.kind].impairs
            and _overlap(fault, at, seconds, SETTLE_SECONDS)
        }

    def _is_within_limits(self, shape: FaultShape, target: str, at: float, seconds: float) -> bool:
        impaired = self._impaired(shape.group, at, seconds) | {target}
        match shape.group:
            case TargetGroup.BALANCER:
                return len(self.facts.balancers) - len(impaired) >= MIN_HEALTHY_BALANCERS
            case TargetGroup.CONTROL:
                return len(impaired) <= MAX_IMPAIRED_CONTROLS
            case TargetGroup.HOST:
                hosts = next(h for h in self.facts.hosts.values() if target in h)
                return len(impaired & set(hosts)) <= max(1, len(hosts) // 2)
            case TargetGroup.SPARE:
                return True


def plan_faults(facts: FleetFacts, seconds: float, seed: int) -> list[PlannedFault]:
    """Plan the faults of a run of `seconds`, ordered by their start."""
    generator = random.Random(seed)
    plan = _Plan(facts)
    remaining_kinds: list[FaultKind] = []
    at = FIRST_FAULT_SECONDS
    while at < seconds - LAST_FAULT_BEFORE_END_SECONDS:
        for _ in range(2 if generator.random() < SIMULTANEOUS_SHARE else 1):
            _plan_next(plan, remaining_kinds, at, generator)
        at += generator.uniform(*GAP_SECONDS)
    return sorted(plan.planned, key=lambda fault: (fault.at, fault.target))


def _plan_next(
    plan: _Plan, remaining_kinds: list[FaultKind], at: float, generator: random.Random
) -> None:
    """Plan the first of the remaining kinds that fits at `at`; sometimes on two targets."""
    if not remaining_kinds:
        remaining_kinds.extend(FaultKind)
        generator.shuffle(remaining_kinds)
    for position, kind in enumerate(remaining_kinds):
        if not _try_plan(plan, kind, at, generator):
            continue
        del remaining_kinds[position]
        if generator.random() < REPEATED_SHARE:
            _try_plan(plan, kind, at + REPEAT_DELAY_SECONDS, generator)
        return


def _try_plan(plan: _Plan, kind: FaultKind, at: float, generator: random.Random) -> bool:
    shape = SHAPES[kind]
    seconds = round(generator.uniform(shape.shortest, shape.longest), 2)
    targets = plan.free_targets(kind, at, seconds)
    if not targets:
        return False
    target = generator.choice(targets)
    plan.planned.append(PlannedFault(round(at, 2), kind, target, seconds))
    return True


def _overlap(fault: PlannedFault, at: float, seconds: float, margin: float) -> bool:
    return fault.at < at + seconds + margin and at < fault.at + fault.seconds + margin
