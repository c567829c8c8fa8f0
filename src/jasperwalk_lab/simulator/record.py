"""The record of a run, on which the checks work after its end.

It holds changes, calls, table revisions, drains, disturbances and the trace. The hash of the trace
tells whether two runs were equal. Times are true virtual seconds, not those of a process.
"""

from __future__ import annotations

import hashlib
from collections import defaultdict
from dataclasses import dataclass, field

from jasperwalk.control.state.commands import OperatorCommand
from jasperwalk.control.state.outcomes import Outcome
from jasperwalk_lab.operations import CallRecord

MAX_CLOSE_RACE_SECONDS = 0.1
"""Maximum time from the invocation of a request until it reaches a flow that has just closed."""


@dataclass(frozen=True)
class Attempt:
    """One attempt to send a change: the replica, the times, and the result.

    `outcome` is None if none was received; `refusal` is then the kind of the error, or empty
    if the answer was lost.
    """

    replica: str
    invoked: float
    completed: float
    outcome: Outcome | None
    refusal: str


@dataclass
class Change:
    """An operator's change with all its attempts."""

    command: OperatorCommand
    operator: str
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def change_id(self) -> str:
        """Return the change ID, which is the same in all attempts."""
        return self.command.change_id

    @property
    def outcomes(self) -> list[Outcome]:
        """Return all outcomes that were received."""
        return [each.outcome for each in self.attempts if each.outcome is not None]


@dataclass(frozen=True)
class TableRevision:
    """A process had `revision` in force from `at` on."""

    at: float
    revision: int


@dataclass(frozen=True)
class Interval:
    """A span of time, seconds."""

    begin: float
    end: float

    def overlaps(self, begin: float, end: float) -> bool:
        """Tell whether it overlaps another span."""
        return self.begin < end and begin < self.end


@dataclass(frozen=True)
class DrainSpan:
    """A host was draining from `begin`, when its drain was accepted, until `end`.

    `asked_at` is when an operator or the platform's list first requested the drain.
    """

    host: str
    begin: float
    end: float
    asked_at: float


@dataclass(frozen=True)
class Restart:
    """A process restarted at a time at which control's table had `revision`."""

    host: str
    at: float
    revision: int


@dataclass
class Record:
    """The record of one run."""

    changes: list[Change] = field(default_factory=list)
    calls: list[CallRecord] = field(default_factory=list)
    table_revisions: defaultdict[str, list[TableRevision]] = field(
        default_factory=lambda: defaultdict(list)
    )
    disturbances: defaultdict[str, list[Interval]] = field(
        default_factory=lambda: defaultdict(list)
    )
    planned_ends: defaultdict[str, list[Interval]] = field(
        default_factory=lambda: defaultdict(list)
    )
    """By host: from the planned end of all its flows until it serves again."""
    drains: list[DrainSpan] = field(default_factory=list)
    leader_gaps: list[Interval] = field(default_factory=list)
    restarts: list[Restart] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    events: list[str] = field(default_factory=list)
    not_connected: int = 0

    def trace(self, now: float, text: str) -> None:
        """Add a line to the trace."""
        self.events.append(f"{now:.6f} {text}")

    def trace_hash(self) -> str:
        """Return a hash of the trace; equal runs have equal hashes."""
        return hashlib.sha256("\n".join(self.events).encode()).hexdigest()[:16]

    def ended_as_planned(self, name: str, invoked: float) -> bool:
        """Tell whether a call was invoked after the planned end of the host's flows.

        A request that was in transit at that moment reaches a closed flow, too.
        """
        return any(
            each.begin - MAX_CLOSE_RACE_SECONDS <= invoked <= each.end
            for each in self.planned_ends[name]
        )

    def disturbed(self, name: str, begin: float, end: float) -> bool:
        """Tell whether a process was down, frozen or cut off at any time within a span."""
        return any(each.overlaps(begin, end) for each in self.disturbances[name])
