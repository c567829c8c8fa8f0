"""A model of QUIC and HTTP/3 for the simulator, without cryptography.

It has what the product's own endpoint relies on: an Initial with a connection ID that the
caller chose, a routable connection ID that the agent chose, streams that survive lost,
duplicated and reordered datagrams, a stateless reset, an idle time-out. `ModelConnection`
replaces `RoutableServerConnection`, and `ModelHttp` replaces `Http3Flow`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import cbor2
from aioquic.quic.connection import QuicConnectionId
from aioquic.quic.events import (
    ConnectionIdIssued,
    ConnectionIdRetired,
    HandshakeCompleted,
    QuicEvent,
)

from jasperwalk.agent.http3 import (
    HeaderList,
    RequestCancelled,
    RequestData,
    RequestEvent,
    RequestHeaders,
    StreamReference,
)
from jasperwalk.routing.connection_ids import CONNECTION_ID_LENGTH

SHORT_HEADER = b"\x40"
LONG_HEADER_BIT = 0x80
INITIAL_LENGTH = 1200
RETRANSMISSION_SECONDS = 0.3
IDLE_SECONDS = 60.0
MAX_FRAMES_IN_DATAGRAM = 16

CONNECTION_ID, FRAMES, CLOSE = "connection-id", "frames", "close"
HEAD, DATA, END, RESET = "head", "data", "end", "reset"

Frame = list[Any]
"""The kind of a frame, followed by its content."""


def initial_packet(destination: bytes, source: bytes) -> bytes:
    """Build a caller's opening packet: a padded Initial of QUIC version 1."""
    head = b"\xc3\x00\x00\x00\x01" + bytes([len(destination)]) + destination
    head += bytes([len(source)]) + source + b"\x00"
    rest = INITIAL_LENGTH - len(head) - 2
    return head + (0x4000 | rest).to_bytes(2, "big") + bytes(rest)


def short_packet(connection_id: bytes, content: list[Any]) -> bytes:
    """Build a packet of an established flow."""
    return SHORT_HEADER + connection_id + cbor2.dumps(content)


@dataclass(frozen=True)
class ModelRequest:
    """A complete request arrived on a stream."""

    stream_id: int
    headers: HeaderList
    body: bytes


@dataclass(frozen=True)
class ModelCancel:
    """The caller cancelled a stream."""

    stream_id: int


@dataclass(frozen=True)
class ModelEnd:
    """The flow ended."""


ModelEvent = ModelRequest | ModelCancel | ModelEnd | QuicEvent


@dataclass
class ModelStream:
    """The answer on a stream: its frames, and how many of them were sent and acknowledged."""

    frames: list[Frame] = field(default_factory=list)
    acknowledged: int = 0
    sent: int = 0
    oldest_unacknowledged_at: float = 0.0
    """When the oldest unacknowledged frame was sent, or the frame before it acknowledged."""

    @property
    def ended(self) -> bool:
        """Tell whether the answer's last frame is there."""
        return bool(self.frames) and self.frames[-1][0] == END


