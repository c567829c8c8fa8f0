"""The agent's QUIC endpoint (sans-IO): forwarded datagrams in, datagrams and requests out.

Every datagram is checked against the agent's own service before anything else reads it. So a
packet for another service is never answered, even if a stale balancer sends it here.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

import msgspec
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.packet import encode_quic_version_negotiation

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.connection import RoutableServerConnection
from jasperwalk.agent.connection_id_factory import ConnectionIdFactory
from jasperwalk.agent.datagram_filter import (
    AdmittedDatagram,
    DatagramDropped,
    DatagramFilter,
    DropReason,
)
from jasperwalk.agent.flow import Flow
from jasperwalk.agent.flow_maintenance import FlowMaintenance
from jasperwalk.agent.flow_table import FlowTable
from jasperwalk.agent.handover import (
    MAX_HOPS,
    Handover,
    HandOverTo,
    PlacementContext,
    Refuse,
    TakeHere,
)
from jasperwalk.agent.http3 import HeaderList, Http3Flow, RequestEvent, StreamReference
from jasperwalk.agent.key_renewal import OldestKeys, oldest_keys
from jasperwalk.agent.outgoing import Outgoing, ToAgent, ToFabric
from jasperwalk.agent.packets import MIN_INITIAL_DATAGRAM_BYTES, PacketHead
from jasperwalk.agent.rate_limit import RateLimit
from jasperwalk.agent.service_view import ServiceView
from jasperwalk.agent.slow_start import SlowStart
from jasperwalk.agent.stray_packets import StrayPackets, answer_header
from jasperwalk.config.table_entries import KeyPurpose
from jasperwalk.messages.codec import encode
from jasperwalk.messages.datagram_seal import DatagramSeal
from jasperwalk.messages.datagrams import ForwardedDatagram
from jasperwalk.messages.proxy_protocol import destination_of, source_of
from jasperwalk.routing.connection_ids import RoutableId

MAX_FLOWS = 8_192
VERSION_NEGOTIATIONS_PER_SECOND = 200


class AgentEndpoint:
    """All flows of one agent. Call `flush` after a batch of inputs, then collect the outputs."""

    def __init__(
        self,
        configuration: QuicConfiguration,
        view: ServiceView,
        source: random.Random,
        max_flows: int = MAX_FLOWS,
    ) -> None:
        self._configuration = configuration
        self._max_flows = max_flows
        self.slow_start = SlowStart()
        self.table_fresh = False
        """Set by the adapter: whether the view was recently the newest of a quorum."""
        self.prefers_peer: Callable[[Endpoint], bool] = lambda _: False
        """Set by the process: whether a new flow should go to the given other member."""
        self._handover = Handover(self.slow_start)
        self._filter = DatagramFilter()
        self._flows = FlowTable()
        self.maintenance = FlowMaintenance(self._flows)
        self._connection_ids = ConnectionIdFactory(view, source)
        self._outgoing: list[Outgoing] = []
        self._strays = StrayPackets(source)
        self._negotiations = RateLimit(VERSION_NEGOTIATIONS_PER_SECOND)
        self.drops: Counter[DropReason] = Counter()
        self.handed_over = 0
        self._view = view
        self.set_view(view)

    @property
    def open_flows(self) -> int:
        """The number of flows that are not closed."""
        return len(self._flows)

    @property
    def resets_sent(self) -> int:
        """The number of stateless resets sent."""
        return self._strays.resets_sent

    @property
    def has_events(self) -> bool:
        """Return whether there are request events to collect."""
        return self._flows.has_events

    def set_view(self, view: ServiceView) -> None:
        """Apply a new revision of the service, its members and the keys."""
        self.maintenance.view_changed(self._view, view)
        self._view = view
        self._connection_ids.view_changed(view)
        self._filter.seal = DatagramSeal(view.keys_for(KeyPurpose.DATAGRAM))
        self._handover.view_changed(view)
        self._strays.view_changed(view)

    def set_configuration(self, configuration: QuicConfiguration) -> None:
        """Use other QUIC settings, with another certificate, for flows opened from now on."""
        self._configuration = configuration

    def oldest_keys(self) -> OldestKeys:
        """Return the generations of the oldest keys that the open flows depend on."""
        return oldest_keys(self._view, (flow.connection for flow in self._flows))

    def datagram_received(self, data: bytes, now: float) -> None:
        """Handle one datagram from a balancer or another agent."""
        try:
            self._receive(self._filter.admit(data, self._view), now)
        except DatagramDropped as dropped:
            self.drops[dropped.reason] += 1

    def probe_ended(self, address: Endpoint, answered: bool, now: float) -> None:
        """Handle the outcome of a `ProbeAgent`."""
        resets = self._strays.probe_ended(address, answered, self._view, self.table_fresh, now)
        self._outgoing.extend(resets)

    def next_timer(self) -> float | None:
        """Return when `handle_timers` has to be called next."""
        return self._flows.next_timer()

    def handle_timers(self, now: float) -> None:
        """Run the timers that are due."""
        self._flows.handle_timers(now)

    def send_headers(self, stream: StreamReference, headers: HeaderList, ended: bool) -> bool:
        """Send a response's head; return False when the stream is gone."""
        flow = self._flows.touch(stream.flow)
        return flow is not None and flow.http.send_headers(stream.stream_id, headers, ended)

    def send_data(self, stream: StreamReference, data: bytes, ended: bool) -> bool:
        """Send a piece of a response's body; return False when the stream is gone."""
        flow = self._flows.touch(stream.flow)
        return flow is not None and flow.http.send_data(stream.stream_id, data, ended)

    def abort(self, stream: StreamReference) -> None:
        """Reset a response that can't be completed."""
        flow = self._flows.touch(stream.flow)
        if flow is not None:
            flow.http.abort(stream.stream_id)

    def unsent_bytes(self, stream: StreamReference) -> int:
        """Return the response bytes that the caller has not acknowledged (back-pressure)."""
        flow = self._flows.get(stream.flow)
        return 0 if flow is None else flow.connection.unsent_bytes(stream.stream_id)

    @property
    def has_undelivered_answers(self) -> bool:
        """Return whether some caller has not yet fully acknowledged an ended response."""
        return any(flow.connection.has_undelivered_answers for flow in self._flows)

    def close_all(self) -> None:
        """Close every flow, as the last step of a planned stop; undelivered data is lost."""
        self._flows.close_all()

    def flush(self, now: float) -> None:
        """Produce the datagrams and timers for all changes since the last call."""
        self._outgoing.extend(self._flows.transmit(now))

    def take_outgoing(self) -> list[Outgoing]:
        """Return the datagrams to send and clear the queue."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def take_events(self) -> list[RequestEvent]:
        """Return the request events in order of occurrence and clear the queue."""
        return self._flows.take_events()

    def _receive(self, admitted: AdmittedDatagram, now: float) -> None:
        head, datagram = admitted.head, admitted.datagram
        flow = self._flows.with_connection_id(head.destination)
        if flow is not None:
            if flow.service_id != datagram.service_id:
                raise DatagramDropped(DropReason.OTHER_SERVICE)
            self._deliver(flow, datagram, now)
            return
        # A caller's own connection ID may decode by chance: with candidates it opens a new flow.
        opens = head.initial and bool(datagram.candidates)
        routable = None if opens else self._connection_ids.codec.decode(head.destination)
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
        self._flows.deliver(flow, datagram.payload, caller, now)

    def _stray(self, routable: RoutableId, admitted: AdmittedDatagram, now: float) -> None:
        outgoing = self._strays.handle(routable, admitted, self._view, self.table_fresh, now)
        self._outgoing.extend(outgoing)
        if routable.address == self._view.address:
            raise DatagramDropped(DropReason.UNKNOWN_FLOW)

    def _negotiate_version(self, admitted: AdmittedDatagram, now: float) -> None:
        large_enough = len(admitted.datagram.payload) >= MIN_INITIAL_DATAGRAM_BYTES
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
        if remembered is not None and datagram.hops < MAX_HOPS:
            self._hand_over(remembered, datagram)
            return
        if not head.initial or len(datagram.payload) < MIN_INITIAL_DATAGRAM_BYTES:
            raise DatagramDropped(DropReason.NOT_ROUTABLE)
        can_accept = self._view.serving and self._connection_ids.codec.can_encode
        state = PlacementContext(self._view, can_accept, self.table_fresh, self.prefers_peer)
        match self._handover.place(head.destination, datagram, state, now):
            case HandOverTo() as chosen:
                self._hand_over(chosen, datagram)
            case Refuse():
                removed = self._view.removed
                raise DatagramDropped(DropReason.REMOVED if removed else DropReason.NO_TARGET)
            case TakeHere():
                if len(self._flows) >= self._max_flows:
                    raise DatagramDropped(DropReason.OVERLOAD)
                self._accept(head, datagram, now)

    def _hand_over(self, chosen: HandOverTo, datagram: ForwardedDatagram) -> None:
        handed = msgspec.structs.replace(
            datagram,
            revision=chosen.revision,
            hops=datagram.hops + 1,
            candidates=list(chosen.candidates),
        )
        self._outgoing.append(ToAgent(chosen.target, self._filter.seal.seal(encode(handed))))
        self.handed_over += 1

    def _accept(self, head: PacketHead, datagram: ForwardedDatagram, now: float) -> None:
        connection = RoutableServerConnection(
            configuration=self._configuration,
            original_destination_connection_id=head.destination,
            next_connection_id=self._fresh_connection_id,
            reset_token_of=self._connection_ids.reset_token,
        )
        number = self._flows.new_number()
        vip = destination_of(datagram.address_block)
        http = Http3Flow(number, connection)
        flow = Flow(number, datagram.service_id, vip, connection, http, opened_at=now)
        self._flows.add(flow, head.destination)
        self._deliver(flow, datagram, now)

    def _fresh_connection_id(self) -> bytes:
        while True:
            connection_id = self._connection_ids.connection_id()
            if self._flows.with_connection_id(connection_id) is None:
                return connection_id
