"""Keeps the first outcome of each change ID, so that a resent change is not made twice."""

from __future__ import annotations

import hashlib

import msgspec

from jasperwalk.control.state.canonical import canonical_bytes
from jasperwalk.control.state.commands import OperatorCommand
from jasperwalk.control.state.outcomes import (
    Outcome,
    OutcomeImage,
    outcome_from_image,
    outcome_to_image,
)

DEFAULT_CHANGE_LIMIT = 4_096
"""Maximum outcomes kept; the oldest is removed first."""

MAX_CHANGE_ID_LENGTH = 128
"""Maximum characters of a change ID."""

FINGERPRINT_LENGTH = 16
"""Bytes of the hash that distinguishes a resend from another change with the same ID."""

FIELDS_NOT_FINGERPRINTED = ("expected_revision", "secret")
"""Fields in which a resend may differ from the first request."""


class ChangeRecord(msgspec.Struct, frozen=True):
    """The first outcome of a change, and the log index at which it was decided."""

    change_id: str
    fingerprint: bytes
    index: int
    outcome: Outcome


class ChangeImage(msgspec.Struct, frozen=True, array_like=True):
    """Serialised form of a change record."""

    change_id: str
    fingerprint: bytes
    index: int
    outcome: OutcomeImage


class ChangeRegisterImage(msgspec.Struct, frozen=True, array_like=True):
    """Serialised form of the register, oldest change first."""

    limit: int
    changes: list[ChangeImage]


def fingerprint_of(command: OperatorCommand) -> bytes:
    """Hash the requested change.

    The expected revision is left out: a resend after another read is still the same change. So
    is a secret, which control generates again for a resend.
    """
    fields = msgspec.structs.asdict(command)
    for name in FIELDS_NOT_FINGERPRINTED:
        fields.pop(name, None)
    content = canonical_bytes([type(command).__name__, fields])
    return hashlib.sha256(content).digest()[:FINGERPRINT_LENGTH]


class ChangeRegister:
    """Change records in the order of their first decision, bounded by count."""

    def __init__(self, limit: int = DEFAULT_CHANGE_LIMIT) -> None:
        self._limit = limit
        self._records: dict[str, ChangeRecord] = {}

    def __len__(self) -> int:
        """Return the number of changes kept."""
        return len(self._records)

    def find(self, change_id: str) -> ChangeRecord | None:
        """Return the record of a change ID, or None if it is unknown or was removed."""
        return self._records.get(change_id)

    def remember(self, record: ChangeRecord) -> None:
        """Add a first outcome and remove the oldest beyond the limit."""
        self._records[record.change_id] = record
        while len(self._records) > self._limit:
            del self._records[next(iter(self._records))]

    def copy(self) -> ChangeRegister:
        """Return a copy that later changes do not affect."""
        copied = ChangeRegister(limit=self._limit)
        copied._records = dict(self._records)
        return copied

    def image(self) -> ChangeRegisterImage:
        """Return the serialised form."""
        changes = [
            ChangeImage(
                change_id=record.change_id,
                fingerprint=record.fingerprint,
                index=record.index,
                outcome=outcome_to_image(record.outcome),
            )
            for record in self._records.values()
        ]
        return ChangeRegisterImage(limit=self._limit, changes=changes)

    @classmethod
    def from_image(cls, image: ChangeRegisterImage) -> ChangeRegister:
        """Rebuild a register; raise `msgspec.ValidationError` for an unknown outcome."""
        register = cls(limit=image.limit)
        for change in image.changes:
            record = ChangeRecord(
                change_id=change.change_id,
                fingerprint=change.fingerprint,
                index=change.index,
                outcome=outcome_from_image(change.outcome),
            )
            register.remember(record)
        return register
