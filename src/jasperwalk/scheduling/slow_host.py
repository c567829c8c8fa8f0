"""Outlier detection by service time: decides whether a host is slow and which flows it refuses.

A slow host still serves some requests in time: those whose callers want their answers late enough.
Any other request would be late there and in time elsewhere, so its flow is refused. A flow that
found no other host is admitted, so that a service whose hosts are all slow loses none. A host
without requests cannot be measured: it counts as slow until a trial shows otherwise, or until the
verdict expires.

Sans-IO; times are seconds.
"""

from __future__ import annotations

from collections.abc import Hashable

from jasperwalk.scheduling.host_service_times import HostServiceTimes

SLOW_FACTOR = 3.0
"""Slowdown from which a host counts as slow; single requests often take twice as long."""
RECOVERY_FACTOR = 2.0
"""Slowdown below which a slow host has recovered."""
OBJECTIVE_SHARE = 0.8
"""Part of the time to the caller's deadline that the host may use; the rest is for the network, and
for requests that take longer than most."""
TRIAL_INTERVAL_SECONDS = 0.5
"""A slow host that has no request and got no flow for this long gets one, whatever its expected
time. While requests are in flight they show as much as a trial."""

RECOVERY_REQUESTS = 2
"""Newest requests that, if all took about the usual time, end the verdict, however far apart they
are: a host that gets only trials has too few requests for a slowdown."""
VERDICT_LIFETIME_SECONDS = 6.0
"""A verdict that no request has confirmed for this long expires: by then others have long treated
the host as usual again, and a trial that finds it slow costs one late answer."""


class SlowHost:
    """Evaluates one host by its service times and decides about its new flows."""

    def __init__(self, service_times: HostServiceTimes) -> None:
        self._service_times = service_times
        self._is_slow = False
        self._slowdown = 1.0
        """The last known slowdown, as of `_known_at`."""
        self._known_at = float("-inf")
        self._admitted_at = float("-inf")

    def is_slow(self) -> bool:
        """Tell whether the host counts as slow, by the last evaluation."""
        return self._is_slow

    def evaluate(self, now: float) -> bool:
        """Evaluate the host; return True where the verdict changed."""
        before = self._is_slow
        slowdown = self._service_times.slowdown(now)
        if before and self._has_recovered():
            self._service_times.keep_newest(RECOVERY_REQUESTS)
            self._slowdown = 1.0
            self._is_slow = False
        elif slowdown is not None:
            self._slowdown, self._known_at = slowdown, now
            self._is_slow = slowdown >= (RECOVERY_FACTOR if before else SLOW_FACTOR)
        elif not before or now - self._known_at >= VERDICT_LIFETIME_SECONDS:
            self._slowdown = 1.0
            self._is_slow = False
        return self._is_slow != before

    def _has_recovered(self) -> bool:
        newest = self._service_times.newest_ratios(RECOVERY_REQUESTS)
        return len(newest) == RECOVERY_REQUESTS and max(newest) < RECOVERY_FACTOR

    def service_seconds(self, kind: Hashable) -> float | None:
        """Return how long a request of a kind holds a slot now, None where it is unknown.

        It uses the slowdown of the last evaluation.
        """
        usual = self._service_times.baseline_seconds(kind)
        return None if usual is None else usual * self._slowdown

    def record_admission(self, now: float) -> None:
        """Record that the host gets a new flow."""
        self._admitted_at = now

    def refuses(
        self, kind: Hashable, busy: int, slots: int, remaining_seconds: float | None, now: float
    ) -> bool:
        """Tell whether a new flow is refused.

        `busy` counts requests in flight. `remaining_seconds` is the time until the caller's
        deadline, None where it is unknown: then the flow is not to wait for a slot.
        """
        is_trial_due = busy == 0 and now - self._admitted_at >= TRIAL_INTERVAL_SECONDS
        if not self._is_slow or is_trial_due:
            return False
        if remaining_seconds is None:
            return busy >= slots
        return self.expected_seconds(kind, busy, slots) > OBJECTIVE_SHARE * remaining_seconds

    def expected_seconds(self, kind: Hashable, busy: int, slots: int) -> float:
        """Return how long a new request waits for a slot and holds it, 0.0 where unknown."""
        own = self.service_seconds(kind)
        typical = self.service_seconds(None)
        if own is None or typical is None:
            return 0.0
        ahead = max(0, busy + 1 - slots)
        return own + typical * ahead / slots

    def reset(self) -> None:
        """Discard the verdict: another host has taken the place."""
        self._is_slow = False
        self._slowdown = 1.0
        self._known_at = float("-inf")
        self._admitted_at = float("-inf")
