"""The one failure of settings: a line that names the file, the key and the mend."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from jasperwalk.errors import JasperwalkError

WHOLE_FILE = "-"
"""Stands in the place of a key when the file as a whole is at fault."""


@dataclass(eq=False)
class SettingsError(JasperwalkError):
    """A settings file, or a flag that overrides it, cannot be used.

    `source` is the file's path (or the flag), `key` the dotted key in it or `WHOLE_FILE`,
    `further_problems` the number of other problems found in the same file.
    """

    kind: ClassVar[str] = "invalid-settings"
    source: str
    key: str
    problem: str
    mend: str
    further_problems: int = 0

    def describe(self) -> str:
        """Return one line: file, key, problem and mend."""
        line = f"{self.source}: {self.key}: {self.problem}; {self.mend}"
        if self.further_problems:
            line += f" ({self.further_problems} more)"
        return " ".join(line.split())
