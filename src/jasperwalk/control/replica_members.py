"""Converts replicas between the form of operators and settings and that of the core."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from jasperwalk.addresses import Endpoint
from jasperwalk.consensus.entries import Member
from jasperwalk.consensus.members import (
    AddLearner,
    MembershipChange,
    PromoteLearner,
    RemoveReplica,
)
from jasperwalk.control.peer_messages import (
    ReplicaAddition,
    ReplicaChange,
    ReplicaPromotion,
    ReplicaRemoval,
)
from jasperwalk.errors import InvalidAddress


def core_change(change: ReplicaChange) -> MembershipChange:
    """Return an operator's change of the replicas in the core's form."""
    match change:
        case ReplicaAddition():
            return AddLearner(replica_id=change.replica_id, address=str(change.address))
        case ReplicaPromotion():
            return PromoteLearner(replica_id=change.replica_id)
        case ReplicaRemoval():
            return RemoveReplica(replica_id=change.replica_id)


def endpoints_of(
    members: Iterable[Member], configured: Mapping[int, Endpoint]
) -> dict[int, Endpoint]:
    """Return the members' endpoints by ID; the configured one if a member lists none."""
    endpoints: dict[int, Endpoint] = {}
    for member in members:
        endpoint = _parse_endpoint(member.address) or configured.get(member.replica_id)
        if endpoint is not None:
            endpoints[member.replica_id] = endpoint
    return endpoints


def _parse_endpoint(address: str) -> Endpoint | None:
    try:
        return Endpoint.parse(address)
    except InvalidAddress:
        return None
