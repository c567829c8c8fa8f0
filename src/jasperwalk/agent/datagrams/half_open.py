"""Half-open flows: admitted, but their callers have not followed the opening packet up yet.

Decides when such a flow counts as abandoned, from how long other callers take to follow up.
"""

from __future__ import annotations

from jasperwalk.agent.datagrams.held_flow import HeldFlow
from jasperwalk.scheduling.smoothed_time import SmoothedTime

MAX_FOLLOW_UP_SECONDS = 0.25
"""Upper bound of the time after which an admitted flow without a further packet no longer counts as
a request in flight: a caller that still waits follows up within a round trip. It applies while
nothing has been measured."""
MIN_FOLLOW_UP_SECONDS = 0.03
"""Lower bound of the same time: a round trip within a country, and a busy balancer."""


class FollowUpTime:
    """How long callers take from the admission of their flow to its next packet.

    After an outage many callers have left when their flows are admitted. Each such flow occupies
    one of the host's few places until it counts as abandoned, so a fixed 0.25 s left hosts idle.
    """

    __slots__ = ("_time",)

    def __init__(self) -> None:
        self._time = SmoothedTime()

    def record(self, seconds: float) -> None:
        """Record one caller's time."""
        self._time.record(seconds)

    def timeout_seconds(self) -> float:
        """Return after how long a caller counts as gone."""
        return self._time.timeout_seconds(MIN_FOLLOW_UP_SECONDS, MAX_FOLLOW_UP_SECONDS)


class HalfOpenFlows:
    """The admitted flows that wait for their callers to follow up, the oldest first."""

    def __init__(self) -> None:
        self._flows: dict[bytes, HeldFlow] = {}
        self.follow_up_time = FollowUpTime()

    def add(self, key: bytes, flow: HeldFlow) -> None:
        """Add an admitted flow, the newest of all."""
        self._flows.pop(key, None)
        self._flows[key] = flow

    def record_follow_up(self, key: bytes, now: float) -> None:
        """Record a caller's next packet."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self.follow_up_time.record(now - flow.opened_at)

    def discard(self, key: bytes) -> None:
        """Remove a flow that is gone."""
        self._flows.pop(key, None)

    def take_abandoned(self, now: float) -> list[HeldFlow]:
        """Take the flows whose callers had left before they were admitted."""
        abandoned = []
        longest = self.follow_up_time.timeout_seconds()
        while self._flows:
            key, flow = next(iter(self._flows.items()))
            if now - flow.opened_at <= longest:
                break
            abandoned.append(self._flows.pop(key))
        return abandoned
