"""Harness: a balancer's core with numbered agents, which records what is sent to whom."""

from __future__ import annotations

import random

from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.datagrams.flow_balancer import FlowBalancer
from jasperwalk.fleet.messages import FleetUpdate, HostPhase, NodeRecord, NodeRole
from jasperwalk.fleet.targets import TargetPool
from jasperwalk.flows.frames import (
    FLAG_WAIT,
    REQUEST_HEAD,
    AgentReply,
    FrameKind,
    RefusalReason,
    encode_reply,
    service_tag,
)
from jasperwalk.flows.routes import FlowRoute, RouteBackend, RouteSet, RouteTable
from tests.flows.support import LISTENER, PlainCodec, SilentLog, key_of

SEED = 20261202


def address_of(number):
    return Endpoint(f"10.0.0.{number}", 7602)


def record(
    number,
    phase=HostPhase.READY,
    service="web",
    zone="a",
    incarnation=1,
    capacity=4,
    reads_terms=False,
):
    return NodeRecord(
        name=f"agent-{number}",
        incarnation=incarnation,
        role=NodeRole.AGENT,
        zone=zone,
        endpoint=address_of(number),
        service=service,
        phase=phase,
        capacity=capacity,
        reads_terms=reads_terms,
    )


class Harness:
    """The core under test, with its table of routes, agents and log."""

    def __init__(self, *records, version=1, services=("web",)):
        self.sent, self.resets = [], []
        self.routes = RouteTable()
        self.pool = TargetPool("a", random.Random(SEED))
        self.log = SilentLog()
        self.core = FlowBalancer(
            codec=PlainCodec(),
            routes=self.routes,
            pool=self.pool,
            send=lambda data, to: self.sent.append((data, to)),
            reset=lambda data, to: self.resets.append((data, to)),
            log=self.log,
        )
        if version:
            self.route(version, *services)
        self.update_fleet(*records, is_snapshot=True, now=-100.0)

    def route(self, version, *services):
        backends = [RouteBackend(service, 1.0) for service in services]
        routes = [FlowRoute("r", LISTENER, backends)] if services else []
        self.routes.replace(RouteSet(version, routes))

    def update_fleet(self, *records, is_snapshot=False, removed=(), now=0.0):
        self.core.fleet_changed(FleetUpdate(is_snapshot, list(records), list(removed)), now)

    def take_sent(self):
        """Return (kind, agent's number, body) of what was sent since the last call."""
        sent, self.sent = self.sent, []
        frames = []
        for data, (host, _port) in sent:
            kind, _flags, _tag = REQUEST_HEAD.unpack_from(data)
            frames.append(
                (FrameKind(kind), int(host.rpartition(".")[2]), data[REQUEST_HEAD.size :])
            )
        return frames

    def answer(self, number, kind, now, flags=0, packet=b"", load=0.0, key=None, service="web"):
        reply = AgentReply(
            kind, flags, service_tag(service), load, 4, key_of() if key is None else key, packet
        )
        endpoint = address_of(number)
        self.core.receive_reply(encode_reply(reply), (endpoint.host, endpoint.port), now)

    def take_opening(self):
        """Return the agent of the one opening frame sent since, and whether it may wait there."""
        ((data, (host, _port)),) = self.sent
        self.sent = []
        kind, flags, _tag = REQUEST_HEAD.unpack_from(data)
        assert kind == FrameKind.OPEN
        return int(host.rpartition(".")[2]), bool(flags & FLAG_WAIT)

    def refuse(self, number, now, reason=RefusalReason.FULL):
        self.answer(number, FrameKind.REFUSED, now, flags=reason)
