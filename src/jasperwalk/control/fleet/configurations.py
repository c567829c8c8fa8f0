"""Operators' changes and reads of the configuration, on any replica."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar

import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk.consensus.outcomes import Proposed
from jasperwalk.control.fleet.replica import FleetReplica
from jasperwalk.control.fleet.versioned_state import (
    HeldConfiguration,
    PutConfiguration,
    PutOutcome,
    encode_command,
)
from jasperwalk.control.proposal_errors import ProposalError
from jasperwalk.observability.latency import LatencyCounts

COMMIT_TIMEOUT_SECONDS = 0.85
"""Operators move on to another replica after a second of silence."""
READ_QUORUM_SECONDS = 0.5
"""Oldest quorum contact of a leader that answers reads; less than an election timeout, so
that no other leader can have acknowledged anything since."""

logger = structlog.get_logger(__name__)


@dataclass(frozen=True)
class Acknowledged:
    """The configuration is committed, or its version is not above the held one."""

    kind: ClassVar[str] = "acknowledged"
    version: int
    held_version: int


@dataclass(frozen=True)
class AskLeader:
    """Another replica leads; `replica` is its replica end point."""

    kind: ClassVar[str] = "ask-leader"
    replica: Endpoint


@dataclass(frozen=True)
class Unavailable:
    """No answer can be given for sure now; nothing is promised about the change."""

    kind: ClassVar[str] = "unavailable"
    reason: str


PutResult = Acknowledged | AskLeader | Unavailable
ReadResult = HeldConfiguration | AskLeader | Unavailable


@dataclass
class ConfigurationCounters:
    """Operators' changes on this replica since it started, by outcome."""

    puts_acknowledged: int = 0
    puts_referred: int = 0
    puts_unavailable: int = 0


class ConfigurationService:
    """Takes and returns configurations; `replica` gives the replica's current life."""

    def __init__(self, replica: Callable[[], FleetReplica | None]) -> None:
        self._replica = replica
        self.counters = ConfigurationCounters()
        self.put_latency = LatencyCounts()

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
            return _refer(replica)
        proposed = replica.runner.propose(encode_command(command))
        if not isinstance(proposed, Proposed):
            return Unavailable(proposed.kind)
        try:
            entry = await replica.applier.applied.wait(
                proposed.index, proposed.term, COMMIT_TIMEOUT_SECONDS
            )
        except ProposalError as error:
            return Unavailable(error.kind)
        if not isinstance(entry.outcome, PutOutcome):
            return Unavailable("malformed command")
        return Acknowledged(command.version, entry.outcome.held_version)

    def read(self) -> ReadResult:
        """Return the newest configuration, if this replica can be sure of it."""
        replica = self._replica()
        if replica is None:
            return Unavailable("replica is starting")
        if not replica.runner.is_leader:
            return _refer(replica)
        if not replica.runner.is_settled or replica.runner.quorum_age() > READ_QUORUM_SECONDS:
            return Unavailable("no quorum")
        held = replica.applier.state.held
        return held if held.version else Unavailable("no configuration yet")


def _refer(replica: FleetReplica) -> AskLeader | Unavailable:
    address = replica.leader_address()
    return Unavailable("no leader") if address is None else AskLeader(address)
