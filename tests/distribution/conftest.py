"""A simulated fleet of replicas and followers on virtual time, with delayed and lost links."""

from __future__ import annotations

import random
from collections import deque
from types import SimpleNamespace

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.config.routing_table import VersionedTable
from jasperwalk.config.table_entries import (
    AdminState,
    EntryKey,
    HealthMonitor,
    KeyEntry,
    KeyPurpose,
    MemberEntry,
    Objective,
    OperatingStatus,
    ServiceEntry,
    ServiceLimits,
    TableEntry,
    key_of,
)
from jasperwalk.distribution.follower import FollowerCore
from jasperwalk.distribution.follower_events import (
    Connect,
    Disconnect,
    FollowerConfig,
    Send,
    SubscriberFacts,
    TableChanged,
)
from jasperwalk.distribution.publisher import PublisherCore
from jasperwalk.distribution.publisher_events import (
    CloseSubscriber,
    PublisherConfig,
    RegisterAgent,
    SendTo,
)
from jasperwalk.messages.distribution import (
    FROM_PUBLISHER_DECODER,
    FromSubscriber,
    Subscribe,
    SubscriberRole,
)

STEP_SECONDS = 0.02
PORTS = (443, 8443)


def address(number: int, port: int = 7000) -> Endpoint:
    return Endpoint(host=f"127.0.{number // 250}.{number % 250 + 1}", port=port)


def service(service_id: int, name: str = "s", port: int = 443) -> ServiceEntry:
    return ServiceEntry(
        service_id=service_id,
        name=name,
        tenant="t",
        listener=address(service_id, port),
        objective=Objective.LEAST_IMBALANCE,
        limits=ServiceLimits(4, 100, 1000, 1000),
        health_monitor=HealthMonitor("/health", 1000, 500, 3),
    )


def member(number: int, service_id: int, weight: int = 1) -> MemberEntry:
    return MemberEntry(
        address=address(number),
        service_id=service_id,
        host=f"host-{number}",
        zone="a",
        weight=weight,
        slots=4,
        admin_state=AdminState.ENABLED,
        operating_status=OperatingStatus.ONLINE,
        incarnation=1,
    )


def fleet_key(rotation: int) -> KeyEntry:
    return KeyEntry(KeyPurpose.TICKET, rotation, bytes([rotation]) * 16, active=rotation == 0)


def facts(name: str, role: SubscriberRole, at: Endpoint, boot_id: str = "boot") -> SubscriberFacts:
    return SubscriberFacts(name=name, role=role, zone="a", address=at, boot_id=boot_id)


def subscribe(
    role: SubscriberRole = SubscriberRole.BALANCER,
    at: Endpoint | None = None,
    revision: int = 0,
    boot_id: str = "boot",
    incarnation: int = 0,
    name: str = "n",
) -> Subscribe:
    return Subscribe(name, role, "a", at or address(9), boot_id, revision, incarnation)


class Log:
    """The committed changes, one per revision, and the expected table at each revision."""

    def __init__(self) -> None:
        self.changes: list[TableEntry | EntryKey] = []
        self.states: list[dict[EntryKey, TableEntry]] = [{}]

    def upsert(self, entry: TableEntry) -> None:
        self.changes.append(entry)
        self.states.append({**self.states[-1], key_of(entry): entry})

    def remove(self, key: EntryKey) -> None:
        self.changes.append(key)
        self.states.append({known: e for known, e in self.states[-1].items() if known != key})

    def scoped(self, revision: int, who: SubscriberFacts) -> set[TableEntry]:
        entries = set(self.states[revision].values())
        if who.role is SubscriberRole.BALANCER:
            return entries
        own = [e for e in entries if isinstance(e, MemberEntry) and e.address == who.address]
        scope = own[0].service_id if own else 0
        return {e for e in entries if isinstance(e, KeyEntry) or e.service_id == scope}


class Replica:
    """A publisher whose table holds a prefix of the log."""

    def __init__(self, endpoint: Endpoint, log: Log, config: PublisherConfig) -> None:
        self.endpoint = endpoint
        self.log = log
        self.table = VersionedTable(tombstone_limit=20)
        self.core = PublisherCore(self.table, config)
        self.cut_off_since: float | None = None
        self.links: dict[int, Link] = {}
        self.registrations: list[RegisterAgent] = []

    def apply_to(self, revision: int, now: float) -> None:
        while self.table.revision < revision:
            change = self.log.changes[self.table.revision]
            following = self.table.revision + 1
            if isinstance(change, TableEntry):
                self.table.upsert(change, following)
            else:
                self.table.remove(change, following)
            assert self.table.revision == following
        self.perform(self.core.table_advanced(now), now)

    def tick(self, now: float) -> None:
        quorum_age = 0.0 if self.cut_off_since is None else now - self.cut_off_since
        self.perform(self.core.tick(now, quorum_age), now)

    def perform(self, effects: list, now: float) -> None:
        for effect in effects:
            match effect:
                case SendTo():
                    self.links[effect.subscriber_id].to_follower.append(
                        FROM_PUBLISHER_DECODER.decode(effect.payload)
                    )
                case CloseSubscriber():
                    self.links.pop(effect.subscriber_id).closing = True
                case RegisterAgent():
                    self.registrations.append(effect)


