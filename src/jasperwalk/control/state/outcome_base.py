"""Base class of the outcomes of commands."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True, slots=True)
class BaseOutcome:
    """An outcome: its `kind`, and whether the command took effect."""

    kind: ClassVar[str] = "outcome"
    accepted: ClassVar[bool] = False

    def describe(self) -> str:
        """Describe the outcome in one line."""
        return self.kind
