"""What a run recorded: changes, calls, revisions, drains, disturbances, the trace."""

from __future__ import annotations

import hashlib
from collections import defaultdict
from dataclasses import dataclass, field

from jasperwalk.control.state.commands import OperatorCommand
from jasperwalk.control.state.outcomes import Outcome
from jasperwalk_lab.operations import CallRecord

MAX_CLOSE_RACE_SECONDS = 0.1
"""Longest time from the invocation of a request until it meets the closing of its flow."""


@dataclass(frozen=True)
class Attempt:
    """One sending of a change: when, to whom, and what came back.

    `outcome` is None when no outcome came; `refusal` is then the kind of a typed failure, or
    empty when the answer was lost.
    """

    replica: str
    invoked: float
    completed: float
    outcome: Outcome | None
    refusal: str


@dataclass
class Change:
    """An operator's change with all its attempts; times are true seconds."""

    command: OperatorCommand
    operator: str
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def change_id(self) -> str:
        """Return the change ID that all attempts carry."""
        return self.command.change_id

    @property
    def outcomes(self) -> list[Outcome]:
        """Return every outcome that came back."""
        return [each.outcome for each in self.attempts if each.outcome is not None]


@dataclass(frozen=True)
class TableRevision:
    """A process had `revision` in force from `at` on."""

    at: float
    revision: int


@dataclass(frozen=True)
class Interval:
    """A span of true time, seconds."""

    begin: float
    end: float

    def overlaps(self, begin: float, end: float) -> bool:
        """Tell whether it overlaps with another span."""
        return self.begin < end and begin < self.end


@dataclass(frozen=True)
class DrainSpan:
    """A host was leaving from the acceptance of its drain until `end`.

    `asked_at` is when operators, or the platform's list, first said so.
    """

    host: str
    begin: float
    end: float
    asked_at: float


@dataclass(frozen=True)
class Restart:
    """A process started again at a time when control's table stood at `revision`."""

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
        """Add one line to the trace."""
        self.events.append(f"{now:.6f} {text}")

    def trace_hash(self) -> str:
        """Return a hash of the trace; equal runs have equal ones."""
        return hashlib.sha256("\n".join(self.events).encode()).hexdigest()[:16]

    def ended_as_planned(self, name: str, invoked: float) -> bool:
        """Tell whether a call was invoked while the host's flows had ended by plan.

        A request on the wire at that very moment meets a closed flow, too.
        """
        return any(
            each.begin - MAX_CLOSE_RACE_SECONDS <= invoked <= each.end
            for each in self.planned_ends[name]
        )

    def disturbed(self, name: str, begin: float, end: float) -> bool:
        """Tell whether a process was down, frozen or cut off at some time within a span."""
        return any(each.overlaps(begin, end) for each in self.disturbances[name])
