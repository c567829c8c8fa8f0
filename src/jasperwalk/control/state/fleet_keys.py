"""Installs, activates and retires the fleet keys in the table.

One key of each purpose is active. Newer keys wait: processes hold them but do not use them yet.
Older keys are accepted until nothing depends on them. One key, the spare, always waits. A rotation
installs another key after it, and the leader then activates the spare. A process that missed a
complete rotation therefore already holds the key that this rotation activated.
"""

from __future__ import annotations

import msgspec

from jasperwalk.config.routing_table import VersionedTable
from jasperwalk.config.table_entries import FleetKeyKey, KeyEntry, KeyPurpose
from jasperwalk.control.state.commands import (
    ActivateKey,
    InstallKey,
    KeyCommand,
    RetireKey,
    RotateKey,
)
from jasperwalk.control.state.fleet_refusals import (
    InvalidKey,
    KeyAlreadyInstalled,
    RotationInProgress,
    UnknownKey,
)
from jasperwalk.control.state.outcomes import LimitReached

MAX_ROTATION = 6
"""Rotation 7 is reserved by the QUIC-LB draft for connection IDs that are not routable."""

CONNECTION_ID_SECRET_LENGTH = 16
"""Bytes of an AES-128 key."""

MIN_SECRET_LENGTH = 16
MAX_SECRET_LENGTH = 64

KEYS_PER_PURPOSE = MAX_ROTATION + 1

SPARE_KEYS = 1
"""Waiting keys of a purpose while no rotation is in progress."""

KeyRefusal = InvalidKey | KeyAlreadyInstalled | LimitReached | RotationInProgress | UnknownKey


def keys_of(table: VersionedTable, purpose: KeyPurpose) -> list[KeyEntry]:
    """Return the keys of a purpose, the oldest generation first."""
    found = (table.key(purpose, rotation) for rotation in range(KEYS_PER_PURPOSE))
    present = [key for key in found if key is not None]
    return sorted(present, key=lambda key: (key.generation, key.rotation))


def active_key(keys: list[KeyEntry]) -> KeyEntry | None:
    """Return the active one of a purpose's keys."""
    return next((key for key in keys if key.active), None)


def waiting_keys(keys: list[KeyEntry]) -> list[KeyEntry]:
    """Return the keys that are newer than the active one, the oldest first."""
    active = active_key(keys)
    return [key for key in keys if active is not None and key.generation > active.generation]


def free_rotations(keys: list[KeyEntry]) -> list[int]:
    """Return the free rotations for further keys, in the order in which to use them.

    Rotations are used cyclically, so that the one freed last is reused last: a process that is
    far behind would attribute a value under a reused rotation to the old key that it holds.
    """
    taken = {key.rotation for key in keys}
    start = keys[-1].rotation + 1 if keys else 0
    rotations = ((start + step) % KEYS_PER_PURPOSE for step in range(KEYS_PER_PURPOSE))
    return [rotation for rotation in rotations if rotation not in taken]


def change_keys(table: VersionedTable, command: KeyCommand, revision: int) -> KeyRefusal | None:
    """Apply a key command of the leader; return the refusal, or None on success."""
    match command:
        case InstallKey():
            return _install_key(table, command, revision)
        case ActivateKey():
            return _activate_key(table, command, revision)
        case RetireKey():
            return _retire_key(table, command, revision)


def rotate_key(table: VersionedTable, command: RotateKey, revision: int) -> KeyRefusal | None:
    """Install the key of an operator's rotation; return the refusal, or None on success."""
    keys = keys_of(table, command.purpose)
    rotations = free_rotations(keys)
    if active_key(keys) is None or len(waiting_keys(keys)) != SPARE_KEYS:
        return RotationInProgress(purpose=command.purpose.value)
    if not rotations:
        return LimitReached(subject=f"{command.purpose.value} keys", limit=KEYS_PER_PURPOSE)
    install = InstallKey(command.purpose, rotations[0], command.secret, active=False)
    return _install_key(table, install, revision)


def _install_key(
    table: VersionedTable, command: InstallKey, revision: int
) -> InvalidKey | KeyAlreadyInstalled | None:
    if not _is_valid(command):
        return InvalidKey(
            purpose=command.purpose.value,
            rotation=command.rotation,
            secret_length=len(command.secret),
        )
    present = table.key(command.purpose, command.rotation)
    if present is not None and present.secret != command.secret:
        # Race: two leaders, one deposed, both generated a first key; the one committed first
        # is already in use.
        return KeyAlreadyInstalled(purpose=command.purpose.value, rotation=command.rotation)
    if present is not None:
        return None
    if command.active:
        _deactivate_others(table, command.purpose, command.rotation, revision)
    newest = max((key.generation for key in keys_of(table, command.purpose)), default=0)
    entry = KeyEntry(
        purpose=command.purpose,
        rotation=command.rotation,
        secret=command.secret,
        active=command.active,
        generation=newest + 1,
    )
    table.upsert(entry, revision)
    return None


def _activate_key(table: VersionedTable, command: ActivateKey, revision: int) -> UnknownKey | None:
    key = table.key(command.purpose, command.rotation)
    if key is None or key not in waiting_keys(keys_of(table, command.purpose)):
        return _unknown(command)
    if key.generation != command.generation:
        return _unknown(command)
    _deactivate_others(table, command.purpose, command.rotation, revision, command.at_ms)
    table.upsert(msgspec.structs.replace(key, active=True), revision)
    return None


def _retire_key(table: VersionedTable, command: RetireKey, revision: int) -> UnknownKey | None:
    key = table.key(command.purpose, command.rotation)
    active = active_key(keys_of(table, command.purpose))
    if key is None or active is None or key.generation != command.generation:
        return _unknown(command)
    if key.generation >= active.generation:
        return _unknown(command)
    table.remove(FleetKeyKey(purpose=command.purpose, rotation=command.rotation), revision)
    return None


def _unknown(command: ActivateKey | RetireKey) -> UnknownKey:
    return UnknownKey(
        purpose=command.purpose.value,
        rotation=command.rotation,
        generation=command.generation,
    )


def _is_valid(command: InstallKey) -> bool:
    if not 0 <= command.rotation <= MAX_ROTATION:
        return False
    if command.purpose is KeyPurpose.CONNECTION_ID:
        return len(command.secret) == CONNECTION_ID_SECRET_LENGTH
    return MIN_SECRET_LENGTH <= len(command.secret) <= MAX_SECRET_LENGTH


def _deactivate_others(
    table: VersionedTable, purpose: KeyPurpose, rotation: int, revision: int, at_ms: int = 0
) -> None:
    for key in keys_of(table, purpose):
        if key.active and key.rotation != rotation:
            superseded = msgspec.structs.replace(key, active=False, superseded_at_ms=at_ms)
            table.upsert(superseded, revision)
