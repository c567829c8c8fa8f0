"""Draws load beyond the hosts' capacity from the seed: surges of callers, and slow hosts.

A run starts with overload alone, so that what is refused then is refused for lack of capacity and
for no other reason. Later overload comes together with faults. It has a random generator of its
own: the faults of a seed are the same with and without it.
"""

from __future__ import annotations

import enum
import random

import msgspec

from jasperwalk_lab.soak.faults import SHAPES, FaultKind, PlannedFault
from jasperwalk_lab.soak.schedule import (
    LAST_FAULT_BEFORE_END_SECONDS,
    SoakTargets,
    plan_faults,
    plan_separately_drawn,
)

FAULT_FREE_SECONDS = 18.0
"""Time at the start of a run without any fault."""
FAULT_FREE_SURGE_SECONDS = (2.0, 7.0, 12.0)
"""When the surges of that time start: one of each scope, in random order."""
SURGE_INTERVAL_SECONDS = (10.0, 20.0)
"""Shortest and longest time between two surges after that."""
SLOW_HOST_PROBABILITY = 0.5
"""Probability that some hosts are slow during a surge."""
SLOW_HOST_SHARE = 6
"""One host in this many is slow then."""


class SurgeScope(enum.StrEnum):
    """Which callers surge: all of them, those of one kind of request, or those of one zone."""

    ALL = "all"
    KIND = "kind"
    ZONE = "zone"


class Surge(msgspec.Struct, frozen=True):
    """A surge of callers: `value` is the kind's priority or the zone's name."""

    scope: SurgeScope
    value: str = ""

    @property
    def target(self) -> str:
        """Return its name in the schedule."""
        return f"{self.scope}:{self.value}"

    @classmethod
    def parse(cls, target: str) -> Surge:
        """Return the surge that a target of the schedule names; raises `ValueError`."""
        scope, _, value = target.partition(":")
        return cls(SurgeScope(scope), value)


def plan_with_overload(targets: SoakTargets, seconds: float, seed: int) -> list[PlannedFault]:
    """Plan a run of `FAULT_FREE_SECONDS` and `seconds` more, ordered by start."""
    faults_without_overload = [
        *plan_faults(targets, seconds, seed),
        *plan_separately_drawn(targets, seconds, seed),
    ]
    faults = [
        msgspec.structs.replace(each, at=round(each.at + FAULT_FREE_SECONDS, 2))
        for each in faults_without_overload
    ]
    return sorted([*faults, *plan_overload(targets, seconds, seed)], key=lambda each: each.at)


def plan_overload(targets: SoakTargets, seconds: float, seed: int) -> list[PlannedFault]:
    """Plan the surges and the slow hosts of the same run."""
    rng = random.Random(f"pressure {seed}")
    planned: list[PlannedFault] = []
    for at, scope in zip(FAULT_FREE_SURGE_SECONDS, rng.sample(list(SurgeScope), 3), strict=True):
        planned.extend(_draw_surge(targets, scope, at, rng))
    at = FAULT_FREE_SECONDS + rng.uniform(*SURGE_INTERVAL_SECONDS)
    latest = FAULT_FREE_SECONDS + seconds - LAST_FAULT_BEFORE_END_SECONDS
    while at < latest:
        surge = _draw_surge(targets, rng.choice(list(SurgeScope)), at, rng)
        planned.extend(each for each in surge if each.ends_at <= latest + 1.0)
        at += rng.uniform(*SURGE_INTERVAL_SECONDS)
    return planned


def _draw_surge(
    targets: SoakTargets, scope: SurgeScope, at: float, rng: random.Random
) -> list[PlannedFault]:
    """Return a surge, and the hosts that are slow during it."""
    value = {
        SurgeScope.ALL: "",
        SurgeScope.KIND: rng.choice(("0", "1")),
        SurgeScope.ZONE: rng.choice(targets.zones),
    }[scope]
    surge = _draw(FaultKind.CALLERS_RUSH, Surge(scope, value).target, at, rng)
    if rng.random() >= SLOW_HOST_PROBABILITY:
        return [surge]
    slow = rng.sample(targets.agents, max(1, len(targets.agents) // SLOW_HOST_SHARE))
    return [surge, *(_draw(FaultKind.HOST_SLOW, each, at, rng) for each in slow)]


def _draw(kind: FaultKind, target: str, at: float, rng: random.Random) -> PlannedFault:
    shape = SHAPES[kind]
    length = round(rng.uniform(shape.shortest, shape.longest), 2)
    return PlannedFault(round(at, 2), kind, target, length)
