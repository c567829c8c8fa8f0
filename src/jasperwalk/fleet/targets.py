"""The agents as one balancer knows them, and the choice of one for a new flow.

What the directory says decides who may be chosen. How busy each agent is comes with its
answers on the data path, so it costs no control traffic; what this balancer sent since the
last answer is added. An agent that leaves the directory without deregistering may only have
lost its control link: it stays usable for a while, because an agent that is really gone does
not answer and is passed over.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.fleet.host_paces import HIGHEST_FACTOR, HostPaces, factor_at_age
from jasperwalk.fleet.messages import HOSTLESS, DrainedZones, FleetUpdate, HostPhase, NodeRecord
from jasperwalk.flows.codec import SocketAddress
from jasperwalk.flows.frames import (
    FrameKind,
    OpeningTerms,
    encode_open_head,
    encode_request,
    service_tag,
)
from jasperwalk.routing.rendezvous import choose_best, hash_seed

CANDIDATES = 8
"""A new flow goes to one of this many agents of its service, by rendezvous hash of its key:
enough for the least busy of them to be nearly the least busy of all, and few enough to ask."""
SEARCHED_CANDIDATES = 12
"""Agents of a service that may hold a flow by its key: the candidates when it was opened, and
room for agents that came since."""
FLOW_LIFETIME_SECONDS = 70.0
"""A flow without a packet for this long is forgotten, and an agent that left longer ago."""
EXPECTED_PHASES = frozenset((HostPhase.UNKNOWN, HostPhase.ABSENT))
EXPECTED_SECONDS = 2.0
"""A host is expected to speak to its agent within this time of the agent's start."""
UNLISTED_USABLE_SECONDS = 8.0
"""How long an agent that left the directory may still be chosen for new flows."""
LOST_AFTER_SECONDS = 2.0
"""An agent without a control link for this long that does not answer either is lost, or cut off
from everybody: its callers are reset, so that they try again while they still can."""
LEAVING_LOST_AFTER_SECONDS = 10.0
"""The same for an agent whose host was leaving and has not deregistered: the host may serve its
last flows for many seconds yet, and they are not to be reset."""
SILENT_SECONDS = 0.2
"""An agent that has answered no question for this long is silent; answers take 1 to 2 ms, also in
the second after a loss of all power (docs/POLICY.md, round L3)."""
SILENT_QUESTIONS = 3
"""Questions in a row that have to be unanswered as well: were one in a hundred datagrams lost,
three in a row would be one in a million."""
SUSPECT_SECONDS = 1.0
"""How long an agent that did not answer is chosen only if no other is left."""
SUSPECT_COST = 1000.0
"""More than any load: a suspect is chosen only if no other is left."""
REFUSING_SECONDS = 0.2
"""How long an agent is passed over that refused a new flow for its host's sake: because the host
warms up, or because its zone is drained and this balancer has not learned of that yet. Without it
such a host looks idle and is asked first for every flow."""
FAILING_SECONDS = 0.5
"""The same for one that refused because its host fails its requests. All balancers of a service
together still ask it often enough for its trials, five a second."""
SLOW_SECONDS = 0.5
"""The same for one that refused because its host is much slower than usual; trials as well."""
OTHER_ZONE_COST = 0.12
"""What crossing zones adds to an agent's relative load: bytes between zones are paid for."""
BULK_OTHER_ZONE_COST = 1.0
"""The same for uploads, whose every packet crosses: another zone only where this one is busier
by a request for each slot."""
NEAR_LOAD_PER_SLOT = 0.7
"""Requests for each slot below which a host of this zone is as good for a caller as any other: it
most likely has a slot free, so the flow need not cross zones."""
LOAD_FRESH_SECONDS = 1.0
"""Age up to which what is known of an agent's load counts whole. A balancer that sends an agent
several flows a second always has such a figure."""
LOAD_HALF_LIFE_SECONDS = 1.0
"""Time after that in which it comes to count half. The figure of an unable host, 16 for each slot,
falls below a usual load of 0.3 within 7 s; requests take some 0.05 s, so a figure that is seconds
old says little of a host that works."""
SLOW_START_FACTOR = 2.0
"""How much an agent's load counts while its host is in slow start."""
JITTER = 0.05
"""Balancers that know the same loads shall not all choose the same agent."""
UNKNOWN_CAPACITY = 1


