"""What a chaos run records with its faults: killed agents, leaving hosts, recoveries."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class AgentLoss:
    """An agent that was killed at `at` (seconds); `cause` names the fault."""

    agent: str
    host: str
    at: float
    cause: str


@dataclass
class LeavingPeriod:
    """The host must get no new work from `since` to `until` (seconds, None: the end of the run)."""

    host: str
    cause: str
    since: float
    until: float | None = None


@dataclass(frozen=True)
class Recovery:
    """A restarted process had the newest change `seconds` after its restart."""

    process: str
    changes_missed: int
    seconds: float


@dataclass
class Observations:
    """All observations of one run."""

    agent_losses: list[AgentLoss] = field(default_factory=list)
    leaving: list[LeavingPeriod] = field(default_factory=list)
    recoveries: list[Recovery] = field(default_factory=list)
