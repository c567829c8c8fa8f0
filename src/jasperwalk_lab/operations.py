"""The operations that callers request of services, the outcomes of calls, and their record."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from urllib.parse import quote

from jasperwalk_lab import answers


@dataclass(frozen=True)
class Lookup:
    """A short, repeatable lookup."""

    query: str

    method = "GET"
    repeatable = True

    @property
    def path(self) -> str:
        """Return the request path."""
        return f"/lookup?q={quote(self.query)}"

    @property
    def body(self) -> bytes:
        """Return the request body."""
        return b""

    def expected(self, service: str, request_id: str) -> bytes:
        """Return the expected body of the answer."""
        return answers.lookup_body(service, request_id, self.query)


@dataclass(frozen=True)
class Submission:
    """A submission that must run at most once."""

    body: bytes

    method = "POST"
    repeatable = False
    path = "/submit"

    def expected(self, service: str, request_id: str) -> bytes:
        """Return the expected body of the answer."""
        return answers.submission_body(service, request_id, self.body)


@dataclass(frozen=True)
class LongStream:
    """A stream that stays open for `seconds`, with a chunk every `interval_ms`."""

    seconds: float
    interval_ms: float

    method = "GET"
    repeatable = True

    @property
    def path(self) -> str:
        """Return the request path."""
        return f"/stream?seconds={self.seconds}&interval_ms={self.interval_ms}"

    @property
    def body(self) -> bytes:
        """Return the request body."""
        return b""

    def expected(self, service: str, request_id: str) -> bytes:
        """Return the expected body of the answer."""
        chunks = answers.stream_chunks(self.seconds, self.interval_ms)
        return answers.stream_body(service, request_id, chunks)


@dataclass(frozen=True)
class Download:
    """A download of `length` bytes."""

    length: int

    method = "GET"
    repeatable = True

    @property
    def path(self) -> str:
        """Return the request path."""
        return f"/download?bytes={self.length}"

    @property
    def body(self) -> bytes:
        """Return the request body."""
        return b""

    def expected(self, service: str, request_id: str) -> bytes:
        """Return the expected body of the answer."""
        return answers.download_body(service, request_id, self.length)


Operation = Lookup | Submission | LongStream | Download


@dataclass(frozen=True)
class Answered:
    """A complete answer of the service; `host` is the member that served it, if named."""

    status: int
    service: str
    request_id: str
    host: str
    body: bytes


@dataclass(frozen=True)
class NotRun:
    """The answer that the request did not run, with the time after which to retry."""

    retry_after_seconds: float


@dataclass(frozen=True)
class Unknown:
    """The answer that the request may have run."""

    status: int


class BreakReason(enum.StrEnum):
    """Why a call ended without an answer."""

    NOT_CONNECTED = "not-connected"
    CONNECTION_ENDED = "connection-ended"
    STREAM_RESET = "stream-reset"
    STATELESS_RESET = "stateless-reset"
    TIMED_OUT = "timed-out"


@dataclass(frozen=True)
class Broken:
    """A flow that ended without an answer; `host` is the member that served it, if known.

    `heard_at` is when the last part of the answer arrived (seconds), 0 if none did.
    """

    reason: BreakReason
    host: str = ""
    heard_at: float = 0.0


CallOutcome = Answered | NotRun | Unknown | Broken


@dataclass(frozen=True)
class Flow:
    """One connection of a caller: its UDP port, and when it was opened (seconds)."""

    caller_port: int
    opened: float


@dataclass(frozen=True)
class CallRecord:
    """One call: service, operation, times of start and end (seconds), and outcome.

    A resend of a submission is a record of its own with the same `request_id`.
    """

    request_id: str
    service: str
    operation: Operation
    invoked: float
    completed: float
    outcome: CallOutcome
    flow: Flow | None = None


@dataclass
class CallHistory:
    """All calls of a run, in the order of completion."""

    records: list[CallRecord] = field(default_factory=list)

    def add(self, record: CallRecord) -> None:
        """Append one completed call."""
        self.records.append(record)