class Target(msgspec.Struct, eq=False):
    """One process of an agent; frames for it are prepared."""

    record: NodeRecord
    address: SocketAddress
    carry_head: bytes
    find_head: bytes
    confirm_head: bytes
    service_tag: int
    hash_seed: int
    started_at: float
    """When this balancer first received a record of the agent's present process."""
    load: float = 0.0
    """What the last answer told, and `load_at` when."""
    load_at: float = 0.0
    sent_since: int = 0
    """New flows sent there since that answer, and `sent_at` when the last of them was."""
    sent_at: float = 0.0
    suspect_until: float = float("-inf")
    refuses_until: float = float("-inf")
    pace_factor: float = 1.0
    """How many times as long as usual its host takes for a request, and `pace_at` when told."""
    pace_at: float = float("-inf")
    zone_drained: bool = False
    """True while the host's zone takes no new flows."""
    slow_until: float = float("-inf")
    unlisted_since: float | None = None
    silent_since: float | None = None
    """When the first question was asked that has had no answer yet, None where there is none."""
    questions_unanswered: int = 0
    """Questions asked since then, several at the same moment counted once."""
    asked_at: float = float("-inf")
    departed: bool = False
    """True once the agent said that there is no host, or another process took its address."""

    def open_head(self, terms: OpeningTerms) -> bytes:
        """Return what goes in front of an opening packet."""
        if terms.route is not None and not self.record.reads_terms:
            # An agent of an earlier release takes a frame with terms for a malformed one.
            terms = msgspec.structs.replace(terms, route=None)
        return encode_open_head(self.service_tag, terms)

    def note_load(self, load: float, now: float) -> None:
        """Take the load of an answer."""
        self.load = load
        self.load_at = now
        self.sent_since = 0
        self.suspect_until = float("-inf")

    def note_sent(self, now: float) -> None:
        """Note that a new flow was sent there."""
        self.sent_since += 1
        self.sent_at = now

    def note_slow(self) -> None:
        """Note that the agent refused a new flow because its host is slow."""
        self.pace_factor = HIGHEST_FACTOR

    def is_passed_over(self, now: float) -> bool:
        """Tell whether the agent is chosen only if no other is left: it was silent, or refused."""
        return now < max(self.suspect_until, self.refuses_until)

    def was_slow(self) -> bool:
        """Tell whether the host was slow by the last that its agent told, however long ago."""
        return self.pace_factor > 1.0

    def note_question(self, now: float) -> None:
        """Note that the agent was asked whether it holds a flow."""
        if self.silent_since is None:
            self.silent_since = now
        if now > self.asked_at:
            self.asked_at = now
            self.questions_unanswered += 1

    def note_answer(self) -> None:
        """Note that the agent answered a question."""
        self.silent_since = None
        self.questions_unanswered = 0

    def is_silent(self, now: float) -> bool:
        """Tell whether the agent has left several questions unanswered for a while."""
        if self.silent_since is None or self.questions_unanswered < SILENT_QUESTIONS:
            return False
        return now - self.silent_since >= SILENT_SECONDS

    def never_saw_its_host(self) -> bool:
        """Tell whether the host beside the agent's present process has not announced itself.

        Such an agent holds no flow that it has admitted. Its host may hold flows that an earlier
        process of the agent admitted, until the host announces itself or is known to be gone.
        """
        return self.record.phase is HostPhase.UNKNOWN

    def relative_load(self, now: float) -> float:
        """Return requests under way for each slot, as far as known.

        What is known ages: an agent that once answered that its host is unable would never be asked
        again otherwise, for only an answer replaces its figure.
        """
        capacity = max(self.record.capacity, UNKNOWN_CAPACITY)
        load = self.load * _worth_at_age(now - self.load_at)
        sent = self.sent_since * _worth_at_age(now - self.sent_at)
        load = (load + sent) / capacity
        return (load + 1.0 / capacity) * SLOW_START_FACTOR if now < self.slow_until else load

    def pace_weight(self, now: float) -> float:
        """Return what the known pace counts for now: 1.0 for as usual, more for slow."""
        return factor_at_age(self.pace_factor, now - self.pace_at)

    def weighed_load(self, now: float) -> float:
        """Return the expected wait, counted in requests of usual length for each slot.

        A new request waits for those before it, and it is itself worked on as slowly. Where the
        pace is as usual this is the relative load.
        """
        load = self.relative_load(now)
        if self.pace_factor == 1.0:
            return load
        weight = self.pace_weight(now)
        return load if weight == 1.0 else (load + 1.0) * weight - 1.0

    def is_lost(self, now: float) -> bool:
        """Tell whether the directory has not listed the agent for so long that it is gone."""
        if self.unlisted_since is None:
            return False
        is_leaving = self.record.phase is HostPhase.DRAINING
        longest = LEAVING_LOST_AFTER_SECONDS if is_leaving else LOST_AFTER_SECONDS
        return now - self.unlisted_since >= longest

    def may_help(self, now: float) -> bool:
        """Tell whether the agent may be asked to search."""
        return not self.departed and self.unlisted_since is None and now >= self.suspect_until

    def is_usable(self, now: float) -> bool:
        """Tell whether new flows may be sent there."""
        if self.departed or self.zone_drained or self.record.phase is not HostPhase.READY:
            return False
        return self.unlisted_since is None or now - self.unlisted_since < UNLISTED_USABLE_SECONDS


