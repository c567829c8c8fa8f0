"""The faults of a chaos run: their kinds, how they are planned, and which took place."""

from __future__ import annotations

import enum
from dataclasses import dataclass

import msgspec


class FaultKind(enum.StrEnum):
    """Fault of a process, a link or a disk."""

    BALANCER_KILLED = "balancer-killed"
    BALANCER_STOPPED = "balancer-stopped"
    BALANCER_FROZEN = "balancer-frozen"
    BALANCER_CUT = "balancer-cut"
    BALANCER_WITHOUT_CONTROL = "balancer-without-control"
    BALANCER_JOINED = "balancer-joined"
    BALANCER_AWAY_FOR_CHANGES = "balancer-away-for-changes"
    CONTROL_KILLED = "control-killed"
    CONTROL_FROZEN = "control-frozen"
    CONTROL_CUT = "control-cut"
    CONTROL_CUT_ONE_WAY = "control-cut-one-way"
    CONTROL_WIPED = "control-wiped"
    CONTROL_AWAY_FOR_CHANGES = "control-away-for-changes"
    HOST_LOST = "host-lost"
    HOST_DRAINED = "host-drained"
    HOST_LEAVING = "host-leaving"
    AGENT_KILLED = "agent-killed"
    AGENT_STOPPED = "agent-stopped"
    AGENT_FROZEN = "agent-frozen"
    AGENT_ANSWERS_CUT = "agent-answers-cut"
    AGENT_WITHOUT_CONTROL = "agent-without-control"
    BACKEND_SHEDS = "backend-sheds"
    BACKEND_LIES = "backend-lies"


class TargetGroup(enum.StrEnum):
    """Kind of target of a fault."""

    BALANCER = "balancer"
    SPARE = "spare"
    CONTROL = "control"
    HOST = "host"


@dataclass(frozen=True)
class FaultShape:
    """How a kind of fault is planned: its targets and its duration (seconds)."""

    group: TargetGroup
    shortest: float
    longest: float
    impairs: bool = True
    """Whether the target is out of service during the fault, and counts against the limits."""
    holds: bool = True
    """Whether the fault is held for its planned seconds; otherwise it ends by itself earlier."""


UNTIL_END = 1_000.0
"""Longer than any run: a planned stop lasts until the host's last stream has ended."""

SHAPES = {
    FaultKind.BALANCER_KILLED: FaultShape(TargetGroup.BALANCER, 2.0, 5.0),
    FaultKind.BALANCER_STOPPED: FaultShape(TargetGroup.BALANCER, 1.0, 3.0),
    FaultKind.BALANCER_FROZEN: FaultShape(TargetGroup.BALANCER, 2.0, 5.0),
    FaultKind.BALANCER_CUT: FaultShape(TargetGroup.BALANCER, 1.0, 3.0),
    FaultKind.BALANCER_WITHOUT_CONTROL: FaultShape(TargetGroup.BALANCER, 3.0, 6.0, impairs=False),
    FaultKind.BALANCER_JOINED: FaultShape(TargetGroup.SPARE, 0.0, 0.0, impairs=False),
    FaultKind.BALANCER_AWAY_FOR_CHANGES: FaultShape(TargetGroup.BALANCER, 4.0, 6.0),
    FaultKind.CONTROL_KILLED: FaultShape(TargetGroup.CONTROL, 2.0, 5.0),
    FaultKind.CONTROL_FROZEN: FaultShape(TargetGroup.CONTROL, 2.0, 5.0),
    FaultKind.CONTROL_CUT: FaultShape(TargetGroup.CONTROL, 3.0, 6.0),
    FaultKind.CONTROL_CUT_ONE_WAY: FaultShape(TargetGroup.CONTROL, 3.0, 6.0),
    FaultKind.CONTROL_WIPED: FaultShape(TargetGroup.CONTROL, 14.0, 14.0, holds=False),
    FaultKind.CONTROL_AWAY_FOR_CHANGES: FaultShape(TargetGroup.CONTROL, 4.0, 6.0),
    FaultKind.HOST_LOST: FaultShape(TargetGroup.HOST, 3.0, 6.0),
    FaultKind.HOST_DRAINED: FaultShape(TargetGroup.HOST, 7.0, 10.0),
    FaultKind.HOST_LEAVING: FaultShape(TargetGroup.HOST, 9.0, 12.0),
    FaultKind.AGENT_KILLED: FaultShape(TargetGroup.HOST, 0.0, 1.0),
    FaultKind.AGENT_STOPPED: FaultShape(TargetGroup.HOST, UNTIL_END, UNTIL_END, holds=False),
    FaultKind.AGENT_FROZEN: FaultShape(TargetGroup.HOST, 1.0, 5.0),
    FaultKind.AGENT_ANSWERS_CUT: FaultShape(TargetGroup.HOST, 1.0, 3.0),
    FaultKind.AGENT_WITHOUT_CONTROL: FaultShape(TargetGroup.HOST, 3.0, 6.0, impairs=False),
    FaultKind.BACKEND_SHEDS: FaultShape(TargetGroup.HOST, 2.0, 5.0),
    FaultKind.BACKEND_LIES: FaultShape(TargetGroup.HOST, 3.0, 6.0, impairs=False),
}


@dataclass(frozen=True)
class PlannedFault:
    """A fault that starts `at` seconds after the start of the run and is undone `seconds` later."""

    at: float
    kind: FaultKind
    target: str
    seconds: float


class FaultRecord(msgspec.Struct):
    """A fault that took place, in seconds of the machine's monotonic clock.

    `ended` is when it was undone completely; `failure` describes the error of injecting or undoing.
    """

    kind: FaultKind
    target: str
    began: float
    ended: float | None = None
    failure: str | None = None
