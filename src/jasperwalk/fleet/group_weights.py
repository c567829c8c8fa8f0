"""Weights of groups of callers, as an operator sets them: how they are checked.

The table `[caller_group_weights]` of an agent's settings names zones of callers and the weight of
each: a zone of weight 2 may have twice as much of a busy host as one of weight 1.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from jasperwalk.flows.terms import caller_group, is_number

WEIGHTS_TABLE = "caller_group_weights"
MIN_WEIGHT = 0.001
MAX_WEIGHT = 1000.0
"""Beyond these a group has all or nothing, and a digit was probably lost."""
TABLE_HEADER = re.compile(r"\s*\[+\s*([^\]]*?)\s*\]")
ASSIGNED_KEY = re.compile(r"\s*([^=#\[]+?)\s*=")
QUOTES = "\"'"


class WeightProblem(msgspec.Struct, frozen=True):
    """A weight that cannot be meant; `line` is None where the key was not found in the text."""

    zone: str
    value: Any
    line: int | None

    def describe(self) -> str:
        """Name the key, the line and what is expected."""
        place = "" if self.line is None else f" (line {self.line})"
        return (
            f"{WEIGHTS_TABLE}.{self.zone}{place}: {self.value!r} is no weight, which is a number "
            f"from {MIN_WEIGHT:g} to {MAX_WEIGHT:g}"
        )


def find_weight_problem(content: Mapping[str, Any], text: str) -> WeightProblem | None:
    """Return the first weight of parsed settings that cannot be meant; `text` is their file's."""
    weights = content.get(WEIGHTS_TABLE)
    if not isinstance(weights, dict):
        return None
    for zone, value in weights.items():
        if not _is_weight(value):
            return WeightProblem(zone, value, _line_of(zone, text))
    return None


def weights_by_group(weights: Mapping[str, float]) -> dict[int, float]:
    """Return the weights by the groups' numbers.

    Zones whose numbers are the same are one group, which has the weights of both.
    """
    by_group: dict[int, float] = {}
    for zone, weight in weights.items():
        group = caller_group(zone)
        by_group[group] = by_group.get(group, 0.0) + weight
    return by_group


def _is_weight(value: Any) -> bool:
    return is_number(value) and MIN_WEIGHT <= value <= MAX_WEIGHT


def _line_of(zone: str, text: str) -> int | None:
    """Return the number of the line that assigns a zone's weight, counted from 1."""
    assigned = f"{WEIGHTS_TABLE}.{zone}"
    for number, key in _assigned_keys(text):
        # An inline table has all its keys in the line of its own.
        if key in (assigned, WEIGHTS_TABLE):
            return number
    return None


def _assigned_keys(text: str) -> Iterator[tuple[int, str]]:
    """Yield the line and the whole name of each key that a line of its own assigns."""
    prefix = ""
    for number, line in enumerate(text.splitlines(), start=1):
        header = TABLE_HEADER.match(line)
        if header is not None:
            prefix = f"{header[1]}."
            continue
        key = ASSIGNED_KEY.match(line)
        if key is not None:
            yield number, prefix + _unquoted(key[1])


def _unquoted(key: str) -> str:
    return key.translate(dict.fromkeys(map(ord, QUOTES)))
