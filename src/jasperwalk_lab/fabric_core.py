"""Decisions of the fabric stand-in, without sockets: spraying, health, delays, cuts."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from jasperwalk.addresses import Endpoint

FAILURES_TO_REMOVE = 2
"""Consecutive failed probes after which a balancer gets no more datagrams."""
SIGHTING_GAP_SECONDS = 1.0
"""Time without an answer after which the next answer is a new sighting."""


@dataclass
class FabricBalancer:
    """One balancer that the fabric knows.

    `delay` is the one-way delay to it in seconds, `sent` counts the datagrams sent to it. Where
    `cut` is set, its datagrams are dropped.
    """

    name: str
    endpoint: Endpoint
    admin: Endpoint
    delay: float
    failures: int = FAILURES_TO_REMOVE
    cut: bool = False
    sent: int = 0

    @property
    def in_use(self) -> bool:
        """Return whether the last probes found the balancer healthy."""
        return self.failures < FAILURES_TO_REMOVE


@dataclass(frozen=True)
class Sighting:
    """An agent's first answer to a caller's port, or the first after a gap; `at` in seconds."""

    caller_port: int
    agent: str
    at: float


@dataclass(slots=True)
class _AnswerPeriods:
    starts: list[float]
    last: float


class AgentSightings:
    """Which agents answered which callers' ports, and the agents whose answers are dropped.

    An agent is identified by the host and port that its datagrams come from.
    """

    def __init__(self) -> None:
        self.cut: set[tuple[str, int]] = set()
        self._periods: dict[tuple[int, tuple[str, int]], _AnswerPeriods] = {}

    def record_answer(self, caller_port: int, agent: tuple[str, int], now: float) -> None:
        """Record that an agent answered a caller.

        A port may be used by one flow after another, so an answer after a gap is a new sighting.
        """
        periods = self._periods.get((caller_port, agent))
        if periods is None:
            self._periods[caller_port, agent] = _AnswerPeriods([now], now)
            return
        if now - periods.last >= SIGHTING_GAP_SECONDS:
            periods.starts.append(now)
        periods.last = now

    def all(self) -> list[Sighting]:
        """Return every sighting."""
        return [
            Sighting(caller_port=port, agent=f"{host}:{number}", at=at)
            for (port, (host, number)), periods in self._periods.items()
            for at in periods.starts
        ]


@dataclass
class FabricCounters:
    """Counts of datagrams since the fabric started."""

    sprayed: int = 0
    answered: int = 0
    dropped_without_balancer: int = 0
    dropped_by_cut: int = 0
    malformed: int = 0


class Sprayer:
    """Sprays datagrams uniformly at random over the balancers that probes found healthy.

    A new balancer counts as unhealthy until its first probe succeeds. A cut balancer still gets
    its share, which is dropped: neither the fabric nor its probes notice the cut.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._balancers: dict[str, FabricBalancer] = {}
        self._in_use: list[FabricBalancer] = []

    def add(self, balancer: FabricBalancer) -> None:
        """Add a balancer, or replace the one of the same name."""
        self._balancers[balancer.name] = balancer
        self._update_in_use()

    def remove(self, name: str) -> bool:
        """Remove a balancer; return whether it was known."""
        known = self._balancers.pop(name, None) is not None
        self._update_in_use()
        return known

    def get(self, name: str) -> FabricBalancer | None:
        """Return the balancer called `name`."""
        return self._balancers.get(name)

    def all(self) -> list[FabricBalancer]:
        """Return every known balancer."""
        return list(self._balancers.values())

    def in_use(self) -> list[FabricBalancer]:
        """Return the balancers that get datagrams now."""
        return list(self._in_use)

    def record_probe(self, name: str, healthy: bool) -> None:
        """Record the result of one probe of the balancer's health page."""
        balancer = self._balancers.get(name)
        if balancer is None:
            return
        balancer.failures = 0 if healthy else balancer.failures + 1
        self._update_in_use()

    def choose(self) -> FabricBalancer | None:
        """Choose a balancer for one datagram; None when none is healthy."""
        if not self._in_use:
            return None
        return self._in_use[int(self._random.random() * len(self._in_use))]

    def _update_in_use(self) -> None:
        self._in_use = [b for b in self._balancers.values() if b.in_use]


@dataclass(order=True)
class DelayedDatagram:
    """A datagram to be sent at `due` seconds; `sequence` orders those due at the same time."""

    due: float
    sequence: int
    channel: int = field(compare=False)
    destination: Endpoint = field(compare=False)
    payload: bytes = field(compare=False)


class DelayQueue:
    """Datagrams that wait for their one-way delay, ordered by the time at which they are due."""

    def __init__(self) -> None:
        self._waiting: list[DelayedDatagram] = []
        self._sequence = 0

    def put(self, due: float, channel: int, destination: Endpoint, payload: bytes) -> None:
        """Add a datagram that socket `channel` sends to `destination` at `due`."""
        self._sequence += 1
        datagram = DelayedDatagram(due, self._sequence, channel, destination, payload)
        heapq.heappush(self._waiting, datagram)

    def take_due(self, now: float) -> list[DelayedDatagram]:
        """Remove and return what is due at `now`, in order."""
        due: list[DelayedDatagram] = []
        while self._waiting and self._waiting[0].due <= now:
            due.append(heapq.heappop(self._waiting))
        return due

    def next_due(self) -> float | None:
        """Return when the next datagram is due; None when no datagram waits."""
        return self._waiting[0].due if self._waiting else None
