"""A model of a whole fleet on virtual time: fabric, balancers, agents, hosts, callers, faults.

The product's own cores run in it, on a network that delays and loses datagrams. Everything is drawn
from one seed; the same seed gives the same run. Invariants of what callers and hosts see are
checked while it runs (`Violation`).
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from zlib import crc32

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.datagrams.flow_agent import FlowAgent
from jasperwalk.agent.datagrams.host import HostAnnouncement, HostState
from jasperwalk.agent.datagrams.search_helper import SearchHelper
from jasperwalk.balancer.datagrams.flow_balancer import FlowBalancer
from jasperwalk.fleet.messages import DrainedZones, FleetUpdate, HostPhase, NodeRecord, NodeRole
from jasperwalk.fleet.targets import TargetPool
from jasperwalk.flows.frames import FrameKind
from jasperwalk.flows.routes import FlowRoute, RouteBackend, RouteSet, RouteTable
from tests.flows.support import (
    LISTENER,
    OPENING,
    RESET,
    RETURNED,
    PlainCodec,
    SilentLog,
    from_caller,
    from_host,
)

LIFETIME = 60.0
IDLE = 8.0
TICK = 0.02
HEARTBEAT = 1.0
SPRAY_SECONDS = 2.0
SPRAY_PACKETS = 3
QUIET_SECONDS = 6.0
"""Time after the last fault, before the final state is checked."""
OTHER_LISTENER = Endpoint("198.18.0.2", 443)
SLOW_SECONDS = 2.5
"""How long an overloaded balancer reads its packets with a delay."""
ZONES = ("a", "b")
CUT_OFF_SECONDS = 3.0
"""How late balancers, or else agents, learn that a zone is drained."""
UPDATE_DELAY_SECONDS = 0.05
"""Delay of the directory's updates."""
SERVICES = {"web": LISTENER, "export": OTHER_LISTENER}


@dataclass(frozen=True)
class Violation:
    """A violated invariant: which, when, and at which host or flow."""

    invariant: str
    at: float
    detail: str


class Host:
    """Holds flows and returns packets of others; loses all flows when it crashes."""

    def __init__(self, world, slot, service, number):
        self.world, self.slot, self.service = world, slot, service
        self.host_id = f"{slot}-{number}"
        self.calls = 0
        self.phase = HostPhase.READY
        self.alive = True
        self.half_open, self.flows = set(), set()

    def receive(self, packet):
        if not self.alive:
            return
        codec, world = self.world.codec, self.world
        key = codec.flow_key(packet)
        world.check_packet(self, key, packet)
        if codec.is_opening(packet):
            self.half_open.add(key)
            self._answer(key, b"hello " + self.host_id.encode())
            return
        if key in self.half_open and packet.endswith(b"@" + self.host_id.encode()):
            self.half_open.discard(key)
            self.flows.add(key)
            world.on_opened(key, self)
        if key not in self.flows:
            returned = packet[:12] + bytes((packet[12] | RETURNED,)) + packet[13:]
            world.schedule(0.0005, lambda: world.slots[self.slot].from_host(returned))
            return
        world.schedule(world.random.uniform(0.01, 0.1), lambda: self._reply(key))

    def _reply(self, key):
        if self.alive and key in self.flows:
            self._answer(key, b"answer")

    def _answer(self, key, data):
        caller, listener = Endpoint.unpack(key[:6]), Endpoint.unpack(key[6:])
        packet = from_host(0, data, caller=caller, listener=listener)
        self.world.schedule(0.0005, lambda: self.world.slots[self.slot].from_host(packet))


