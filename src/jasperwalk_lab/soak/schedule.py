"""Draws the faults of a soak from its seed: the same seed and names give the same schedule."""

from __future__ import annotations

import random

import msgspec

from jasperwalk_lab.soak.faults import SHAPES, FaultKind, PlannedFault, TargetGroup

FIRST_FAULT_SECONDS = 2.0
LAST_FAULT_BEFORE_END_SECONDS = 8.0
"""Faults are over early enough for the service to come back and to be seen."""
GAP_SECONDS = (0.4, 2.2)
"""Shortest and longest time between two strikes."""
CONTROLS_OUT_AT_ONCE = 1
"""More than one of three would leave no quorum."""
AGENTS_OUT_AT_ONCE = 2
BALANCERS_OUT_AT_ONCE = 1
SETTLE_SECONDS = 3.0
"""Time after a fault before the same target is struck again, and before all are killed."""
EVERYTHING = "everything"


class SoakNames(msgspec.Struct, frozen=True):
    """The names that faults may strike."""

    controls: tuple[str, ...]
    balancers: tuple[str, ...]
    agents: tuple[str, ...]
    zones: tuple[str, ...]

    def of(self, group: TargetGroup) -> tuple[str, ...]:
        """Return the targets of a group; a host has the name of the agent beside it."""
        return {
            TargetGroup.CONTROL: self.controls,
            TargetGroup.BALANCER: self.balancers,
            TargetGroup.AGENT: self.agents,
            TargetGroup.HOST: self.agents,
            TargetGroup.ZONE: self.zones,
            TargetGroup.ALL: (EVERYTHING,),
        }[group]


MOST_OUT = {
    TargetGroup.CONTROL: CONTROLS_OUT_AT_ONCE,
    TargetGroup.BALANCER: BALANCERS_OUT_AT_ONCE,
    TargetGroup.AGENT: AGENTS_OUT_AT_ONCE,
    TargetGroup.HOST: AGENTS_OUT_AT_ONCE,
    TargetGroup.ZONE: 1,
    TargetGroup.ALL: 1,
}


def plan_soak(names: SoakNames, seconds: float, seed: int) -> list[PlannedFault]:
    """Plan the faults of a run of `seconds`, in the order of their beginning."""
    drawn = random.Random(f"soak {seed}")
    planned: list[PlannedFault] = []
    deck: list[FaultKind] = []
    at = FIRST_FAULT_SECONDS
    while at < seconds - LAST_FAULT_BEFORE_END_SECONDS:
        if not deck:
            deck = drawn.sample(list(FaultKind), len(FaultKind))
        fault = _draw(deck.pop(), names, planned, at, drawn)
        if fault is not None and fault.ends_at <= seconds - LAST_FAULT_BEFORE_END_SECONDS + 1.0:
            planned.append(fault)
        at += drawn.uniform(*GAP_SECONDS)
    return planned


def _draw(
    kind: FaultKind,
    names: SoakNames,
    planned: list[PlannedFault],
    at: float,
    drawn: random.Random,
) -> PlannedFault | None:
    """Return the next fault, None where too much is out of order already."""
    shape = SHAPES[kind]
    seconds = round(drawn.uniform(shape.shortest, shape.longest), 2)
    target = drawn.choice(names.of(shape.group))
    fault = PlannedFault(round(at, 2), kind, target, seconds)
    near = [each for each in planned if _meet(each, fault)]
    if shape.group is TargetGroup.ALL:
        return None if near else fault
    if any(SHAPES[each.kind].group is TargetGroup.ALL for each in near):
        return None
    same_group = {each.target for each in near if SHAPES[each.kind].group is shape.group}
    is_too_much = target in same_group or len(same_group) >= MOST_OUT[shape.group]
    return None if is_too_much else fault


def _meet(one: PlannedFault, other: PlannedFault) -> bool:
    """Tell whether two faults overlap, or one follows the other too soon."""
    return one.at < other.ends_at + SETTLE_SECONDS and other.at < one.ends_at + SETTLE_SECONDS
