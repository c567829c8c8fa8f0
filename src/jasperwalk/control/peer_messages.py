"""Messages between control replicas, each framed on a TCP link opened by the sender.

Links are one-way: an answer is sent on the answering replica's own link. The sender is identified
by the link's Hello. Every request carries a number that is unique for its sender's process.
"""

from __future__ import annotations

import enum

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.control.in_force import InForce
from jasperwalk.control.subscriber_reports import SubscriberReport
from jasperwalk.messages.codec import Decoder


class RaftPayload(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """An encoded message of the consensus core."""

    payload: bytes


class ForwardProposal(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A follower's request that the leader appends `command` to the log."""

    request_number: int
    command: bytes


class ReplicaAddition(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A new replica, which joins as a learner."""

    replica_id: int
    address: Endpoint


class ReplicaPromotion(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A learner that becomes a voter."""

    replica_id: int


class ReplicaRemoval(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A replica that is removed permanently; its ID is never used again."""

    replica_id: int


ReplicaChange = ReplicaAddition | ReplicaPromotion | ReplicaRemoval


class ForwardReplicaChange(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A follower's request that the leader proposes a change of the replicas."""

    request_number: int
    change: ReplicaChange


class ProposalVerdict(enum.StrEnum):
    """What the leader did with a forwarded request."""

    APPENDED = "appended"
    NOT_LEADER = "not-leader"
    OVERLOADED = "overloaded"
    TOO_LARGE = "too-large"
    REFUSED = "refused"


class ForwardReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The leader's answer: the entry's term and index when it was appended.

    Appended is not yet accepted: the sender waits until its own log has applied the index. If
    that index then holds another term, the entry was lost. `detail` explains a refusal.
    """

    request_number: int
    verdict: ProposalVerdict
    term: int
    index: int
    detail: str = ""


class LinkAlive(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Keepalive, sent in both directions, so that both ends detect a silent connection."""


class FullReportRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The leader's answer to a report when an earlier one is missing."""


class InForceQuery(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A follower's query to the leader: where `revision` is in force."""

    query_number: int
    revision: int


class InForceAnswer(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """The leader's answer."""

    query_number: int
    in_force: InForce


class AgentCondition(msgspec.Struct, frozen=True, array_like=True):
    """What an agent reports of itself; 0 open flows is exact, other counts are approximate."""

    address: Endpoint
    healthy: bool
    open_flows: int


class AgentsQuery(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """A follower's query to the leader: what the agents report of themselves."""

    query_number: int


class AgentsAnswer(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """The leader's answer: the agents that have not expired."""

    query_number: int
    agents: list[AgentCondition]


LeaderQuery = InForceQuery | AgentsQuery
LeaderAnswer = InForceAnswer | AgentsAnswer

PeerMessage = (
    RaftPayload
    | ForwardProposal
    | ForwardReplicaChange
    | ForwardReply
    | SubscriberReport
    | LinkAlive
    | FullReportRequest
    | LeaderQuery
    | LeaderAnswer
)

PEER_DECODER: Decoder[PeerMessage] = Decoder(PeerMessage)
