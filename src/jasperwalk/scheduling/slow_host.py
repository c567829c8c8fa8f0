"""What a host that is much slower than usual gets: what it serves in time, and a few trials.

A slow host still serves some requests in time: those whose callers want their answers late enough.
Any other is late there and in time elsewhere, so it is refused. A flow that found no other host is
taken, so that a service whose hosts are all slow loses none. The figure ages (`host_pace`): without
requests a host counts as usual again after two seconds; trials tell sooner.

Sans-IO; times are seconds.
"""

from __future__ import annotations

from collections.abc import Hashable

from jasperwalk.scheduling.host_pace import HostPace

SLOW_FACTOR = 3.0
"""Slowness from which a host counts as slow: twice as long is usual for single requests."""
USUAL_FACTOR = 2.0
"""Slowness below which a slow host counts as usual again."""
OBJECTIVE_SHARE = 0.8
"""Part of the time that a caller wants its answer in that the host may use; the rest is for the
way there and back, and for requests that take longer than most."""
TRIAL_SECONDS = 0.5
"""A slow host that has no request and has got no flow for this long gets one, whatever its expected
time. Requests that are under way tell as much as a trial."""


class SlowHost:
    """Judges one host by its pace and decides about its new flows."""

    def __init__(self, pace: HostPace) -> None:
        self._pace = pace
        self._is_slow = False
        self._admitted_at = float("-inf")

    def is_slow(self) -> bool:
        """Tell whether the host counts as slow, by the last judgement."""
        return self._is_slow

    def judge(self, now: float) -> bool:
        """Judge the host; return True where the judgement changed."""
        slowness = self._pace.slowness(now)
        before = self._is_slow
        if slowness is None:
            self._is_slow = False
        else:
            self._is_slow = slowness >= (USUAL_FACTOR if before else SLOW_FACTOR)
        return self._is_slow != before

    def note_admitted(self, now: float) -> None:
        """Note that the host gets a new flow."""
        self._admitted_at = now

    def refuses(
        self, kind: Hashable, busy: int, slots: int, remaining_seconds: float | None, now: float
    ) -> bool:
        """Tell whether a new flow is kept from the host.

        `busy` counts requests under way. `remaining_seconds` is the time left until the caller
        wants its answer, None where that is not known: then it is not to wait for a slot.
        """
        is_trial_due = busy == 0 and now - self._admitted_at >= TRIAL_SECONDS
        if not self._is_slow or is_trial_due:
            return False
        if remaining_seconds is None:
            return busy >= slots
        return self.expected_seconds(kind, busy, slots, now) > OBJECTIVE_SHARE * remaining_seconds

    def expected_seconds(self, kind: Hashable, busy: int, slots: int, now: float) -> float:
        """Return how long a new request waits for a slot and holds it, 0.0 where not known."""
        own = self._pace.seconds(kind, now)
        typical = self._pace.seconds(None, now)
        if own is None or typical is None:
            return 0.0
        ahead = max(0, busy + 1 - slots)
        return own + typical * ahead / slots

    def forget(self) -> None:
        """Judge anew: another host has taken the place."""
        self._is_slow = False
        self._admitted_at = float("-inf")
