"""The open flows of one agent: their connection IDs, timers, events and datagrams (sans-IO)."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator

from aioquic.quic.events import ConnectionIdIssued, ConnectionIdRetired, HandshakeCompleted

from jasperwalk.agent.flow import Flow
from jasperwalk.agent.http3 import RequestEvent
from jasperwalk.agent.outgoing import ToFabric
from jasperwalk.messages.proxy_protocol import pack_header


class FlowTable:
    """Finds flows by number and connection ID, and runs their connections and timers.

    A flow with something to send has to be touched; `transmit` then sends it.
    """

    def __init__(self) -> None:
        self._flows: dict[int, Flow] = {}
        self._by_connection_id: dict[bytes, Flow] = {}
        self._last_number = 0
        self._touched: set[int] = set()
        self._timers: list[tuple[float, int]] = []
        self._events: list[RequestEvent] = []

    def __len__(self) -> int:
        """Return the number of flows that are not closed."""
        return len(self._flows)

    def __iter__(self) -> Iterator[Flow]:
        """Iterate over the flows, the oldest first."""
        return iter(self._flows.values())

    @property
    def has_events(self) -> bool:
        """Return whether there are request events to collect."""
        return bool(self._events)

    def new_number(self) -> int:
        """Return a number that no flow had before."""
        self._last_number += 1
        return self._last_number

    def add(self, flow: Flow, original_destination: bytes) -> None:
        """Add a new flow, whose Initial was addressed to `original_destination`."""
        self._flows[flow.number] = flow
        self._register(flow, original_destination)
        self._register(flow, flow.connection.host_cid)

    def get(self, number: int) -> Flow | None:
        """Return an open flow."""
        return self._flows.get(number)

    def with_connection_id(self, connection_id: bytes) -> Flow | None:
        """Return the open flow that has a connection ID."""
        return self._by_connection_id.get(connection_id)

    def touch(self, number: int) -> Flow | None:
        """Return an open flow and mark it as having something to send."""
        flow = self._flows.get(number)
        if flow is not None:
            self._touched.add(number)
        return flow

    def deliver(self, flow: Flow, payload: bytes, caller: bytes, now: float) -> None:
        """Pass a flow a datagram from the packed endpoint `caller`."""
        flow.connection.receive_datagram(payload, caller, now)
        self._collect(flow)
        self._touched.add(flow.number)

    def close_all(self) -> None:
        """Close every flow; undelivered data is lost."""
        for flow in self:
            flow.connection.close()
            self._touched.add(flow.number)

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
            flow.next_timer_at = math.inf
            flow.run_timers(now)
            self._collect(flow)
            if flow.handshake_overdue(now):
                self._remove(flow)
            self._touched.add(number)

    def transmit(self, now: float) -> list[ToFabric]:
        """Return the datagrams of touched flows, and set their timers."""
        datagrams: list[ToFabric] = []
        while self._touched:
            flow = self._flows.get(self._touched.pop())
            if flow is not None:
                datagrams.extend(self._datagrams_of(flow, now))
        return datagrams

    def take_events(self) -> list[RequestEvent]:
        """Return the request events in order of occurrence and clear the queue."""
        events, self._events = self._events, []
        return events

    def _datagrams_of(self, flow: Flow, now: float) -> list[ToFabric]:
        datagrams = [
            ToFabric(pack_header(flow.vip, caller) + data)
            for data, caller in flow.connection.datagrams_to_send(now)
        ]
        self._collect(flow)
        due = flow.next_timer()
        if due < flow.next_timer_at and flow.number in self._flows:
            flow.next_timer_at = due
            heapq.heappush(self._timers, (due, flow.number))
        return datagrams

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

    def _register(self, flow: Flow, connection_id: bytes) -> None:
        flow.connection_ids.add(connection_id)
        self._by_connection_id[connection_id] = flow

    def _unregister(self, flow: Flow, connection_id: bytes) -> None:
        flow.connection_ids.discard(connection_id)
        self._by_connection_id.pop(connection_id, None)
