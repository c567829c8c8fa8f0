"""Failures of proposing a change to the replicated log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from jasperwalk.errors import JasperwalkError


@dataclass(eq=False)
class ProposalError(JasperwalkError):
    """Base class of the failures of a proposal."""

    kind: ClassVar[str] = "proposal-failed"


@dataclass(eq=False)
class NoLeader(ProposalError):
    """No leader is reachable from this replica; the change was not made."""

    kind: ClassVar[str] = "no-leader"
    leader_id: int | None = None

    def describe(self) -> str:
        """Say that nothing was changed."""
        return "no leader can be reached from this replica; nothing was changed, try again"


@dataclass(eq=False)
class Overloaded(ProposalError):
    """Too many changes are in progress; the change was not made."""

    kind: ClassVar[str] = "overloaded"

    def describe(self) -> str:
        """Say that nothing was changed."""
        return "too many changes are in progress; nothing was changed, try again"


@dataclass(eq=False)
class ProposalLost(ProposalError):
    """A new leader's entry replaced the change, which will never be applied."""

    kind: ClassVar[str] = "proposal-lost"

    def describe(self) -> str:
        """Say that nothing was changed."""
        return "the leader changed and the change was lost; nothing was changed, try again"


@dataclass(eq=False)
class OutcomeUnknown(ProposalError):
    """The change may or may not be applied; its outcome did not arrive in time."""

    kind: ClassVar[str] = "outcome-unknown"

    def describe(self) -> str:
        """Say how to learn the outcome."""
        return "the outcome is not known yet; resend with the same change ID to learn it"


@dataclass(eq=False)
class MembershipRefused(ProposalError):
    """The leader refused a change of the replicas."""

    kind: ClassVar[str] = "membership-refused"
    reason: str

    def describe(self) -> str:
        """Give the reason."""
        return f"change of the replicas refused: {self.reason}"
