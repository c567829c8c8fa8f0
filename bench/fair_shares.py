"""Benchmark of a host's fair shares: the time of one decision, against one without shares."""

from __future__ import annotations

import random
from collections.abc import Callable

from bench.harness import Figure, median_microseconds
from jasperwalk.scheduling.fair_shares import FairShares

GROUP_COUNTS = (4, 19)
"""Groups with waiting requests: as many as zones of a small and of the largest deployment."""
WAITING_PER_GROUP = 3
DECISIONS = 20_000
REQUEST_SECONDS = 0.05
SEED = 20261202
BARE = "the first group"

Decision = Callable[[float], int]


def measure() -> list[Figure]:
    """Measure the choice of the next request and of the one to shed; takes a few seconds."""
    return [figure for count in GROUP_COUNTS for figure in _measure(count)]


def _measure(count: int) -> list[Figure]:
    groups = list(range(count))
    waiting = dict.fromkeys(groups, WAITING_PER_GROUP)
    waiting[0] *= 2
    shares = _used_shares(groups)

    def next_and_record(now: float) -> int:
        group = shares.group_to_serve(groups, now)
        shares.record_served(group, REQUEST_SECONDS, now)
        return group

    bare = _median_time(lambda _now: next(iter(groups)))
    decisions: dict[str, Decision] = {
        "next": next_and_record,
        "let-go": lambda now: shares.group_to_shed(waiting, now),
    }
    return [
        Figure(f"fair-shares.{name}.{count}-groups", _median_time(decide), "us", bare, BARE)
        for name, decide in decisions.items()
    ]


def _used_shares(groups: list[int]) -> FairShares:
    """Return shares of a host that has served all groups."""
    source = random.Random(SEED)
    shares = FairShares()
    for step in range(100 * len(groups)):
        shares.record_served(source.choice(groups), REQUEST_SECONDS, REQUEST_SECONDS * step)
    return shares


def _median_time(decide: Decision) -> float:
    """Return the median microseconds of a decision."""
    return median_microseconds(lambda: lambda step: decide(1000.0 + 0.001 * step), DECISIONS)
