"""Which replica a follower tries next, and when."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from jasperwalk.addresses import Endpoint

HIGHEST_BACKOFF_EXPONENT = 16
"""Bound of the doubling, so that the power stays small however long an outage lasts."""


@dataclass
class ReplicaRecord:
    """One replica: the failures since it last served well, and when it may be tried."""

    endpoint: Endpoint
    failures: int = 0
    available_at: float = 0.0


class ReplicaChoice:
    """Replicas in a shuffled order, each with its own jittered exponential back-off.

    The shuffle spreads followers over replicas; the jitter (half to the whole of the back-off)
    keeps followers that lost a replica together from coming back together.
    """

    def __init__(
        self,
        replicas: Sequence[Endpoint],
        backoff_base_seconds: float,
        backoff_cap_seconds: float,
        random_source: random.Random,
    ) -> None:
        self._random = random_source
        self._base = backoff_base_seconds
        self._cap = backoff_cap_seconds
        self._not_before = 0.0
        shuffled = list(dict.fromkeys(replicas))
        random_source.shuffle(shuffled)
        self._records = [ReplicaRecord(endpoint=endpoint) for endpoint in shuffled]

    def next_available_at(self) -> float:
        """Return the earliest time at which some replica may be tried."""
        earliest = min(record.available_at for record in self._records)
        return max(earliest, self._not_before)

    def choose(self, now: float) -> Endpoint | None:
        """Return the replica that waits longest for its turn, or None while all back off."""
        if self.next_available_at() > now:
            return None
        return min(self._records, key=lambda each: each.available_at).endpoint

    def failed(self, endpoint: Endpoint, now: float, at_least_seconds: float = 0.0) -> None:
        """Back off from a replica, for `at_least_seconds` or more."""
        record = self._record(endpoint)
        exponent = min(record.failures, HIGHEST_BACKOFF_EXPONENT)
        backoff = min(self._cap, self._base * 2**exponent)
        record.failures += 1
        jittered = backoff * (0.5 + self._random.random() / 2)
        record.available_at = now + at_least_seconds + jittered
        # The other replicas may be tried soon, but not by all followers at the same moment.
        self._not_before = now + self._random.random() * self._base

    def served(self, endpoint: Endpoint) -> None:
        """Note that a replica serves well, which ends its back-off."""
        self._record(endpoint).failures = 0

    def _record(self, endpoint: Endpoint) -> ReplicaRecord:
        return next(record for record in self._records if record.endpoint == endpoint)
