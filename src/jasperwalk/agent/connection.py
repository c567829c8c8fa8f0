"""A QUIC server connection whose connection IDs are routable and can be renewed.

aioquic has no public hook for the choice of connection IDs, so this subclass replaces the
first one and overrides the replenishing of later ones. It writes no "Retire Prior To" either
(RFC 9000, section 19.15), without which a caller keeps its connection ID for hours: the frame
is written here. The contract tests `tests/agent/test_connection.py` and
`tests/agent/test_key_renewal.py` fail when a release of aioquic changes those internals.
"""

from __future__ import annotations

from collections.abc import Callable

from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import (
    NEW_CONNECTION_ID_FRAME_CAPACITY,
    QuicConnection,
    QuicConnectionId,
    QuicConnectionState,
)
from aioquic.quic.packet import QuicFrameType
from aioquic.quic.packet_builder import QuicPacketBuilder

MAX_CONNECTION_IDS = 8
"""Unretired connection IDs that a connection issues at most, as in aioquic."""

ConnectionIdSource = Callable[[], bytes]
"""Returns a fresh routable connection ID."""

ResetTokenSource = Callable[[bytes], bytes]
"""Returns the stateless reset token (16 bytes) of a connection ID."""


class RoutableServerConnection(QuicConnection):
    """A `QuicConnection` of the server side with routable connection IDs.

    No session ticket handler is set, so resumption and 0-RTT, which may be replayed, stay off.
    """

    def __init__(
        self,
        *,
        configuration: QuicConfiguration,
        original_destination_connection_id: bytes,
        next_connection_id: ConnectionIdSource,
        reset_token_of: ResetTokenSource,
    ) -> None:
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original_destination_connection_id,
        )
        self._next_connection_id = next_connection_id
        self._reset_token_of = reset_token_of
        self._retire_prior_to = 0
        self._renewal_pending = False
        first = self._routable_connection_id(sequence_number=0, was_sent=True)
        self._host_cids = [first]
        self.host_cid = first.cid
        self._local_initial_source_connection_id = first.cid

    def unsent_bytes(self, stream_id: int) -> int:
        """Return the bytes buffered on a stream that the caller has not acknowledged yet."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return 0
        return len(stream.sender._buffer)

    @property
    def has_undelivered_answers(self) -> bool:
        """Return whether the caller has not yet fully acknowledged some ended response."""
        senders = (stream.sender for stream in self._streams.values())
        return any(each._buffer_fin is not None and not each.is_finished for each in senders)

    def can_send_on(self, stream_id: int) -> bool:
        """Return whether a stream still accepts data: it is neither reset nor finished."""
        stream = self._streams.get(stream_id)
        if stream is None or self._close_event is not None:
            return False
        sender = stream.sender
        return sender._reset_error_code is None and sender._buffer_fin is None

    @property
    def is_closed(self) -> bool:
        """Return whether the connection has ended."""
        return bool(self._state is QuicConnectionState.TERMINATED)

    @property
    def oldest_connection_id(self) -> QuicConnectionId | None:
        """The oldest connection ID that the caller has not retired, None without any."""
        return min(self._host_cids, key=lambda each: each.sequence_number, default=None)

    def renew_connection_ids(self) -> None:
        """Issue new connection IDs and have the caller retire all former ones.

        The caller may use the former ones until it has retired them.
        """
        # The caller's limit is not known before the handshake, and nothing can be issued.
        self._renewal_pending = not self._handshake_complete
        if self._renewal_pending:
            return
        self._retire_prior_to = self._host_cid_seq
        for _ in range(self._connection_id_limit()):
            self._issue_connection_id()

    def _replenish_connection_ids(self) -> None:
        """Issue connection IDs up to the caller's limit (called by aioquic)."""
        if self._renewal_pending:
            self.renew_connection_ids()
            return
        # Connection IDs that the caller was asked to retire do not count towards its limit.
        present = sum(
            1 for each in self._host_cids if each.sequence_number >= self._retire_prior_to
        )
        for _ in range(self._connection_id_limit() - present):
            self._issue_connection_id()

    def _connection_id_limit(self) -> int:
        return min(MAX_CONNECTION_IDS, int(self._remote_active_connection_id_limit))

    def _issue_connection_id(self) -> None:
        issued = self._routable_connection_id(sequence_number=self._host_cid_seq, was_sent=False)
        self._host_cids.append(issued)
        self._host_cid_seq += 1

    def _write_new_connection_id_frame(
        self, builder: QuicPacketBuilder, connection_id: QuicConnectionId
    ) -> None:
        """Write the frame as aioquic does, with "Retire Prior To" (called by aioquic)."""
        buffer = builder.start_frame(
            QuicFrameType.NEW_CONNECTION_ID,
            capacity=NEW_CONNECTION_ID_FRAME_CAPACITY,
            handler=self._on_new_connection_id_delivery,
            handler_args=(connection_id,),
        )
        buffer.push_uint_var(connection_id.sequence_number)
        # A lost frame may be sent again after a renewal: "Retire Prior To" may then not exceed
        # its own number, or the caller would end the flow as a protocol violation.
        buffer.push_uint_var(min(self._retire_prior_to, connection_id.sequence_number))
        buffer.push_uint8(len(connection_id.cid))
        buffer.push_bytes(connection_id.cid)
        buffer.push_bytes(connection_id.stateless_reset_token)
        connection_id.was_sent = True
        self._events.append(events.ConnectionIdIssued(connection_id=connection_id.cid))

    def _routable_connection_id(self, *, sequence_number: int, was_sent: bool) -> QuicConnectionId:
        connection_id = self._next_connection_id()
        return QuicConnectionId(
            cid=connection_id,
            sequence_number=sequence_number,
            stateless_reset_token=self._reset_token_of(connection_id),
            was_sent=was_sent,
        )
