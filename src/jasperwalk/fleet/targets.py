"""The agents as one balancer knows them, and the choice of an agent for a new flow.

The directory decides which agents may be chosen. Of these, the least busy one by its last answers
is chosen (`target`).
"""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field

from jasperwalk.addresses import Endpoint
from jasperwalk.fleet.host_slowdowns import HostSlowdowns
from jasperwalk.fleet.messages import (
    HOSTLESS_PHASES,
    DrainedZones,
    FleetUpdate,
    HostPhase,
    NodeRecord,
)
from jasperwalk.fleet.target import Target, make_target
from jasperwalk.flows.codec import SocketAddress
from jasperwalk.flows.frames import service_tag
from jasperwalk.routing.rendezvous import choose_best

CANDIDATE_COUNT = 8
"""A new flow goes to one of this many agents of its service, by rendezvous hash of its key:
enough for the least busy of them to be nearly the least busy of all, and few enough to ask."""
SEARCHED_CANDIDATE_COUNT = 12
"""Agents of a service that may hold a flow by its key: the candidates when it was opened, and a
margin for agents that joined since."""
FLOW_LIFETIME_SECONDS = 70.0
"""Time after which a flow without packets is removed, and an agent that has left."""
EXPECTED_PHASES = frozenset((HostPhase.UNKNOWN, HostPhase.ABSENT))
EXPECTED_SECONDS = 2.0
"""A host is expected to announce itself to its agent within this time of the agent's start."""
AVOIDED_COST = 1000.0
"""More than any load: an avoided agent is chosen only if no other is left."""
OTHER_ZONE_COST = 0.12
"""Added to the load of an agent in another zone: traffic between zones is paid for."""
BULK_OTHER_ZONE_COST = 1.0
"""The same for uploads, whose packets all cross: another zone is chosen only if this one is busier
by one request per slot."""
FREE_LOAD_PER_SLOT = 0.7
"""Requests per slot below which a host of this zone is as good for a caller as any other: it most
likely has a free slot, so the flow need not cross zones."""
JITTER = 0.05
"""Random part of the cost, so that balancers with the same loads do not all choose one agent."""


