"""Accepted templates and tenants, and the decision whether a change of them is accepted.

A change is refused if its revision is outdated, a tenant does not render, or two tenants conflict.
"""

from __future__ import annotations

from typing import Any

import msgspec

from jasperwalk.config.conflicts import (
    Claims,
    Conflict,
    ListenerConflict,
    RenderedTenant,
)
from jasperwalk.config.parameters import NAME_RULE, is_name
from jasperwalk.config.problems import TemplateError, ValuesError
from jasperwalk.config.rendering import render
from jasperwalk.config.templates import Template, parse_template
from jasperwalk.config.tenants import Tenant
from jasperwalk.control.state.commands import ApplyTemplate, RemoveTenant, SetTenant
from jasperwalk.control.state.configuration_refusals import (
    ConflictingAddress,
    ConflictingListener,
    InvalidIdentifier,
    InvalidTemplate,
    InvalidValues,
    RevisionMismatch,
    TenantRenderingFailed,
    UnknownTemplate,
    UnknownTenant,
)
from jasperwalk.control.state.outcomes import LimitReached, Outcome

MAX_TEMPLATE_COUNT = 1_000
MAX_TENANT_COUNT = 20_000

MAX_SHOWN_NAME_LENGTH = 80
"""Maximum characters of an invalid name that an outcome repeats."""


class StoredTemplate(msgspec.Struct, frozen=True):
    """An accepted template, its text, and the revision at which it was last applied."""

    template: Template
    text: str
    revision: int


class StoredTenant(msgspec.Struct, frozen=True):
    """An accepted tenant and the revision at which it was last set (its ETag)."""

    tenant: Tenant
    revision: int


class Plan(msgspec.Struct, frozen=True):
    """An accepted change: what to store, and the renderings that replace the present ones."""

    template: StoredTemplate | None
    tenants: list[StoredTenant]
    renderings: list[RenderedTenant]


