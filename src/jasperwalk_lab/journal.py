"""A backend's record of every request that reached it, kept for the history checker."""

from __future__ import annotations

import enum
import os
import time
from collections.abc import Callable
from pathlib import Path

import msgspec


class RunOutcome(enum.StrEnum):
    """Outcome of one arrival of a request at a backend."""

    RUNNING = "running"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    EXPIRED = "expired"
    SHED = "shed"


class JournalRecord(msgspec.Struct):
    """One arrival of a request; a shed one did not run, every other outcome did.

    `ran_at` is when it started to run, `released_at` when it released its slot and `ended_at`
    when its run ended, in seconds of the machine's monotonic clock, 0 if it did not.
    """

    request_id: str
    service: str
    host: str
    path: str
    outcome: RunOutcome
    ran_at: float = 0.0
    released_at: float = 0.0
    ended_at: float = 0.0

    @property
    def ran(self) -> bool:
        """Return whether the request started to run."""
        return self.outcome is not RunOutcome.SHED


class JournalAnswer(msgspec.Struct):
    """Answer of `GET /lab/journal`."""

    records: list[JournalRecord]


class JournalLine(msgspec.Struct):
    """One line of a journal file: the newest state of record `number` of process `process`."""

    process: int
    number: int
    record: JournalRecord


class JournalFile:
    """Appends each state of each record to a file, so that the journal survives a kill."""

    def __init__(self, path: Path) -> None:
        self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def write(self, number: int, record: JournalRecord) -> None:
        """Append one line in a single write, so that a kill does not truncate it."""
        line = JournalLine(process=os.getpid(), number=number, record=record)
        os.write(self._descriptor, msgspec.json.encode(line) + b"\n")


def read_journal_file(path: Path) -> list[JournalRecord]:
    """Return the last state of every record in the file, over all restarts of the backend."""
    newest: dict[tuple[int, int], JournalRecord] = {}
    for text in path.read_bytes().splitlines():
        line = msgspec.json.decode(text, type=JournalLine)
        newest[line.process, line.number] = line.record
    return list(newest.values())


class Journal:
    """The records of one backend, in the order of arrival; also written to `file` if given."""

    def __init__(
        self,
        service: str,
        host: str,
        file: JournalFile | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._service = service
        self._host = host
        self._file = file
        self._clock = clock
        self._records: list[JournalRecord] = []
        self._numbers: dict[int, int] = {}

    def record_arrival(self, request_id: str, path: str, outcome: RunOutcome) -> JournalRecord:
        """Record an arrival with its initial outcome; `set_outcome` changes it."""
        record = JournalRecord(
            request_id=request_id,
            service=self._service,
            host=self._host,
            path=path,
            outcome=outcome,
        )
        self._numbers[id(record)] = len(self._records)
        self._records.append(record)
        self._write_to_file(record)
        return record

    def set_outcome(self, record: JournalRecord, outcome: RunOutcome) -> None:
        """Change the outcome of an arrival."""
        if outcome is RunOutcome.RUNNING:
            record.ran_at = self._clock()
        else:
            record.ended_at = self._clock()
        record.outcome = outcome
        self._write_to_file(record)

    def _write_to_file(self, record: JournalRecord) -> None:
        if self._file is not None:
            self._file.write(self._numbers[id(record)], record)

    def answer(self) -> JournalAnswer:
        """Return every record so far."""
        return JournalAnswer(records=list(self._records))

    def count(self, outcome: RunOutcome) -> int:
        """Return how many records have `outcome`."""
        return sum(record.outcome is outcome for record in self._records)
