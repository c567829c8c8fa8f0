"""Outlier detection by failed requests: decides whether a host fails and refuses new flows.

Load pattern: some hosts of a service reset every other request, or leave requests unanswered, while
they announce themselves, take flows and are less busy than the others, so that they attract load. A
caller may not repeat every request: with six such hosts of 34, 74 requests that may not be repeated
were lost in five seconds.

The agent beside the host sees all of its flows, so it decides alone and at once, without reading
payloads: a request fails when the host resets its flow before it starts to answer, or does not
start to answer for long. A host that fails enough of the last requests gets no new flows for a
pause; then it gets a few trials, with requests that may be repeated, and it recovers once enough of
them in a row were answered. A failed trial doubles the pause, up to a bound. A flow that finds no
other host is admitted anyway: where all hosts of a service fail, none is excluded.

Sans-IO; times are seconds.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import msgspec

WINDOW_SECONDS = 2.0
"""Outcomes older than this say nothing about the host now."""
MAX_OUTCOMES = 64
"""Bounds the kept outcomes, and with them memory: about a second of a fast host."""
MIN_FAILURES = 3
"""Fewest failures in the window for a host to count as failing; single ones have other causes."""
FAILING_SHARE = 0.2
"""Part of the outcomes in the window that are failures, from which a host counts as failing."""
MIN_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 4.0
TRIAL_INTERVAL_SECONDS = 0.2
"""Time between trials after the pause."""
RARE_TRIAL_INTERVAL_SECONDS = 2.0
"""The same for trials with requests that may not be repeated, where no others come."""
RECOVERY_ANSWERS = 5
"""Answered trials in a row after which a host has recovered: one that fails half of its requests
passes one time in 32."""


class OutcomeCounts(msgspec.Struct, frozen=True):
    """Numbers of requests in the window by outcome."""

    failed: int
    answered: int


@dataclass(eq=False, repr=False)
class RequestOutcomes:
    """Decides about one host."""

    pause_seconds: float = MIN_PAUSE_SECONDS
    """How long the host gets no flows after it was found to be failing."""
    _outcomes: deque[tuple[float, bool]] = field(default_factory=lambda: deque(maxlen=MAX_OUTCOMES))
    """When each request ended, and whether it failed; the oldest first."""
    _paused_until: float | None = None
    """End of the pause of a failing host, None while the host is not failing."""
    _consecutive_answers: int = 0
    _tried_at: float = float("-inf")

    def is_failing(self) -> bool:
        """Tell whether the host counts as failing."""
        return self._paused_until is not None

    def counts(self, now: float) -> OutcomeCounts:
        """Return the outcomes in the window."""
        while self._outcomes and now - self._outcomes[0][0] > WINDOW_SECONDS:
            self._outcomes.popleft()
        failed = sum(is_failure for _, is_failure in self._outcomes)
        return OutcomeCounts(failed, len(self._outcomes) - failed)

    def record_admission(self, now: float) -> None:
        """Record that the host gets a new flow."""
        self._tried_at = now

    def record_answer(self, now: float) -> bool:
        """Record an answered request; return True where the host has recovered by it."""
        self._outcomes.append((now, False))
        if self._paused_until is None or now < self._paused_until:
            return False
        self._consecutive_answers += 1
        if self._consecutive_answers < RECOVERY_ANSWERS:
            return False
        self.reset()
        return True

    def record_failure(self, now: float) -> bool:
        """Record a failed request; return True where the host counts as failing from now on."""
        self._outcomes.append((now, True))
        self._consecutive_answers = 0
        if self._paused_until is not None:
            self._extend_pause(self._paused_until, now)
            return False
        counts = self.counts(now)
        outcomes = counts.failed + counts.answered
        if counts.failed < MIN_FAILURES or counts.failed < FAILING_SHARE * outcomes:
            return False
        self._paused_until = now + self.pause_seconds
        return True

    def _extend_pause(self, paused_until: float, now: float) -> None:
        """Start a longer pause after a failed trial; failures in a pause are of older requests."""
        if now < paused_until:
            return
        self.pause_seconds = min(2 * self.pause_seconds, MAX_PAUSE_SECONDS)
        self._paused_until = now + self.pause_seconds

    def refuses(self, repeatable: bool, now: float) -> bool:
        """Tell whether the host gets no new flow now; `repeatable` tells of the flow's requests."""
        if self._paused_until is None:
            return False
        if now < self._paused_until:
            return True
        interval_seconds = TRIAL_INTERVAL_SECONDS if repeatable else RARE_TRIAL_INTERVAL_SECONDS
        return now - max(self._tried_at, self._paused_until) < interval_seconds

    def reset(self) -> None:
        """Discard the outcomes: the host has recovered, or another one has taken its place."""
        self._outcomes.clear()
        self._paused_until = None
        self._consecutive_answers = 0
        self.pause_seconds = MIN_PAUSE_SECONDS
