"""Typed failures of the scale run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from jasperwalk.errors import JasperwalkError


@dataclass(eq=False)
class HollowProcessLost(JasperwalkError):
    """A hollow process ended, or gave no answer in time."""

    kind: ClassVar[str] = "hollow-process-lost"
    name: str
    request: str

    def describe(self) -> str:
        """Name the process and the request."""
        return f"{self.name} gave no answer to {self.request}"


@dataclass(eq=False)
class MemoryBudgetExceeded(JasperwalkError):
    """The run needs more memory than it may take."""

    kind: ClassVar[str] = "memory-budget-exceeded"
    used_bytes: int
    limit_bytes: int

    def describe(self) -> str:
        """Name the memory and the limit in MiB."""
        used, limit = self.used_bytes >> 20, self.limit_bytes >> 20
        return f"the run's processes hold {used} MiB, over the limit of {limit} MiB"


@dataclass(eq=False)
class NoControlLeader(JasperwalkError):
    """No control replica names a leader."""

    kind: ClassVar[str] = "no-control-leader"

    def describe(self) -> str:
        """Say so."""
        return "no control replica names a leader"
