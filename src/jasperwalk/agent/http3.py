"""HTTP/3 on one flow: translates QUIC events into request events, and sends responses (sans-IO).

aioquic sends no GOAWAY, so the frame is written here to the control stream. The stream's ID is
an internal of `H3Connection`; `tests/agent/test_go_away.py` fails if that changes.
"""

from __future__ import annotations

from dataclasses import dataclass

from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import ErrorCode, FrameType, H3Connection, encode_frame
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.events import (
    ConnectionTerminated,
    ProtocolNegotiated,
    QuicEvent,
    StopSendingReceived,
    StreamReset,
)

from jasperwalk.agent.connection import RoutableServerConnection

REQUEST_STREAM_MASK = 0x3
"""The two low bits of a stream ID are zero on streams that the caller opened for requests."""

GO_AWAY_STREAM_ID = 2**62 - 4
"""The highest ID of a request stream: all requests up to it are still served (RFC 9114, 5.2)."""

HeaderList = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class StreamReference:
    """One request stream: the agent's number for the flow and the QUIC stream ID."""

    flow: int
    stream_id: int


@dataclass(frozen=True, slots=True)
class RequestHeaders:
    """The head of a request arrived; `ended` if it has no body."""

    stream: StreamReference
    headers: HeaderList
    ended: bool


@dataclass(frozen=True, slots=True)
class RequestData:
    """A piece of a request's body arrived."""

    stream: StreamReference
    data: bytes
    ended: bool


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The caller cancelled the request, or its flow ended."""

    stream: StreamReference


RequestEvent = RequestHeaders | RequestData | RequestCancelled


class Http3Flow:
    """The HTTP/3 side of one QUIC connection."""

    def __init__(self, number: int, connection: RoutableServerConnection) -> None:
        self._number = number
        self._connection = connection
        self._http: H3Connection | None = None
        self._open: set[int] = set()
        self._receiving: set[int] = set()
        """Request streams whose end has not arrived yet."""

    @property
    def open_requests(self) -> int:
        """The number of requests that have started and are not fully answered."""
        return len(self._open)

    def handle(self, event: QuicEvent) -> list[RequestEvent]:
        """Translate one QUIC event into request events."""
        match event:
            case ProtocolNegotiated():
                self._http = H3Connection(self._connection)
            case ConnectionTerminated():
                return self._cancel_all()
            case StreamReset(stream_id=stream_id) | StopSendingReceived(stream_id=stream_id):
                return self._feed_http(event) + self._cancel(stream_id)
        return self._feed_http(event)

    def send_headers(self, stream_id: int, headers: HeaderList, ended: bool) -> bool:
        """Send the head of a response; return False if the stream accepts no more data."""
        if not self._writable(stream_id) or self._http is None:
            return False
        self._http.send_headers(stream_id, headers, end_stream=ended)
        self._close_if_ended(ended, stream_id)
        return True

    def send_data(self, stream_id: int, data: bytes, ended: bool) -> bool:
        """Send a piece of a response's body; return False as `send_headers` does."""
        if not self._writable(stream_id) or self._http is None:
            return False
        self._http.send_data(stream_id, data, end_stream=ended)
        self._close_if_ended(ended, stream_id)
        return True

    def abort(self, stream_id: int) -> None:
        """Reset a response that can't be completed, so the caller sees that it is truncated."""
        if self._writable(stream_id):
            self._connection.reset_stream(stream_id, ErrorCode.H3_INTERNAL_ERROR)
        self._open.discard(stream_id)
        self._receiving.discard(stream_id)

    def go_away(self) -> None:
        """Ask the caller to open another flow for new requests (GOAWAY).

        No request is refused because of it: requests that still arrive are answered as before.
        """
        control_stream = None if self._http is None else self._http._local_control_stream_id
        if control_stream is None:
            return
        frame = encode_frame(FrameType.GOAWAY, encode_uint_var(GO_AWAY_STREAM_ID))
        self._connection.send_stream_data(control_stream, frame)

    def _writable(self, stream_id: int) -> bool:
        return stream_id in self._open and self._connection.can_send_on(stream_id)

    def _close_if_ended(self, ended: bool, stream_id: int) -> None:
        if not ended:
            return
        self._open.discard(stream_id)
        if stream_id in self._receiving:
            # The answer does not depend on the rest of the request (RFC 9114, 4.1).
            self._receiving.discard(stream_id)
            self._connection.stop_stream(stream_id, ErrorCode.H3_NO_ERROR)

    def _feed_http(self, event: QuicEvent) -> list[RequestEvent]:
        if self._http is None:
            return []
        translated: list[RequestEvent] = []
        for http_event in self._http.handle_event(event):
            translated.extend(self._translate(http_event))
        return translated

    def _translate(self, event: H3Event) -> list[RequestEvent]:
        match event:
            case HeadersReceived(stream_id=stream_id):
                return self._headers(stream_id, event)
            case DataReceived(stream_id=stream_id) if stream_id in self._open:
                self._record_end(stream_id, event.stream_ended)
                reference = StreamReference(self._number, stream_id)
                return [RequestData(reference, event.data, event.stream_ended)]
        return []

    def _headers(self, stream_id: int, event: HeadersReceived) -> list[RequestEvent]:
        reference = StreamReference(self._number, stream_id)
        if stream_id in self._open:  # trailers: their fields are not forwarded
            self._record_end(stream_id, event.stream_ended)
            return [RequestData(reference, b"", event.stream_ended)]
        if stream_id & REQUEST_STREAM_MASK:
            return []
        self._open.add(stream_id)
        self._receiving.add(stream_id)
        self._record_end(stream_id, event.stream_ended)
        return [RequestHeaders(reference, event.headers, event.stream_ended)]

    def _record_end(self, stream_id: int, ended: bool) -> None:
        if ended:
            self._receiving.discard(stream_id)

    def _cancel(self, stream_id: int) -> list[RequestEvent]:
        if stream_id not in self._open:
            return []
        if self._connection.can_send_on(stream_id):
            self._connection.reset_stream(stream_id, ErrorCode.H3_REQUEST_CANCELLED)
        self._open.discard(stream_id)
        self._receiving.discard(stream_id)
        return [RequestCancelled(StreamReference(self._number, stream_id))]

    def _cancel_all(self) -> list[RequestEvent]:
        streams = sorted(self._open)
        self._open.clear()
        self._receiving.clear()
        return [RequestCancelled(StreamReference(self._number, stream)) for stream in streams]
