"""Commands of the replicated log: every change of control's state is one of these.

`change_id` identifies an operator's change; a resend with the same change ID is answered with the
first outcome. `expected_revision` is the last-changed revision of the named template or tenant:
None for any revision, 0 if it must not exist yet.
"""

from __future__ import annotations

from typing import Any

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.config.member_states import MemberStatus, PlatformState
from jasperwalk.config.table_entries import AdminState, KeyPurpose
from jasperwalk.errors import MalformedMessage
from jasperwalk.messages import codec


class ApplyTemplate(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Create or replace a template from TOML `text`; its tenants are rendered again.

    `name`, if not empty, must equal the name in the text.
    """

    change_id: str
    expected_revision: int | None
    text: str
    name: str = ""


class SetTenant(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Create or replace a tenant: a template's name and the values of its parameters."""

    change_id: str
    expected_revision: int | None
    name: str
    template: str
    values: dict[str, Any]


class RemoveTenant(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Remove a tenant with all its services and members."""

    change_id: str
    expected_revision: int | None
    name: str


class SetHostState(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Set a host's admin state: `host` is a host name or an agent's `IPV4:PORT`."""

    change_id: str
    host: str
    admin_state: AdminState


class RegisterAgent(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Register an agent's start: `boot_id` is generated once per process start."""

    address: Endpoint
    boot_id: str
    name: str
    zone: str


class SetMemberStatus(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Set statuses that the leader observed; those of superseded incarnations are ignored."""

    statuses: list[MemberStatus]


class SetPlatformStates(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Apply changes of the platform's list of leaving machines; other hosts are unchanged."""

    states: list[PlatformState]


class InstallKey(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Install a fleet key; an active one makes the others of its purpose inactive."""

    purpose: KeyPurpose
    rotation: int
    secret: bytes
    active: bool


class RotateKey(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Start an operator's key rotation: install `secret` as the newest key.

    The replica that receives the change generates the secret, so a resend carries another one;
    the first is kept.
    """

    change_id: str
    purpose: KeyPurpose
    secret: bytes


class ActivateKey(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Use the waiting key `generation` for new values; `at_ms` is the Unix time in ms."""

    purpose: KeyPurpose
    rotation: int
    generation: int
    at_ms: int


class RetireKey(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Stop accepting the superseded key `generation`."""

    purpose: KeyPurpose
    rotation: int
    generation: int


OperatorCommand = ApplyTemplate | SetTenant | RemoveTenant | SetHostState | RotateKey
"""Commands with a change ID."""

KeyCommand = InstallKey | ActivateKey | RetireKey
"""Commands with which the leader maintains fleet keys."""

SystemCommand = RegisterAgent | SetMemberStatus | SetPlatformStates | KeyCommand
"""Commands that control itself proposes; each is idempotent by its content."""

Command = OperatorCommand | SystemCommand

_DECODER: codec.Decoder[Command] = codec.Decoder(Command)


MAX_INTEGER = 2**63 - 1
"""Maximum magnitude of an integer in a tenant's values."""

MAX_NESTING_LEVELS = 8
"""Maximum levels of lists and tables in a tenant's values."""


def encode_command(command: Command) -> bytes:
    """Encode a command for the log; raise `MalformedMessage` if a value is not encodable."""
    _check_plain(command)
    try:
        return codec.encode(command)
    except (TypeError, ValueError, RecursionError) as error:
        raise MalformedMessage(reason=f"not encodable: {error}") from error


def decode_command(data: bytes) -> Command:
    """Decode a command of the log; raise `MalformedMessage` for anything else."""
    command = _DECODER.decode(data)
    _check_plain(command)
    return command


def _check_plain(command: Command) -> None:
    """Raise `MalformedMessage` for values that another replica could not print or encode."""
    if isinstance(command, SetTenant) and not _is_plain(command.values, MAX_NESTING_LEVELS):
        reason = (
            "values may hold strings, 64-bit integers, numbers, booleans, and lists and tables "
            f"of them up to {MAX_NESTING_LEVELS} levels deep"
        )
        raise MalformedMessage(reason=reason)


def _is_plain(value: Any, depth: int) -> bool:
    """Return whether JSON and TOML without dates can express a value, and it is not too deep."""
    if value is None or isinstance(value, str | float):
        return True
    if isinstance(value, int):
        return -MAX_INTEGER <= value <= MAX_INTEGER
    if depth == 0:
        return False
    if isinstance(value, list):
        return all(_is_plain(item, depth - 1) for item in value)
    if isinstance(value, dict):
        keys_are_text = all(isinstance(key, str) for key in value)
        return keys_are_text and all(_is_plain(item, depth - 1) for item in value.values())
    return False
