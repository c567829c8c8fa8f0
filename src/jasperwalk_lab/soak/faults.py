"""The kinds of faults of a soak: their targets, their durations, and which are planned work.

Planned work is what operators do on purpose; it must not reset an open flow.
"""

from __future__ import annotations

import enum

import msgspec


class TargetGroup(enum.StrEnum):
    """What a fault is injected into."""

    CONTROL = "control"
    BALANCER = "balancer"
    AGENT = "agent"
    HOST = "host"
    ZONE = "zone"
    CALLERS = "callers"
    ALL = "all"


class FaultKind(enum.StrEnum):
    """What a fault does."""

    CONTROL_KILLED = "control-killed"
    CONTROL_PAUSED = "control-paused"
    CONTROL_WIPED = "control-wiped"
    CONTROL_TERMINATED = "control-terminated"
    CONTROL_LINKS_SILENT = "control-links-silent"
    CONTROL_LINKS_ONE_WAY = "control-links-one-way"
    CONTROL_LINKS_SLOW = "control-links-slow"
    CONTROL_LINKS_RESET = "control-links-reset"
    STORAGE_SLOW = "storage-slow"
    STORAGE_FULL = "storage-full"
    STORAGE_SYNC_FAILS = "storage-sync-fails"
    BALANCER_KILLED = "balancer-killed"
    BALANCER_PAUSED = "balancer-paused"
    BALANCER_TERMINATED = "balancer-terminated"
    AGENT_KILLED = "agent-killed"
    AGENT_PAUSED = "agent-paused"
    AGENT_TERMINATED = "agent-terminated"
    AGENT_LINKS_LOSSY = "agent-links-lossy"
    AGENT_LINKS_SILENT = "agent-links-silent"
    AGENT_LINKS_ONE_WAY = "agent-links-one-way"
    HOST_CRASHED = "host-crashed"
    HOST_REPLACED = "host-replaced"
    HOST_TURNS_AWAY = "host-turns-away"
    ZONE_DRAINED = "zone-drained"
    ALL_KILLED = "all-killed"
    CONTROL_RESTARTED_OFTEN = "control-restarted-often"
    BALANCER_RESTARTED_OFTEN = "balancer-restarted-often"
    AGENT_RESTARTED_OFTEN = "agent-restarted-often"
    CONTROL_SIGNALLED = "control-signalled"
    BALANCER_SIGNALLED = "balancer-signalled"
    AGENT_SIGNALLED = "agent-signalled"
    HOST_STARTED_AGAIN = "host-started-again"
    HOST_IMPERSONATED = "host-impersonated"
    CONFIGURATION_STORM = "configuration-storm"
    ZONE_ORDERS_IN_A_ROW = "zone-orders-in-a-row"
    CALLERS_RUSH = "callers-rush"
    HOST_SLOW = "host-slow"
    CONTROL_LINKS_ABANDONED = "control-links-abandoned"
    HOST_SPEAKS_LATE = "host-speaks-late"


class FaultSelection(enum.StrEnum):
    """Which faults a run injects."""

    ALL = "all"
    PLANNED = "planned"
    """Planned work alone, much of it at the same time."""


class FaultShape(msgspec.Struct, frozen=True):
    """A kind's target group, its duration bounds in seconds, and whether it is planned work."""

    group: TargetGroup
    shortest: float
    longest: float
    is_planned: bool = False


