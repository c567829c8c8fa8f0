"""Terms of a route: priority of its requests, and the time in which callers want their answers.

Operators set them in the configuration. If the routes of a service differ in them, balancers send
them to its agents with each opening packet, because requests of unequal terms compete there for the
same hosts. Invalid terms count as not set.
"""

from __future__ import annotations

from typing import Any
from zlib import crc32

import msgspec

MOST_URGENT = 0
LEAST_URGENT = 7
NORMAL_PRIORITY = 2
"""Priority of a route that sets none: two levels above it are left for urgent requests."""
MAX_DURATION_MS = 86_400_000
"""A day. Nobody waits longer for one answer, so a longer time is a mistake."""


class RouteTerms(msgspec.Struct, frozen=True, array_like=True):
    """Terms as the configuration sets them; times are milliseconds, 0 if not set.

    `priority` runs from `MOST_URGENT` to `LEAST_URGENT`. `objective_ms` is the time from a request
    to its answer that callers want, `limit_ms` the time after which they have given up.
    """

    priority: int = NORMAL_PRIORITY
    objective_ms: int = 0
    limit_ms: int = 0


NO_TERMS = RouteTerms()


class ParsedTerms(msgspec.Struct, frozen=True):
    """Parsed terms, and the names of the invalid values that were ignored."""

    terms: RouteTerms
    ignored: tuple[str, ...] = ()


def parse_terms(priority: Any, objective_ms: Any, limit_ms: Any) -> ParsedTerms:
    """Parse terms of any types; None stands for a value that is not set."""
    ignored = []
    if not _is_priority(priority):
        ignored += ["priority"] if priority is not None else []
        priority = NORMAL_PRIORITY
    if not _is_duration(objective_ms):
        ignored += ["objective"] if objective_ms is not None else []
        objective_ms = 0
    if not _is_duration(limit_ms):
        ignored += ["limit"] if limit_ms is not None else []
        limit_ms = 0
    terms = RouteTerms(priority, round(objective_ms), round(limit_ms))
    return ParsedTerms(terms, tuple(ignored))


def _is_priority(value: Any) -> bool:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    return is_integer and MOST_URGENT <= value <= LEAST_URGENT


def _is_duration(value: Any) -> bool:
    return is_number(value) and 1 <= value <= MAX_DURATION_MS


def is_number(value: Any) -> bool:
    """Tell whether a value of a document is a number; True and False are not."""
    return isinstance(value, int | float) and not isinstance(value, bool)


class CarriedTerms(msgspec.Struct, frozen=True):
    """Terms as a balancer sends them to an agent; times are seconds, 0.0 if not set.

    `group` is the number of the caller's group (`caller_group`).
    """

    priority: int
    objective_seconds: float
    limit_seconds: float
    group: int


GROUP_BITS = 0xFFFF


def caller_group(name: str) -> int:
    """Return the number of a group of callers by its name, such as the zone of its balancers."""
    return crc32(name.encode()) & GROUP_BITS


def carried_terms(terms: RouteTerms, group: int) -> CarriedTerms:
    """Return a route's terms for callers of one group."""
    return CarriedTerms(terms.priority, terms.objective_ms / 1000, terms.limit_ms / 1000, group)
