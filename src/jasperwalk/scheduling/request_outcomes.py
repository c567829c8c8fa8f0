"""Whether a host fails its requests: what its agent sees of each, and what follows from that.

Load pattern: some hosts of a service reset every other request, or leave requests unanswered, while
they announce themselves, take flows and are less busy than the others, so that load is drawn to
them. A caller may not repeat every request: of six such hosts of 34, in five seconds, 74 requests
came to nothing that were not to be repeated.

The agent beside the host sees all of its flows, so it judges alone and at once, without reading
what is said: a request fails when the host resets its flow before it begins to answer, or does not
begin to answer for long. A host that fails enough of the last requests takes no new flows for a
pause; then it gets a few, such as may be repeated, and takes all once enough of them in a row were
answered. With each failure meanwhile the pause grows. A flow that finds no other host is taken all
the same: where all hosts of a service fail, none is left out.

Sans-IO; times are seconds.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import msgspec

WINDOW_SECONDS = 2.0
"""Outcomes older than this say nothing of the host now."""
MAX_OUTCOMES = 64
"""The newest outcomes that are kept: a bound of memory, a second of a fast host."""
MIN_FAILURES = 3
"""Failures in the window from which a host may be failing; single ones come from elsewhere."""
FAILING_SHARE = 0.2
"""Part of the last outcomes that are failures from which a host is failing."""
MIN_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 4.0
TRIAL_INTERVAL_SECONDS = 0.2
"""Pace of trials after the pause."""
RARE_TRIAL_INTERVAL_SECONDS = 2.0
"""The same where no flow comes whose requests may be repeated."""
RECOVERY_ANSWERS = 5
"""Trials answered one after the other that end the judgement: a host that fails half of its
requests passes one time in 32."""


class OutcomeCounts(msgspec.Struct, frozen=True):
    """Outcomes of requests in the window."""

    failed: int
    answered: int


@dataclass(eq=False, repr=False)
class RequestOutcomes:
    """Judges one host."""

    pause_seconds: float = MIN_PAUSE_SECONDS
    """How long the host takes nothing after its next failure as a failing one."""
    _outcomes: deque[tuple[float, bool]] = field(default_factory=lambda: deque(maxlen=MAX_OUTCOMES))
    """When each request ended, and whether it failed; the oldest first."""
    _paused_until: float | None = None
    """End of the pause of a failing host, None for a host that is not."""
    _consecutive_answers: int = 0
    _tried_at: float = float("-inf")

    def is_failing(self) -> bool:
        """Tell whether the host is judged to fail."""
        return self._paused_until is not None

    def counts(self, now: float) -> OutcomeCounts:
        """Return the outcomes in the window."""
        while self._outcomes and now - self._outcomes[0][0] > WINDOW_SECONDS:
            self._outcomes.popleft()
        failed = sum(is_failure for _, is_failure in self._outcomes)
        return OutcomeCounts(failed, len(self._outcomes) - failed)

    def record_admission(self, now: float) -> None:
        """Note that the host gets a new flow."""
        self._tried_at = now

    def record_answer(self, now: float) -> bool:
        """Note a request that the host began to answer; return True where that clears the host."""
        self._outcomes.append((now, False))
        if self._paused_until is None or now < self._paused_until:
            return False
        self._consecutive_answers += 1
        if self._consecutive_answers < RECOVERY_ANSWERS:
            return False
        self.reset()
        return True

    def record_failure(self, now: float) -> bool:
        """Note a request that failed; return True where the host begins to count as failing."""
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
        """Begin a longer pause after a failed trial; failures within a pause are from before."""
        if now < paused_until:
            return
        self.pause_seconds = min(2 * self.pause_seconds, MAX_PAUSE_SECONDS)
        self._paused_until = now + self.pause_seconds

    def refuses(self, repeatable: bool, now: float) -> bool:
        """Tell whether a new flow is kept from the host; `repeatable` are its requests."""
        if self._paused_until is None:
            return False
        if now < self._paused_until:
            return True
        interval_seconds = TRIAL_INTERVAL_SECONDS if repeatable else RARE_TRIAL_INTERVAL_SECONDS
        return now - max(self._tried_at, self._paused_until) < interval_seconds

    def reset(self) -> None:
        """Judge anew: the host was cleared, or another one has taken its place."""
        self._outcomes.clear()
        self._paused_until = None
        self._consecutive_answers = 0
        self.pause_seconds = MIN_PAUSE_SECONDS
