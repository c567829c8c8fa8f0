"""A retry budget, which keeps retries a small share of the requests (sans-IO)."""

from __future__ import annotations

RETRIES_PER_REQUEST = 0.1
"""Tokens earned by each first attempt; a retry costs one."""
MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket that is filled by requests, not by time."""

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def earn(self) -> None:
        """Add the tokens of a first attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + RETRIES_PER_REQUEST)

    def spend(self) -> bool:
        """Spend a token on one retry; False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
