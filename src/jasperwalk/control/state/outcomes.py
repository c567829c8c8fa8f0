"""Outcomes of commands: tagged dataclasses, one class per kind.

An outcome is part of the replicated state (a resent change gets its first outcome), so each
converts to and from plain values.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, ClassVar

import msgspec

from jasperwalk.control.state.configuration_refusals import (
    ConflictingAddress,
    ConflictingListener,
    InvalidIdentifier,
    InvalidTemplate,
    InvalidValues,
    RevisionMismatch,
    ServiceIdsExhausted,
    TenantRenderingFailed,
    UnknownTemplate,
    UnknownTenant,
)
from jasperwalk.control.state.fleet_refusals import (
    IncarnationsExhausted,
    InvalidKey,
    KeyAlreadyInstalled,
    RotationInProgress,
    SupersededBoot,
    UnknownHost,
    UnknownKey,
)
from jasperwalk.control.state.outcome_base import BaseOutcome


@dataclass(frozen=True, slots=True)
class Accepted(BaseOutcome):
    """The command took effect.

    `revision` is the table revision that includes it: once that is in force everywhere, so is
    the change. `subject_revision` is the new last-changed revision (ETag) of the template or
    tenant, 0 if the command has no such subject or removed it.
    """

    kind: ClassVar[str] = "accepted"
    accepted: ClassVar[bool] = True
    revision: int
    subject_revision: int = 0

    def describe(self) -> str:
        """Name the revision."""
        return f"accepted at revision {self.revision}"


@dataclass(frozen=True, slots=True)
class Registered(BaseOutcome):
    """An agent's registration: its incarnation, and the table revision that includes it."""

    kind: ClassVar[str] = "registered"
    accepted: ClassVar[bool] = True
    address: str
    incarnation: int
    revision: int


@dataclass(frozen=True, slots=True)
class ChangeIdReused(BaseOutcome):
    """The change ID was used before for another change, whose outcome is kept."""

    kind: ClassVar[str] = "change-id-reused"
    change_id: str

    def describe(self) -> str:
        """Name the change ID and what to do."""
        return f"change ID {self.change_id!r} belongs to another change; use a new one"


@dataclass(frozen=True, slots=True)
class LimitReached(BaseOutcome):
    """The state may hold no more than `limit` of `subject`."""

    kind: ClassVar[str] = "limit-reached"
    subject: str
    limit: int

    def describe(self) -> str:
        """Name the limit."""
        return f"no more than {self.limit} {self.subject} are held"


@dataclass(frozen=True, slots=True)
class MalformedCommand(BaseOutcome):
    """An entry of the log that is not a valid command; it changes nothing."""

    kind: ClassVar[str] = "malformed-command"
    reason: str

    def describe(self) -> str:
        """Give the decoder's reason."""
        return f"malformed command: {self.reason}"


Outcome = (
    Accepted
    | Registered
    | RevisionMismatch
    | ConflictingListener
    | ConflictingAddress
    | UnknownTemplate
    | UnknownTenant
    | UnknownHost
    | InvalidTemplate
    | InvalidValues
    | TenantRenderingFailed
    | InvalidIdentifier
    | ChangeIdReused
    | SupersededBoot
    | IncarnationsExhausted
    | ServiceIdsExhausted
    | LimitReached
    | InvalidKey
    | KeyAlreadyInstalled
    | RotationInProgress
    | UnknownKey
    | MalformedCommand
)

_OUTCOME_CLASSES: dict[str, type[Any]] = {
    outcome_class.kind: outcome_class for outcome_class in BaseOutcome.__subclasses__()
}


class OutcomeImage(msgspec.Struct, frozen=True, array_like=True):
    """Wire and snapshot form of an outcome: its kind and its fields by name."""

    kind: str
    fields: dict[str, Any]


def outcome_to_image(outcome: Outcome) -> OutcomeImage:
    """Convert an outcome into plain values."""
    fields = msgspec.to_builtins(outcome, builtin_types=(bytes,))
    return OutcomeImage(kind=outcome.kind, fields=fields)


def outcome_from_image(image: OutcomeImage) -> Outcome:
    """Convert back; raise `msgspec.ValidationError` if kind or fields are invalid."""
    outcome_class = _OUTCOME_CLASSES.get(image.kind)
    if outcome_class is None:
        raise msgspec.ValidationError(f"unknown outcome kind {image.kind!r}")
    outcome: Outcome = msgspec.convert(image.fields, outcome_class, strict=True)
    return outcome
