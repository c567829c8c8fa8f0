"""Tenants: a template's name with values, and their validation against its parameters."""

from __future__ import annotations

from typing import Any

import msgspec

from jasperwalk.config.parameters import TypedValue, check_value
from jasperwalk.config.problems import ProblemCollector, ProblemKind
from jasperwalk.config.templates import Template


class Tenant(msgspec.Struct, frozen=True):
    """A tenant; `template_version` is the revision of the template it was rendered with."""

    name: str
    template: str
    template_version: int
    values: dict[str, Any]


def resolve_values(
    template: Template, values: dict[str, Any], problems: ProblemCollector
) -> dict[str, TypedValue]:
    """Return a typed value for each parameter, defaults filled in; add every problem found."""
    for name in sorted(values):
        if name not in template.parameters:
            known = ", ".join(template.parameters) or "none"
            mend = f"remove it; parameters are {known}"
            problems.add(ProblemKind.UNKNOWN_PARAMETER, f"values.{name}", "unknown parameter", mend)
    resolved: dict[str, TypedValue] = {}
    for name, parameter in template.parameters.items():
        raw = values.get(name, parameter.default)
        place = f"values.{name}"
        if raw is None:
            mend = f"give a value of type {parameter.shape.type.value}"
            problems.add(ProblemKind.MISSING_PARAMETER, place, "missing parameter", mend)
            continue
        value = check_value(parameter.shape, raw, place, problems)
        if value is not None:
            resolved[name] = value
    return resolved
