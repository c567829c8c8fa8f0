"""The agent's QUIC end point (sans-IO): forwarded datagrams in, datagrams and requests out.

Every datagram is checked against the agent's own service before anything reads it, so a
packet for another service is never answered, whatever a stale balancer believes.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter

import msgspec
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.events import ConnectionIdIssued, ConnectionIdRetired, HandshakeCompleted
from aioquic.quic.packet import encode_quic_version_negotiation

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.connection import RoutableServerConnection
from jasperwalk.agent.datagram_guard import (
    AdmittedDatagram,
    DatagramDropped,
    DatagramGuard,
    DropReason,
)
from jasperwalk.agent.flow import Flow
from jasperwalk.agent.handover import (
    MOST_HOPS,
    AgentState,
    HandOn,
    Handover,
    Refuse,
    Take,
)
from jasperwalk.agent.http3 import HeaderList, Http3Flow, RequestEvent, StreamReference
from jasperwalk.agent.key_renewal import FlowRenewal, OldestKeys, oldest_keys
from jasperwalk.agent.outgoing import Outgoing, ToAgent, ToFabric
from jasperwalk.agent.packets import SHORTEST_INITIAL_DATAGRAM, PacketHead
from jasperwalk.agent.rate_limit import RateLimit
from jasperwalk.agent.service_view import ServiceView
from jasperwalk.agent.slow_start import SlowStart
from jasperwalk.agent.stateless_reset import reset_token
from jasperwalk.agent.stray_packets import StrayPackets, answer_header
from jasperwalk.config.table import KeyPurpose
from jasperwalk.messages.codec import encode
from jasperwalk.messages.datagram_seal import DatagramSeal
from jasperwalk.messages.datagrams import ForwardedDatagram
from jasperwalk.messages.proxy_protocol import destination_of, pack_header, source_of
from jasperwalk.routing.connection_ids import (
    CONNECTION_ID_LENGTH,
    NONCE_LENGTH,
    ConnectionIdCodec,
    RoutableId,
)

MOST_FLOWS = 8_192
VERSION_NEGOTIATIONS_PER_SECOND = 200
IDLE_TIMEOUT_SECONDS = 300.0
MAX_STREAM_DATA = 262_144
"""Bytes that a caller may send on a stream ahead of what the agent has read."""
MAX_CONNECTION_DATA = 1_048_576


def server_configuration(certificate_file: str, private_key_file: str) -> QuicConfiguration:
    """Build the QUIC settings of every flow; raise `OSError` for unreadable files."""
    configuration = QuicConfiguration(
        is_client=False,
        alpn_protocols=["h3"],
        connection_id_length=CONNECTION_ID_LENGTH,
        idle_timeout=IDLE_TIMEOUT_SECONDS,
        max_data=MAX_CONNECTION_DATA,
        max_stream_data=MAX_STREAM_DATA,
    )
    configuration.load_cert_chain(certificate_file, private_key_file)
    return configuration


class AgentEndpoint:
    """All flows of one agent. Call `flush` after a batch of inputs, then take the outputs."""

    def __init__(
        self,
        configuration: QuicConfiguration,
        view: ServiceView,
        source: random.Random,
        most_flows: int = MOST_FLOWS,
    ) -> None:
        self._configuration = configuration
        self._random = source
        self._most_flows = most_flows
        self.slow_start = SlowStart()
        self.table_fresh = False
        """Set by the adapter: the view was the newest of a quorum just now."""
        self._handover = Handover(self.slow_start)
        self._guard = DatagramGuard()
        self._flows: dict[int, Flow] = {}
        self._by_connection_id: dict[bytes, Flow] = {}
        self._next_number = 1
        self._dirty: set[int] = set()
        self._timers: list[tuple[float, int]] = []
        self._outgoing: list[Outgoing] = []
        self._events: list[RequestEvent] = []
        self._strays = StrayPackets(source)
        self._negotiations = RateLimit(VERSION_NEGOTIATIONS_PER_SECOND)
        self.drops: Counter[DropReason] = Counter()
        self.handed_over = 0
        self._renewal = FlowRenewal()
        self._view = view
        self.set_view(view)

    @property
    def open_flows(self) -> int:
        """Count the flows that are not closed."""
        return len(self._flows)

    @property
    def resets_sent(self) -> int:
        """Count the stateless resets sent."""
        return self._strays.resets_sent

    @property
    def has_events(self) -> bool:
        """Tell whether request events wait to be taken."""
        return bool(self._events)

    def set_view(self, view: ServiceView) -> None:
        """Take a new revision of the service, its members and the keys."""
        self._renewal.view_changed(self._view, view, self._flows)
        self._view = view
        self._codec = ConnectionIdCodec(view.keys_for(KeyPurpose.CONNECTION_ID))
        self._guard.seal = DatagramSeal(view.keys_for(KeyPurpose.DATAGRAM))
        self._handover.view_changed(view)
        self._strays.view_changed(view)

    def renew_some_flows(self) -> bool:
        """Move a bounded number of flows to the active keys; return False when none waits."""
        numbers = [number for number in self._renewal.take() if number in self._flows]
        for number in numbers:
            self._flows[number].connection.renew_connection_ids()
        self._dirty.update(numbers)
        return bool(numbers)

    def oldest_keys(self) -> OldestKeys:
        """Return the generations of the oldest keys that the open flows rest on."""
        return oldest_keys(self._view, (flow.connection for flow in self._flows.values()))

    def datagram_received(self, data: bytes, now: float) -> None:
        """Take one datagram from a balancer or another agent."""
        try:
            self._receive(self._guard.admit(data, self._view), now)
        except DatagramDropped as dropped:
            self.drops[dropped.reason] += 1

    def probe_ended(self, address: Endpoint, answered: bool, now: float) -> None:
        """Take the outcome of a `ProbeAgent`."""
        resets = self._strays.probe_ended(address, answered, self._view, self.table_fresh, now)
        self._outgoing.extend(resets)

    def next_timer(self) -> float | None:
        """Return when `handle_timers` has to be called next."""
        return self._timers[0][0] if self._timers else None

    def handle_timers(self, now: float) -> None:
        """Run the timers that are due."""
        while self._timers and self._timers[0][0] <= now:
            _, number = heapq.heappop(self._timers)
            flow = self._flows.get(number)
            if flow is None:
                continue
            flow.wakes_at = math.inf
            flow.run_timers(now)
            self._collect(flow)
            if flow.handshake_overdue(now):
                self._remove(flow)
            self._dirty.add(number)

    def send_headers(self, stream: StreamReference, headers: HeaderList, ended: bool) -> bool:
        """Send a response's head; return False when the stream is gone."""
        flow = self._touch(stream)
        return flow is not None and flow.http.send_headers(stream.stream_id, headers, ended)

    def send_data(self, stream: StreamReference, data: bytes, ended: bool) -> bool:
        """Send a piece of a response's body; return False when the stream is gone."""
        flow = self._touch(stream)
        return flow is not None and flow.http.send_data(stream.stream_id, data, ended)

    def abort(self, stream: StreamReference) -> None:
        """Cut a response that can't be completed."""
        flow = self._touch(stream)
        if flow is not None:
            flow.http.abort(stream.stream_id)

    def unsent_bytes(self, stream: StreamReference) -> int:
        """Return the response bytes that the caller has not acknowledged (back-pressure)."""
        flow = self._flows.get(stream.flow)
        return 0 if flow is None else flow.connection.unsent_bytes(stream.stream_id)

    def close_all(self) -> None:
        """Close every flow, at the very end of a planned stop."""
        for flow in self._flows.values():
            flow.connection.close()
            self._dirty.add(flow.number)

    def flush(self, now: float) -> None:
        """Turn what changed since the last call into datagrams and timers."""
        while self._dirty:
            flow = self._flows.get(self._dirty.pop())
            if flow is not None:
                self._transmit(flow, now)

    def take_outgoing(self) -> list[Outgoing]:
        """Return, and forget, the datagrams to send."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def take_events(self) -> list[RequestEvent]:
        """Return, and forget, the request events in the order in which they happened."""
        events, self._events = self._events, []
        return events

    def _receive(self, admitted: AdmittedDatagram, now: float) -> None:
        head, datagram = admitted.head, admitted.datagram
        flow = self._by_connection_id.get(head.destination)
        if flow is not None:
            if flow.service_id != datagram.service_id:
                raise DatagramDropped(DropReason.OTHER_SERVICE)
            self._deliver(flow, datagram, now)
            return
        # A caller's own connection ID may decode by chance: with candidates it opens a flow.
        opens = head.initial and bool(datagram.candidates)
        routable = None if opens else self._codec.decode(head.destination)
        if routable is not None:
            self._stray(routable, admitted, now)
        elif head.version is None:
            raise DatagramDropped(DropReason.NOT_ROUTABLE)
        elif not admitted.trusted:
            raise DatagramDropped(DropReason.NOT_SEALED)
        elif head.version not in self._configuration.supported_versions:
            self._negotiate_version(admitted, now)
        else:
            self._new_flow(admitted, now)

    def _deliver(self, flow: Flow, datagram: ForwardedDatagram, now: float) -> None:
        caller = source_of(datagram.address_block)
        flow.connection.receive_datagram(datagram.payload, caller, now)
        self._collect(flow)
        self._dirty.add(flow.number)

    def _stray(self, routable: RoutableId, admitted: AdmittedDatagram, now: float) -> None:
        outgoing = self._strays.handle(routable, admitted, self._view, self.table_fresh, now)
        self._outgoing.extend(outgoing)
        if routable.address == self._view.address:
            raise DatagramDropped(DropReason.UNKNOWN_FLOW)

    def _negotiate_version(self, admitted: AdmittedDatagram, now: float) -> None:
        large_enough = len(admitted.datagram.payload) >= SHORTEST_INITIAL_DATAGRAM
        if large_enough and self._negotiations.allows(now):
            negotiation = encode_quic_version_negotiation(
                source_cid=admitted.head.destination,
                destination_cid=admitted.head.source,
                supported_versions=self._configuration.supported_versions,
            )
            self._outgoing.append(ToFabric(answer_header(admitted.datagram) + negotiation))
        raise DatagramDropped(DropReason.UNSUPPORTED_VERSION)

    def _new_flow(self, admitted: AdmittedDatagram, now: float) -> None:
        head, datagram = admitted.head, admitted.datagram
        remembered = self._handover.remembered(head.destination, now)
        if remembered is not None and datagram.hops < MOST_HOPS:
            self._hand_on(remembered, datagram)
            return
        if not head.initial or len(datagram.payload) < SHORTEST_INITIAL_DATAGRAM:
            raise DatagramDropped(DropReason.NOT_ROUTABLE)
        can_accept = self._view.serving and self._codec.can_encode
        state = AgentState(self._view, can_accept, self.table_fresh)
        match self._handover.place(head.destination, datagram, state, now):
            case HandOn() as chosen:
                self._hand_on(chosen, datagram)
            case Refuse():
                removed = self._view.removed
                raise DatagramDropped(DropReason.REMOVED if removed else DropReason.NO_TARGET)
            case Take():
                if len(self._flows) >= self._most_flows:
                    raise DatagramDropped(DropReason.OVERLOAD)
                self._accept(head, datagram, now)

    def _hand_on(self, chosen: HandOn, datagram: ForwardedDatagram) -> None:
        handed = msgspec.structs.replace(
            datagram,
            revision=chosen.revision,
            hops=datagram.hops + 1,
            candidates=list(chosen.candidates),
        )
        self._outgoing.append(ToAgent(chosen.target, self._guard.seal.seal(encode(handed))))
        self.handed_over += 1

    def _accept(self, head: PacketHead, datagram: ForwardedDatagram, now: float) -> None:
        connection = RoutableServerConnection(
            configuration=self._configuration,
            original_destination_connection_id=head.destination,
            next_connection_id=self._fresh_connection_id,
            reset_token_of=self._reset_token_of,
        )
        number = self._next_number
        self._next_number += 1
        vip = destination_of(datagram.address_block)
        http = Http3Flow(number, connection)
        flow = Flow(number, datagram.service_id, vip, connection, http, opened_at=now)
        self._flows[number] = flow
        self._register(flow, head.destination)
        self._register(flow, connection.host_cid)
        self._deliver(flow, datagram, now)

    def _fresh_connection_id(self) -> bytes:
        service = self._view.service
        service_id = 0 if service is None else service.service_id
        routable = RoutableId(self._view.address, service_id, self._view.incarnation)
        while True:
            connection_id = self._codec.encode(routable, self._random.randbytes(NONCE_LENGTH))
            if connection_id not in self._by_connection_id:
                return connection_id

    def _reset_token_of(self, connection_id: bytes) -> bytes:
        keys = self._view.keys_for(KeyPurpose.STATELESS_RESET)
        if not keys:  # without a key no reset can be sent, so no token may be guessable
            return self._random.randbytes(16)
        return reset_token(keys[0].secret, connection_id)

    def _register(self, flow: Flow, connection_id: bytes) -> None:
        flow.connection_ids.add(connection_id)
        self._by_connection_id[connection_id] = flow

    def _unregister(self, flow: Flow, connection_id: bytes) -> None:
        flow.connection_ids.discard(connection_id)
        self._by_connection_id.pop(connection_id, None)

    def _collect(self, flow: Flow) -> None:
        while (event := flow.connection.next_event()) is not None:
            match event:
                case ConnectionIdIssued(connection_id=connection_id):
                    self._register(flow, connection_id)
                case ConnectionIdRetired(connection_id=connection_id):
                    self._unregister(flow, connection_id)
                case HandshakeCompleted():
                    flow.handshake_complete = True
            self._events.extend(flow.http.handle(event))
        if flow.connection.is_closed:
            self._remove(flow)

    def _remove(self, flow: Flow) -> None:
        for connection_id in list(flow.connection_ids):
            self._unregister(flow, connection_id)
        self._flows.pop(flow.number, None)

    def _touch(self, stream: StreamReference) -> Flow | None:
        flow = self._flows.get(stream.flow)
        if flow is not None:
            self._dirty.add(flow.number)
        return flow

    def _transmit(self, flow: Flow, now: float) -> None:
        for data, caller in flow.connection.datagrams_to_send(now):
            self._outgoing.append(ToFabric(pack_header(flow.vip, caller) + data))
        self._collect(flow)
        due = flow.next_timer()
        if due < flow.wakes_at and flow.number in self._flows:
            flow.wakes_at = due
            heapq.heappush(self._timers, (due, flow.number))
