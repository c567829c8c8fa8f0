"""Typed failures of the lab's own tools."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import ClassVar

from jasperwalk.errors import JasperwalkError


@dataclass(eq=False)
class LabSettingsError(JasperwalkError):
    """A settings file of a stand-in that cannot be used."""

    kind: ClassVar[str] = "lab-settings"
    path: Path
    reason: str

    def describe(self) -> str:
        """Name the file and what is wrong."""
        return f"{self.path}: {self.reason}"


@dataclass(eq=False)
class ExampleError(JasperwalkError):
    """An example deployment that does not exist or does not fit the fleet runner."""

    kind: ClassVar[str] = "example"
    example: str
    reason: str

    def describe(self) -> str:
        """Name the example and what is wrong."""
        return f"example {self.example!r}: {self.reason}"


@dataclass(eq=False)
class FleetNotReady(JasperwalkError):
    """A process of the fleet ended during the start or did not become healthy in time."""

    kind: ClassVar[str] = "fleet-not-ready"
    process: str
    reason: str
    log: Path

    def describe(self) -> str:
        """Name the process, the reason and the log to read."""
        return f"{self.process}: {self.reason} (log: {self.log})"


@dataclass(eq=False)
class ControlRefused(JasperwalkError):
    """Control's HTTP API did not answer with success."""

    kind: ClassVar[str] = "control-refused"
    path: str
    status: int
    body: str

    def describe(self) -> str:
        """Name the path, the status and the body."""
        return f"control answered {self.status} to {self.path}: {self.body}"