def make_target(record: NodeRecord, now: float) -> Target:
    """Prepare a target for an agent's record."""
    tag = service_tag(record.service)
    return Target(
        record=record,
        address=(record.endpoint.host, record.endpoint.port),
        carry_head=encode_request(FrameKind.CARRY, 0, tag, b""),
        find_head=encode_request(FrameKind.FIND, 0, tag, b""),
        confirm_head=encode_request(FrameKind.CONFIRM, 0, tag, b""),
        service_tag=tag,
        hash_seed=hash_seed(record.endpoint.pack()),
        started_at=now,
        load_at=now,
        sent_at=now,
    )


def _worth_at_age(age_seconds: float) -> float:
    """Return how much of a figure about an agent's load still counts."""
    if age_seconds <= LOAD_FRESH_SECONDS:
        return 1.0
    return float(0.5 ** ((age_seconds - LOAD_FRESH_SECONDS) / LOAD_HALF_LIFE_SECONDS))


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
    weighs_pace: bool = True
    """False to weigh agents by their load alone, whatever they tell of their hosts' pace."""
    _paces: HostPaces = field(default_factory=HostPaces)
    directory_since: float | None = None
    """When the first agents were received from a home, None before."""

    def update(self, update: FleetUpdate, now: float) -> None:
        """Take the directory's news in."""
        if self.directory_since is None:
            self.directory_since = now
        if update.whole:
            listed = {record.endpoint for record in update.records}
            for endpoint in [each for each in self._targets if each not in listed]:
                self._unlist(endpoint, now)
        for record in update.records:
            self._take(record, now)
        for endpoint, seconds_ago in update.removals():
            self._unlist(endpoint, now - seconds_ago)
        self._index()

    def drain_zones(self, zones: DrainedZones) -> bool:
        """Take the drained zones; return False for what newer knowledge has overtaken."""
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

    def _take(self, record: NodeRecord, now: float) -> None:
        held = self._targets.get(record.endpoint)
        is_same_service = held is not None and held.record.service == record.service
        if held is None or not is_same_service or held.departed:
            if held is not None:
                held.departed = True
            held = self._targets[record.endpoint] = make_target(record, now)
        if held.record.incarnation != record.incarnation:
            held.started_at = now
        # A restarted agent has the same host beside it: its flows go on.
        held.record = record
        held.unlisted_since = None
        held.slow_until = now + record.slow_start_seconds
        held.departed = record.phase in HOSTLESS
        held.zone_drained = record.zone_of_host() in self.drained.zones

    def _index(self) -> None:
        self._by_service = {}
        self._by_address = {}
        for target in self._targets.values():
            self._by_service.setdefault(target.record.service, []).append(target)
            self._by_address[target.address] = target

    def forget_old(self, now: float, lifetime_seconds: float) -> None:
        """Forget agents that left longer ago than any flow may last."""
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
        stays_near: bool = False,
    ) -> Target | None:
        """Return the least loaded usable candidate for a flow key, None where there is none.

        `regions` are those that the flow's hosts may be in, empty where every region may. A flow
        that `stays_near` leaves this zone only if none of its candidates here has room.
        """
        usable = [each for each in self._of_service(service, regions) if each.is_usable(now)]
        candidates = [each for each in _ranked(usable, key, CANDIDATES) if each not in excluded]
        if stays_near:
            candidates = self._with_room_near(candidates, now) or candidates
        other_zone_cost = BULK_OTHER_ZONE_COST if is_bulk else OTHER_ZONE_COST
        by_pace = self.weighs_pace and self._paces.may_weigh(service, usable, now)
        return min(
            candidates,
            key=lambda target: self._cost(target, other_zone_cost, by_pace, now),
            default=None,
        )

    def _with_room_near(self, candidates: Sequence[Target], now: float) -> list[Target]:
        """Return the candidates of this zone whose hosts most likely have a slot free."""
        return [
            target
            for target in candidates
            if target.record.zone == self.zone
            and not target.is_passed_over(now)
            and target.relative_load(now) < NEAR_LOAD_PER_SLOT
        ]

    def note_pace(self, target: Target, listener: bytes, code: int, now: float) -> None:
        """Take what an agent told of its host's pace for requests of a listener."""
        if not self.weighs_pace:
            return
        factor = self._paces.factor(target.record.service, listener, code, now)
        if factor is not None:
            target.pace_factor = factor
            target.pace_at = now

    def _cost(self, target: Target, other_zone_cost: float, by_pace: bool, now: float) -> float:
        load = target.weighed_load(now) if by_pace else target.relative_load(now)
        cost = load + self.source.random() * JITTER
        if target.record.zone != self.zone:
            cost += other_zone_cost
        if target.is_passed_over(now):
            cost += SUSPECT_COST
        return cost

    def _of_service(self, service: str, regions: Collection[str]) -> Sequence[Target]:
        """Return the agents of a service whose hosts are in one of the regions, if any are named.

        A zone of no known region is in none.
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
        """Tell whether hosts of these services may be ready in a moment.

        After a start of the whole fleet agents are known before their hosts have spoken, and a
        balancer that has just started does not know all agents yet.
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
        """Return the agents of these services that may hold a flow, leaving ones too."""
        found: list[Target] = []
        for service in services:
            alive = [each for each in self._of_service(service, regions) if not each.departed]
            found += _ranked(alive, key, SEARCHED_CANDIDATES)
        return found

    def helper(self, key: bytes, now: float) -> Target | None:
        """Return the agent that searches for a flow on this process's behalf.

        One in this zone where there is any that answers, always the same for a key, so that
        what a caller sends again joins the search that is under way.
        """
        answering = [each for each in self._targets.values() if each.may_help(now)]
        near = [each for each in answering if each.record.zone == self.zone]
        return next(iter(_ranked(near or answering, key, 1)), None)

    def services_of(self, tags: Collection[int]) -> list[str]:
        """Return the services known by these tags."""
        return [service for service in self._by_service if service_tag(service) in tags]

    def all_targets(self) -> list[Target]:
        """Return every agent that may hold flows."""
        return [target for target in self._targets.values() if not target.departed]

    def __len__(self) -> int:
        """Return how many agents are known."""
        return len(self._targets)


def _ranked(targets: list[Target], key: bytes, count: int) -> Sequence[Target]:
    return choose_best(targets, key, count, lambda target: target.hash_seed)
