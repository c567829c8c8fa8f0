"""Weighted rendezvous hashing: an ordered pair of members for a flow key.

Each member gets a score from a hash of the flow key, seeded by the member's address; the two
best scores win. Every balancer with the same members chooses the same pair, whatever their
order in the table, and removing a member moves only the flows that had chosen it.

Weights follow the logarithmic method of Schindelhauer and Schomaker ("Weighted distributed
hash tables", SPAA 2005): with u uniform in (0, 1), the greatest `ln(u) / weight` belongs to
a member with a probability proportional to its weight.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from heapq import nlargest
from typing import TypeVar

import msgspec
from xxhash import xxh3_64_intdigest

from jasperwalk.addresses import Endpoint

MemberType = TypeVar("MemberType")

HASH_SPAN = float(2**64)
"""Number of values of the 64-bit hash."""


class WeightedMember(msgspec.Struct, frozen=True):
    """A member that may be chosen: its endpoint and its weight (over 0)."""

    address: Endpoint
    weight: float


class PreparedMember(msgspec.Struct, frozen=True):
    """A member prepared for scoring: the seed of its hash and the inverse of its weight."""

    address: Endpoint
    packed_address: bytes
    seed: int
    inverse_weight: float


class CandidatePair(msgspec.Struct, frozen=True):
    """The members chosen for a flow; `second` is None if the pool has only one member."""

    first: PreparedMember
    second: PreparedMember | None


def prepare(members: Iterable[WeightedMember]) -> tuple[PreparedMember, ...]:
    """Prepare members for `choose_pair`, in an order that is independent of the input order."""
    prepared_members = [_prepare_member(member) for member in members]
    return tuple(
        sorted(prepared_members, key=lambda prepared_member: prepared_member.packed_address)
    )


def choose_pair(
    prepared_members: Sequence[PreparedMember], flow_key: bytes
) -> CandidatePair | None:
    """Return the two members with the best scores for a flow key, None if there is none."""
    first: PreparedMember | None = None
    second: PreparedMember | None = None
    first_score = second_score = -math.inf
    for prepared_member in prepared_members:
        # Adding 0.5 keeps the logarithm's argument above 0, so that the score is finite.
        uniform = (xxh3_64_intdigest(flow_key, prepared_member.seed) + 0.5) / HASH_SPAN
        score = math.log(uniform) * prepared_member.inverse_weight
        if first is None or score > first_score:
            second, second_score = first, first_score
            first, first_score = prepared_member, score
        elif second is None or score > second_score:
            second, second_score = prepared_member, score
    if first is None:
        return None
    return CandidatePair(first=first, second=second)


def hash_seed(packed_address: bytes) -> int:
    """Return the seed of a member's own hash, from its packed address."""
    return xxh3_64_intdigest(packed_address)


def choose_best(
    members: Sequence[MemberType], flow_key: bytes, count: int, seed_of: Callable[[MemberType], int]
) -> Sequence[MemberType]:
    """Return the `count` members with the best scores for a flow key, all of equal weight."""
    if len(members) <= count:
        return members
    return nlargest(count, members, key=lambda each: xxh3_64_intdigest(flow_key, seed_of(each)))


def _prepare_member(member: WeightedMember) -> PreparedMember:
    packed = member.address.pack()
    return PreparedMember(
        address=member.address,
        packed_address=packed,
        seed=hash_seed(packed),
        inverse_weight=1.0 / member.weight,
    )
