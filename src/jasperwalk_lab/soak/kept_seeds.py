"""Regression seeds: each seed that once failed, with the length of its run and the cause."""

from __future__ import annotations

from pathlib import Path

import msgspec

from jasperwalk_lab.errors import LabSettingsError

KEPT_SEEDS = Path(__file__).resolve().parents[3] / "experiments" / "soak-seeds.txt"
FIELDS = 3


class KeptSeed(msgspec.Struct, frozen=True):
    """A seed that once failed."""

    seed: int
    seconds: float
    cause: str


def read_kept_seeds(path: Path = KEPT_SEEDS) -> list[KeptSeed]:
    """Read `seed | seconds | cause` lines; `#` starts a comment. Raises `LabSettingsError`."""
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines()]
    return [_parse(path, line) for line in lines if line and not line.startswith("#")]


def _parse(path: Path, line: str) -> KeptSeed:
    fields = [field.strip() for field in line.split("|")]
    try:
        return KeptSeed(int(fields[0]), float(fields[1]), fields[FIELDS - 1])
    except (ValueError, IndexError) as error:
        raise LabSettingsError(path, f"not `seed | seconds | cause`: {line[:80]}") from error
