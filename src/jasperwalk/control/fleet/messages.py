"""Messages that control replicas of the datagram plane exchange.

Three groups: between linked replicas, requests of a replica to join the cluster, and operators'
requests to drain, restore and list zones.
"""

from __future__ import annotations

import enum

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.control.peer_messages import LinkAlive, RaftPayload
from jasperwalk.fleet.messages import NodeRecord
from jasperwalk.messages.codec import Decoder


class ReplicaHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag=311):
    """Sent by each replica to all others, periodically.

    `process_incarnation` identifies the sender's process. `leading` is True when the sender leads
    and has committed an entry of its own term. `version` is the version of its configuration,
    `zones_revision` the revision of its drained zones, `zones_in_force` the revision that every
    node linked to it applies. `sequence` numbers the changes of those nodes.
    """

    process_incarnation: int
    leading: bool
    version: int
    sequence: int
    zones_revision: int = 0
    zones_in_force: int = 0


class HomedNodes(msgspec.Struct, frozen=True, array_like=True, tag=312):
    """A replica's linked nodes: all of them (`is_snapshot`), or the change numbered `sequence`."""

    process_incarnation: int
    sequence: int
    is_snapshot: bool
    records: list[NodeRecord]
    removed: list[Endpoint]


class HomedNodesRequest(msgspec.Struct, frozen=True, array_like=True, tag=313):
    """Asks a replica for all its linked nodes, after a change was missed."""


ReplicaMessage = RaftPayload | LinkAlive | ReplicaHeartbeat | HomedNodes | HomedNodesRequest
REPLICA_DECODER: Decoder[ReplicaMessage] = Decoder(ReplicaMessage)


class JoinRequest(msgspec.Struct, frozen=True, array_like=True, tag=321):
    """A replica's request to any other to be added to the members, if it is not one of them.

    `founding` is True when the whole system starts for the first time.
    """

    replica_id: int
    address: Endpoint
    founding: bool


class JoinStatus(enum.StrEnum):
    """The answer to a join request."""

    MEMBER = "member"
    PENDING = "pending"
    REMOVED = "removed"
    NOT_LEADER = "not-leader"


class ReplicaAddress(msgspec.Struct, frozen=True, array_like=True):
    """A replica and where it listens."""

    replica_id: int
    address: Endpoint


class JoinReply(msgspec.Struct, frozen=True, array_like=True, tag=322):
    """The answer; `leader` is the end point to ask instead, where the asked replica knows it.

    `replicas` are the members: a joining replica has to reach them before its log names them.
    """

    status: JoinStatus
    leader: Endpoint | None
    replicas: list[ReplicaAddress]


JOIN_DECODER: Decoder[JoinRequest | JoinReply] = Decoder(JoinRequest | JoinReply)


class ZoneOrderRequest(msgspec.Struct, frozen=True, array_like=True, tag=331):
    """An operator's request to any replica to drain a zone, or to restore it."""

    zone: str
    drained: bool


class ZoneListRequest(msgspec.Struct, frozen=True, array_like=True, tag=332):
    """An operator's request to any replica to list the zones and which of them are drained."""


class ZoneOrderReply(msgspec.Struct, frozen=True, array_like=True, tag=333):
    """The outcome of an order: a kind of `ZoneResult`, and the leader to ask where it is known."""

    outcome: str
    reason: str
    revision: int
    leader: Endpoint | None


class ListedZone(msgspec.Struct, frozen=True, array_like=True):
    """A zone, and whether it is drained."""

    zone: str
    drained: bool


class ZoneListReply(msgspec.Struct, frozen=True, array_like=True, tag=334):
    """The zones; `in_force` is the revision that every linked node applies."""

    outcome: str
    reason: str
    revision: int
    in_force: int
    zones: list[ListedZone]
    leader: Endpoint | None


OperatorRequest = ZoneOrderRequest | ZoneListRequest
OperatorReply = ZoneOrderReply | ZoneListReply
OPERATOR_REQUEST_DECODER: Decoder[OperatorRequest] = Decoder(OperatorRequest)
OPERATOR_REPLY_DECODER: Decoder[OperatorReply] = Decoder(OperatorReply)
