"""Datagrams for the balancer's benchmarks, and the process that sends them on loopback."""

from __future__ import annotations

import enum
import itertools
import socket
import time
from collections.abc import Callable, Iterator
from multiprocessing.sharedctypes import Synchronized
from multiprocessing.synchronize import Event as ProcessEvent

from jasperwalk.addresses import Endpoint
from jasperwalk.config.table_entries import (
    AdminState,
    HealthMonitor,
    KeyEntry,
    KeyPurpose,
    MemberEntry,
    Objective,
    OperatingStatus,
    ServiceEntry,
    ServiceLimits,
    TableEntry,
)
from jasperwalk.messages.proxy_protocol import HEADER_PREFIX
from jasperwalk.routing.connection_ids import NONCE_LENGTH, ConnectionIdCodec, RoutableId

VIP = Endpoint("127.1.0.1", 443)
CALLER = Endpoint("127.9.9.9", 40_000)
KEY = KeyEntry(KeyPurpose.CONNECTION_ID, 1, bytes(range(16)), True)
DATAGRAM_KEY = KeyEntry(KeyPurpose.DATAGRAM, 0, bytes(range(16)), True)
SERVICE_ID = 77
INCARNATION = 3
AGENT_HOSTS = tuple(f"127.0.0.{number}" for number in range(1, 8))
"""Addresses of the pool's members: seven, as in the services urednik and segment-svc."""

SLOTS = 256
QUEUE_LENGTH = 1000
LOST_AGENT_HOST = "127.0.0.9"
"""Address of the member whose agent is offline."""

PAYLOAD_BYTES = 1200
POOL_SIZE = 4096
"""Number of datagrams that a generator prepares and repeats."""
FLOOD_BURST_LENGTH = 500
MAX_FLOOD_DATAGRAMS = 10_000_000
BURST_LENGTH = 20
"""Datagrams that `generate_evenly` sends between two sleeps."""

ADDRESS_BLOCK = (
    CALLER.pack()[:4]
    + VIP.pack()[:4]
    + CALLER.port.to_bytes(2, "big")
    + VIP.port.to_bytes(2, "big")
)


class TrafficClass(enum.Enum):
    """Kinds of datagrams that a generator sends."""

    ESTABLISHED = "established"
    DISTINCT_FLOWS = "distinct-flows"
    """Established flows, each datagram of another one."""
    NEW = "new"
    HANDED_ON = "handed-on"
    """Packets of flows whose agent is offline: they are forwarded to another one."""
    REJECTED = "rejected"


def table_entries(agent: Endpoint, *, lost: Endpoint | None = None) -> list[TableEntry]:
    """Return a table with one service; all agents share the port of `agent`'s socket.

    `lost` is one more member, whose agent is offline.
    """
    members = [member_entry(Endpoint(host, agent.port), SERVICE_ID) for host in AGENT_HOSTS]
    if lost is not None:
        members.append(member_entry(lost, SERVICE_ID, status=OperatingStatus.OFFLINE))
    return [service_entry(SERVICE_ID, VIP), *members, KEY, DATAGRAM_KEY]


def service_entry(service_id: int, listener: Endpoint) -> ServiceEntry:
    """Return a service with limits that no benchmark reaches."""
    limits = ServiceLimits(QUEUE_LENGTH, 1000, 30_000, 0)
    monitor = HealthMonitor("/health", 1000, 500, 3)
    name = f"service-{service_id}"
    objective = Objective.LEAST_IMBALANCE
    return ServiceEntry(service_id, name, "bench", listener, objective, limits, monitor)


def member_entry(
    address: Endpoint,
    service_id: int,
    weight: int = 100,
    slots: int = SLOTS,
    status: OperatingStatus = OperatingStatus.ONLINE,
) -> MemberEntry:
    """Return a member that is enabled."""
    return MemberEntry(
        address=address,
        service_id=service_id,
        host=address.host,
        zone="bench",
        weight=weight,
        slots=slots,
        admin_state=AdminState.ENABLED,
        operating_status=status,
        incarnation=INCARNATION,
    )


