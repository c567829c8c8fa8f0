"""Fixtures: a certificate, a service's table entries, and callers over a seeded network."""

from __future__ import annotations

import datetime
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from types import ModuleType

import pytest
from aioquic.h3.connection import H3Connection
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import (
    ConnectionTerminated,
    QuicEvent,
    StopSendingReceived,
    StreamReset,
)
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.endpoint import AgentEndpoint
from jasperwalk.agent.outgoing import ToAgent, ToFabric
from jasperwalk.agent.quic_settings import server_configuration
from jasperwalk.agent.service_view import ServiceView
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
)
from jasperwalk.messages.codec import PROTOCOL_VERSION, encode
from jasperwalk.messages.datagrams import ForwardedDatagram
from jasperwalk.messages.proxy_protocol import decode_header

SERVICE_ID = 7
VIP = Endpoint("127.1.0.7", 443)
CALLER = Endpoint("127.2.0.1", 50_000)
AGENT = Endpoint("127.0.0.1", 7_001)
OTHER_AGENT = Endpoint("127.0.0.1", 7_002)
PROXY_HEADER_LENGTH = 28


@dataclass(frozen=True)
class CertificateFiles:
    certificate: str
    private_key: str


@pytest.fixture(scope="session")
def certificate(tmp_path_factory: pytest.TempPathFactory) -> CertificateFiles:
    folder: Path = tmp_path_factory.mktemp("certificate")
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "service.test")])
    start = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
    signed = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=36_500))
        .add_extension(x509.SubjectAlternativeName([x509.DNSName("service.test")]), False)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (folder / "certificate.pem").write_bytes(signed.public_bytes(pem))
    (folder / "key.pem").write_bytes(
        key.private_bytes(pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption())
    )
    return CertificateFiles(str(folder / "certificate.pem"), str(folder / "key.pem"))


def service_entry(listener: Endpoint = VIP) -> ServiceEntry:
    return ServiceEntry(
        service_id=SERVICE_ID,
        name="urednik",
        tenant="godisnjak",
        listener=listener,
        objective=Objective.FEWEST_BROKEN_FLOWS,
        limits=ServiceLimits(
            queue_length=4, queue_wait_ms=500, request_deadline_ms=5_000, slow_start_ms=0
        ),
        health_monitor=HealthMonitor("/health", 100, 500, 3),
    )


def member_entry(
    address: Endpoint,
    incarnation: int = 1,
    admin_state: AdminState = AdminState.ENABLED,
    slots: int = 2,
) -> MemberEntry:
    return MemberEntry(
        address=address,
        service_id=SERVICE_ID,
        host=f"host-{address.port}",
        zone="dvorana-a",
        weight=1,
        slots=slots,
        admin_state=admin_state,
        operating_status=OperatingStatus.ONLINE,
        incarnation=incarnation,
    )


KEYS = (
    KeyEntry(KeyPurpose.CONNECTION_ID, 0, b"c" * 16, True),
    KeyEntry(KeyPurpose.STATELESS_RESET, 0, b"r" * 32, True),
    KeyEntry(KeyPurpose.TICKET, 0, b"t" * 32, True),
)


def make_view(
    own: MemberEntry, *others: MemberEntry, incarnation: int | None = None
) -> ServiceView:
    chosen = own.incarnation if incarnation is None else incarnation
    entries = [service_entry(), own, *others, *KEYS]
    return ServiceView.build(own.address, 5, chosen, entries)


def forwarded(
    payload: bytes,
    candidates: tuple[Endpoint, ...] = (),
    service_id: int = SERVICE_ID,
    vip: Endpoint = VIP,
    hops: int = 0,
    revision: int = 5,
    caller: Endpoint = CALLER,
) -> bytes:
    packed_caller, packed_vip = caller.pack(), vip.pack()
    block = packed_caller[:4] + packed_vip[:4] + packed_caller[4:] + packed_vip[4:]
    packed = [candidate.pack() for candidate in candidates]
    return encode(
        ForwardedDatagram(PROTOCOL_VERSION, service_id, revision, hops, block, packed, payload)
    )


def initial_packet(connection_id: bytes) -> bytes:
    """Build an Initial with a valid header for a chosen connection ID; its payload is filler."""
    head = b"\xc0\x00\x00\x00\x01" + bytes([len(connection_id)]) + connection_id
    head += b"\x08" + b"sourceid" + b"\x00"
    rest = 1200 - len(head) - 2
    return head + (0x4000 | rest).to_bytes(2, "big") + b"\x99" * rest


@dataclass
class Response:
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    ended: bool = False
    reset: bool = False
    stopped: int | None = None
    """Error code of STOP_SENDING, by which the agent refused the rest of the request."""


