"""Slow-host detection in a balancer: compares the service times that agents report.

An agent reports its host's service time for requests of the kind that was accepted. Kinds differ,
so a service time is compared with the median of the newest ones of the same kind; the ratio, the
slowdown, is kept for the agent. Its weight decays with age: what a host did seconds ago says little
of it now, and an agent that gets no flows could not correct a wrong value.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import Protocol

import msgspec

from jasperwalk.flows.service_time import decode_service_time

TYPICAL_RATIO = 1.5
"""Hosts within this factor of the median count as typical: requests of one kind differ as much."""
MAX_SLOWDOWN = 4.0
"""A slowdown changes the expected wait by at most this factor; four times the wait is longer than
an agent lets requests queue."""
MIN_SLOWDOWN = 0.5
"""The same for fast hosts, so that all balancers together do not overload one."""
FULL_WEIGHT_SECONDS = 1.0
"""Age up to which a slowdown has its full weight."""
MAX_SLOWDOWN_AGE_SECONDS = 2.0
"""Age from which it has no weight, so that a slow host is tried again."""
MAX_SLOW_SHARE = 0.5
"""If more of a service's hosts are known to be slow, slowdowns are ignored: the other hosts could
not take their load."""
MIN_SAMPLES = 5
"""Fewest service times of a kind for which a median is computed."""
SAMPLES_PER_KIND = 32
MAX_SAMPLE_AGE_SECONDS = 30.0
"""Older service times do not count in the median."""
MAX_KINDS = 128
"""Bound on the kinds that are kept; the least recently used one is removed."""
MEDIAN_CACHE_SECONDS = 0.1
"""How long a computed median, or a count of slow hosts, is reused."""


class WeightedHost(Protocol):
    """The part of a target that the count of slow hosts needs."""

    def current_slowdown(self, now: float) -> float:
        """Return the slowdown weighted by its age: 1.0 for typical, more for slow."""


class SlowHostCheck(msgspec.Struct, frozen=True):
    """Whether few enough hosts of a service are slow to avoid them, and when they were counted."""

    counted_at: float
    can_avoid_slow: bool


class KindServiceTimes:
    """The newest service times of one kind of request, in seconds, and their median."""

    __slots__ = ("_median", "_median_at", "_samples")

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque(maxlen=SAMPLES_PER_KIND)
        self._median: float | None = None
        self._median_at = float("-inf")

    def add(self, seconds: float, now: float) -> None:
        """Add a service time."""
        self._samples.append((now, seconds))

    def median(self, now: float) -> float | None:
        """Return the median of the newest service times, None if there are too few."""
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
    """Compares service times within kinds; a kind is a service and a listener."""

    def __init__(self) -> None:
        self._kinds: OrderedDict[tuple[str, bytes], KindServiceTimes] = OrderedDict()
        self._slow_counts: dict[str, SlowHostCheck] = {}

    def slowdown_of(self, service: str, listener: bytes, code: int, now: float) -> float | None:
        """Add a reported service time and return its ratio to the median, bounded.

        The result is 1.0 for a typical host, and None if nothing is known.
        """
        seconds = decode_service_time(code)
        if seconds is None:
            return None
        samples = self._samples_of((service, listener))
        samples.add(seconds, now)
        median = samples.median(now)
        return None if median is None else bounded_slowdown(seconds / median)

    def can_avoid_slow_hosts(self, service: str, hosts: Sequence[WeightedHost], now: float) -> bool:
        """Tell whether so few hosts of a service are slow that the others can take their load."""
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
    """Return the slowdown that a ratio of service times counts as."""
    if 1.0 / TYPICAL_RATIO <= ratio <= TYPICAL_RATIO:
        return 1.0
    return min(max(ratio, MIN_SLOWDOWN), MAX_SLOWDOWN)


def slowdown_at_age(slowdown: float, age_seconds: float) -> float:
    """Return a slowdown weighted by its age."""
    if slowdown == 1.0 or age_seconds >= MAX_SLOWDOWN_AGE_SECONDS:
        return 1.0
    if age_seconds <= FULL_WEIGHT_SECONDS:
        return slowdown
    weight = (MAX_SLOWDOWN_AGE_SECONDS - age_seconds) / (
        MAX_SLOWDOWN_AGE_SECONDS - FULL_WEIGHT_SECONDS
    )
    return float(slowdown**weight)