class ModelConnection:
    """The server's end of a flow."""

    def __init__(
        self,
        *,
        configuration: object,
        original_destination_connection_id: bytes,
        next_connection_id: Callable[[], bytes],
        reset_token_of: Callable[[bytes], bytes],
    ) -> None:
        self._next_connection_id = next_connection_id
        self._reset_token_of = reset_token_of
        first = self._new_connection_id(sequence_number=0)
        self._host_cids = [first]
        self.host_cid = first.cid
        self._handshake_complete = False
        self._events: deque[ModelEvent] = deque()
        self._streams: dict[int, ModelStream] = {}
        self._caller = b""
        self._connection_id_pending = False
        self._closing = False
        self._last_received_at: float | None = None
        self._now = 0.0
        self.is_closed = False

    def receive_datagram(self, payload: bytes, caller: bytes, now: float) -> None:
        """Handle one packet of the caller."""
        self._caller, self._last_received_at, self._now = caller, now, now
        if payload[0] & LONG_HEADER_BIT:
            self._connection_id_pending = True
            return
        self._record_connection_id_use(payload[1 : 1 + CONNECTION_ID_LENGTH])
        stream_id, headers, body, acknowledged, cancelled = cbor2.loads(
            payload[1 + CONNECTION_ID_LENGTH :]
        )
        stream = self._streams.get(stream_id)
        if stream is None:
            if headers is None or cancelled:
                return
            self._streams[stream_id] = ModelStream()
            fields = [(name, value) for name, value in headers]
            self._events.append(ModelRequest(stream_id, fields, body))
            return
        if acknowledged > stream.acknowledged:
            stream.acknowledged = acknowledged
            stream.oldest_unacknowledged_at = now
        if cancelled:
            self._events.append(ModelCancel(stream_id))

    @property
    def oldest_connection_id(self) -> QuicConnectionId:
        """The oldest connection ID that the caller still uses."""
        return self._host_cids[0]

    def renew_connection_ids(self) -> None:
        """Issue another connection ID, which the caller is to use from now on."""
        newest = self._new_connection_id(self._host_cids[-1].sequence_number + 1)
        self._host_cids.append(newest)
        self._events.append(ConnectionIdIssued(connection_id=newest.cid))
        self._connection_id_pending = True

    def send_ping(self, uid: int) -> None:
        """Do nothing: the model's callers poll while a request is open, so the flow stays open."""

    def _new_connection_id(self, sequence_number: int) -> QuicConnectionId:
        connection_id = self._next_connection_id()
        token = self._reset_token_of(connection_id)
        return QuicConnectionId(connection_id, sequence_number, token, was_sent=True)

    def _record_connection_id_use(self, connection_id: bytes) -> None:
        """Record which connection ID a packet used.

        The first packet completes the handshake. The use of the newest ID acknowledges it and
        retires the older ones; until then it is announced again.
        """
        if not self._handshake_complete:
            self._handshake_complete = True
            self._events.append(HandshakeCompleted(None, False, False))
        newest = self._host_cids[-1]
        if connection_id == newest.cid:
            for former in self._host_cids[:-1]:
                self._events.append(ConnectionIdRetired(connection_id=former.cid))
            self._host_cids = [newest]
        else:
            self._connection_id_pending = True

    def next_event(self) -> ModelEvent | None:
        """Return the next event, or None if there is none."""
        return self._events.popleft() if self._events else None

    def answer(self, stream_id: int, frame: Frame) -> None:
        """Append a frame to the answer on a stream."""
        self._streams[stream_id].frames.append(frame)

    def unsent_bytes(self, stream_id: int) -> int:
        """Return 0 unsent bytes: the model's callers are never slow."""
        return 0

    @property
    def has_undelivered_answers(self) -> bool:
        """Tell whether some ended answer is not completely acknowledged."""
        ended = (each for each in self._streams.values() if each.ended)
        return any(each.acknowledged < len(each.frames) for each in ended)

    def close(self) -> None:
        """Close the flow."""
        self._closing = True

    def get_timer(self) -> float | None:
        """Return the time of the next retransmission or idle time-out, None if there is neither."""
        if self.is_closed or self._last_received_at is None:
            return None
        due = self._last_received_at + IDLE_SECONDS
        for stream in self._streams.values():
            if stream.acknowledged < len(stream.frames):
                due = min(due, stream.oldest_unacknowledged_at + RETRANSMISSION_SECONDS)
        return due

    def handle_timer(self, now: float) -> None:
        """Retransmit frames that were not acknowledged in time, or end an idle flow."""
        self._now = now
        if self._last_received_at is not None and now >= self._last_received_at + IDLE_SECONDS:
            self.is_closed = True
            self._events.append(ModelEnd())
            return
        for stream in self._streams.values():
            if now >= stream.oldest_unacknowledged_at + RETRANSMISSION_SECONDS:
                stream.sent = min(stream.sent, stream.acknowledged)

    def datagrams_to_send(self, now: float) -> list[tuple[bytes, bytes]]:
        """Return the datagrams that are due, each with the caller's packed address."""
        contents: list[list[Any]] = []
        if self._connection_id_pending:
            self._connection_id_pending = False
            newest = self._host_cids[-1]
            content = [newest.sequence_number, newest.cid, newest.stateless_reset_token]
            contents.append([CONNECTION_ID, *content])
        for stream_id, stream in self._streams.items():
            while stream.sent < len(stream.frames):
                first = stream.sent
                if first == stream.acknowledged:
                    stream.oldest_unacknowledged_at = now
                frames = stream.frames[first : first + MAX_FRAMES_IN_DATAGRAM]
                stream.sent += len(frames)
                contents.append([FRAMES, stream_id, first, frames])
        if self._closing and not self.is_closed:
            self.is_closed = True
            contents.append([CLOSE])
        return [(cbor2.dumps(content), self._caller) for content in contents]


class ModelHttp:
    """The HTTP layer of a flow, with the methods of `Http3Flow`."""

    def __init__(self, number: int, connection: ModelConnection) -> None:
        self._number = number
        self._connection = connection
        self._open: set[int] = set()

    @property
    def open_requests(self) -> int:
        """Return the number of requests whose answer has not ended."""
        return len(self._open)

    def handle(self, event: ModelEvent) -> list[RequestEvent]:
        """Translate an event of the flow into request events."""
        match event:
            case ModelRequest(stream_id=stream_id, headers=headers, body=body):
                self._open.add(stream_id)
                stream = StreamReference(self._number, stream_id)
                events: list[RequestEvent] = [RequestHeaders(stream, headers, ended=not body)]
                return [*events, RequestData(stream, body, ended=True)] if body else events
            case ModelCancel(stream_id=stream_id):
                return self._cancel([stream_id])
            case ModelEnd():
                return self._cancel(sorted(self._open))
        return []

    def send_headers(self, stream_id: int, headers: HeaderList, ended: bool) -> bool:
        """Send the head of an answer; return False if the request is no longer open."""
        return self._send(stream_id, [HEAD, [list(one) for one in headers]], ended)

    def send_data(self, stream_id: int, data: bytes, ended: bool) -> bool:
        """Send a piece of the body; return False if the request is no longer open."""
        return self._send(stream_id, [DATA, data], ended)

    def abort(self, stream_id: int) -> None:
        """Reset an answer that can't be completed."""
        self._send(stream_id, [RESET, b""], ended=False)
        self._open.discard(stream_id)

    def go_away(self) -> None:
        """Do nothing: simulated callers go on with their flow, which GOAWAY permits."""

    def _send(self, stream_id: int, frame: Frame, ended: bool) -> bool:
        if stream_id not in self._open:
            return False
        self._connection.answer(stream_id, frame)
        if ended:
            self._connection.answer(stream_id, [END, b""])
            self._open.discard(stream_id)
        return True

    def _cancel(self, stream_ids: list[int]) -> list[RequestEvent]:
        gone = [each for each in stream_ids if each in self._open]
        self._open.difference_update(gone)
        return [RequestCancelled(StreamReference(self._number, each)) for each in gone]
