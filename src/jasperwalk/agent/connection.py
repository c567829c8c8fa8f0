"""A QUIC server connection whose connection IDs are routable.

aioquic has no public hook for the choice of connection IDs, so this subclass replaces the
first one and overrides the replenishing of later ones. The contract test
`tests/agent/test_connection.py` fails when a release of aioquic changes those internals.
"""

from __future__ import annotations

from collections.abc import Callable

from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection, QuicConnectionId, QuicConnectionState

MOST_CONNECTION_IDS = 8
"""Most unretired connection IDs that a connection hands out, as in aioquic."""

ConnectionIdSource = Callable[[], bytes]
"""Returns a fresh routable connection ID."""

ResetTokenSource = Callable[[bytes], bytes]
"""Returns the stateless reset token (16 bytes) of a connection ID."""


class RoutableServerConnection(QuicConnection):
    """A `QuicConnection` of the server side with routable connection IDs.

    No session ticket handler is passed on, so resumption and 0-RTT, which may be replayed,
    stay off.
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

    def can_send_on(self, stream_id: int) -> bool:
        """Tell whether a stream still takes data: neither reset nor finished."""
        stream = self._streams.get(stream_id)
        if stream is None or self._close_event is not None:
            return False
        sender = stream.sender
        return sender._reset_error_code is None and sender._buffer_fin is None

    @property
    def is_closed(self) -> bool:
        """Tell whether the connection has ended."""
        return bool(self._state is QuicConnectionState.TERMINATED)

    def _replenish_connection_ids(self) -> None:
        """Issue connection IDs up to the caller's limit (called by aioquic)."""
        wanted = min(MOST_CONNECTION_IDS, self._remote_active_connection_id_limit)
        while len(self._host_cids) < wanted:
            issued = self._routable_connection_id(
                sequence_number=self._host_cid_seq, was_sent=False
            )
            self._host_cids.append(issued)
            self._host_cid_seq += 1

    def _routable_connection_id(self, *, sequence_number: int, was_sent: bool) -> QuicConnectionId:
        connection_id = self._next_connection_id()
        return QuicConnectionId(
            cid=connection_id,
            sequence_number=sequence_number,
            stateless_reset_token=self._reset_token_of(connection_id),
            was_sent=was_sent,
        )
