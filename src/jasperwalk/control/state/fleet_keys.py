"""Installing fleet keys: the first secret of a purpose and rotation stands."""

from __future__ import annotations

from jasperwalk.config.routing_table import VersionedTable
from jasperwalk.config.table import KeyEntry, KeyPurpose
from jasperwalk.control.state.commands import InstallKey
from jasperwalk.control.state.outcomes import InvalidKey, KeyAlreadyInstalled

HIGHEST_ROTATION = 6
"""Rotation 7 is reserved by the QUIC-LB draft for connection IDs that are not routable."""

CONNECTION_ID_SECRET_LENGTH = 16
"""Bytes of an AES-128 key."""

SHORTEST_SECRET = 16
LONGEST_SECRET = 64

KEYS_PER_PURPOSE = HIGHEST_ROTATION + 1


def install_key(
    table: VersionedTable, command: InstallKey, revision: int
) -> InvalidKey | KeyAlreadyInstalled | None:
    """Install a key; return a refusal, or None where it is in the table."""
    if not _is_valid(command):
        return InvalidKey(
            purpose=command.purpose.value,
            rotation=command.rotation,
            secret_length=len(command.secret),
        )
    present = table.key(command.purpose, command.rotation)
    if present is not None and present.secret != command.secret:
        # Race: two leaders, one deposed, both drew a first key; the one committed first is
        # already in use.
        return KeyAlreadyInstalled(purpose=command.purpose.value, rotation=command.rotation)
    if command.active:
        _deactivate_others(table, command, revision)
    entry = KeyEntry(
        purpose=command.purpose,
        rotation=command.rotation,
        secret=command.secret,
        active=command.active,
    )
    table.upsert(entry, revision)
    return None


def _is_valid(command: InstallKey) -> bool:
    if not 0 <= command.rotation <= HIGHEST_ROTATION:
        return False
    if command.purpose is KeyPurpose.CONNECTION_ID:
        return len(command.secret) == CONNECTION_ID_SECRET_LENGTH
    return SHORTEST_SECRET <= len(command.secret) <= LONGEST_SECRET


def _deactivate_others(table: VersionedTable, command: InstallKey, revision: int) -> None:
    for rotation in range(KEYS_PER_PURPOSE):
        key = table.key(command.purpose, rotation)
        if key is not None and key.active and rotation != command.rotation:
            entry = KeyEntry(
                purpose=key.purpose, rotation=rotation, secret=key.secret, active=False
            )
            table.upsert(entry, revision)
