"""Placement algorithms for new flows that the product does not use (sans-IO).

They implement the product's interface `CandidateIndex`. Each remembers where it sent an Initial,
so that one balancer sends retransmissions of a flow to the same member. As in real deployments,
balancers don't share this memory.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Mapping, Sequence

from jasperwalk.addresses import Endpoint
from jasperwalk.routing.candidates import CandidateIndex, MemberSource
from jasperwalk.routing.rendezvous import CandidatePair, PreparedMember

MAX_REMEMBERED_INITIALS = 20_000
"""Number of Initials whose member a balancer remembers."""


class StickyIndex(CandidateIndex, ABC):
    """Chooses one member for a new flow, and the same one for its retransmissions."""

    def __init__(self, source: MemberSource) -> None:
        super().__init__(source)
        self._chosen: OrderedDict[tuple[int, bytes], PreparedMember] = OrderedDict()

    def candidates(self, service_id: int, flow_key: bytes) -> CandidatePair | None:
        """Return the member for a flow, without a second candidate."""
        prepared_members = self.prepared_members(service_id)
        if not prepared_members:
            return None
        chosen = self._chosen.get((service_id, flow_key))
        if chosen is None or chosen not in prepared_members:
            chosen = self.choose(service_id, prepared_members)
            self._chosen[service_id, flow_key] = chosen
            if len(self._chosen) > MAX_REMEMBERED_INITIALS:
                self._chosen.popitem(last=False)
        return CandidatePair(first=chosen, second=None)

    @abstractmethod
    def choose(self, service_id: int, prepared_members: Sequence[PreparedMember]) -> PreparedMember:
        """Choose a member for a new flow."""


class RoundRobinIndex(StickyIndex):
    """Smooth weighted round robin: members are chosen in proportion to their weights."""

    def __init__(self, source: MemberSource, generator: random.Random) -> None:
        super().__init__(source)
        self._random = generator
        self._credits: dict[tuple[int, Endpoint], float] = {}

    def choose(self, service_id: int, prepared_members: Sequence[PreparedMember]) -> PreparedMember:
        """Choose the member with the most credit; initial credits are random.

        Otherwise balancers that started together would choose the same members at the same time.
        """
        total = 0.0
        for each in prepared_members:
            weight = 1.0 / each.inverse_weight
            total += weight
            key = (service_id, each.address)
            credit = self._credits.get(key, self._random.uniform(0.0, weight))
            self._credits[key] = credit + weight
        chosen = max(prepared_members, key=lambda each: self._credits[service_id, each.address])
        self._credits[service_id, chosen.address] -= total
        return chosen


class LeastReportedIndex(StickyIndex):
    """Chooses the member with the least reported load by weight, at random among equal ones.

    `loads` holds the busy slots that each member's load page reported last, which may be as old
    as the polling interval; a member that never reported counts as idle.
    """

    def __init__(
        self, source: MemberSource, generator: random.Random, loads: Mapping[Endpoint, float]
    ) -> None:
        super().__init__(source)
        self._random = generator
        self._loads = loads

    def choose(self, service_id: int, prepared_members: Sequence[PreparedMember]) -> PreparedMember:
        """Choose one of the least loaded members."""
        reported = [
            self._loads.get(each.address, 0.0) * each.inverse_weight for each in prepared_members
        ]
        least = min(reported)
        equal = [
            each for each, load in zip(prepared_members, reported, strict=True) if load <= least
        ]
        return self._random.choice(equal)
