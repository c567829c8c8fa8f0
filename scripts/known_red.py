"""A pytest plugin that deselects the tests listed in KNOWN-RED.txt, and prints them.

The list contains tests that fail for a real fault that is not fixed yet: one line each,
`test | cause | issue`, at most three. Lines that start with # are comments. Only exact test IDs
are deselected. Load the plugin with `python -m pytest -p scripts.known_red`; without it, as when a
developer runs one test to fix it, every test runs.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

LIST_PATH = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MAX_ENTRIES = 3
SEPARATOR = " | "
FIELDS = 3


class KnownRedListError(pytest.UsageError):
    """The list is malformed or too long."""


@dataclass(frozen=True)
class KnownRed:
    """One listed test: its pytest ID, the cause of its failure, and the issue."""

    test: str
    cause: str
    issue: str


def parse_list(text: str) -> list[KnownRed]:
    """Parse the list; raise `KnownRedListError` for a malformed or too long one."""
    lines = [line.strip() for line in text.splitlines()]
    entries = [_parse_line(line) for line in lines if line and not line.startswith("#")]
    if len(entries) > MAX_ENTRIES:
        raise KnownRedListError(f"KNOWN-RED.txt lists {len(entries)}; at most {MAX_ENTRIES}")
    return entries


def read_list(path: Path) -> list[KnownRed]:
    """Read the list; a missing file means that no test is known red."""
    if not path.exists():
        return []
    return parse_list(path.read_text(encoding="utf-8"))


def _parse_line(line: str) -> KnownRed:
    fields = line.rsplit(SEPARATOR, FIELDS - 1)
    if len(fields) != FIELDS or not all(field.strip() for field in fields):
        raise KnownRedListError(f"KNOWN-RED.txt: expected `test | cause | issue`, found {line!r}")
    test, cause, issue = (field.strip() for field in fields)
    return KnownRed(test=test, cause=cause, issue=issue)


def pytest_configure(config: pytest.Config) -> None:
    """Read the list before any test is collected, so that a malformed list stops the run."""
    config.stash[ENTRIES] = read_list(LIST_PATH)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect the listed tests."""
    listed = {entry.test for entry in config.stash[ENTRIES]}
    deselected = [item for item in items if item.nodeid in listed]
    if not deselected:
        return
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print each listed test with its cause and issue."""
    for entry in config.stash[ENTRIES]:
        terminalreporter.write_line(
            f"KNOWN RED, not run: {entry.test} - {entry.cause} - {entry.issue}", yellow=True
        )


ENTRIES = pytest.StashKey[list[KnownRed]]()
