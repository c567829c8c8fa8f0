"""Operators' changes and reads of the configuration, as any replica handles them.

Only the leader commits a change or answers a read, so that a read returns every acknowledged
change; other replicas name the leader.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar

import structlog

from jasperwalk.control.fleet.committing import AskLeader, Unavailable, commit, refer_to_leader
from jasperwalk.control.fleet.replica import FleetReplica
from jasperwalk.control.fleet.versioned_state import (
    HeldConfiguration,
    PutConfiguration,
    PutOutcome,
)
from jasperwalk.observability.latency import LatencyHistogram

READ_QUORUM_SECONDS = 0.5
"""Maximum age of the quorum contact of a leader that answers reads. Less than an election timeout,
so that no other leader can have acknowledged anything since."""

logger = structlog.get_logger(__name__)


@dataclass(frozen=True)
class Acknowledged:
    """The configuration is committed, or its version is not above the held one."""

    kind: ClassVar[str] = "acknowledged"
    version: int
    held_version: int


PutResult = Acknowledged | AskLeader | Unavailable
ReadResult = HeldConfiguration | AskLeader | Unavailable


@dataclass
class ConfigurationCounters:
    """Operators' changes on this replica since it started, by outcome."""

    puts_acknowledged: int = 0
    puts_referred: int = 0
    puts_unavailable: int = 0


class ConfigurationService:
    """Commits and returns configurations; `replica` returns the replica that runs now, if any."""

    def __init__(self, replica: Callable[[], FleetReplica | None]) -> None:
        self._replica = replica
        self.counters = ConfigurationCounters()
        self.put_latency = LatencyHistogram()

    async def put(self, command: PutConfiguration) -> PutResult:
        """Commit a valid configuration; `Acknowledged` only once a quorum has it on disk."""
        started_at = time.monotonic()
        result = await self._put(command)
        self._count(result, time.monotonic() - started_at)
        logger.info(
            "configuration-put",
            version=command.version,
            routes=len(command.routes),
            outcome=result.kind,
            detail=str(result),
        )
        return result

    def _count(self, result: PutResult, seconds: float) -> None:
        if isinstance(result, Acknowledged):
            self.counters.puts_acknowledged += 1
            self.put_latency.observe(seconds)
        elif isinstance(result, AskLeader):
            self.counters.puts_referred += 1
        else:
            self.counters.puts_unavailable += 1

    async def _put(self, command: PutConfiguration) -> PutResult:
        replica = self._replica()
        if replica is None:
            return Unavailable("replica is starting")
        if not replica.runner.is_leader:
            return refer_to_leader(replica)
        outcome = await commit(replica, command)
        if isinstance(outcome, PutOutcome):
            return Acknowledged(command.version, outcome.held_version)
        return outcome if isinstance(outcome, Unavailable) else Unavailable("malformed command")

    def read(self) -> ReadResult:
        """Return the newest configuration, if this replica certainly holds it."""
        replica = self._replica()
        if replica is None:
            return Unavailable("replica is starting")
        if not replica.runner.is_leader:
            return refer_to_leader(replica)
        if not replica.runner.is_settled or replica.runner.quorum_age() > READ_QUORUM_SECONDS:
            return Unavailable("no quorum")
        held = replica.applier.state.held
        return held if held.version else Unavailable("no configuration yet")
