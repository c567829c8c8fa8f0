"""Checks the weights of groups of callers that an operator sets.

The table `[caller_group_weights]` of an agent's settings names zones of callers and the weight of
each: a zone of weight 2 gets twice as much of a busy host as one of weight 1.
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
"""Beyond these bounds a group would get all or nothing; the value is probably a typing error."""
TABLE_HEADER = re.compile(r"\s*\[+\s*([^\]]*?)\s*\]")
ASSIGNED_KEY = re.compile(r"\s*([^=#\[]+?)\s*=")
QUOTES = "\"'"


class WeightProblem(msgspec.Struct, frozen=True):
    """An invalid weight; `line` is None if the key was not found in the text."""

    zone: str
    value: Any
    line: int | None

    def describe(self) -> str:
        """Name the key, the line and what is expected."""
        place = "" if self.line is None else f" (line {self.line})"
        return (
            f"{WEIGHTS_TABLE}.{self.zone}{place}: {self.value!r} is not a weight; expected a "
            f"number from {MIN_WEIGHT:g} to {MAX_WEIGHT:g}"
        )


def find_weight_problem(content: Mapping[str, Any], text: str) -> WeightProblem | None:
    """Return the first invalid weight of parsed settings; `text` is the text of their file."""
    weights = content.get(WEIGHTS_TABLE)
    if not isinstance(weights, dict):
        return None
    for zone, value in weights.items():
        if not _is_weight(value):
            return WeightProblem(zone, value, _line_of(zone, text))
    return None


def weights_by_group(weights: Mapping[str, float]) -> dict[int, float]:
    """Return the weights by the groups' numbers.

    Zones with the same number are one group, whose weight is their sum.
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
        # An inline table has all its keys on its own line.
        if key in (assigned, WEIGHTS_TABLE):
            return number
    return None


def _assigned_keys(text: str) -> Iterator[tuple[int, str]]:
    """Yield the line number and the full name of each key that is assigned on its own line."""
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
