"""One log line for each decision, bounded: a token bucket drops and counts what is too much."""

from __future__ import annotations

from collections.abc import Callable

import structlog

LINES_PER_SECOND = 200.0
BURST_LINES = 400.0

logger = structlog.get_logger("decisions")


class DecisionLog:
    """Writes decisions while its budget lasts; the next line written tells how many were not."""

    def __init__(
        self,
        clock: Callable[[], float],
        lines_per_second: float = LINES_PER_SECOND,
        burst_lines: float = BURST_LINES,
    ) -> None:
        self._clock = clock
        self._rate = lines_per_second
        self._burst = burst_lines
        self._tokens = burst_lines
        self._filled_at = clock()
        self.dropped = 0
        self._untold = 0

    def note(self, event: str, **fields: object) -> None:
        """Write one line, if there is budget for it."""
        now = self._clock()
        self._tokens = min(self._burst, self._tokens + (now - self._filled_at) * self._rate)
        self._filled_at = now
        if self._tokens < 1.0:
            self.dropped += 1
            self._untold += 1
            return
        self._tokens -= 1.0
        if self._untold:
            fields["lines_dropped_before"] = self._untold
            self._untold = 0
        logger.info(event, **fields)
