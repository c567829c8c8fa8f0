"""A back end's record of every request that reached it, kept for the history checker."""

from __future__ import annotations

import enum

import msgspec


class RunOutcome(enum.StrEnum):
    """What became of one arrival of a request at a back end."""

    RUNNING = "running"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    EXPIRED = "expired"
    SHED = "shed"


class JournalRecord(msgspec.Struct):
    """One arrival of a request; a shed one did not run, every other outcome did."""

    request_id: str
    service: str
    host: str
    path: str
    outcome: RunOutcome

    @property
    def ran(self) -> bool:
        """Tell whether the request began to run."""
        return self.outcome is not RunOutcome.SHED


class JournalAnswer(msgspec.Struct):
    """Answer of `GET /lab/journal`."""

    records: list[JournalRecord]


class Journal:
    """The records of one back end, in the order of arrival."""

    def __init__(self, service: str, host: str) -> None:
        self._service = service
        self._host = host
        self._records: list[JournalRecord] = []

    def arrived(self, request_id: str, path: str, outcome: RunOutcome) -> JournalRecord:
        """Record an arrival; the caller changes `outcome` of the record when it ends."""
        record = JournalRecord(
            request_id=request_id,
            service=self._service,
            host=self._host,
            path=path,
            outcome=outcome,
        )
        self._records.append(record)
        return record

    def answer(self) -> JournalAnswer:
        """Return every record so far."""
        return JournalAnswer(records=list(self._records))

    def count(self, outcome: RunOutcome) -> int:
        """Return how many records have `outcome`."""
        return sum(record.outcome is outcome for record in self._records)
