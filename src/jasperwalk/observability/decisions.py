"""One log line for each decision; a token bucket bounds their rate and drops the excess."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from jasperwalk.token_bucket import TokenBucket

MAX_LINES_PER_SECOND = 200.0
PROCESSOR_SECONDS_PER_LINE = 100e-6
"""Processor time for formatting and writing one line."""
MAX_PROCESSOR_SHARE = 0.05
"""Largest part of its processor time that a process spends on these lines."""
BURST_SECONDS = 2.0

logger = structlog.get_logger("decisions")


def affordable_lines_per_second(processors: float) -> float:
    """Return the permitted lines per second of a process with this many processors."""
    return min(MAX_LINES_PER_SECOND, MAX_PROCESSOR_SHARE * processors / PROCESSOR_SECONDS_PER_LINE)


class DecisionLog:
    """Writes decisions within a rate limit; the next line written counts those dropped before."""

    def __init__(
        self,
        clock: Callable[[], float],
        lines_per_second: float = MAX_LINES_PER_SECOND,
        burst_lines: float | None = None,
    ) -> None:
        """`burst_lines` may be written at once, by default as many as in `BURST_SECONDS`."""
        self._clock = clock
        burst = lines_per_second * BURST_SECONDS if burst_lines is None else burst_lines
        self._budget = TokenBucket(lines_per_second, burst, clock())
        self.dropped = 0
        self._dropped_since_last_line = 0

    def note(self, event: str, **fields: object) -> None:
        """Write one line, if the rate limit permits."""
        if not self._budget.take(self._clock()):
            self.dropped += 1
            self._dropped_since_last_line += 1
            return
        if self._dropped_since_last_line:
            fields["lines_dropped_before"] = self._dropped_since_last_line
            self._dropped_since_last_line = 0
        logger.info(event, **fields)
