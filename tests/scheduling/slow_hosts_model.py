"""Simulates one service under load in virtual time, with some hosts slow for a while.

The product's own cores run in it: balancers that choose, agents that admit. Hosts have slots and a
queue; callers open a flow for each request, or keep one for many. All random values come from one
seed. Each request counts by its worth to the caller: 1 when answered in time, less when late.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass, field

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.datagrams.flow_agent import FlowAgent
from jasperwalk.agent.datagrams.host import HostAnnouncement, HostState
from jasperwalk.balancer.datagrams.flow_balancer import FlowBalancer
from jasperwalk.fleet.messages import FleetUpdate, HostPhase, NodeRecord, NodeRole
from jasperwalk.fleet.targets import TargetPool
from jasperwalk.flows.routes import FlowRoute, RouteBackend, RouteSet, RouteTable
from jasperwalk.flows.terms import RouteTerms
from tests.flows.support import (
    ENDING,
    GREETING,
    HEAD,
    OPENING,
    PlainCodec,
    SilentLog,
    from_caller,
    from_host,
)

ONE_WAY_SECONDS = 0.001
LIFETIME = 60.0
LATE_WORTH = 0.3
TICK_SECONDS = 0.02
SWEEP_SECONDS = 1.0
PAUSE_SECONDS = 0.25
"""Time of a caller between two requests on one flow."""


@dataclass(frozen=True)
class Kind:
    """Requests of one route; `requests` are made on each flow. Times are seconds."""

    name: str
    port: int
    flows_per_second: float
    work: float
    objective: float
    requests: int = 1
    long_share: float = 0.03
    long_factor: float = 7.0

    @property
    def listener(self):
        return Endpoint("198.18.0.1", self.port)

    def route(self, with_terms):
        terms = RouteTerms(2, round(1000 * self.objective), 3000) if with_terms else RouteTerms()
        return FlowRoute(self.name, self.listener, [RouteBackend("web", 1.0)], terms=terms)


@dataclass
class Result:
    """What callers got."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    taken: dict[int, int] = field(default_factory=dict)
    """Requests that each host started to work on."""
    chosen: list[int] = field(default_factory=list)
    """The host of each request, in the order in which they reached one."""

    def worth(self):
        return (self.in_time + LATE_WORTH * self.late) / max(self.asked, 1)

    def late_share(self):
        return 1.0 - self.in_time / max(self.asked, 1)


class Host:
    """Works on as many requests as it has slots, first come first served."""

    def __init__(self, world, number, slots, speed):
        self.world, self.number, self.slots, self.speed = world, number, slots, speed
        self.agent = None
        self.running = 0
        self.queue = deque()

    def receive(self, packet):
        world, codec = self.world, self.world.codec
        key = codec.flow_key(packet)
        if codec.is_opening(packet):
            greeting = GREETING + b"%d" % self.number
            world.later(ONE_WAY_SECONDS, self.send, answer_to(key, 0, greeting))
        elif codec.payload_bytes(packet):
            self.queue.append(key)
            self.work()

    def work(self):
        while self.queue and self.running < self.slots:
            key = self.queue.popleft()
            self.running += 1
            self.world.record_started(self)
            kind = self.world.kind_of(key)
            self.world.later(self.world.work_seconds(self, kind), self.end, key)

    def end(self, key):
        self.running -= 1
        self.send(answer_to(key, 0, b"answer"))
        self.work()

    def send(self, packet):
        self.agent.receive_host_packet(packet, self.world.now)


def answer_to(key, flags, data):
    caller, listener = Endpoint.unpack(key[:6]), Endpoint.unpack(key[6:12])
    return from_host(flags, data, caller=caller, listener=listener)


class Caller:
    """Opens a flow and sends its requests; an unanswered request counts nothing."""

    def __init__(self, world, kind, endpoint, balancer):
        self.world, self.kind, self.endpoint, self.balancer = world, kind, endpoint, balancer
        self.left = kind.requests
        self.host = b""
        self.began_at = world.now
        self.request_number = 0

    def start(self):
        self.world.record_request()
        self.send(OPENING, b"")

    def send(self, flags, data):
        packet = from_caller(flags, data, caller=self.endpoint, listener=self.kind.listener)
        self.world.later(ONE_WAY_SECONDS, self.world.to_balancer, self.balancer, packet)

    def receive(self, packet):
        data = packet[HEAD.size :]
        if data.startswith(GREETING):
            self.host = data[len(GREETING) :]
            self.ask()
        elif data == b"answer":
            self.world.record_answer(self)
            self.left -= 1
            if self.left:
                self.world.later(PAUSE_SECONDS, self.ask_again)
            else:
                self.send(ENDING, b"")

    def ask(self):
        self.request_number += 1
        self.send(0, bytes((self.request_number,)) + b"request@" + self.host)

    def ask_again(self):
        self.began_at = self.world.now
        self.world.record_request()
        self.ask()