class Caller:
    """A stock aioquic HTTP/3 client without sockets."""

    def __init__(self, now: float) -> None:
        configuration = QuicConfiguration(
            is_client=True, alpn_protocols=["h3"], server_name="service.test", verify_mode=0
        )
        self.session_tickets: list[object] = []
        self.quic = QuicConnection(
            configuration=configuration, session_ticket_handler=self.session_tickets.append
        )
        self.quic.connect(("127.1.0.7", 443), now)
        self.http = H3Connection(self.quic)
        self.responses: dict[int, Response] = {}
        self.terminated: ConnectionTerminated | None = None
        self.reset_by_token = False

    def request(self, method: str, path: str, body: bytes = b"", **headers: str) -> int:
        stream_id: int = self.quic.get_next_available_stream_id()
        fields = [
            (b":method", method.encode()),
            (b":scheme", b"https"),
            (b":authority", b"service.test"),
            (b":path", path.encode()),
        ]
        fields += [
            (name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()
        ]
        self.http.send_headers(stream_id, fields, end_stream=not body)
        if body:
            self.http.send_data(stream_id, body, end_stream=True)
        self.responses[stream_id] = Response()
        return stream_id

    def datagrams(self, now: float) -> list[bytes]:
        return [data for data, _ in self.quic.datagrams_to_send(now)]

    def receive(self, data: bytes, now: float) -> None:
        # aioquic's client does not look for stateless resets itself (RFC 9000, 10.3.1).
        self.reset_by_token |= data[-16:] == self.quic._peer_cid.stateless_reset_token
        self.quic.receive_datagram(data, ("127.1.0.7", 443), now)
        self.collect()

    def collect(self) -> None:
        while (event := self.quic.next_event()) is not None:
            self._handle(event)

    def _handle(self, event: QuicEvent) -> None:
        if isinstance(event, ConnectionTerminated):
            self.terminated = event
        if isinstance(event, StreamReset):
            self.responses[event.stream_id].reset = True
        if isinstance(event, StopSendingReceived):
            self.responses[event.stream_id].stopped = event.error_code
        for http_event in self.http.handle_event(event):
            response = self.responses.get(getattr(http_event, "stream_id", -1))
            if response is None:
                continue
            if isinstance(http_event, HeadersReceived):
                response.headers = {n.decode(): v.decode() for n, v in http_event.headers}
                response.status = int(response.headers[":status"])
                response.ended |= http_event.stream_ended
            if isinstance(http_event, DataReceived):
                response.body += http_event.data
                response.ended |= http_event.stream_ended


class Network:
    """Transports datagrams between one caller and an endpoint on virtual time.

    Each datagram is lost with probability `loss`, else delayed by 5 to 25 ms and so reordered.
    """

    def __init__(self, endpoint: AgentEndpoint, caller: Caller, seed: int, loss: float) -> None:
        print(f"seed={seed} loss={loss}")
        self.endpoint = endpoint
        self.caller = caller
        self.random = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.to_agents: list[ToAgent] = []
        self.serve: Callable[[], None] = lambda: None
        self.caller_address = CALLER
        self.answered_to: set[Endpoint] = set()
        self._in_flight: list[tuple[float, bool, bytes]] = []
        self.unroutable = 0

    def run(self, until: Callable[[], bool], limit_seconds: float = 30.0) -> bool:
        end = self.now + limit_seconds
        while self.now < end:
            if until():
                return True
            self.step()
        return until()

    def step(self) -> None:
        self._send()
        self.now += 0.005
        due = [item for item in self._in_flight if item[0] <= self.now]
        self._in_flight = [item for item in self._in_flight if item[0] > self.now]
        self.random.shuffle(due)
        for _, to_endpoint, data in due:
            if to_endpoint:
                candidates = (AGENT, OTHER_AGENT)
                datagram = forwarded(data, candidates, caller=self.caller_address)
                self.endpoint.datagram_received(datagram, self.now)
            else:
                self.caller.receive(data, self.now)
        timer = self.caller.quic.get_timer()
        if timer is not None and timer <= self.now:
            self.caller.quic.handle_timer(self.now)
            self.caller.collect()
        self.endpoint.handle_timers(self.now)
        self.serve()

    def _send(self) -> None:
        for data in self.caller.datagrams(self.now):
            self._put(True, data)
        self.endpoint.flush(self.now)
        for outgoing in self.endpoint.take_outgoing():
            if isinstance(outgoing, ToFabric):
                self.answered_to.add(decode_header(outgoing.data)[1])
                self._put(False, outgoing.data[PROXY_HEADER_LENGTH:])
            else:
                self.to_agents.append(outgoing)

    def _put(self, to_endpoint: bool, data: bytes) -> None:
        if self.random.random() >= self.loss:
            delay = self.random.uniform(0.005, 0.025)
            self._in_flight.append((self.now + delay, to_endpoint, data))


def make_endpoint(certificate: CertificateFiles, view: ServiceView, seed: int = 1) -> AgentEndpoint:
    configuration = server_configuration(certificate.certificate, certificate.private_key)
    return AgentEndpoint(configuration, view, random.Random(seed))


@pytest.fixture
def helpers() -> ModuleType:
    """Return this module with its test helpers (tests are not an importable package)."""
    return sys.modules[__name__]
