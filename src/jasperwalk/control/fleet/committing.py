"""How a replica answers an operator's command: it commits it, names the leader, or is unavailable.

An acknowledgement is given only for a command that a quorum of the replicas has on disk.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from jasperwalk.addresses import Endpoint
from jasperwalk.consensus.outcomes import Proposed
from jasperwalk.control.fleet.replica import FleetReplica
from jasperwalk.control.fleet.versioned_state import Command, Outcome, encode_command
from jasperwalk.control.proposal_errors import ProposalError

COMMIT_TIMEOUT_SECONDS = 0.85
"""Operators move on to another replica after a second of silence."""


@dataclass(frozen=True)
class AskLeader:
    """Another replica leads; `replica` is its replica end point."""

    kind: ClassVar[str] = "ask-leader"
    replica: Endpoint


@dataclass(frozen=True)
class Unavailable:
    """No certain answer is possible now; the change may or may not be committed later."""

    kind: ClassVar[str] = "unavailable"
    reason: str


def refer_to_leader(replica: FleetReplica) -> AskLeader | Unavailable:
    """Return the leader's end point, or `Unavailable` where this replica knows no leader."""
    address = replica.leader_address()
    return Unavailable("no leader") if address is None else AskLeader(address)


async def commit(replica: FleetReplica, command: Command) -> Outcome | Unavailable:
    """Propose a command on the leader and wait until it is applied."""
    proposed = replica.runner.propose(encode_command(command))
    if not isinstance(proposed, Proposed):
        return Unavailable(proposed.kind)
    try:
        entry = await replica.applier.applied.wait(
            proposed.index, proposed.term, COMMIT_TIMEOUT_SECONDS
        )
    except ProposalError as error:
        return Unavailable(error.kind)
    return entry.outcome or Unavailable("malformed command")
