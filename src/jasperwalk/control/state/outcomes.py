"""Outcomes of commands: tagged dataclasses, one class a kind.

An outcome is part of the replicated state (a resent change gets its first outcome), so each
converts to and from plain values.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, ClassVar

import msgspec

from jasperwalk.config.problems import Problem, describe_problems


@dataclass(frozen=True, slots=True)
class BaseOutcome:
    """What every outcome has: `kind`, and whether the command took effect."""

    kind: ClassVar[str] = "outcome"
    accepted: ClassVar[bool] = False

    def describe(self) -> str:
        """Describe the outcome in one line."""
        return self.kind


@dataclass(frozen=True, slots=True)
class Accepted(BaseOutcome):
    """The command took effect.

    `revision` is the table revision that carries it: once that is in force everywhere, so is
    the change. `subject_revision` is the new last-changed revision (ETag) of the template or
    tenant, 0 where the command has no such subject or removed it.
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
    """An agent's registration: its incarnation, and the table revision that carries it."""

    kind: ClassVar[str] = "registered"
    accepted: ClassVar[bool] = True
    address: str
    incarnation: int
    revision: int


@dataclass(frozen=True, slots=True)
class RevisionMismatch(BaseOutcome):
    """The subject changed since the operator read it; `current` is 0 if it does not exist."""

    kind: ClassVar[str] = "revision-mismatch"
    subject: str
    expected: int
    current: int

    def describe(self) -> str:
        """Name both revisions and the mend."""
        return (
            f"{self.subject} is at revision {self.current}, not {self.expected}; "
            "read it again and decide anew"
        )


@dataclass(frozen=True, slots=True)
class ConflictingListener(BaseOutcome):
    """Two tenants' services claim the same VIP and port."""

    kind: ClassVar[str] = "conflicting-listener"
    listener: str
    tenant: str
    service: str
    other_tenant: str
    other_service: str

    def describe(self) -> str:
        """Name both claims."""
        return (
            f"listener {self.listener} of tenant {self.tenant} ({self.service}) is already taken "
            f"by tenant {self.other_tenant} ({self.other_service}); choose another VIP or port"
        )


@dataclass(frozen=True, slots=True)
class ConflictingAddress(BaseOutcome):
    """Two tenants' services claim the same agent address."""

    kind: ClassVar[str] = "conflicting-address"
    address: str
    tenant: str
    service: str
    other_tenant: str
    other_service: str

    def describe(self) -> str:
        """Name both claims."""
        return (
            f"member address {self.address} of tenant {self.tenant} ({self.service}) is already "
            f"taken by tenant {self.other_tenant} ({self.other_service}); "
            "run a second agent on another port"
        )


@dataclass(frozen=True, slots=True)
class UnknownTemplate(BaseOutcome):
    """No template has that name."""

    kind: ClassVar[str] = "unknown-template"
    template: str

    def describe(self) -> str:
        """Name the template."""
        return f"no template is named {self.template!r}; apply it first"


@dataclass(frozen=True, slots=True)
class UnknownTenant(BaseOutcome):
    """No tenant has that name."""

    kind: ClassVar[str] = "unknown-tenant"
    tenant: str

    def describe(self) -> str:
        """Name the tenant."""
        return f"no tenant is named {self.tenant!r}"


@dataclass(frozen=True, slots=True)
class UnknownHost(BaseOutcome):
    """No member or registered agent has that host name or address."""

    kind: ClassVar[str] = "unknown-host"
    host: str

    def describe(self) -> str:
        """Name the host."""
        return f"no member is on host {self.host!r}; give a host name or an agent's IPV4:PORT"


@dataclass(frozen=True, slots=True)
class InvalidTemplate(BaseOutcome):
    """The text is not a valid template."""

    kind: ClassVar[str] = "invalid-template"
    problems: tuple[Problem, ...]

    def describe(self) -> str:
        """List the problems."""
        return describe_problems(self.problems)


@dataclass(frozen=True, slots=True)
class InvalidValues(BaseOutcome):
    """The tenant's values do not fit its template."""

    kind: ClassVar[str] = "invalid-values"
    problems: tuple[Problem, ...]

    def describe(self) -> str:
        """List the problems."""
        return describe_problems(self.problems)