class Slot:
    """A machine with a host and the agent beside it."""

    def __init__(self, world, number, service):
        self.world, self.number, self.service = world, number, service
        self.address = Endpoint(f"10.0.1.{number}", 7602)
        self.zone = ZONES[number % len(ZONES)]
        self.incarnation = 0
        self.hosts = 0
        self.host = None
        self.acknowledged_drain_at = None
        self.agent = None
        self.new_host(service)
        self.start_agent()
        self.send_heartbeats()

    def new_host(self, service):
        self.hosts += 1
        self.service = service
        self.host = Host(self.world, self.number, service, self.hosts)
        self.acknowledged_drain_at = None

    def start_agent(self):
        self.incarnation += 1
        self.state = HostState()
        self.agent = FlowAgent(
            codec=self.world.codec,
            service=self.service,
            host=self.state,
            to_host=self.send_to_host,
            to_balancer=lambda data, to: self.world.send_to_balancer(self, data, to),
            to_caller=self.world.send_to_caller,
            log=SilentLog(),
            started_at=self.world.now,
            flow_lifetime_seconds=LIFETIME,
            zone=self.zone,
        )
        self.agent.zones_changed(self.world.zones, self.world.now)
        self.agent.flow_idle_seconds = IDLE
        self.helper = SearchHelper(
            codec=self.world.codec,
            pool=TargetPool("a", random.Random(self.world.random.random())),
            send=lambda data, to: self.world.send_to_balancer(self, data, to),
            log=SilentLog(),
        )
        self.helper.fleet_changed(self.world.directory(), self.world.now)
        self.world.announce_agent(self)

    def send_to_host(self, packet):
        host = self.host
        self.world.schedule(0.0005, lambda: host.receive(packet))

    def send_heartbeats(self):
        """Let the host announce itself to its agent at intervals."""
        if self.agent is not None and self.host.alive:
            self.speak()
        self.world.schedule(HEARTBEAT * self.world.random.uniform(0.8, 1.2), self.send_heartbeats)

    def speak(self):
        host = self.host
        host.calls += 1
        if self.agent is None:
            return
        before = self.state.host_id
        announcement = HostAnnouncement(host.host_id, host.phase, 4, 0.0, host.calls)
        self.state.announce(announcement, self.world.now)
        if before not in ("", self.state.host_id):
            self.agent.on_new_host(self.world.now)
        if host.phase is HostPhase.DRAINING and self.acknowledged_drain_at is None:
            self.acknowledged_drain_at = self.world.now
        self.world.announce_agent(self)

    def record(self):
        return NodeRecord(
            f"slot-{self.number}",
            self.incarnation,
            NodeRole.AGENT,
            self.zone,
            self.address,
            self.service,
            self.state.phase,
            self.state.capacity,
        )

    def from_host(self, packet):
        if self.agent is not None:
            self.agent.receive_host_packet(packet, self.world.now)

    def receive(self, data, sender):
        if self.agent is None:
            return
        if data[0] == FrameKind.LOCATE:
            self.helper.locate(data, sender, self.world.now)
        elif data[0] >= FrameKind.ACCEPTED:
            self.helper.receive_reply(data, sender, self.world.now)
        else:
            self.agent.receive_frame(data, sender, self.world.now)


class Balancer:
    """One balancer process of the model."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.address = (f"10.0.0.{number}", 7601)
        self.slow_until, self.lag = 0.0, 0.0
        self.start()

    def delay(self):
        """Return how long packets wait in this balancer's sockets before it reads them."""
        return self.lag if self.world.now < self.slow_until else 0.0

    def start(self):
        world = self.world
        self.routes = RouteTable()
        self.core = FlowBalancer(
            codec=world.codec,
            routes=self.routes,
            pool=TargetPool("a", random.Random(world.random.random())),
            send=lambda data, to: world.send_to_slot(self, data, to),
            reset=world.send_to_caller,
            log=SilentLog(),
            delegates_searches=world.delegates,
        )
        self.core.zones_changed(world.zones, world.now)
        self.routes.replace(world.route_set())
        self.core.fleet_changed(world.directory(), world.now)


@dataclass
class Caller:
    """A flow as its caller sees it; the caller sends at intervals until the flow is reset."""

    world: object
    endpoint: Endpoint
    listener: Endpoint
    greeting: bytes = b""
    attempts: int = 0
    ended: bool = False

    def key(self):
        return self.endpoint.pack() + self.listener.pack()

    def open(self):
        if self.greeting or self.ended or self.attempts >= SPRAY_PACKETS:
            return
        self.attempts += 1
        self._send(OPENING, b"")
        self.world.schedule(0.2 * self.attempts, self.open)

    def receive(self, packet):
        if packet[12] & RESET:
            self.world.on_reset(self)
            self.ended = True
        elif packet.endswith(b"answer"):
            return
        elif not self.greeting:
            self.greeting = packet.rpartition(b" ")[2]
            self.speak()

    def speak(self):
        if self.ended:
            return
        for delay in (0.0, 0.2, 0.6):
            self.world.schedule(delay, lambda: self._send(0, b"@" + self.greeting))
        self.world.schedule(self.world.random.uniform(0.5, IDLE / 2), self.speak)

    def _send(self, flags, data):
        packet = from_caller(flags, data, caller=self.endpoint, listener=self.listener)
        self.world.send_from_caller(packet)