class World:
    """The service: call `run`, read `result`."""

    def __init__(
        self,
        seed,
        kinds,
        hosts,
        balancers=6,
        slots=2,
        measured=True,
        slow=(),
        slow_factor=8.0,
        slow_from=4.0,
        slow_until=9.0,
        speeds=None,
        with_terms=True,
        count_from=0.0,
        count_until=float("inf"),
    ):
        self.random = random.Random(seed)
        self.now, self.codec, self.result = 0.0, PlainCodec(), Result()
        self.events, self.sequence, self.callers = [], 0, {}
        self.kinds = {kind.listener.pack(): kind for kind in kinds}
        self.slow, self.slow_factor = frozenset(slow), slow_factor
        self.slow_from, self.slow_until = slow_from, slow_until
        self.count_from, self.count_until = count_from, count_until
        self.log = SilentLog()
        speeds = speeds or [1.0] * hosts
        self.hosts = [Host(self, number, slots, speeds[number]) for number in range(hosts)]
        self.by_address = {}
        for host in self.hosts:
            self._make_agent(host, measured)
        self.balancers = [
            self._make_balancer(number, seed, measured, with_terms) for number in range(balancers)
        ]

    def _make_agent(self, host, measured):
        state = HostState()
        state.announce(HostAnnouncement("h", HostPhase.READY, host.slots, 0.0, 1), 0.0)
        address = (f"10.0.1.{host.number + 1}", 7602)
        host.agent = FlowAgent(
            codec=self.codec,
            service="web",
            host=state,
            to_host=host.receive,
            to_balancer=lambda data, to: self.later(
                ONE_WAY_SECONDS, self._balancer_reply, to, data, address
            ),
            to_caller=self._to_caller,
            log=self.log,
            started_at=-100.0,
            flow_lifetime_seconds=LIFETIME,
            zone="a",
            measures_service_times=measured,
        )
        self.by_address[address] = host

    def _make_balancer(self, number, seed, measured, with_terms):
        routes = RouteTable()
        routes.replace(RouteSet(1, [kind.route(with_terms) for kind in self.kinds.values()]))
        pool = TargetPool("a", random.Random(f"{seed}-{number}"), weighs_slowdown=measured)
        address = (f"10.0.0.{number + 1}", 7601)
        core = FlowBalancer(
            codec=self.codec,
            routes=routes,
            pool=pool,
            send=lambda data, to: self.later(ONE_WAY_SECONDS, self._agent_frame, to, data, address),
            reset=lambda data, to: None,
            log=self.log,
        )
        core.fleet_changed(FleetUpdate(True, [self._record(host) for host in self.hosts], []), -9.0)
        return core

    def _record(self, host):
        return NodeRecord(
            name=f"agent-{host.number}",
            incarnation=1,
            role=NodeRole.AGENT,
            zone="a",
            endpoint=Endpoint(f"10.0.1.{host.number + 1}", 7602),
            service="web",
            phase=HostPhase.READY,
            capacity=host.slots,
            reads_terms=True,
        )

    # Packets

    def _agent_frame(self, to, data, sender):
        self.by_address[to].agent.receive_frame(data, sender, self.now)

    def _balancer_reply(self, to, data, sender):
        number = int(to[0].rpartition(".")[2]) - 1
        self.balancers[number].receive_reply(data, sender, self.now)

    def to_balancer(self, number, packet):
        self.balancers[number].receive(packet, self.now)

    def _to_caller(self, packet, address):
        self.later(ONE_WAY_SECONDS, self._caller_packet, address, packet)

    def _caller_packet(self, address, packet):
        caller = self.callers.get(address)
        if caller is not None:
            caller.receive(packet)

    # Counts

    def kind_of(self, key):
        return self.kinds[key[6:12]]

    def work_seconds(self, host, kind):
        work = kind.work * self.random.uniform(0.8, 1.2) / host.speed
        if self.random.random() < kind.long_share:
            work *= kind.long_factor
        is_slow = host.number in self.slow and self.slow_from <= self.now < self.slow_until
        return work * self.slow_factor if is_slow else work

    def _counts(self, at):
        return self.count_from <= at < self.count_until

    def record_request(self):
        self.result.asked += self._counts(self.now)

    def record_started(self, host):
        self.result.chosen.append(host.number)
        if self._counts(self.now):
            self.result.taken[host.number] = self.result.taken.get(host.number, 0) + 1

    def record_answer(self, caller):
        if not self._counts(caller.began_at):
            return
        is_late = self.now - caller.began_at > caller.kind.objective
        self.result.late += is_late
        self.result.in_time += not is_late

    # Time

    def later(self, seconds, call, *arguments):
        self.sequence += 1
        heapq.heappush(self.events, (self.now + seconds, self.sequence, call, arguments))

    def _arrive(self, kind):
        number = len(self.callers)
        endpoint = Endpoint(f"100.64.{number // 60000}.9", 1024 + number % 60000)
        caller = Caller(self, kind, endpoint, self.random.randrange(len(self.balancers)))
        self.callers[endpoint.host, endpoint.port] = caller
        caller.start()
        self.later(self.random.expovariate(kind.flows_per_second), self._arrive, kind)

    def _tick(self):
        for balancer in self.balancers:
            balancer.tick(self.now)
        for host in self.hosts:
            host.agent.admit_waiting(self.now)
        self.later(TICK_SECONDS, self._tick)

    def _sweep(self):
        for host in self.hosts:
            host.agent.sweep(self.now)
        self.later(SWEEP_SECONDS, self._sweep)

    def run(self, seconds):
        for kind in self.kinds.values():
            self.later(self.random.expovariate(kind.flows_per_second), self._arrive, kind)
        self.later(TICK_SECONDS, self._tick)
        self.later(SWEEP_SECONDS, self._sweep)
        while self.events[0][0] < seconds:
            self.now, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)
        return self.result