def established_datagram(codec: ConnectionIdCodec, agent: Endpoint, number: int) -> bytes:
    """Return a packet of the established flow with this number."""
    routable = RoutableId(agent, SERVICE_ID, INCARNATION)
    connection_id = codec.encode(routable, number.to_bytes(NONCE_LENGTH, "big"))
    packet = b"\x40" + connection_id
    return HEADER_PREFIX + ADDRESS_BLOCK + packet.ljust(PAYLOAD_BYTES, b"\x55")


def new_datagram(number: int) -> bytes:
    """Return the Initial that opens the flow with this number."""
    packet = b"\xc0\x00\x00\x00\x01\x08" + number.to_bytes(8, "big")
    return HEADER_PREFIX + ADDRESS_BLOCK + packet.ljust(PAYLOAD_BYTES, b"\x55")


def rejected_datagram(number: int) -> bytes:
    """Return a packet with a forged connection ID, which decodes to another service."""
    packet = b"\x40\x30" + number.to_bytes(16, "big")
    return HEADER_PREFIX + ADDRESS_BLOCK + packet.ljust(PAYLOAD_BYTES, b"\x55")


def datagrams(traffic: TrafficClass, agent: Endpoint, first: int) -> Iterator[bytes]:
    """Yield datagrams of one class without end, of flows numbered from `first` on."""
    pool = range(first, first + POOL_SIZE)
    codec = ConnectionIdCodec([KEY])
    match traffic:
        case TrafficClass.ESTABLISHED:
            return itertools.cycle([established_datagram(codec, agent, n) for n in pool])
        case TrafficClass.DISTINCT_FLOWS:
            return (established_datagram(codec, agent, number) for number in itertools.count(first))
        case TrafficClass.NEW:
            return itertools.cycle([new_datagram(number) for number in pool])
        case TrafficClass.HANDED_ON:
            lost = Endpoint(LOST_AGENT_HOST, agent.port)
            return itertools.cycle([established_datagram(codec, lost, n) for n in pool])
        case TrafficClass.REJECTED:
            return itertools.cycle([rejected_datagram(number) for number in pool])


def generate(
    traffic: TrafficClass,
    agent: Endpoint,
    target: Endpoint,
    stop: ProcessEvent,
    first: int,
    max_count: int,
) -> None:
    """Send datagrams to `target` until `stop` is set, and at most `max_count` of them."""
    send = _sender(target)
    source = datagrams(traffic, agent, first)
    for _ in range(max_count // POOL_SIZE):
        for datagram in itertools.islice(source, POOL_SIZE):
            send(datagram)
        if stop.is_set():
            return


def generate_evenly(
    traffic: TrafficClass, agent: Endpoint, target: Endpoint, count: int, per_second: float
) -> None:
    """Send `count` datagrams to `target` in small bursts at a steady rate."""
    send = _sender(target)
    source = datagrams(traffic, agent, 0)
    started = time.monotonic()
    for burst in range(count // BURST_LENGTH):
        for datagram in itertools.islice(source, BURST_LENGTH):
            send(datagram)
        ahead_seconds = (burst + 1) * BURST_LENGTH / per_second - (time.monotonic() - started)
        time.sleep(max(0.0, ahead_seconds))


def flood(agent: Endpoint, target: Endpoint, stop: ProcessEvent, sent: Synchronized[int]) -> None:
    """Send Initials of new flows until `stop` is set; count them in `sent`."""
    send = _sender(target)
    source = datagrams(TrafficClass.NEW, agent, 0)
    for _ in range(MAX_FLOOD_DATAGRAMS // FLOOD_BURST_LENGTH):
        for datagram in itertools.islice(source, FLOOD_BURST_LENGTH):
            send(datagram)
        sent.value += FLOOD_BURST_LENGTH
        if stop.is_set():
            return


def _sender(target: Endpoint) -> Callable[[bytes], int]:
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.connect((target.host, target.port))
    return sender.send
