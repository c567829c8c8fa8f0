"""The error of all settings checks: one line with the file, the key and the remedy."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from jasperwalk.errors import JasperwalkError

WHOLE_FILE = "-"
"""Replaces the key when the file as a whole is at fault."""


@dataclass(eq=False)
class SettingsError(JasperwalkError):
    """A settings file, or a flag that overrides it, cannot be used.

    `source` is the file's path (or the flag), `key` the dotted key in it or `WHOLE_FILE`,
    `mend` says how to correct the problem, and `further_problems` is the number of other
    problems found in the same file.
    """

    kind: ClassVar[str] = "invalid-settings"
    source: str
    key: str
    problem: str
    mend: str
    further_problems: int = 0

    def describe(self) -> str:
        """Return one line: file, key, problem and remedy."""
        line = f"{self.source}: {self.key}: {self.problem}; {self.mend}"
        if self.further_problems:
            line += f" ({self.further_problems} more)"
        return " ".join(line.split())
