"""Moves open flows to the active fleet keys, so that old keys can be retired (sans-IO).

A flow's connection IDs and their reset tokens are made with the keys that were active when
they were issued. When another key becomes active, every flow issues new ones and asks its
caller to retire the old ones. Until the caller has done so, the flow depends on the old keys,
and the agent reports their generations in its acknowledgements.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from jasperwalk.agent.connection import RoutableServerConnection
from jasperwalk.agent.service_view import ServiceView
from jasperwalk.agent.stateless_reset import reset_token
from jasperwalk.config.table_entries import KeyEntry, KeyPurpose
from jasperwalk.routing.connection_ids import CONNECTION_ID_LENGTH, ROTATION_SHIFT

FLOW_KEY_PURPOSES = (KeyPurpose.CONNECTION_ID, KeyPurpose.STATELESS_RESET)
"""Purposes whose keys a flow depends on as long as its connection IDs are in use."""
FLOWS_PER_TURN = 64
"""Flows renewed in one turn of the event loop, so that packets do not wait for all of them."""


@dataclass(frozen=True, slots=True)
class OldestKeys:
    """Generations of the oldest keys in use by open flows; the active keys without open flows."""

    connection_id: int = 0
    stateless_reset: int = 0


class FlowRenewal:
    """Queue of the flows, by number, that still have to move to the active keys."""

    def __init__(self) -> None:
        self._waiting: deque[int] = deque()

    def view_changed(
        self, before: ServiceView, after: ServiceView, open_flows: Iterable[int]
    ) -> None:
        """Queue all open flows if another key became active."""
        if flows_need_renewal(before, after):
            self._waiting = deque(open_flows)

    def take(self) -> list[int]:
        """Remove the next flows to renew from the queue and return them."""
        count = min(FLOWS_PER_TURN, len(self._waiting))
        return [self._waiting.popleft() for _ in range(count)]


def active_generation(view: ServiceView, purpose: KeyPurpose) -> int:
    """Return the generation of the active key of a purpose, 0 where none is active."""
    return next((key.generation for key in view.keys_for(purpose) if key.active), 0)


def flows_need_renewal(before: ServiceView, after: ServiceView) -> bool:
    """Return whether another key that flows depend on became active between two views."""
    return any(
        _active(before, purpose) is not None
        and _active(after, purpose) is not None
        and _active(before, purpose) != _active(after, purpose)
        for purpose in FLOW_KEY_PURPOSES
    )


def oldest_keys(view: ServiceView, connections: Iterable[RoutableServerConnection]) -> OldestKeys:
    """Find the oldest keys in use, in time proportional to the connections.

    A connection ID with a lower sequence number was never made with a newer key, so the oldest
    one of each flow is enough.
    """
    active = OldestKeys(
        active_generation(view, KeyPurpose.CONNECTION_ID),
        active_generation(view, KeyPurpose.STATELESS_RESET),
    )
    if not _has_older_keys(view, active):
        return active
    connection_id_keys = view.keys_for(KeyPurpose.CONNECTION_ID)
    reset_keys = view.keys_for(KeyPurpose.STATELESS_RESET)
    by_connection_id, by_reset = active.connection_id, active.stateless_reset
    for connection in connections:
        oldest = connection.oldest_connection_id
        if oldest is None:
            continue
        generation = _generation_by_rotation(connection_id_keys, oldest.cid)
        by_connection_id = min(by_connection_id, generation)
        generation = _generation_by_token(reset_keys, oldest.cid, oldest.stateless_reset_token)
        by_reset = min(by_reset, generation)
    return OldestKeys(by_connection_id, by_reset)


def _has_older_keys(view: ServiceView, active: OldestKeys) -> bool:
    """Return whether a key that flows may depend on is older than the active one."""
    active_generations = {
        KeyPurpose.CONNECTION_ID: active.connection_id,
        KeyPurpose.STATELESS_RESET: active.stateless_reset,
    }
    return any(
        key.generation < generation
        for purpose, generation in active_generations.items()
        for key in view.keys_for(purpose)
    )


def _active(view: ServiceView, purpose: KeyPurpose) -> KeyEntry | None:
    for key in view.keys_for(purpose):
        if key.active:
            return KeyEntry(purpose, key.rotation, key.secret, active=True)
    return None


def _generation_by_rotation(keys: list[KeyEntry], connection_id: bytes) -> int:
    """Return the generation of the key that a connection ID names, 0 for an unknown one."""
    if len(connection_id) != CONNECTION_ID_LENGTH:
        return 0
    rotation = connection_id[0] >> ROTATION_SHIFT
    return next((key.generation for key in keys if key.rotation == rotation), 0)


def _generation_by_token(keys: list[KeyEntry], connection_id: bytes, token: bytes) -> int:
    """Return the generation of the key that made a token, 0 for an unknown one."""
    for key in keys:
        if reset_token(key.secret, connection_id) == token:
            return key.generation
    return 0