class Link:
    """One connection: messages are queued in order until the link delivers them."""

    def __init__(self, number: int, replica: Replica) -> None:
        self.number = number
        self.replica = replica
        self.to_follower: deque = deque()
        self.to_replica: deque[FromSubscriber] = deque()
        self.closing = False
        self.subscribed = False


class Follower:
    """A follower that checks its table against the log at every change."""

    def __init__(self, core: FollowerCore, fleet: SimulatedFleet) -> None:
        self.core = core
        self.fleet = fleet
        self.link: Link | None = None
        self.revisions: list[int] = []
        self.reasons: list = []
        self.connects: list[tuple[float, Endpoint]] = []

    def perform(self, effects: list, now: float) -> None:
        for effect in effects:
            match effect:
                case Connect():
                    self.connects.append((now, effect.endpoint))
                    self.link = self.fleet.open_link(effect.endpoint)
                    self.fleet.complete_connection(self, now)
                case Disconnect():
                    self.reasons.append(effect.reason)
                    self.drop_link()
                case Send() if self.link is not None:
                    self.link.to_replica.append(effect.message)
                case TableChanged():
                    self.check_table(effect.revision)

    def check_table(self, revision: int) -> None:
        table = self.core.table
        assert revision == table.revision
        assert not self.revisions or revision >= self.revisions[-1], "revision went back"
        self.revisions.append(revision)
        expected = self.fleet.log.scoped(revision, self.core.facts)
        assert set(table.entries()) == expected, f"wrong content at {revision}"
        indexed = {each for item in table.services() for each in table.members_of(item.service_id)}
        services = {item.service_id for item in table.services()}
        assert indexed == {each for each in table.members() if each.service_id in services}
        listeners = {address(number, port) for number in range(1, 4) for port in PORTS}
        found = {table.service_at(each) for each in listeners} - {None}
        assert found == set(table.services())

    def drop_link(self) -> None:
        if self.link is not None:
            self.link.replica.core.subscriber_closed(self.link.number)
            self.link.replica.links.pop(self.link.number, None)
            self.link = None


class SimulatedFleet:
    """The replicas, followers and links of one test, stepped on virtual time."""

    def __init__(self, seed: int, replicas: int, config: PublisherConfig | None = None) -> None:
        self.random = random.Random(seed)
        self.now = 100.0
        self.log = Log()
        settings = config or PublisherConfig(snapshot_part_entries=3)
        self.replicas = [
            Replica(address(200 + number), self.log, settings) for number in range(replicas)
        ]
        self.followers: list[Follower] = []
        self.link_count = 0
        self.delivery_chance = 0.5

    def add_follower(self, name: str, role: SubscriberRole, at: Endpoint) -> Follower:
        endpoints = [replica.endpoint for replica in self.replicas]
        config = FollowerConfig()
        seeded = random.Random(self.random.random())
        core = FollowerCore(config, facts(name, role, at), endpoints, seeded)
        self.followers.append(Follower(core, self))
        return self.followers[-1]

    def open_link(self, endpoint: Endpoint) -> Link:
        replica = next(each for each in self.replicas if each.endpoint == endpoint)
        self.link_count += 1
        link = Link(self.link_count, replica)
        replica.links[link.number] = link
        return link

    def complete_connection(self, follower: Follower, now: float) -> None:
        endpoint = follower.link.replica.endpoint
        follower.perform(follower.core.connected(endpoint, now), now)

    def step(self) -> None:
        self.now += STEP_SECONDS
        for replica in self.replicas:
            replica.tick(self.now)
        for follower in self.followers:
            self.deliver(follower)
            follower.perform(follower.core.tick(self.now), self.now)

    def deliver(self, follower: Follower) -> None:
        link = follower.link
        if link is None:
            return
        while link.to_replica and self.random.random() < self.delivery_chance:
            self.deliver_to_replica(link, link.to_replica.popleft())
        while link.to_follower and self.random.random() < self.delivery_chance:
            message = link.to_follower.popleft()
            follower.perform(follower.core.message(message, self.now), self.now)
            if follower.link is not link:
                return
        if link.closing and not link.to_follower:
            follower.link = None
            follower.perform(follower.core.disconnected(self.now), self.now)

    def deliver_to_replica(self, link: Link, message: FromSubscriber) -> None:
        if link.closing:
            return
        core = link.replica.core
        if isinstance(message, Subscribe) and not link.subscribed:
            link.subscribed = True
            link.replica.perform(core.subscriber_opened(link.number, message, self.now), self.now)
        else:
            link.replica.perform(core.message(link.number, message, self.now), self.now)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()


@pytest.fixture
def builders() -> SimpleNamespace:
    """The builders of this file."""
    return SimpleNamespace(
        SimulatedFleet=SimulatedFleet,
        PORTS=PORTS,
        address=address,
        facts=facts,
        fleet_key=fleet_key,
        member=member,
        service=service,
        subscribe=subscribe,
    )
