"""The candidates of new flows, by an index that is prepared once per service and set of members."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from jasperwalk.config.table_entries import MemberEntry, accepts_new_work
from jasperwalk.routing.rendezvous import (
    CandidatePair,
    PreparedMember,
    WeightedMember,
    choose_pair,
    prepare,
)


class MemberSource(Protocol):
    """The part of a routing table that the candidate index reads."""

    def members_of(self, service_id: int) -> Iterable[MemberEntry]:
        """Return the members of a service's pool, whatever their state."""
        ...


@dataclass(frozen=True, slots=True)
class PreparedPool:
    """A service's prepared members, with the member entries that they were made from."""

    members: tuple[MemberEntry, ...]
    prepared_members: tuple[PreparedMember, ...]


class CandidateIndex:
    """Chooses candidates among the members that accept new work.

    Pools are prepared on first use. After `table_changed` each pool is compared with the table
    on its next use, and prepared again only if its members changed. A pool that is not used
    between two changes is discarded, so that removed services leave nothing behind.
    """

    def __init__(self, source: MemberSource) -> None:
        self._source = source
        self._current: dict[int, PreparedPool] = {}
        self._outdated: dict[int, PreparedPool] = {}

    def table_changed(self, source: MemberSource) -> None:
        """Use the table's new state."""
        self._source = source
        self._outdated = self._current
        self._current = {}

    def candidates(self, service_id: int, flow_key: bytes) -> CandidatePair | None:
        """Return the ordered candidates for a flow, None if no member accepts new work."""
        return choose_pair(self.prepared_members(service_id), flow_key)

    def prepared_members(self, service_id: int) -> tuple[PreparedMember, ...]:
        """Return the prepared members of a service that accept new work."""
        pool = self._current.get(service_id)
        if pool is None:
            pool = self._refresh(service_id)
        return pool.prepared_members

    def _refresh(self, service_id: int) -> PreparedPool:
        members = tuple(self._source.members_of(service_id))
        pool = self._outdated.pop(service_id, None)
        if pool is None or pool.members != members:
            pool = _prepare_pool(members)
        self._current[service_id] = pool
        return pool


def _prepare_pool(members: tuple[MemberEntry, ...]) -> PreparedPool:
    eligible = [
        WeightedMember(address=member.address, weight=float(member.weight))
        for member in members
        if accepts_new_work(member)
    ]
    return PreparedPool(members=members, prepared_members=prepare(eligible))
