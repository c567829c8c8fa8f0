"""Decides from health checks and real requests whether the backend is healthy (sans-IO).

The health monitor is only a hint, as it may lag or mislead. Results of real requests take
precedence: an answer shows that the backend is up, and refused connections show that it is down
until either a request is answered or a check succeeds.
"""

from __future__ import annotations

EVIDENCE_SECONDS = 5.0
"""Time for which an answered request takes precedence over failed checks."""


class BackendHealth:
    """Counts failed checks and records the results of real requests."""

    def __init__(self, failures_to_offline: int) -> None:
        self.failures_to_offline = failures_to_offline
        self._monitor_failures = 0
        self._request_failures = 0
        self._answered_at = float("-inf")

    def monitor_succeeded(self) -> None:
        """Record a successful check."""
        self._monitor_failures = 0
        self._request_failures = 0

    def monitor_failed(self) -> None:
        """Record a failed check."""
        self._monitor_failures += 1

    def request_answered(self, now: float) -> None:
        """Record that a real request was answered."""
        self._answered_at = now
        self._request_failures = 0

    def request_refused(self) -> None:
        """Record that the backend accepted no connection for a real request."""
        self._request_failures += 1

    def healthy(self, now: float) -> bool:
        """Return whether this agent should get new work."""
        if self._request_failures >= self.failures_to_offline:
            return False
        if now - self._answered_at < EVIDENCE_SECONDS:
            return True
        return self._monitor_failures < self.failures_to_offline