@dataclass(frozen=True, slots=True)
class TenantRenderingFailed(BaseOutcome):
    """A changed template does not fit the values of `tenant`, which uses it."""

    kind: ClassVar[str] = "tenant-rendering-failed"
    template: str
    tenant: str
    problems: tuple[Problem, ...]

    def describe(self) -> str:
        """Name the tenant and list the problems."""
        problems = describe_problems(self.problems)
        return f"template {self.template} does not fit tenant {self.tenant}: {problems}"


@dataclass(frozen=True, slots=True)
class InvalidIdentifier(BaseOutcome):
    """A name or change ID of a wrong shape; `subject` says which."""

    kind: ClassVar[str] = "invalid-identifier"
    subject: str
    text: str
    mend: str

    def describe(self) -> str:
        """Name the text and the mend."""
        return f"{self.subject} {self.text!r} is not valid; {self.mend}"


@dataclass(frozen=True, slots=True)
class ChangeIdReused(BaseOutcome):
    """The change ID was used before for another change, whose outcome stands."""

    kind: ClassVar[str] = "change-id-reused"
    change_id: str

    def describe(self) -> str:
        """Name the change ID and the mend."""
        return f"change ID {self.change_id!r} belongs to another change; use a new one"


@dataclass(frozen=True, slots=True)
class SupersededBoot(BaseOutcome):
    """A late registration of a start that a newer start at the address has replaced."""

    kind: ClassVar[str] = "superseded-boot"
    address: str
    incarnation: int

    def describe(self) -> str:
        """Name the address and the current incarnation."""
        return f"{self.address} has been taken over by incarnation {self.incarnation}"


@dataclass(frozen=True, slots=True)
class IncarnationsExhausted(BaseOutcome):
    """The address has used every incarnation; it may not be used again."""

    kind: ClassVar[str] = "incarnations-exhausted"
    address: str

    def describe(self) -> str:
        """Name the address and the mend."""
        return f"{self.address} has used all its incarnations; start the agent on another port"


@dataclass(frozen=True, slots=True)
class ServiceIdsExhausted(BaseOutcome):
    """Every service ID has been allotted."""

    kind: ClassVar[str] = "service-ids-exhausted"


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
class InvalidKey(BaseOutcome):
    """A fleet key of a wrong rotation or length."""

    kind: ClassVar[str] = "invalid-key"
    purpose: str
    rotation: int
    secret_length: int

    def describe(self) -> str:
        """Name the key and the bounds."""
        return (
            f"{self.purpose} key of rotation {self.rotation} and {self.secret_length} bytes; "
            "rotation must be 0 to 6, the secret 16 to 64 bytes (16 for connection IDs)"
        )


@dataclass(frozen=True, slots=True)
class KeyAlreadyInstalled(BaseOutcome):
    """Another secret was installed first under that purpose and rotation; it stands."""

    kind: ClassVar[str] = "key-already-installed"
    purpose: str
    rotation: int


@dataclass(frozen=True, slots=True)
class RotationInProgress(BaseOutcome):
    """The former rotation of that purpose has not come to its activation yet."""

    kind: ClassVar[str] = "rotation-in-progress"
    purpose: str

    def describe(self) -> str:
        """Name the purpose and the mend."""
        return (
            f"the {self.purpose} key is being rotated; wait until `jasperwalk keys show` "
            "names the newer key active"
        )


@dataclass(frozen=True, slots=True)
class UnknownKey(BaseOutcome):
    """No key of that purpose, rotation and generation awaits this step; nothing changed."""

    kind: ClassVar[str] = "unknown-key"
    purpose: str
    rotation: int
    generation: int


@dataclass(frozen=True, slots=True)
class MalformedCommand(BaseOutcome):
    """Bytes of the log that are no command; they change nothing."""

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
    """Convert back; raise `msgspec.ValidationError` where kind or fields do not fit."""
    outcome_class = _OUTCOME_CLASSES.get(image.kind)
    if outcome_class is None:
        raise msgspec.ValidationError(f"unknown outcome kind {image.kind!r}")
    outcome: Outcome = msgspec.convert(image.fields, outcome_class, strict=True)
    return outcome
