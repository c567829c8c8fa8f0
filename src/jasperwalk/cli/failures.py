"""Failures of operators' commands, each with its exit code."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from jasperwalk.cli.exit_codes import ExitCode
from jasperwalk.control.in_force import InForce
from jasperwalk.control.problem import Problem
from jasperwalk.errors import JasperwalkError


@dataclass(eq=False)
class CommandError(JasperwalkError):
    """Base of the failures that end a command."""

    kind: ClassVar[str] = "command-failed"
    exit_code: ClassVar[ExitCode] = ExitCode.REFUSED


@dataclass(eq=False)
class OperationRefused(CommandError):
    """Control answered with a problem: the operation did not take place."""

    kind: ClassVar[str] = "operation-refused"
    problem: Problem

    def describe(self) -> str:
        """Return control's kind and detail."""
        return f"{self.problem.kind}: {self.problem.detail}"


@dataclass(eq=False)
class InvalidInput(CommandError):
    """A file or value given to a command cannot be used; nothing was sent."""

    kind: ClassVar[str] = "invalid-input"
    exit_code: ClassVar[ExitCode] = ExitCode.USAGE
    source: str
    problem: str
    mend: str

    def describe(self) -> str:
        """Name the source, the problem and the remedy."""
        return f"{self.source}: {self.problem}; {self.mend}"


@dataclass(eq=False)
class ControlUnreachable(CommandError):
    """No replica settled the request; `attempts` has the reason of each one tried."""

    kind: ClassVar[str] = "control-unreachable"
    exit_code: ClassVar[ExitCode] = ExitCode.CONTROL_UNREACHABLE
    attempts: tuple[str, ...]

    def describe(self) -> str:
        """List the replicas with the reason of each."""
        return f"no control replica took the request: {'; '.join(self.attempts)}"


@dataclass(eq=False)
class ChangeOutcomeUnknown(CommandError):
    """The request may have been carried out, but no answer came."""

    kind: ClassVar[str] = "outcome-unknown"
    exit_code: ClassVar[ExitCode] = ExitCode.OUTCOME_UNKNOWN
    change_id: str | None
    attempts: tuple[str, ...]

    def describe(self) -> str:
        """Name the remedy: a resend, or a check of the current state."""
        mend = "check the current state before you repeat it"
        if self.change_id is not None:
            mend = f"resend it with --change-id {self.change_id}"
        return f"the outcome is not known ({'; '.join(self.attempts)}); {mend}"


@dataclass(eq=False)
class NotInForce(CommandError):
    """An accepted change was not in force everywhere within the wait limit."""

    kind: ClassVar[str] = "not-in-force"
    exit_code: ClassVar[ExitCode] = ExitCode.NOT_IN_FORCE
    change_id: str
    in_force: InForce

    def describe(self) -> str:
        """Return the counts and the processes that are behind."""
        return (
            f"change {self.change_id} is accepted, but revision {self.in_force.revision} is not "
            f"in force everywhere yet: {describe_in_force(self.in_force)}"
        )


def describe_in_force(report: InForce) -> str:
    """Return the counts and the laggards of a report in one line."""
    text = describe_counts(report.in_force, report.balancers, report.agents_in_force, report.agents)
    if report.laggards:
        text += f"; behind: {describe_laggards(report.laggards, report.laggard_count)}"
    return text


def describe_counts(
    in_force: int | None, balancers: int | None, agents_in_force: int | None, agents: int | None
) -> str:
    """Return on how many balancers and agents a revision is in force, or that it is unknown."""
    if balancers is None or agents is None:
        return "an unknown number of balancers and agents (control is collecting reports)"
    return f"{in_force} of {balancers} balancers, {agents_in_force} of {agents} agents"


def describe_laggards(laggards: list[str], count: int) -> str:
    """Return the names of the laggards, and how many more there are."""
    names = ", ".join(laggards)
    return names if count <= len(laggards) else f"{names} and {count - len(laggards)} more"
