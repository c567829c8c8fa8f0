"""Refusals of a template or a tenant."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from jasperwalk.config.problems import Problem, describe_problems
from jasperwalk.control.state.outcome_base import BaseOutcome


@dataclass(frozen=True, slots=True)
class RevisionMismatch(BaseOutcome):
    """The subject changed since the operator read it; `current` is 0 if it does not exist."""

    kind: ClassVar[str] = "revision-mismatch"
    subject: str
    expected: int
    current: int

    def describe(self) -> str:
        """Name both revisions and what to do."""
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
    """A malformed name or change ID; `subject` says which."""

    kind: ClassVar[str] = "invalid-identifier"
    subject: str
    text: str
    mend: str

    def describe(self) -> str:
        """Name the text and what to use instead."""
        return f"{self.subject} {self.text!r} is not valid; {self.mend}"


@dataclass(frozen=True, slots=True)
class ServiceIdsExhausted(BaseOutcome):
    """Every service ID has been allocated."""

    kind: ClassVar[str] = "service-ids-exhausted"
