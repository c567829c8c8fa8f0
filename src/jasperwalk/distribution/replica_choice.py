"""Decides which replica a follower tries next, and when."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from jasperwalk.addresses import Endpoint

MAX_BACKOFF_EXPONENT = 16
"""Limit of the exponent, so that the power stays small however long an outage lasts."""

MAX_PAUSE_SECONDS = 2.0
"""Maximum pause between attempts at different replicas: another one may be healthy."""

MAX_TIMEOUT_FACTOR = 4
"""Maximum time-out of an attempt, as a multiple of the usual one."""

FAILURES_BEFORE_FALLBACK = 3
"""Failures in a row of every learned replica before the configured ones are tried again."""


@dataclass
class ReplicaRecord:
    """One replica: its failures since it last served, and when it may be tried again."""

    endpoint: Endpoint
    failures: int = 0
    available_at: float = 0.0


class ReplicaChoice:
    """Replicas in a shuffled order, each with its own jittered exponential back-off.

    The shuffle spreads followers over replicas; the jitter (half to all of the back-off) keeps
    followers that lost a replica together from reconnecting together. Between attempts at
    different replicas there is a jittered pause, which doubles with every failure since a replica
    last served for a while: without it, a fleet that finds no replica would keep connecting to
    all of them and prevent them from electing a leader. Once a replica has sent the list of
    current replicas, the configured ones are tried only when the listed ones fail repeatedly.
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
        self._next_attempt_at = 0.0
        self._failures_in_a_row = 0
        self._configured = list(dict.fromkeys(replicas))
        self._learned: list[Endpoint] = []
        self._learned_at_index = -1
        shuffled = list(self._configured)
        random_source.shuffle(shuffled)
        self._records = {each: ReplicaRecord(endpoint=each) for each in shuffled}

    def update_replicas(self, index: int, replicas: Sequence[Endpoint]) -> None:
        """Set the replicas as committed at a log index; an older list is ignored."""
        if index <= self._learned_at_index or not replicas:
            return
        self._learned_at_index = index
        self._learned = list(dict.fromkeys(replicas))
        wanted = [*self._learned, *self._configured]
        records = {each: record for each, record in self._records.items() if each in wanted}
        for endpoint in wanted:
            # New ones may be tried at once; the shuffle keeps followers from choosing the same.
            records.setdefault(endpoint, ReplicaRecord(endpoint=endpoint))
        shuffled = list(records)
        self._random.shuffle(shuffled)
        self._records = {each: records[each] for each in shuffled}

    def next_available_at(self) -> float:
        """Return the earliest time at which some replica may be tried."""
        earliest = min(record.available_at for record in self._eligible())
        return max(earliest, self._next_attempt_at)

    def choose(self, now: float) -> Endpoint | None:
        """Return the replica that became available first, or None while all back off."""
        if self.next_available_at() > now:
            return None
        return min(self._eligible(), key=lambda each: each.available_at).endpoint

    def record_failure(
        self,
        endpoint: Endpoint,
        now: float,
        min_backoff_seconds: float = 0.0,
        spread_seconds: float = 0.0,
    ) -> None:
        """Back off from a replica, for `min_backoff_seconds` or more.

        The next attempt at any replica comes at a random moment of the pause, which is
        `spread_seconds` or longer.
        """
        exponent = min(self._failures_in_a_row, MAX_BACKOFF_EXPONENT)
        self._failures_in_a_row += 1
        pause = min(MAX_PAUSE_SECONDS, self._base * 2**exponent)
        pause = min(self._cap, max(spread_seconds, pause))
        self._next_attempt_at = now + self._random.random() * pause
        record = self._records.get(endpoint)
        if record is None:
            return
        exponent = min(record.failures, MAX_BACKOFF_EXPONENT)
        backoff = min(self._cap, self._base * 2**exponent)
        record.failures += 1
        jittered = backoff * (0.5 + self._random.random() / 2)
        record.available_at = now + min_backoff_seconds + jittered

    def record_served(self, endpoint: Endpoint) -> None:
        """Record that a replica serves well, which ends its back-off."""
        record = self._records.get(endpoint)
        if record is not None:
            record.failures = 0

    def timeout_factor(self) -> int:
        """Return how much longer than usual a replica may take to answer an attempt.

        It doubles up to `MAX_TIMEOUT_FACTOR` once as many attempts failed in a row as there are
        replicas: an attempt that is cancelled while it waits in a replica's queue has cost that
        replica as much as one that succeeds.
        """
        doublings = max(0, self._failures_in_a_row - len(self._eligible()) + 1)
        return int(min(2 ** min(doublings, MAX_BACKOFF_EXPONENT), MAX_TIMEOUT_FACTOR))

    def record_settled(self) -> None:
        """Record that a replica has served well for a while, which resets the pauses."""
        self._failures_in_a_row = 0

    def _eligible(self) -> list[ReplicaRecord]:
        learned = [self._records[each] for each in self._learned]
        if learned and any(each.failures < FAILURES_BEFORE_FALLBACK for each in learned):
            return learned
        return list(self._records.values())
