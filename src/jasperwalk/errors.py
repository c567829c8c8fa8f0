"""Base types of every failure that jasperwalk raises or reports.

Each package defines its own failures as dataclasses that derive from `JasperwalkError`; no
failure is ever a bare string. `kind` is the stable, machine-readable name that logs, JSON
output and problem+json bodies carry.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar


@dataclass(eq=False, repr=False)
class JasperwalkError(Exception):
    """Root of all typed failures; subclasses set `kind` and their own fields."""

    kind: ClassVar[str] = "internal"

    def __repr__(self) -> str:
        """Return the type and the description; one method for all classes loads faster."""
        return f"{type(self).__name__}({self.describe()!r})"

    def __str__(self) -> str:
        """Return the one-line description that operators see."""
        return self.describe()

    def describe(self) -> str:
        """Describe the failure in one line, with the remedy where there is one."""
        return self.kind


@dataclass(eq=False, repr=False)
class InvalidAddress(JasperwalkError):
    """Text or bytes that are not an IPv4 address with a port."""

    kind: ClassVar[str] = "invalid-address"
    text: str

    def describe(self) -> str:
        """Name the text and the expected form."""
        return f"{self.text!r} is not an address; expected IPV4:PORT, such as 127.0.0.1:7000"


@dataclass(eq=False, repr=False)
class MalformedMessage(JasperwalkError):
    """Bytes from another process that do not decode into a known message."""

    kind: ClassVar[str] = "malformed-message"
    reason: str

    def describe(self) -> str:
        """Give the decoder's reason."""
        return f"malformed message: {self.reason}"


@dataclass(eq=False, repr=False)
class UnsupportedVersion(JasperwalkError):
    """A message of a protocol version that this process does not speak."""

    kind: ClassVar[str] = "unsupported-version"
    version: int
    supported: int

    def describe(self) -> str:
        """Name both versions."""
        return f"message has protocol version {self.version}; this process speaks {self.supported}"
