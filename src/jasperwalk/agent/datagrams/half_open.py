"""Flows at the host whose callers have not followed their opening packets up yet."""

from __future__ import annotations

from jasperwalk.agent.datagrams.held_flow import HeldFlow
from jasperwalk.scheduling.smoothed_time import SmoothedTime

MAX_FOLLOW_UP_SECONDS = 0.25
"""A caller that still waits follows its opening packet up within a round trip; after this an
admitted flow without any further packet no longer counts as a request under way, however slow the
others are. It holds while nothing has been measured."""
MIN_FOLLOW_UP_SECONDS = 0.03
"""The same, however fast the others are: a round trip within a country, and a busy balancer."""


class FollowUpTime:
    """How long callers take from the admission of their flow to its next packet.

    After an outage many callers have left when their flows are admitted. Each such flow keeps one
    of the host's few places for this long, so a fixed quarter of a second left hosts idle.
    """

    __slots__ = ("_time",)

    def __init__(self) -> None:
        self._time = SmoothedTime()

    def record(self, seconds: float) -> None:
        """Note one caller's time."""
        self._time.record(seconds)

    def timeout_seconds(self) -> float:
        """Return after how long a caller is taken to have left."""
        return self._time.timeout_seconds(MIN_FOLLOW_UP_SECONDS, MAX_FOLLOW_UP_SECONDS)


class HalfOpenFlows:
    """The admitted flows that wait for their callers, the oldest first."""

    def __init__(self) -> None:
        self._flows: dict[bytes, HeldFlow] = {}
        self.follow_up_time = FollowUpTime()

    def add(self, key: bytes, flow: HeldFlow) -> None:
        """Note an admitted flow, the newest of all."""
        self._flows.pop(key, None)
        self._flows[key] = flow

    def record_follow_up(self, key: bytes, now: float) -> None:
        """Note a caller's next packet."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self.follow_up_time.record(now - flow.opened_at)

    def discard(self, key: bytes) -> None:
        """Forget a flow that is gone."""
        self._flows.pop(key, None)

    def take_abandoned(self, now: float) -> list[HeldFlow]:
        """Take the flows whose callers had given up before they were admitted."""
        abandoned = []
        longest = self.follow_up_time.timeout_seconds()
        while self._flows:
            key, flow = next(iter(self._flows.items()))
            if now - flow.opened_at <= longest:
                break
            abandoned.append(self._flows.pop(key))
        return abandoned
