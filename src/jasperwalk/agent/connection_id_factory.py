"""Makes routable connection IDs and their reset tokens for one agent (sans-IO)."""

from __future__ import annotations

import random

from jasperwalk.agent.service_view import ServiceView
from jasperwalk.agent.stateless_reset import reset_token
from jasperwalk.config.table_entries import KeyPurpose
from jasperwalk.routing.connection_ids import NONCE_LENGTH, ConnectionIdCodec, RoutableId

RESET_TOKEN_LENGTH = 16


class ConnectionIdFactory:
    """Makes connection IDs that identify this agent, with the active keys of its view."""

    def __init__(self, view: ServiceView, source: random.Random) -> None:
        self._random = source
        self.view_changed(view)

    def view_changed(self, view: ServiceView) -> None:
        """Use the keys, the service and the incarnation of a newer view."""
        self._view = view
        self.codec = ConnectionIdCodec(view.keys_for(KeyPurpose.CONNECTION_ID))

    def connection_id(self) -> bytes:
        """Return a connection ID with a random nonce; it may already be in use."""
        service = self._view.service
        service_id = 0 if service is None else service.service_id
        routable = RoutableId(self._view.address, service_id, self._view.incarnation)
        return self.codec.encode(routable, self._random.randbytes(NONCE_LENGTH))

    def reset_token(self, connection_id: bytes) -> bytes:
        """Return the stateless reset token of a connection ID."""
        keys = self._view.keys_for(KeyPurpose.STATELESS_RESET)
        if not keys:  # without a key no reset can be sent, so no token may be guessable
            return self._random.randbytes(RESET_TOKEN_LENGTH)
        return reset_token(keys[0].secret, connection_id)
