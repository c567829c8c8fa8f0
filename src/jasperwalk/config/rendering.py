"""Renders a template with a tenant's values into services with members; free of side effects."""

from __future__ import annotations

from typing import Any

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.config.parameters import (
    MemberValue,
    TypedValue,
    add_duplicate_address,
    check_name,
    check_value,
)
from jasperwalk.config.problems import ProblemCollector, ProblemKind, ValuesError
from jasperwalk.config.service_fields import REFERENCE_PATTERN, SERVICE_FIELDS, sole_reference
from jasperwalk.config.table_entries import HealthMonitor, Objective, ServiceLimits
from jasperwalk.config.templates import ServiceTemplate, Template
from jasperwalk.config.tenants import Tenant, resolve_values


class RenderedMember(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """A member of a rendered service."""

    address: Endpoint
    host: str
    zone: str
    weight: int
    slots: int


class RenderedService(msgspec.Struct, frozen=True, array_like=True):
    """A service as a template and values describe it, before it gets its ID."""

    name: str
    listener: Endpoint
    objective: Objective
    limits: ServiceLimits
    health_monitor: HealthMonitor
    members: tuple[RenderedMember, ...]


def render(template: Template, tenant: Tenant) -> list[RenderedService]:
    """Render a tenant's services in the template's order.

    Raises `ValuesError` with every problem found.
    """
    problems = ProblemCollector()
    values = resolve_values(template, tenant.values, problems)
    if problems.found():
        raise ValuesError(problems=problems.found())
    services = [_render_service(service, values, problems) for service in template.services]
    rendered = [service for service in services if service is not None]
    _check_duplicates(template, rendered, problems)
    if problems.found():
        raise ValuesError(problems=problems.found())
    return rendered


def _render_service(
    service: ServiceTemplate, values: dict[str, TypedValue], problems: ProblemCollector
) -> RenderedService | None:
    before = problems.count
    fields: dict[str, Any] = {}
    for path, raw in service.fields.items():
        fields[path] = _resolve_field(path, raw, values, f"{service.place}.{path}", problems)
    if fields["name"] is not None:
        check_name(fields["name"], f"{service.place}.name", problems)
    if problems.count > before:
        return None
    return RenderedService(
        name=fields["name"],
        listener=fields["listener"],
        objective=Objective(fields["objective"]),
        limits=ServiceLimits(
            queue_length=fields["limits.queue_length"],
            queue_wait_ms=fields["limits.queue_wait_ms"],
            request_deadline_ms=fields["limits.request_deadline_ms"],
            slow_start_ms=fields["limits.slow_start_ms"],
        ),
        health_monitor=HealthMonitor(
            path=fields["health_monitor.path"],
            interval_ms=fields["health_monitor.interval_ms"],
            timeout_ms=fields["health_monitor.timeout_ms"],
            failures_to_offline=fields["health_monitor.failures_to_offline"],
        ),
        members=_render_members(
            fields["members"], fields["member_defaults.weight"], fields["member_defaults.slots"]
        ),
    )


def _resolve_field(
    path: str, raw: Any, values: dict[str, TypedValue], place: str, problems: ProblemCollector
) -> TypedValue | None:
    """Replace references, then validate the result against the field's own shape."""
    shape = SERVICE_FIELDS[path].shape
    sole = sole_reference(raw)
    if sole is not None:
        value = values[sole]
        if isinstance(value, (Endpoint, tuple)):
            return value
        return check_value(shape, value, place, problems)
    if isinstance(raw, str):
        raw = REFERENCE_PATTERN.sub(lambda match: str(values[match.group(1)]), raw)
    return check_value(shape, raw, place, problems)


def _render_members(
    members: tuple[MemberValue, ...], default_weight: int, default_slots: int
) -> tuple[RenderedMember, ...]:
    """Fill in the service's defaults; the order is that of the addresses."""
    ordered = sorted(members, key=lambda member: member.address)
    return tuple(
        RenderedMember(
            address=member.address,
            host=member.host,
            zone=member.zone,
            weight=default_weight if member.weight is None else member.weight,
            slots=default_slots if member.slots is None else member.slots,
        )
        for member in ordered
    )


def _check_duplicates(
    template: Template, services: list[RenderedService], problems: ProblemCollector
) -> None:
    """Add a problem for each name, listener or address that two services of a tenant claim."""
    names: dict[str, str] = {}
    listeners: dict[Endpoint, str] = {}
    addresses: dict[Endpoint, str] = {}
    for position, service in enumerate(services):
        place = template.services[position].place
        if names.setdefault(service.name, place) != place:
            detail = f"service {service.name} is already described at {names[service.name]}"
            mend = "give each service its own name"
            problems.add(ProblemKind.DUPLICATE_SERVICE, f"{place}.name", detail, mend)
        if listeners.setdefault(service.listener, place) != place:
            detail = f"listener {service.listener} is already used by {listeners[service.listener]}"
            mend = "give each service its own VIP and port"
            problems.add(ProblemKind.DUPLICATE_LISTENER, f"{place}.listener", detail, mend)
        for member in service.members:
            first_place = addresses.setdefault(member.address, place)
            if first_place != place:
                member_place = f"{place}.members"
                add_duplicate_address(member.address, member_place, first_place, problems)