@dataclass
class World:
    """The complete state of one run."""

    seed: int
    slot_count: int = 6
    balancer_count: int = 3
    loss: float = 0.01
    delegates: bool = False
    """Whether agents search on behalf of balancers."""
    now: float = 0.0
    violations: list[Violation] = field(default_factory=list)

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.codec = PlainCodec()
        self.queue, self.order = [], 0
        self.version = 1
        self.zones, self.drained_at = DrainedZones(), {}
        self.slots, self.balancers, self.callers = {}, [], {}
        self.holders, self.seen = {}, {}
        self.resets_of_open_flows = 0
        for number in range(1, self.slot_count + 1):
            service = "export" if number % 3 == 0 else "web"
            self.slots[number] = Slot(self, number, service)
        self.balancers = [Balancer(self, each) for each in range(1, self.balancer_count + 1)]
        self.schedule(TICK, self._tick)

    # Time and network

    def schedule(self, delay, action):
        self.order += 1
        heapq.heappush(self.queue, (self.now + delay, self.order, action))

    def run(self, until):
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = until

    def _tick(self):
        for balancer in self.balancers:
            balancer.core.tick(self.now)
        for slot in self.slots.values():
            if slot.agent is not None:
                slot.agent.admit_waiting(self.now)
                slot.helper.tick(self.now)
        self.schedule(TICK, self._tick)

    def _deliver(self, action, lag=0.0):
        if self.random.random() >= self.loss:
            self.schedule(lag + self.random.uniform(0.0003, 0.003), action)

    def send_from_caller(self, packet):
        # The fabric: any balancer, mostly the same one for a flow.
        key = self.codec.flow_key(packet)
        position = crc32(key) if self.random.random() > 0.05 else self.random.randrange(9)
        balancer = self.balancers[position % len(self.balancers)]
        self._deliver(lambda: balancer.core.receive(packet, self.now), balancer.delay())

    def send_to_slot(self, balancer, data, to):
        slot = next(each for each in self.slots.values() if each.address.host == to[0])
        self._deliver(lambda: slot.receive(data, balancer.address))

    def send_to_balancer(self, slot, data, to):
        """Send an agent's frame to a balancer, or to another agent where it helps."""
        sender = (slot.address.host, slot.address.port)
        other = next((each for each in self.slots.values() if each.address.host == to[0]), None)
        if other is not None:
            self._deliver(lambda: other.receive(data, sender))
            return
        balancer = next((each for each in self.balancers if each.address == to), None)
        if balancer is not None:
            self._deliver(
                lambda: balancer.core.receive_reply(data, sender, self.now), balancer.delay()
            )

    def send_to_caller(self, packet, to):
        caller = self.callers.get(Endpoint(*to))
        if caller is not None:
            self.schedule(self.random.uniform(0.0003, 0.003), lambda: caller.receive(packet))

    def announce_agent(self, slot):
        """Deliver an agent's record, after a delay that differs between balancers."""
        record = slot.record()
        for balancer in self.balancers:
            delay = self.random.uniform(0.001, 0.05)
            self.schedule(delay, lambda core=balancer.core: self._notify(core, record))
        for other in self.slots.values():
            delay = self.random.uniform(0.001, 0.05)
            self.schedule(delay, lambda other=other: self._notify(other.helper, record))

    def directory(self):
        """Return a snapshot of the directory, which still lists agents that left silently."""
        records = [slot.record() for slot in self.slots.values()]
        lost = [slot.address for slot in self.slots.values() if slot.agent is None]
        return FleetUpdate(True, records, lost)

    def _notify(self, core, record):
        core.fleet_changed(FleetUpdate(False, [record], []), self.now)

    def order_zone(self, zone, drained, cut_off):
        """Drain or restore a zone; `cut_off` names the kind of node that learns it late."""
        held = set(self.zones.zones) - {zone}
        names = sorted(held | {zone} if drained else held)
        self.zones = zones = DrainedZones(self.zones.revision + 1, names)
        self.drained_at.pop(zone, None)
        if drained:
            self.drained_at[zone] = self.now
        for balancer in self.balancers:
            delay = CUT_OFF_SECONDS if cut_off == "balancers" else UPDATE_DELAY_SECONDS
            self.schedule(delay, lambda one=balancer: one.core.zones_changed(zones, self.now))
        for slot in self.slots.values():
            delay = CUT_OFF_SECONDS if cut_off == "agents" else UPDATE_DELAY_SECONDS
            self.schedule(delay, lambda one=slot: self._notify_zones(one, zones))

    def _notify_zones(self, slot, zones):
        if slot.agent is not None:
            slot.agent.zones_changed(zones, self.now)

    def route_set(self):
        routes = [
            FlowRoute(service, listener, [RouteBackend(service, 1.0)])
            for service, listener in SERVICES.items()
        ]
        return RouteSet(self.version, routes)

    # What is checked

    def violate(self, invariant, detail):
        self.violations.append(Violation(invariant, round(self.now, 3), detail))

    def check_packet(self, host, key, packet):
        listener = Endpoint.unpack(key[6:])
        if SERVICES[host.service] != listener:
            self.violate("a packet reaches only hosts of its service", host.host_id)
        drained_at = self.slots[host.slot].acknowledged_drain_at
        if self.codec.is_opening(packet) and drained_at is not None and self.now > drained_at + 0.1:
            self.violate("a host that leaves gets no new flow", host.host_id)
        zone = self.slots[host.slot].zone
        if self.codec.is_opening(packet) and self.now > self.drained_at.get(zone, self.now) + 0.1:
            self.violate("a drained zone gets no new flow", host.host_id)
        self._check_spray(host, key)

    def _check_spray(self, host, key):
        holder = self.holders.get(key)
        if holder is None or not holder.alive or key not in holder.flows:
            return
        packets = self.seen.setdefault(key, [])
        packets.append((self.now, host is holder))
        last_own = max(at for at, own in packets if own)
        strays = [at for at, own in packets if not own and at > last_own]
        lasts = len(strays) >= SPRAY_PACKETS and self.now - strays[0] >= SPRAY_SECONDS
        if lasts:
            self.violate("an open flow's packets reach its host", host.host_id)

    def on_opened(self, key, host):
        self.holders[key] = host
        self.seen[key] = [(self.now, True)]

    def on_reset(self, caller):
        holder = self.holders.get(caller.key())
        if holder is not None and holder.alive and caller.key() in holder.flows:
            self.violate("an open flow is not reset", f"{holder.host_id} {caller.endpoint}")

    def check_end(self):
        """Check that packets of each open flow of a living host still reach it."""
        for key, host in self.holders.items():
            caller = self.callers[Endpoint.unpack(key[:6])]
            if not host.alive or caller.ended or key not in host.flows:
                continue
            times = [at for at, own in self.seen.get(key, []) if own]
            if not times or self.now - times[-1] > IDLE:
                self.violate("an open flow is found again", host.host_id)