class Configuration:
    """Accepted templates and tenants."""

    def __init__(self) -> None:
        self.templates: dict[str, StoredTemplate] = {}
        self.tenants: dict[str, StoredTenant] = {}

    def copy(self) -> Configuration:
        """Return a copy that later changes do not affect."""
        copied = Configuration()
        copied.templates = dict(self.templates)
        copied.tenants = dict(self.tenants)
        return copied

    def plan_template(self, command: ApplyTemplate, index: int, claims: Claims) -> Plan | Outcome:
        """Decide on a template: all of its tenants must render, and without conflict."""
        try:
            template = parse_template(command.text)
        except TemplateError as error:
            return InvalidTemplate(problems=error.problems)
        if command.name and command.name != template.name:
            mend = f"give the name in the text, {template.name!r}"
            return InvalidIdentifier(
                subject="template name", text=command.name[:MAX_SHOWN_NAME_LENGTH], mend=mend
            )
        stored = self.templates.get(template.name)
        current = 0 if stored is None else stored.revision
        mismatch = _mismatch(f"template {template.name}", command.expected_revision, current)
        if mismatch is not None:
            return mismatch
        if stored is None and len(self.templates) >= MAX_TEMPLATE_COUNT:
            return LimitReached(subject="templates", limit=MAX_TEMPLATE_COUNT)
        new_template = StoredTemplate(template=template, text=command.text, revision=index)
        return self._plan_rerendering(new_template, claims)

    def plan_tenant(self, command: SetTenant, index: int, claims: Claims) -> Plan | Outcome:
        """Decide on a tenant: its values must render, and without conflict."""
        if not is_name(command.name):
            return InvalidIdentifier(
                subject="tenant name", text=command.name[:MAX_SHOWN_NAME_LENGTH], mend=NAME_RULE
            )
        mismatch = self._tenant_mismatch(command.name, command.expected_revision)
        if mismatch is not None:
            return mismatch
        stored_template = self.templates.get(command.template)
        if stored_template is None:
            return UnknownTemplate(template=command.template[:MAX_SHOWN_NAME_LENGTH])
        if command.name not in self.tenants and len(self.tenants) >= MAX_TENANT_COUNT:
            return LimitReached(subject="tenants", limit=MAX_TENANT_COUNT)
        return _plan_values(command, stored_template, index, claims)

    def plan_removal(self, command: RemoveTenant) -> Plan | Outcome:
        """Decide on a tenant's removal; its rendering becomes empty."""
        if command.name not in self.tenants:
            return UnknownTenant(tenant=command.name[:MAX_SHOWN_NAME_LENGTH])
        mismatch = self._tenant_mismatch(command.name, command.expected_revision)
        if mismatch is not None:
            return mismatch
        rendering = RenderedTenant(tenant=command.name, services=[])
        return Plan(template=None, tenants=[], renderings=[rendering])

    def store(self, plan: Plan) -> None:
        """Store the templates and tenants of a plan."""
        if plan.template is not None:
            self.templates[plan.template.template.name] = plan.template
        for stored in plan.tenants:
            self.tenants[stored.tenant.name] = stored

    def _plan_rerendering(self, stored: StoredTemplate, claims: Claims) -> Plan | Outcome:
        """Render all tenants of a template with its new text."""
        tenants: list[StoredTenant] = []
        renderings: list[RenderedTenant] = []
        for present in self._tenants_of(stored.template.name):
            tenant: Tenant = msgspec.structs.replace(
                present.tenant, template_version=stored.revision
            )
            try:
                services = render(stored.template, tenant)
            except ValuesError as error:
                return TenantRenderingFailed(
                    template=stored.template.name, tenant=tenant.name, problems=error.problems
                )
            # The tenant keeps its own revision: it was not changed by its operators.
            tenants.append(StoredTenant(tenant=tenant, revision=present.revision))
            renderings.append(RenderedTenant(tenant=tenant.name, services=services))
        conflicts = claims.find_conflicts(renderings)
        if conflicts:
            return _conflict_outcome(conflicts[0])
        return Plan(template=stored, tenants=tenants, renderings=renderings)

    def _tenants_of(self, template_name: str) -> list[StoredTenant]:
        """Return the tenants of a template, ordered by name."""
        return [
            self.tenants[name]
            for name in sorted(self.tenants)
            if self.tenants[name].tenant.template == template_name
        ]

    def _tenant_mismatch(self, name: str, expected: int | None) -> RevisionMismatch | None:
        stored = self.tenants.get(name)
        current = 0 if stored is None else stored.revision
        return _mismatch(f"tenant {name}", expected, current)


def _mismatch(subject: str, expected: int | None, current: int) -> RevisionMismatch | None:
    """Check an expected revision, so that of concurrent changes only one is accepted."""
    if expected is None or expected == current:
        return None
    return RevisionMismatch(subject=subject, expected=expected, current=current)


def _conflict_outcome(conflict: Conflict) -> ConflictingListener | ConflictingAddress:
    """Return the refusal that names both tenants of a conflict."""
    names: dict[str, Any] = {
        "tenant": conflict.owner.tenant,
        "service": conflict.owner.service,
        "other_tenant": conflict.other.tenant,
        "other_service": conflict.other.service,
    }
    if isinstance(conflict, ListenerConflict):
        return ConflictingListener(listener=str(conflict.listener), **names)
    return ConflictingAddress(address=str(conflict.address), **names)


def _plan_values(
    command: SetTenant, stored_template: StoredTemplate, index: int, claims: Claims
) -> Plan | Outcome:
    """Render a tenant's values and check for conflicts."""
    tenant = Tenant(
        name=command.name,
        template=command.template,
        template_version=stored_template.revision,
        values=command.values,
    )
    try:
        services = render(stored_template.template, tenant)
    except ValuesError as error:
        return InvalidValues(problems=error.problems)
    rendering = RenderedTenant(tenant=command.name, services=services)
    conflicts = claims.find_conflicts([rendering])
    if conflicts:
        return _conflict_outcome(conflicts[0])
    stored = StoredTenant(tenant=tenant, revision=index)
    return Plan(template=None, tenants=[stored], renderings=[rendering])