SHAPES = {
    FaultKind.CONTROL_KILLED: FaultShape(TargetGroup.CONTROL, 0.3, 2.0),
    FaultKind.CONTROL_PAUSED: FaultShape(TargetGroup.CONTROL, 0.3, 2.5),
    FaultKind.CONTROL_WIPED: FaultShape(TargetGroup.CONTROL, 0.3, 1.5),
    FaultKind.CONTROL_TERMINATED: FaultShape(TargetGroup.CONTROL, 0.3, 1.0, is_planned=True),
    FaultKind.CONTROL_LINKS_SILENT: FaultShape(TargetGroup.CONTROL, 1.0, 3.0),
    FaultKind.CONTROL_LINKS_ONE_WAY: FaultShape(TargetGroup.CONTROL, 1.0, 3.0),
    FaultKind.CONTROL_LINKS_SLOW: FaultShape(TargetGroup.CONTROL, 1.0, 3.0),
    FaultKind.CONTROL_LINKS_RESET: FaultShape(TargetGroup.CONTROL, 0.1, 0.2),
    FaultKind.STORAGE_SLOW: FaultShape(TargetGroup.CONTROL, 1.0, 3.0),
    FaultKind.STORAGE_FULL: FaultShape(TargetGroup.CONTROL, 0.5, 2.0),
    FaultKind.STORAGE_SYNC_FAILS: FaultShape(TargetGroup.CONTROL, 0.3, 1.0),
    FaultKind.BALANCER_KILLED: FaultShape(TargetGroup.BALANCER, 0.2, 1.0),
    FaultKind.BALANCER_PAUSED: FaultShape(TargetGroup.BALANCER, 0.3, 2.0),
    FaultKind.BALANCER_TERMINATED: FaultShape(TargetGroup.BALANCER, 0.3, 1.0, is_planned=True),
    FaultKind.AGENT_KILLED: FaultShape(TargetGroup.AGENT, 0.2, 0.8),
    FaultKind.AGENT_PAUSED: FaultShape(TargetGroup.AGENT, 0.3, 2.0),
    FaultKind.AGENT_TERMINATED: FaultShape(TargetGroup.AGENT, 0.2, 0.6, is_planned=True),
    FaultKind.AGENT_LINKS_LOSSY: FaultShape(TargetGroup.AGENT, 1.0, 4.0),
    FaultKind.AGENT_LINKS_SILENT: FaultShape(TargetGroup.AGENT, 0.5, 2.0),
    FaultKind.AGENT_LINKS_ONE_WAY: FaultShape(TargetGroup.AGENT, 0.5, 2.0),
    FaultKind.HOST_CRASHED: FaultShape(TargetGroup.HOST, 0.3, 2.0),
    FaultKind.HOST_REPLACED: FaultShape(TargetGroup.HOST, 0.3, 1.0, is_planned=True),
    FaultKind.HOST_TURNS_AWAY: FaultShape(TargetGroup.HOST, 1.0, 3.0),
    FaultKind.ZONE_DRAINED: FaultShape(TargetGroup.ZONE, 6.0, 9.0, is_planned=True),
    FaultKind.ALL_KILLED: FaultShape(TargetGroup.ALL, 0.2, 0.8),
    FaultKind.CONTROL_RESTARTED_OFTEN: FaultShape(TargetGroup.CONTROL, 1.0, 3.0),
    FaultKind.BALANCER_RESTARTED_OFTEN: FaultShape(TargetGroup.BALANCER, 1.0, 3.0),
    FaultKind.AGENT_RESTARTED_OFTEN: FaultShape(TargetGroup.AGENT, 1.0, 3.0),
    FaultKind.CONTROL_SIGNALLED: FaultShape(TargetGroup.CONTROL, 0.5, 1.5, is_planned=True),
    FaultKind.BALANCER_SIGNALLED: FaultShape(TargetGroup.BALANCER, 0.5, 1.5, is_planned=True),
    FaultKind.AGENT_SIGNALLED: FaultShape(TargetGroup.AGENT, 0.5, 1.5, is_planned=True),
    FaultKind.HOST_STARTED_AGAIN: FaultShape(TargetGroup.HOST, 0.5, 2.0),
    FaultKind.HOST_IMPERSONATED: FaultShape(TargetGroup.HOST, 0.5, 1.5, is_planned=True),
    FaultKind.CONFIGURATION_STORM: FaultShape(TargetGroup.CONTROL, 1.0, 2.0, is_planned=True),
    FaultKind.ZONE_ORDERS_IN_A_ROW: FaultShape(TargetGroup.ZONE, 1.0, 2.0, is_planned=True),
    FaultKind.CALLERS_RUSH: FaultShape(TargetGroup.CALLERS, 2.0, 3.0, is_planned=True),
    FaultKind.HOST_SLOW: FaultShape(TargetGroup.HOST, 2.0, 4.0, is_planned=True),
    FaultKind.CONTROL_LINKS_ABANDONED: FaultShape(TargetGroup.ALL, 0.1, 0.2),
    FaultKind.HOST_SPEAKS_LATE: FaultShape(TargetGroup.HOST, 0.3, 2.5),
}
SEPARATELY_DRAWN_KINDS = (FaultKind.CONTROL_LINKS_ABANDONED, FaultKind.HOST_SPEAKS_LATE)
"""Kinds drawn by a random generator of their own: the schedules of kept seeds stay the same."""
OVERLOAD_KINDS = frozenset((FaultKind.CALLERS_RUSH, FaultKind.HOST_SLOW))
"""Load beyond the hosts' capacity. It excuses no violation, and only `overload` plans it."""
PLANNED_KINDS = tuple(
    kind for kind, shape in SHAPES.items() if shape.is_planned and kind not in OVERLOAD_KINDS
)
"""What operators do on purpose."""


class PlannedFault(msgspec.Struct, frozen=True):
    """One fault of the schedule: its start, its target and its duration, in seconds of the run."""

    at: float
    kind: FaultKind
    target: str
    seconds: float

    @property
    def is_planned(self) -> bool:
        """Tell whether it is planned work, which must not reset an open flow."""
        return SHAPES[self.kind].is_planned

    @property
    def ends_at(self) -> float:
        """Return when it is undone."""
        return self.at + self.seconds


class InjectedFault(msgspec.Struct, frozen=True):
    """A fault as it took place; `ended_at` is None where the run ended before it was undone.

    `failure` says why it could not be injected, and is empty otherwise.
    """

    planned: PlannedFault
    began_at: float
    ended_at: float | None
    failure: str = ""