FAULTS = ("balancer", "agent", "both", "crash", "drain", "balancers", "agents", "reuse", "slow")


def inject(world, kind):
    """Cause one fault."""
    slot = world.random.choice(list(world.slots.values()))
    if kind in ("balancer", "both"):
        world.random.choice(world.balancers).start()
    if kind == "balancers":
        for balancer in world.balancers:
            balancer.start()
    if kind == "slow":
        slow = world.random.choice(world.balancers)
        slow.slow_until = world.now + SLOW_SECONDS
        slow.lag = world.random.uniform(0.05, 0.4)
    if kind in ("agent", "both"):
        restart_agent(world, slot)
    if kind == "agents":
        for each in world.slots.values():
            restart_agent(world, each)
    if kind == "crash":
        slot.host.alive = False
        slot.new_host(slot.service)
    if kind == "drain":
        slot.host.phase = HostPhase.DRAINING
        slot.speak()
        world.schedule(4.0, lambda: replace_host(world, slot, slot.service))
    if kind == "reuse":
        other = "web" if slot.service == "export" else "export"
        replace_host(world, slot, other)


def schedule_zone_orders(world, seconds):
    """Let an operator drain and restore a zone up to twice; drawn independently of the faults."""
    drawn = random.Random(f"zones {world.seed}")
    for _ in range(drawn.randint(0, 2)):
        zone, cut_off = drawn.choice(ZONES), drawn.choice(("balancers", "agents", ""))
        drained_at = drawn.uniform(1.0, seconds * 0.6)
        restored_at = drained_at + drawn.uniform(1.0, 6.0)
        world.schedule(drained_at, lambda one=zone, who=cut_off: world.order_zone(one, True, who))
        world.schedule(restored_at, lambda one=zone: world.order_zone(one, False, ""))


def restart_agent(world, slot):
    slot.agent = None
    world.schedule(world.random.uniform(0.05, 0.4), slot.start_agent)


def replace_host(world, slot, service):
    """Remove the machine, and start another host at its address."""
    slot.host.alive = False
    slot.agent = None
    slot.new_host(service)
    world.schedule(world.random.uniform(0.05, 0.4), slot.start_agent)


def play(seed, seconds=16.0, **options):
    """Run the model once and return its final state with the violations."""
    world = World(seed, **options)
    world.run(1.5)
    for number in range(40):
        listener = SERVICES["export" if number % 4 == 0 else "web"]
        caller = Caller(world, Endpoint("100.64.0.1", 1000 + number), listener)
        world.callers[caller.endpoint] = caller
        world.schedule(world.random.uniform(0.0, seconds * 0.7), caller.open)
    for _ in range(world.random.randint(2, 7)):
        kind = world.random.choice(FAULTS)
        world.schedule(world.random.uniform(1.0, seconds), lambda kind=kind: inject(world, kind))
    schedule_zone_orders(world, seconds)
    world.run(1.5 + seconds + QUIET_SECONDS + IDLE)
    world.check_end()
    return world