@dataclass(eq=False, repr=False)
class TargetPool:
    """All agents that this balancer knows; sans-IO."""

    zone: str
    source: random.Random
    zone_regions: Mapping[str, str] = field(default_factory=dict)
    """The region of each zone, as far as the settings name it."""
    drained: DrainedZones = field(default_factory=DrainedZones)
    _targets: dict[Endpoint, Target] = field(default_factory=dict)
    _by_service: dict[str, list[Target]] = field(default_factory=dict)
    _by_address: dict[SocketAddress, Target] = field(default_factory=dict)
    weighs_slowdown: bool = True
    """False to weigh agents by their load alone, without their hosts' service times."""
    _slowdowns: HostSlowdowns = field(default_factory=HostSlowdowns)
    directory_since: float | None = None
    """When the first agents were received from a home, None before."""

    def update(self, update: FleetUpdate, now: float) -> None:
        """Apply an update of the directory."""
        if self.directory_since is None:
            self.directory_since = now
        if update.is_snapshot:
            listed = {record.endpoint for record in update.records}
            for endpoint in [each for each in self._targets if each not in listed]:
                self._unlist(endpoint, now)
        for record in update.records:
            self._add_record(record, now)
        for endpoint, seconds_ago in update.removals():
            self._unlist(endpoint, now - seconds_ago)
        self._index()

    def drain_zones(self, zones: DrainedZones) -> bool:
        """Apply the drained zones; return False for a revision that is not newer."""
        if zones.revision <= self.drained.revision:
            return False
        self.drained = zones
        for target in self._targets.values():
            target.zone_drained = target.record.zone_of_host() in zones.zones
        return True

    def _unlist(self, endpoint: Endpoint, since: float) -> None:
        target = self._targets.get(endpoint)
        if target is not None and target.unlisted_since is None:
            target.unlisted_since = since

    def _add_record(self, record: NodeRecord, now: float) -> None:
        known = self._targets.get(record.endpoint)
        is_same_service = known is not None and known.record.service == record.service
        if known is None or not is_same_service or known.departed:
            if known is not None:
                known.departed = True
            known = self._targets[record.endpoint] = make_target(record, now)
        if known.record.incarnation != record.incarnation:
            known.started_at = now
        # A restarted agent has the same host beside it: its flows go on.
        known.record = record
        known.unlisted_since = None
        known.slow_until = now + record.slow_start_seconds
        known.departed = record.phase in HOSTLESS_PHASES
        known.zone_drained = record.zone_of_host() in self.drained.zones

    def _index(self) -> None:
        self._by_service = {}
        self._by_address = {}
        for target in self._targets.values():
            self._by_service.setdefault(target.record.service, []).append(target)
            self._by_address[target.address] = target

    def remove_old(self, now: float, lifetime_seconds: float) -> None:
        """Remove agents that left longer ago than `lifetime_seconds`."""
        old = [
            target
            for target in self._targets.values()
            if target.unlisted_since is not None and now - target.unlisted_since > lifetime_seconds
        ]
        for target in old:
            target.departed = True
            del self._targets[target.record.endpoint]
        if old:
            self._index()

    def at(self, address: SocketAddress) -> Target | None:
        """Return the target that sends from this address."""
        return self._by_address.get(address)

    def choose(
        self,
        service: str,
        key: bytes,
        excluded: Collection[Target],
        now: float,
        is_bulk: bool = False,
        regions: Collection[str] = (),
        prefers_own_zone: bool = False,
    ) -> Target | None:
        """Return the least loaded usable candidate for a flow key, None if there is none.

        `regions` are the regions that the flow's hosts may be in; empty for any region. A flow that
        `prefers_own_zone` leaves this zone only if none of its candidates here has a free slot.
        """
        usable = [each for each in self._of_service(service, regions) if each.is_usable(now)]
        candidates = [
            each for each in _ranked(usable, key, CANDIDATE_COUNT) if each not in excluded
        ]
        if prefers_own_zone:
            candidates = self._free_in_own_zone(candidates, now) or candidates
        other_zone_cost = BULK_OTHER_ZONE_COST if is_bulk else OTHER_ZONE_COST
        by_expected_wait = self.weighs_slowdown and self._slowdowns.can_avoid_slow_hosts(
            service, usable, now
        )
        return min(
            candidates,
            key=lambda target: self._cost(target, other_zone_cost, by_expected_wait, now),
            default=None,
        )

    def _free_in_own_zone(self, candidates: Sequence[Target], now: float) -> list[Target]:
        """Return the candidates of this zone whose hosts most likely have a free slot."""
        return [
            target
            for target in candidates
            if target.record.zone == self.zone
            and not target.is_avoided(now)
            and target.relative_load(now) < FREE_LOAD_PER_SLOT
        ]

    def record_service_time(self, target: Target, listener: bytes, code: int, now: float) -> None:
        """Record the service time that an agent reported for requests of a listener."""
        if not self.weighs_slowdown:
            return
        ratio = self._slowdowns.slowdown_of(target.record.service, listener, code, now)
        if ratio is not None:
            target.slowdown = ratio
            target.slowdown_at = now

    def _cost(
        self, target: Target, other_zone_cost: float, by_expected_wait: bool, now: float
    ) -> float:
        load = target.expected_wait(now) if by_expected_wait else target.relative_load(now)
        cost = load + self.source.random() * JITTER
        if target.record.zone != self.zone:
            cost += other_zone_cost
        if target.is_avoided(now):
            cost += AVOIDED_COST
        return cost

    def _of_service(self, service: str, regions: Collection[str]) -> Sequence[Target]:
        """Return the agents of a service whose hosts are in one of the regions, if any are named.

        A zone without a known region is in none of them.
        """
        targets = self._by_service.get(service, [])
        if not regions:
            return targets
        return [
            target
            for target in targets
            if self.zone_regions.get(target.record.zone_of_host()) in regions
        ]

    def expects_hosts(
        self, services: Collection[str], now: float, regions: Collection[str] = ()
    ) -> bool:
        """Tell whether hosts of these services may become ready within `EXPECTED_SECONDS`.

        After a start of the whole fleet agents are known before their hosts have announced
        themselves, and a balancer that has just started does not know all agents yet.
        """
        if self.directory_since is None or now - self.directory_since < EXPECTED_SECONDS:
            return True
        return any(
            target.record.phase in EXPECTED_PHASES
            and target.unlisted_since is None
            and not target.zone_drained
            and now - target.started_at < EXPECTED_SECONDS
            for service in services
            for target in self._of_service(service, regions)
        )

    def candidates(
        self, services: Collection[str], key: bytes, regions: Collection[str] = ()
    ) -> list[Target]:
        """Return the agents of these services that may hold a flow, draining ones included."""
        found: list[Target] = []
        for service in services:
            alive = [each for each in self._of_service(service, regions) if not each.departed]
            found += _ranked(alive, key, SEARCHED_CANDIDATE_COUNT)
        return found

    def helper(self, key: bytes, now: float) -> Target | None:
        """Return the agent that is to search for a flow on this process's behalf.

        It is in this zone if one that answers is, and always the same for a key, so that a packet
        that the caller sends again joins the search in progress.
        """
        answering = [each for each in self._targets.values() if each.can_search(now)]
        near = [each for each in answering if each.record.zone == self.zone]
        return next(iter(_ranked(near or answering, key, 1)), None)

    def services_of(self, tags: Collection[int]) -> list[str]:
        """Return the known services with these tags."""
        return [service for service in self._by_service if service_tag(service) in tags]

    def all_targets(self) -> list[Target]:
        """Return every agent that may hold flows."""
        return [target for target in self._targets.values() if not target.departed]

    def __len__(self) -> int:
        """Return how many agents are known."""
        return len(self._targets)


def _ranked(targets: list[Target], key: bytes, count: int) -> Sequence[Target]:
    return choose_best(targets, key, count, lambda target: target.hash_seed)
