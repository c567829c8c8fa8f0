"""One log line for each decision, bounded: a token bucket drops and counts what is too much."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from jasperwalk.token_bucket import TokenBucket

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
        self._budget = TokenBucket(lines_per_second, burst_lines, clock())
        self.dropped = 0
        self._untold = 0

    def note(self, event: str, **fields: object) -> None:
        """Write one line, if there is budget for it."""
        if not self._budget.take(self._clock()):
            self.dropped += 1
            self._untold += 1
            return
        if self._untold:
            fields["lines_dropped_before"] = self._untold
            self._untold = 0
        logger.info(event, **fields)
