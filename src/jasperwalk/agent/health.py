"""The agent's view of its back end (sans-IO).

The health monitor is a hint, as it may lag or mislead. What real requests show outranks it:
an answer proves the back end alive, and refused connections prove it down until either a
request is answered or the monitor succeeds.
"""

from __future__ import annotations

EVIDENCE_SECONDS = 5.0
"""Time for which an answered request outranks a failing monitor."""


class BackendHealth:
    """Counts the monitor's failures and notes what real requests show."""

    def __init__(self, failures_to_offline: int) -> None:
        self.failures_to_offline = failures_to_offline
        self._monitor_failures = 0
        self._request_failures = 0
        self._answered_at = float("-inf")

    def monitor_succeeded(self) -> None:
        """Note a successful check."""
        self._monitor_failures = 0
        self._request_failures = 0

    def monitor_failed(self) -> None:
        """Note a failed check."""
        self._monitor_failures += 1

    def request_answered(self, now: float) -> None:
        """Note that a real request was answered."""
        self._answered_at = now
        self._request_failures = 0

    def request_refused(self) -> None:
        """Note that the back end took no connection for a real request."""
        self._request_failures += 1

    def healthy(self, now: float) -> bool:
        """Tell whether new work should come here."""
        if self._request_failures >= self.failures_to_offline:
            return False
        if now - self._answered_at < EVIDENCE_SECONDS:
            return True
        return self._monitor_failures < self.failures_to_offline
