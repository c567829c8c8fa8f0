"""Measures one host's service times and its slowdown: the ratio of current to usual times.

Load pattern: a host becomes several times slower for some seconds and goes on taking flows. Nothing
announces it, and its requests are answered, though late.

A request's service time is the time for which it holds a slot (`slot_use`). Requests of different
kinds take different times, so each is compared with the baseline of its own kind at this host; a
change of the mix of kinds changes nothing. The host's slowdown is the median of the newest of these
ratios: a few long requests among many do not move it. A request that still holds its slot counts
with its time so far, once that is more than usual, so a slow host is detected before it answers.

The baseline of a kind is an estimate of its median that moves by small proportional steps
(stochastic approximation, Robbins and Monro 1951): a few seconds of a slow host barely move it, and
a host that stays slow counts as usual after some minutes.

Sans-IO; times are seconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from itertools import islice

from jasperwalk.scheduling.slot_use import SlotUse, TrackedRequest

WINDOW_SECONDS = 0.5
"""Requests that ended within this time make up the slowdown: about as long as a caller waits."""
STALE_SECONDS = 2.0
"""A request that ended longer ago says nothing about the host now."""
MIN_OBSERVATIONS = 3
"""Fewest requests from which a slowdown is computed; one or two may be long by themselves."""
MAX_OBSERVATIONS = 64
"""Bounds the kept observations, and with them memory and the cost of a median."""
NOTICEABLE_FACTOR = 1.5
"""Ratio from which an unanswered request counts; most requests differ by less."""
BASELINE_STEP = 1.01
"""Factor by which a request moves the baseline of its kind; 70 requests double it."""
FIRST_SAMPLES = 5
"""Requests whose median is the first baseline of a kind."""
MAX_KINDS = 64
"""Kinds with a baseline of their own; all further ones share one."""
SLOWDOWN_CACHE_SECONDS = 0.02
"""A computed slowdown is reused for this long; requests take longer than that."""
TYPICAL_SHARE = 1 / 16
"""Weight of the newest request in the typical time."""


class BaselineTime:
    """Baseline service time of one kind; `seconds` is None until enough requests were seen."""

    __slots__ = ("_first", "seconds")

    def __init__(self) -> None:
        self.seconds: float | None = None
        self._first: list[float] = []

    def record(self, seconds: float) -> None:
        """Update the baseline by one more request."""
        if self.seconds is None:
            self._add_first_sample(seconds)
        elif seconds > self.seconds:
            self.seconds *= BASELINE_STEP
        elif seconds < self.seconds:
            self.seconds /= BASELINE_STEP

    def _add_first_sample(self, seconds: float) -> None:
        self._first.append(seconds)
        if len(self._first) >= FIRST_SAMPLES:
            self.seconds = _median(self._first)
            self._first = []


class HostServiceTimes:
    """Measures one host; any hashable values identify requests and kinds."""

    def __init__(self) -> None:
        self._slots = SlotUse()
        self._baselines: dict[Hashable, BaselineTime] = {}
        self._other_kinds = BaselineTime()
        self._ratios: deque[tuple[float, float]] = deque(maxlen=MAX_OBSERVATIONS)
        """When each request ended, and the ratio of its time to the baseline, oldest first."""
        self._typical_seconds: float | None = None
        self._slowdown: float | None = None
        self._computed_at = float("-inf")

    # Observations

    def record_request(self, request: Hashable, kind: Hashable, slots: int, now: float) -> None:
        """Record that a request, or a further part of it, was forwarded to the host."""
        self._slots.start(request, kind, slots, now)

    def record_answer(self, request: Hashable, slots: int, now: float) -> None:
        """Record the first packet of the host's answer to a request."""
        ended = self._slots.end(request, slots, now)
        if ended is None:
            return
        seconds = now - ended.started_at
        if seconds <= 0.0:
            return
        usual = self._baseline_of(ended.kind)
        if usual.seconds is not None:
            self._ratios.append((now, seconds / usual.seconds))
            self._update_typical(usual.seconds)
        usual.record(seconds)

    def record_end(self, request: Hashable, slots: int, now: float) -> None:
        """Record that a request ended without a measurable answer."""
        self._slots.end(request, slots, now)

    def _baseline_of(self, kind: Hashable) -> BaselineTime:
        usual = self._baselines.get(kind)
        if usual is not None:
            return usual
        if len(self._baselines) >= MAX_KINDS:
            return self._other_kinds
        usual = self._baselines[kind] = BaselineTime()
        return usual

    def _update_typical(self, seconds: float) -> None:
        if self._typical_seconds is None:
            self._typical_seconds = seconds
        else:
            self._typical_seconds += TYPICAL_SHARE * (seconds - self._typical_seconds)

    def reset(self) -> None:
        """Discard all measurements: another host has taken the place."""
        self._slots.reset()
        self._baselines.clear()
        self._other_kinds = BaselineTime()
        self._ratios.clear()
        self._typical_seconds = None
        self._computed_at = float("-inf")

    # Results

    def slowdown(self, now: float) -> float | None:
        """Return how many times as long as usual requests take now, None where it is unknown."""
        if not 0.0 <= now - self._computed_at < SLOWDOWN_CACHE_SECONDS:
            self._slowdown = self._compute_slowdown(now)
            self._computed_at = now
        return self._slowdown

    def _compute_slowdown(self, now: float) -> float | None:
        ratios = self._newest_ratios(now) + self._ratios_in_flight(now)
        return _median(ratios) if len(ratios) >= MIN_OBSERVATIONS else None

    def _newest_ratios(self, now: float) -> list[float]:
        """Return the ratios in the window, and older ones up to `MIN_OBSERVATIONS`."""
        newest: list[float] = []
        for ended_at, ratio in reversed(self._ratios):
            age = now - ended_at
            if age > STALE_SECONDS or (age > WINDOW_SECONDS and len(newest) >= MIN_OBSERVATIONS):
                break
            newest.append(ratio)
        return newest

    def _ratios_in_flight(self, now: float) -> list[float]:
        """Return the ratios so far of unanswered requests that are noticeably above usual."""
        ratios = [self._ratio_so_far(request, now) for request in self._slots.running()]
        return [ratio for ratio in ratios if ratio > NOTICEABLE_FACTOR]

    def _ratio_so_far(self, request: TrackedRequest, now: float) -> float:
        usual = self._baselines.get(request.kind, self._other_kinds).seconds
        return 0.0 if usual is None else (now - request.started_at) / usual

    def baseline_seconds(self, kind: Hashable = None) -> float | None:
        """Return the baseline of a kind, that of a typical request for an unknown kind."""
        usual = self._baselines.get(kind)
        known = None if usual is None else usual.seconds
        return self._typical_seconds if known is None else known

    def newest_ratios(self, count: int) -> list[float]:
        """Return how many times as long as usual the newest requests took, whatever their age."""
        return [ratio for _, ratio in islice(reversed(self._ratios), count)]

    def keep_newest(self, count: int) -> None:
        """Discard all but the newest ratios; baselines stay."""
        while len(self._ratios) > count:
            self._ratios.popleft()
        self._computed_at = float("-inf")

    def observations(self) -> int:
        """Return how many measured ratios are kept."""
        return len(self._ratios)

    def newest_age_seconds(self, now: float) -> float | None:
        """Return how long ago the newest measured request ended, None where there is none."""
        return now - self._ratios[-1][0] if self._ratios else None


def _median(values: list[float]) -> float:
    """Return the median, the lower one of two, so that an uncertain host counts as not slow."""
    return sorted(values)[(len(values) - 1) // 2]
