"""Proposes a change from any replica and waits for its outcome.

The leader appends a command to its own log; another replica forwards it to the leader over its peer
link. Either way the proposer waits until its *own* log has applied the entry, so that a later read
on the same replica sees the change. Nothing is retried here: a caller without an outcome resends
with the same change ID, and the state answers with the first outcome.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from jasperwalk.consensus.outcomes import (
    CommandTooLarge,
    MembershipOutcome,
    NotLeader,
    ProposalOutcome,
    Proposed,
)
from jasperwalk.consensus.outcomes import MembershipRefused as CoreMembershipRefused
from jasperwalk.consensus.outcomes import Overloaded as CoreOverloaded
from jasperwalk.control.applied import AppliedEntry
from jasperwalk.control.control_runner import ControlRunner
from jasperwalk.control.peer_links import PeerNetwork
from jasperwalk.control.peer_messages import (
    ForwardProposal,
    ForwardReplicaChange,
    ForwardReply,
    ProposalVerdict,
    ReplicaChange,
)
from jasperwalk.control.problem import BodyTooLarge
from jasperwalk.control.proposal_errors import (
    MembershipRefused,
    NoLeader,
    OutcomeUnknown,
    Overloaded,
)
from jasperwalk.control.state.commands import Command, encode_command
from jasperwalk.control.state.outcomes import Outcome

PROPOSAL_TIMEOUT_SECONDS = 4.0
"""Time for a proposal to be committed and applied here; elections take one to three."""
FORWARD_TIMEOUT_SECONDS = 2.0
"""Time for the leader's reply to a forwarded proposal."""
MAX_WAITING_PROPOSALS = 512
"""Proposals of this replica that may wait at once; further ones are refused as overload."""

ForwardedMessage = ForwardProposal | ForwardReplicaChange


class Proposals:
    """Proposes commands and changes of the replicas, on the leader or through it."""

    def __init__(self, runner: ControlRunner, network: PeerNetwork) -> None:
        self._runner = runner
        self._network = network
        self._numbers = itertools.count(1)
        self._replies: dict[int, asyncio.Future[ForwardReply]] = {}
        self._waiting = 0

    async def propose(
        self, command: Command, timeout_seconds: float = PROPOSAL_TIMEOUT_SECONDS
    ) -> Outcome:
        """Propose a command and return its outcome, which may be a refusal by the state.

        Raises `NoLeader`, `Overloaded`, `BodyTooLarge` or `ProposalLost` when the command was
        certainly not applied, and `OutcomeUnknown` when it may have been or may still be.
        """
        encoded = encode_command(command)
        entry = await self._propose(
            lambda: _position_of(self._runner.propose(encoded)),
            lambda number: ForwardProposal(request_number=number, command=encoded),
            timeout_seconds,
        )
        if entry.outcome is None:
            raise OutcomeUnknown()
        return entry.outcome

    async def propose_replica_change(
        self, change: ReplicaChange, timeout_seconds: float = PROPOSAL_TIMEOUT_SECONDS
    ) -> int:
        """Propose a change of the replicas and return the log index that carries it.

        Raises as `propose` does, and `MembershipRefused`.
        """
        entry = await self._propose(
            lambda: _position_of(self._runner.propose_replica_change(change)),
            lambda number: ForwardReplicaChange(request_number=number, change=change),
            timeout_seconds,
        )
        return entry.index

    async def _propose(
        self,
        append: Callable[[], Proposed],
        forwarded: Callable[[int], ForwardedMessage],
        timeout_seconds: float,
    ) -> AppliedEntry[Outcome]:
        if self._waiting >= MAX_WAITING_PROPOSALS:
            raise Overloaded()
        self._waiting += 1
        try:
            if self._runner.is_leader:
                position = append()
            else:
                position = await self._forward(forwarded)
            return await self._runner.applied.wait(position.index, position.term, timeout_seconds)
        finally:
            self._waiting -= 1

    async def _forward(self, forwarded: Callable[[int], ForwardedMessage]) -> Proposed:
        """Forward a request to the leader; return where it appended the entry."""
        leader_id = self._runner.leader_id
        number = next(self._numbers)
        if leader_id is None or not self._network.send(leader_id, forwarded(number)):
            raise NoLeader(leader_id=leader_id)
        reply: asyncio.Future[ForwardReply] = asyncio.get_running_loop().create_future()
        self._replies[number] = reply
        try:
            async with asyncio.timeout(FORWARD_TIMEOUT_SECONDS):
                return _position_in(await reply, leader_id)
        except TimeoutError as error:
            raise OutcomeUnknown() from error
        finally:
            del self._replies[number]

    def handle_request(self, sender: int, message: ForwardedMessage) -> None:
        """Answer a request that another replica forwarded to this replica as the leader."""
        outcome: ProposalOutcome | MembershipOutcome
        match message:
            case ForwardProposal():
                outcome = self._runner.propose(message.command)
            case ForwardReplicaChange():
                outcome = self._runner.propose_replica_change(message.change)
        self._network.send(sender, _reply_to(message.request_number, outcome))

    def handle_reply(self, reply: ForwardReply) -> None:
        """Deliver the leader's reply to its proposal, if that still waits."""
        waiting = self._replies.get(reply.request_number)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)


def _position_of(outcome: ProposalOutcome | MembershipOutcome) -> Proposed:
    """Return where an entry was appended; raise the refusal otherwise."""
    match outcome:
        case Proposed():
            return outcome
        case NotLeader():
            raise NoLeader(leader_id=outcome.leader_id)
        case CoreOverloaded():
            raise Overloaded()
        case CommandTooLarge():
            raise BodyTooLarge(limit_bytes=outcome.limit_bytes)
        case CoreMembershipRefused():
            raise MembershipRefused(reason=outcome.reason.value)


def _reply_to(number: int, outcome: ProposalOutcome | MembershipOutcome) -> ForwardReply:
    """Encode the core's answer for the replica that forwarded the request."""
    match outcome:
        case Proposed():
            return ForwardReply(number, ProposalVerdict.APPENDED, outcome.term, outcome.index)
        case NotLeader():
            return ForwardReply(number, ProposalVerdict.NOT_LEADER, 0, 0)
        case CoreOverloaded():
            return ForwardReply(number, ProposalVerdict.OVERLOADED, 0, 0)
        case CommandTooLarge():
            limit = str(outcome.limit_bytes)
            return ForwardReply(number, ProposalVerdict.TOO_LARGE, 0, 0, limit)
        case CoreMembershipRefused():
            return ForwardReply(number, ProposalVerdict.REFUSED, 0, 0, outcome.reason.value)


def _position_in(reply: ForwardReply, leader_id: int) -> Proposed:
    """Return where the leader appended the entry; raise its refusal otherwise."""
    match reply.verdict:
        case ProposalVerdict.APPENDED:
            return Proposed(term=reply.term, index=reply.index)
        case ProposalVerdict.NOT_LEADER:
            raise NoLeader(leader_id=leader_id)
        case ProposalVerdict.OVERLOADED:
            raise Overloaded()
        case ProposalVerdict.TOO_LARGE:
            raise BodyTooLarge(limit_bytes=int(reply.detail))
        case ProposalVerdict.REFUSED:
            raise MembershipRefused(reason=reply.detail)
