"""Benchmark of the datagram plane's balancer: packets, new flows, searches, memory, log lines.

Sockets are real, on loopback. A batch of datagrams is sent into the socket's buffer first; only the
time to process it is measured. The bare forwarder reads and sends in the same way. The core runs
with the codec of the users' platform.
"""

from __future__ import annotations

import importlib
import os
import random
import socket
import statistics
import struct
import sys
import time
import tracemalloc
from collections.abc import Callable

from bench.harness import MICROSECONDS, Figure
from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.datagrams.flow_balancer import FlowBalancer
from jasperwalk.fleet.messages import FleetUpdate, HostPhase, NodeRecord, NodeRole
from jasperwalk.fleet.targets import TargetPool
from jasperwalk.flows.codec import PacketCodec, SocketAddress
from jasperwalk.flows.frames import AgentReply, FrameKind, encode_reply, service_tag
from jasperwalk.flows.routes import FlowRoute, RouteBackend, RouteSet, RouteTable
from jasperwalk.observability.decisions import DecisionLog
from jasperwalk.observability.logs import configure_logging
from jasperwalk_lab.machine import ROOT

ROUNDS = 15
BATCH = 128
"""Datagrams per batch; they fit into the socket's buffer."""
BATCHES = 40
FLOWS = 10_000
AGENTS = 45
"""Agents of the service, as on the enlarged sites."""
SEED = 20261202
PAYLOAD = b"x" * 100
LISTENER = Endpoint("198.18.0.1", 443)
SERVICE = "web"
HEAD = struct.Struct("!4sHH4sIIIIBBH")
SYN, ACK = 4, 16
BARE = "bare forwarder"
MAX_DATAGRAM_BYTES = 2048

Sender = Callable[[bytes, SocketAddress], None]
Work = Callable[[list[bytes]], None]


def platform_codec() -> PacketCodec:
    """Return the codec that `platform/` gives the product."""
    sys.path.insert(0, str(ROOT / "platform"))
    codec: PacketCodec = importlib.import_module("datagram_codec").PlatformCodec()
    return codec


def packet(number: int, flags: int, data: bytes = b"") -> bytes:
    """Return a packet of the caller with this number."""
    caller = struct.pack("!BBH", 100, 64, number >> 15)
    listener = socket.inet_aton(LISTENER.host)
    port = 1024 + (number & 0x7FFF)
    return HEAD.pack(caller, port, LISTENER.port, listener, 1, 0, 0, 0, flags, 0, len(data)) + data


def make_core(send: Sender, log: DecisionLog) -> FlowBalancer:
    """Return a balancer with one route and some agents."""
    routes = RouteTable()
    backends = [RouteBackend(SERVICE, 1.0)]
    routes.replace(RouteSet(1, [FlowRoute("r", LISTENER, backends)]))
    core = FlowBalancer(
        codec=platform_codec(),
        routes=routes,
        pool=TargetPool("a", random.Random(SEED)),
        send=send,
        reset=send,
        log=log,
    )
    core.fleet_changed(FleetUpdate(True, [_record(each) for each in range(AGENTS)], []), 0.0)
    return core


def _record(number: int) -> NodeRecord:
    endpoint = Endpoint(f"127.0.1.{number + 1}", 7602)
    zone = "abcde"[number % 5]
    phase = HostPhase.READY
    return NodeRecord(f"a{number}", 1, NodeRole.AGENT, zone, endpoint, SERVICE, phase, 2)


def quiet_log() -> DecisionLog:
    """Return a log that writes nothing: its budget is 0."""
    return DecisionLog(time.monotonic, 0.0, 0.0)


def open_flows(core: FlowBalancer, sent: list[tuple[bytes, SocketAddress]], count: int) -> None:
    """Open flows, each accepted by the agent to which the opening packet was sent."""
    for number in range(count):
        sent.clear()
        core.receive(packet(number, SYN), 1.0)
        ((data, to),) = sent
        key = core.codec.flow_key(data[6:])
        reply = AgentReply(FrameKind.ACCEPTED, 0, service_tag(SERVICE), 1.0, 2, key, b"")
        core.receive_reply(encode_reply(reply), to, 1.0)
    sent.clear()


