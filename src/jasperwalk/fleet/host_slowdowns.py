"""How the hosts of a service compare in pace, as one balancer learns it from its agents' answers.

An agent tells how long its host takes for a request of the kind that was accepted. Kinds differ, so
a figure is compared with the median of the newest figures of the same kind; what is kept of an
agent is that ratio. Figures age: what a host did seconds ago says little of it now, and an agent
that is not asked could not correct a wrong figure.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import Protocol

import msgspec

from jasperwalk.flows.service_time import decode_service_time

TYPICAL_RATIO = 1.5
"""Hosts within this factor of the median count as equal: requests of one kind differ by as much."""
MAX_SLOWDOWN = 4.0
"""A pace changes the expected wait by at most this factor; four waits are more than an agent lets
requests queue for."""
MIN_SLOWDOWN = 0.5
"""The same for fast hosts: all balancers together shall not overrun one."""
FULL_WEIGHT_SECONDS = 1.0
"""Age up to which a figure counts whole."""
MAX_SLOWDOWN_AGE_SECONDS = 2.0
"""Age from which it counts nothing, so that a slow host is tried again."""
MAX_SLOW_SHARE = 0.5
"""Where more of a service's hosts than this are known as slow, none counts as such: the others
could not take their load."""
MIN_SAMPLES = 5
"""Figures of a kind that a median rests on at least."""
SAMPLES_PER_KIND = 32
MAX_SAMPLE_AGE_SECONDS = 30.0
"""Figures older than this are not compared with."""
MAX_KINDS = 128
"""Kinds that are compared; the one that was not heard of for longest makes room."""
MEDIAN_CACHE_SECONDS = 0.1
"""A median that was worked out less long ago is used again, and so is a count of slow hosts."""


class WeightedHost(Protocol):
    """A host as the comparison needs it."""

    def current_slowdown(self, now: float) -> float:
        """Return what the known pace counts for now: 1.0 for as usual, more for slow."""


class SlowHostCheck(msgspec.Struct, frozen=True):
    """Whether few enough hosts of a service were known as slow, and when they were counted."""

    counted_at: float
    can_avoid_slow: bool


class KindServiceTimes:
    """The newest figures of one kind of request, in seconds, and their median."""

    __slots__ = ("_median", "_median_at", "_samples")

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque(maxlen=SAMPLES_PER_KIND)
        self._median: float | None = None
        self._median_at = float("-inf")

    def add(self, seconds: float, now: float) -> None:
        """Take a figure."""
        self._samples.append((now, seconds))

    def median(self, now: float) -> float | None:
        """Return the median of the newest figures, None where there are too few."""
        if self._median is None or now - self._median_at >= MEDIAN_CACHE_SECONDS:
            self._median = self._compute(now)
            self._median_at = now
        return self._median

    def _compute(self, now: float) -> float | None:
        while self._samples and now - self._samples[0][0] > MAX_SAMPLE_AGE_SECONDS:
            self._samples.popleft()
        if len(self._samples) < MIN_SAMPLES:
            return None
        seconds = sorted(sample for _, sample in self._samples)
        return seconds[len(seconds) // 2]


class HostSlowdowns:
    """Compares figures within kinds; a kind is a service and a listener."""

    def __init__(self) -> None:
        self._kinds: OrderedDict[tuple[str, bytes], KindServiceTimes] = OrderedDict()
        self._slow_counts: dict[str, SlowHostCheck] = {}

    def slowdown_of(self, service: str, listener: bytes, code: int, now: float) -> float | None:
        """Take a figure; return how many times as long as usual its host takes.

        That is 1.0 for what counts as equal, and None where nothing can be said.
        """
        seconds = decode_service_time(code)
        if seconds is None:
            return None
        samples = self._samples_of((service, listener))
        samples.add(seconds, now)
        median = samples.median(now)
        return None if median is None else bounded_slowdown(seconds / median)

    def can_avoid_slow_hosts(self, service: str, hosts: Sequence[WeightedHost], now: float) -> bool:
        """Tell whether few enough of a service's hosts are known as slow to do without them."""
        count = self._slow_counts.get(service)
        if count is None or now - count.counted_at >= MEDIAN_CACHE_SECONDS:
            slow = sum(host.current_slowdown(now) > 1.0 for host in hosts)
            count = SlowHostCheck(now, slow <= MAX_SLOW_SHARE * len(hosts))
            self._slow_counts[service] = count
        return count.can_avoid_slow

    def _samples_of(self, kind: tuple[str, bytes]) -> KindServiceTimes:
        samples = self._kinds.get(kind)
        if samples is None:
            samples = self._kinds[kind] = KindServiceTimes()
            if len(self._kinds) > MAX_KINDS:
                self._kinds.popitem(last=False)
        else:
            self._kinds.move_to_end(kind)
        return samples


def bounded_slowdown(ratio: float) -> float:
    """Return the factor that a ratio of paces counts as."""
    if 1.0 / TYPICAL_RATIO <= ratio <= TYPICAL_RATIO:
        return 1.0
    return min(max(ratio, MIN_SLOWDOWN), MAX_SLOWDOWN)


def slowdown_at_age(slowdown: float, age_seconds: float) -> float:
    """Return what a factor still counts for at an age."""
    if slowdown == 1.0 or age_seconds >= MAX_SLOWDOWN_AGE_SECONDS:
        return 1.0
    if age_seconds <= FULL_WEIGHT_SECONDS:
        return slowdown
    weight = (MAX_SLOWDOWN_AGE_SECONDS - age_seconds) / (
        MAX_SLOWDOWN_AGE_SECONDS - FULL_WEIGHT_SECONDS
    )
    return float(slowdown**weight)
