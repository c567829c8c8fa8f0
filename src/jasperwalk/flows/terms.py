"""Terms of a route: how urgent its requests are, and how soon callers want their answers.

Operators name them in the configuration. Balancers tell them to the agents of a service whose
routes differ in them, beside each opening packet, because there requests of unequal terms compete
for the same hosts. Terms that cannot be meant count as not named.
"""

from __future__ import annotations

from typing import Any
from zlib import crc32

import msgspec

MOST_URGENT = 0
LEAST_URGENT = 7
NORMAL_PRIORITY = 2
"""Priority of a route that names none: two levels above it are left for what is urgent."""
MAX_DURATION_MS = 86_400_000
"""A day. Nobody waits longer for one answer, so that a longer time is a mistake."""


class RouteTerms(msgspec.Struct, frozen=True, array_like=True):
    """Terms as the configuration names them; times are milliseconds, 0 where none is named.

    `priority` runs from `MOST_URGENT` to `LEAST_URGENT`. `objective_ms` is the time from a request
    to its answer that callers want, `limit_ms` the one after which they have left.
    """

    priority: int = NORMAL_PRIORITY
    objective_ms: int = 0
    limit_ms: int = 0


NO_TERMS = RouteTerms()


class ParsedTerms(msgspec.Struct, frozen=True):
    """Terms that were read, and the names of the values that were passed over."""

    terms: RouteTerms
    ignored: tuple[str, ...] = ()


def parse_terms(priority: Any, objective_ms: Any, limit_ms: Any) -> ParsedTerms:
    """Read terms as they came; None stands for one that is not named."""
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
    """Tell whether a value of a document is a number; True and False are none."""
    return isinstance(value, int | float) and not isinstance(value, bool)


class CarriedTerms(msgspec.Struct, frozen=True):
    """Terms as a balancer tells them to an agent; times are seconds, 0.0 where none is named.

    `group` tells callers of different groups apart (`caller_group`).
    """

    priority: int
    objective_seconds: float
    limit_seconds: float
    group: int


GROUP_BITS = 0xFFFF


def caller_group(name: str) -> int:
    """Return the number of a group of callers from its name, such as the zone of its balancers."""
    return crc32(name.encode()) & GROUP_BITS


def carried_terms(terms: RouteTerms, group: int) -> CarriedTerms:
    """Return a route's terms for callers of one group."""
    return CarriedTerms(terms.priority, terms.objective_ms / 1000, terms.limit_ms / 1000, group)
