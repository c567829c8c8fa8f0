"""The fields of a template's service, and `${name}` references in their values."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from jasperwalk.config.parameters import (
    SLOTS_VALUE_SHAPE,
    WEIGHT_VALUE_SHAPE,
    ParameterType,
    ValueShape,
)
from jasperwalk.config.table_entries import Objective

REFERENCE_PATTERN = re.compile(r"\$\{([^}]*)\}")

MAX_DURATION_MS = 86_400_000
"""A day: the upper bound of every duration."""


class FieldRule(msgspec.Struct, frozen=True):
    """Shape and default of one field; a None default makes the field required."""

    shape: ValueShape
    default: str | int | None = None


def _duration(default: int, minimum: int = 0) -> FieldRule:
    """Rule of a duration in milliseconds."""
    shape = ValueShape(type=ParameterType.INTEGER, minimum=minimum, maximum=MAX_DURATION_MS)
    return FieldRule(shape=shape, default=default)


def _count(default: int, minimum: int, maximum: int) -> FieldRule:
    """Rule of a count."""
    shape = ValueShape(type=ParameterType.INTEGER, minimum=minimum, maximum=maximum)
    return FieldRule(shape=shape, default=default)


_OBJECTIVES = tuple(objective.value for objective in Objective)

SERVICE_FIELDS: dict[str, FieldRule] = {
    "name": FieldRule(ValueShape(type=ParameterType.STRING, minimum=1, maximum=63)),
    "listener": FieldRule(ValueShape(type=ParameterType.ADDRESS)),
    "objective": FieldRule(ValueShape(type=ParameterType.STRING, choices=_OBJECTIVES)),
    "members": FieldRule(ValueShape(type=ParameterType.MEMBERS)),
    "member_defaults.weight": FieldRule(shape=WEIGHT_VALUE_SHAPE, default=100),
    "member_defaults.slots": FieldRule(shape=SLOTS_VALUE_SHAPE, default=1),
    "limits.queue_length": _count(default=64, minimum=0, maximum=100_000),
    "limits.queue_wait_ms": _duration(default=2_000),
    "limits.request_deadline_ms": _duration(default=30_000, minimum=1),
    "limits.slow_start_ms": _duration(default=0),
    "health_monitor.path": FieldRule(
        ValueShape(type=ParameterType.STRING, minimum=1, maximum=1_024), default="/health"
    ),
    "health_monitor.interval_ms": _duration(default=1_000, minimum=50),
    "health_monitor.timeout_ms": _duration(default=500, minimum=10),
    "health_monitor.failures_to_offline": _count(default=3, minimum=1, maximum=100),
}
"""Every field of a service by its dotted path."""

SERVICE_TABLES = ("member_defaults", "limits", "health_monitor")
"""Fields of a service that are tables of further fields."""


def references_in(raw: Any) -> list[str]:
    """Return the names of the parameters that a raw value refers to."""
    return REFERENCE_PATTERN.findall(raw) if isinstance(raw, str) else []


def sole_reference(raw: Any) -> str | None:
    """Return the parameter's name where the value is one reference and nothing else."""
    if not isinstance(raw, str):
        return None
    match = REFERENCE_PATTERN.fullmatch(raw)
    return None if match is None else match.group(1)
