"""Decides changes of the replicas' member list, without an operator.

A replica whose disk was lost, or a machine that replaces another, starts with a new replica
ID and requests to join. It becomes a learner at once. It gets a vote when the system is founded,
or when it replaces a voter: one with the same address (whose disk is gone), or one that has
been silent for a while. Only then is the replaced voter removed, so that the number of disks that
hold committed entries never decreases. A silent voter without a successor stays a member, because
a smaller quorum would put entries on fewer disks.

Replicas beyond the voters stay learners, as spares.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from jasperwalk.consensus.entries import Member, Membership
from jasperwalk.consensus.members import (
    AddLearner,
    MembershipChange,
    PromoteLearner,
    RemoveReplica,
)
from jasperwalk.control.fleet.messages import JoinRequest

REPLACE_AFTER_SECONDS = 4.0
"""A voter without contact for this long may be replaced by a spare learner."""
REQUEST_LIFETIME_SECONDS = 3.0
"""A joining replica repeats its request; one that has not for this long counts as gone."""
ODD_DIVISOR = 2


@dataclass
class JoiningReplica:
    """A replica that requested to join, and when it last did."""

    request: JoinRequest
    asked_at: float


@dataclass
class Autopilot:
    """Decides the next change of the member list on the leader; sans-IO."""

    joining: dict[int, JoiningReplica] = field(default_factory=dict)

    def record_request(self, request: JoinRequest, now: float) -> None:
        """Record a replica's request to join, or its repetition."""
        self.joining[request.replica_id] = JoiningReplica(request, now)

    def next_change(
        self, membership: Membership, contact_ages: Mapping[int, float], now: float
    ) -> MembershipChange | None:
        """Return the next change, None where none is needed.

        `contact_ages` holds the seconds since the last contact with each replica.
        """
        self._expire_requests(now)
        return (
            self._surplus_voter(membership, contact_ages)
            or self._promotion(membership, contact_ages)
            or self._addition(membership)
            or self._stale_learner(membership, contact_ages)
        )

    def _expire_requests(self, now: float) -> None:
        for replica_id, joining_replica in list(self.joining.items()):
            if now - joining_replica.asked_at > REQUEST_LIFETIME_SECONDS:
                del self.joining[replica_id]

    def _addition(self, membership: Membership) -> AddLearner | None:
        for replica_id, joining_replica in self.joining.items():
            known = membership.find(replica_id) is not None or replica_id in membership.removed
            if not known:
                return AddLearner(replica_id, str(joining_replica.request.address))
        return None

    def _promotion(
        self, membership: Membership, contact_ages: Mapping[int, float]
    ) -> PromoteLearner | None:
        replaceable = self._replaceable(membership, contact_ages)
        for member in membership.members:
            joining_replica = self.joining.get(member.replica_id)
            if member.voting or contact_ages.get(member.replica_id, 0.0) > REPLACE_AFTER_SECONDS:
                continue
            is_founding = joining_replica is not None and joining_replica.request.founding
            if is_founding or replaceable:
                return PromoteLearner(member.replica_id)
        return None

    def _replaceable(
        self, membership: Membership, contact_ages: Mapping[int, float]
    ) -> list[Member]:
        """Return the voters that a successor may replace; those with a lost disk come first."""
        voters = [member for member in membership.members if member.voting]
        moved = [member for member in voters if self._has_new_replica_at(member, membership)]
        silent = [
            member
            for member in voters
            if contact_ages.get(member.replica_id, 0.0) > REPLACE_AFTER_SECONDS
        ]
        return moved + silent

    def _has_new_replica_at(self, voter: Member, membership: Membership) -> bool:
        """Return whether a new replica joins from the voter's address: its old disk is gone."""
        for replica_id, joining_replica in self.joining.items():
            same_address = str(joining_replica.request.address) == voter.address
            if replica_id != voter.replica_id and same_address:
                return replica_id not in membership.removed
        return False

    def _surplus_voter(
        self, membership: Membership, contact_ages: Mapping[int, float]
    ) -> RemoveReplica | None:
        """Remove a replaced voter.

        The number of voters is odd except during a replacement; an even number with a silent
        voter tolerates no more failures than the odd number below it.
        """
        if len(membership.voter_ids()) % ODD_DIVISOR:
            return None
        replaceable = self._replaceable(membership, contact_ages)
        return RemoveReplica(replaceable[0].replica_id) if replaceable else None

    def _stale_learner(
        self, membership: Membership, contact_ages: Mapping[int, float]
    ) -> RemoveReplica | None:
        for member in membership.members:
            silent = contact_ages.get(member.replica_id, 0.0) > REPLACE_AFTER_SECONDS
            if not member.voting and silent and member.replica_id not in self.joining:
                return RemoveReplica(member.replica_id)
        return None
