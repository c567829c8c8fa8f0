"""Draws load beyond what hosts bear: rushes of callers, and slow hosts.

A run begins with pressure alone, so that what is refused then is refused for want of room and for
no other reason. More of it comes together with faults. It has random numbers of its own: the
faults of a seed are the same with and without it.
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
"""Time at the beginning without any fault."""
FAULT_FREE_SURGE_SECONDS = (2.0, 7.0, 12.0)
"""When the rushes of that time begin: one of each width, in an order drawn by lot."""
SURGE_INTERVAL_SECONDS = (10.0, 20.0)
"""Shortest and longest time between two rushes after that."""
SLOW_HOST_PROBABILITY = 0.5
"""How often hosts are slow during a rush."""
SLOW_HOST_SHARE = 6
"""One host in so many is slow then."""


class SurgeScope(enum.StrEnum):
    """Which callers rush: all of them, those of one kind of request, or those of one zone."""

    ALL = "all"
    KIND = "kind"
    ZONE = "zone"


class Surge(msgspec.Struct, frozen=True):
    """A rush of callers: `value` is the kind's priority or the zone's name."""

    scope: SurgeScope
    value: str = ""

    @property
    def target(self) -> str:
        """Return how the schedule names it."""
        return f"{self.scope}:{self.value}"

    @classmethod
    def parse(cls, target: str) -> Surge:
        """Return what a target of the schedule names; raises `ValueError`."""
        scope, _, value = target.partition(":")
        return cls(SurgeScope(scope), value)


def plan_with_overload(targets: SoakTargets, seconds: float, seed: int) -> list[PlannedFault]:
    """Plan a run of `FAULT_FREE_SECONDS` and `seconds` more, in the order of beginning."""
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
    """Plan the rushes and the slow hosts of the same run."""
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
    """Return a rush, and the hosts that are slow during it."""
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
