"""Refusals that concern hosts, agents and fleet keys."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from jasperwalk.control.state.outcome_base import BaseOutcome


@dataclass(frozen=True, slots=True)
class UnknownHost(BaseOutcome):
    """No member or registered agent has that host name or address."""

    kind: ClassVar[str] = "unknown-host"
    host: str

    def describe(self) -> str:
        """Name the host."""
        return f"no member is on host {self.host!r}; give a host name or an agent's IPV4:PORT"


@dataclass(frozen=True, slots=True)
class SupersededBoot(BaseOutcome):
    """A stale registration: a newer start at the address has replaced that start."""

    kind: ClassVar[str] = "superseded-boot"
    address: str
    incarnation: int

    def describe(self) -> str:
        """Name the address and the current incarnation."""
        return f"{self.address} has been taken over by incarnation {self.incarnation}"


@dataclass(frozen=True, slots=True)
class IncarnationsExhausted(BaseOutcome):
    """The address has used every incarnation; it may not be used again."""

    kind: ClassVar[str] = "incarnations-exhausted"
    address: str

    def describe(self) -> str:
        """Name the address and what to do."""
        return f"{self.address} has used all its incarnations; start the agent on another port"


@dataclass(frozen=True, slots=True)
class InvalidKey(BaseOutcome):
    """A fleet key with an invalid rotation or length."""

    kind: ClassVar[str] = "invalid-key"
    purpose: str
    rotation: int
    secret_length: int

    def describe(self) -> str:
        """Name the key and the bounds."""
        return (
            f"{self.purpose} key of rotation {self.rotation} and {self.secret_length} bytes; "
            "rotation must be 0 to 6, the secret 16 to 64 bytes (16 for connection IDs)"
        )


@dataclass(frozen=True, slots=True)
class KeyAlreadyInstalled(BaseOutcome):
    """Another secret was installed first under that purpose and rotation; it is kept."""

    kind: ClassVar[str] = "key-already-installed"
    purpose: str
    rotation: int


@dataclass(frozen=True, slots=True)
class RotationInProgress(BaseOutcome):
    """The key of the previous rotation of that purpose has not been activated yet."""

    kind: ClassVar[str] = "rotation-in-progress"
    purpose: str

    def describe(self) -> str:
        """Name the purpose and what to wait for."""
        return (
            f"the {self.purpose} key is being rotated; wait until `jasperwalk keys show` "
            "names the newer key active"
        )


@dataclass(frozen=True, slots=True)
class UnknownKey(BaseOutcome):
    """No key of that purpose, rotation and generation is due for this step; nothing changed."""

    kind: ClassVar[str] = "unknown-key"
    purpose: str
    rotation: int
    generation: int