def measure() -> list[Figure]:
    """Measure everything; takes some ten seconds."""
    with open(os.devnull, "w", encoding="utf-8") as nowhere:
        configure_logging("balancer", "bench", "info", nowhere)
        return [*_established(), *_new_flows(), _search(), _memory()]


def _established() -> list[Figure]:
    """Compare the forwarding of packets of open flows with plain reading and sending."""
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as feeder,
    ):
        for each in (sink, receiver):
            each.bind(("127.0.0.1", 0))
        target = sink.getsockname()
        sent: list[tuple[bytes, SocketAddress]] = []
        core = make_core(lambda data, to: sent.append((data, to)), quiet_log())
        open_flows(core, sent, BATCH)
        core.send = lambda data, _to: _send(receiver, data, target)
        packets = [packet(number, ACK, PAYLOAD) for number in range(BATCH)]

        def bare() -> None:
            for _ in range(BATCH):
                data, _sender = receiver.recvfrom(MAX_DATAGRAM_BYTES)
                receiver.sendto(data, target)

        def balance() -> None:
            for _ in range(BATCH):
                data, _sender = receiver.recvfrom(MAX_DATAGRAM_BYTES)
                core.receive(data, 1.0)

        rounds = [
            (_timed(bare, feeder, receiver, packets), _timed(balance, feeder, receiver, packets))
            for _ in range(ROUNDS)
        ]
    bare_time = statistics.median(each for each, _ in rounds)
    own_time = statistics.median(each for _, each in rounds)
    ratios = tuple(bare_one / own for bare_one, own in rounds)
    return [
        Figure("datagrams.established.time", own_time, "us", bare_time, BARE),
        Figure(
            "datagrams.established.ratio", statistics.median(ratios), "of bare", 1.0, BARE, ratios
        ),
    ]


def _send(socket_: socket.socket, data: bytes, to: SocketAddress) -> None:
    socket_.sendto(data, to)


def _timed(
    work: Callable[[], None], feeder: socket.socket, receiver: socket.socket, packets: list[bytes]
) -> float:
    """Return the microseconds per datagram, without the time to send the batch."""
    seconds = 0.0
    for _ in range(BATCHES):
        for each in packets:
            feeder.sendto(each, receiver.getsockname())
        started = time.process_time()
        work()
        seconds += time.process_time() - started
    return MICROSECONDS * seconds / (BATCHES * len(packets))


def _new_flows() -> list[Figure]:
    """Time a new flow, from its opening packet to the agent's answer, without and with logging."""
    times = {}
    for name, log in (("silent", quiet_log()), ("logged", DecisionLog(time.monotonic, 1e9, 1e9))):
        sent: list[tuple[bytes, SocketAddress]] = []
        core = make_core(lambda data, to, sent=sent: sent.append((data, to)), log)
        started = time.process_time()
        open_flows(core, sent, BATCH * BATCHES)
        times[name] = MICROSECONDS * (time.process_time() - started) / (BATCH * BATCHES)
    return [
        Figure("datagrams.new-flow.time", times["silent"], "us"),
        Figure("datagrams.new-flow.logged", times["logged"], "us", times["silent"], "no line"),
    ]


def _search() -> Figure:
    """Time the first round of a search in which no candidate holds the flow."""
    sent: list[tuple[bytes, SocketAddress]] = []
    core = make_core(lambda data, to: sent.append((data, to)), quiet_log())
    count = BATCH * 4
    started = time.process_time()
    for number in range(count):
        sent.clear()
        core.receive(packet(number, ACK, PAYLOAD), 1.0)
        for data, to in list(sent):
            reply = AgentReply(FrameKind.NOT_HELD, 0, service_tag(SERVICE), 1.0, 2, data[6:], b"")
            core.receive_reply(encode_reply(reply), to, 1.0)
    seconds = time.process_time() - started
    return Figure("datagrams.search.first-round", MICROSECONDS * seconds / count, "us")


def _memory() -> Figure:
    """Measure the memory of a flow that a balancer has cached."""
    sent: list[tuple[bytes, SocketAddress]] = []
    core = make_core(lambda data, to: sent.append((data, to)), quiet_log())
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    open_flows(core, sent, FLOWS)
    for number in range(FLOWS):
        core.receive(packet(number, ACK), 1.0)
        sent.clear()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return Figure("datagrams.flow.memory", (after - before) / FLOWS, "bytes")
