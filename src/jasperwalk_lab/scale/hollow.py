"""A hollow process: hundreds of the product's followers, each with its own table, in one loop.

Each follower is the product's `FollowerRunner` on a TCP connection of its own. What a real
balancer or agent has beside it (datagrams, QUIC, back end, admin page) is left out.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import random
import sys
import time
from collections.abc import Callable

import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk.distribution.follower import FollowerCore
from jasperwalk.distribution.follower_events import FollowerConfig, SubscriberFacts
from jasperwalk.distribution.follower_table import FollowerTable
from jasperwalk.distribution.runner import FollowerRunner
from jasperwalk.messages.distribution import SubscriberRole
from jasperwalk_lab.scale.channel import (
    LINE_LIMIT_BYTES,
    REQUEST_DECODER,
    Answer,
    Arrivals,
    Collect,
    Configure,
    Count,
    Cut,
    Done,
    HollowFacts,
    Probe,
    Record,
    Request,
    Restart,
    Return,
    Standing,
    Start,
    Traffic,
    encode_line,
)
from jasperwalk_lab.scale.socket_traffic import SocketTraffic, read_socket_traffic

BOOT_ID_BITS = 64
OLDEST_GENERATION_THRESHOLD = 1_000_000
"""Collections of the middle generation before one of the oldest: in effect never."""


class CountedRunner(FollowerRunner):
    """The product's runner, with a look at its connection's counters."""

    def traffic(self) -> SocketTraffic | None:
        """Return the counters of the connection, None without one."""
        if self._connection is None:
            return None
        transport = self._connection._writer.transport
        with contextlib.suppress(OSError):
            return read_socket_traffic(transport.get_extra_info("socket").fileno())
        return None


class HollowFollower:
    """One hollow balancer or agent."""

    def __init__(self, configuration: Configure, facts: HollowFacts, source: random.Random) -> None:
        self._configuration = configuration
        self._facts = facts
        self._random = source
        self._task: asyncio.Task[None] | None = None
        self.arrivals: list[tuple[int, float]] = []
        self.recording = False
        self.core = self._new_core()
        self.runner = self._new_runner()

    def start(self) -> None:
        """Follow until stopped."""
        self._task = asyncio.create_task(self.runner.run())

    def cut(self) -> None:
        """Drop the connection and keep the table."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self.core.disconnected(time.monotonic())

    def resume(self) -> None:
        """Follow again with the table that is held."""
        self.runner = self._new_runner()
        self.start()

    def restart(self) -> None:
        """Go on as a new process: another boot ID, no table, no incarnation."""
        self.cut()
        self.core = self._new_core()
        self.resume()

    def arrived_at(self, revision: int) -> float | None:
        """Return when the table first was at `revision` or further, None if it was not."""
        for arrived, at in self.arrivals:
            if arrived >= revision:
                return at
        return None

    def _new_core(self) -> FollowerCore:
        facts = SubscriberFacts(
            name=self._facts.name,
            role=self._configuration.role,
            zone=self._facts.zone,
            address=self._facts.address,
            boot_id=f"{self._random.getrandbits(BOOT_ID_BITS):016x}",
        )
        replicas: list[Endpoint] = self._configuration.control
        return FollowerCore(FollowerConfig(), facts, replicas, self._random)

    def _new_runner(self) -> CountedRunner:
        return CountedRunner(self.core, self._configuration.cluster_id, self._table_changed)

    def _table_changed(self, table: FollowerTable) -> None:
        if self.recording:
            self.arrivals.append((table.revision, time.monotonic()))


class HollowProcess:
    """Carries out the requests of the scale run."""

    def __init__(self) -> None:
        self._followers: list[HollowFollower] = []
        self._timers: list[asyncio.TimerHandle] = []

    def answer(self, request: Request) -> Answer:
        """Carry out one request."""
        match request:
            case Configure():
                self._configure(request)
            case Start():
                self._start(request.over_seconds)
            case Probe():
                return self._standing()
            case Record():
                self._record()
            case Collect():
                return Arrivals(times=[self._times(each) for each in request.revisions])
            case Count():
                return self._traffic(request.first or len(self._followers))
            case Restart():
                self._each(self._followers[: request.count], HollowFollower.restart)
            case Cut():
                self._each(self._followers, HollowFollower.cut)
            case Return():
                self._each(self._followers, HollowFollower.resume)
        return Done()

    def _configure(self, request: Configure) -> None:
        source = random.Random(request.seed)
        self._followers = [HollowFollower(request, facts, source) for facts in request.followers]

    def _start(self, over_seconds: float) -> None:
        loop = asyncio.get_running_loop()
        step = over_seconds / max(1, len(self._followers))
        for number, follower in enumerate(self._followers):
            self._timers.append(loop.call_later(number * step, follower.start))

    def _each(
        self, followers: list[HollowFollower], action: Callable[[HollowFollower], None]
    ) -> None:
        for follower in followers:
            action(follower)

    def _record(self) -> None:
        for follower in self._followers:
            follower.arrivals.clear()
            follower.recording = True

    def _times(self, revision: int) -> list[float]:
        times = [follower.arrived_at(revision) for follower in self._followers]
        return [each for each in times if each is not None]

    def _standing(self) -> Standing:
        now = time.monotonic()
        cores = [follower.core for follower in self._followers]
        revisions = [core.table.revision for core in cores]
        return Standing(
            followers=len(cores),
            fresh=sum(1 for core in cores if core.fresh(now)),
            registered=sum(1 for core in cores if _is_registered(core)),
            lowest_revision=min(revisions),
            highest_revision=max(revisions),
            entries=max(len(core.table.entries()) for core in cores[:1]),
        )

    def _traffic(self, first: int) -> Traffic:
        runners = [follower.runner for follower in self._followers[:first]]
        counted = [each for each in (runner.traffic() for runner in runners) if each is not None]
        return Traffic(
            connections=len(counted),
            received_bytes=sum(each.received_bytes for each in counted),
            sent_bytes=sum(each.sent_bytes for each in counted),
            received_segments=sum(each.received_segments for each in counted),
            sent_segments=sum(each.sent_segments for each in counted),
        )


def _is_registered(core: FollowerCore) -> bool:
    return core.facts.role is SubscriberRole.BALANCER or core.incarnation > 0


async def run_hollow() -> None:
    """Serve requests from standard input until it ends."""
    # A full collection would walk hundreds of tables, which no real node holds, and stand still
    # for longer than followers wait for their replica. The young generations go on.
    young, middle, _ = gc.get_threshold()
    gc.set_threshold(young, middle, OLDEST_GENERATION_THRESHOLD)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LINE_LIMIT_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    process = HollowProcess()
    while line := await reader.readline():
        answer = process.answer(REQUEST_DECODER.decode(line))
        sys.stdout.buffer.write(encode_line(answer))
        sys.stdout.buffer.flush()
