"""Requests and their outcomes, as used within the agent, and the rules for header fields."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import ClassVar, Protocol

import msgspec

from jasperwalk.errors import JasperwalkError

HeaderFields = list[tuple[str, str]]

DEADLINE_HEADER = "jasperwalk-deadline-ms"
OUTCOME_HEADER = "jasperwalk-outcome"
HOST_HEADER = "jasperwalk-host"
REQUEST_ID_HEADER = "jasperwalk-request-id"
NOT_RUN_HEADER = "jasperwalk-not-run"
TICKET_HEADER = "idempotency-key"
JASPERWALK_HEADER_PREFIX = "jasperwalk-"
MAX_DEADLINE_MS = 24 * 3600 * 1000

HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class OutcomeKind(enum.StrEnum):
    """Kind of a request's outcome; the value of the response header `jasperwalk-outcome`."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class NotRunReason(enum.StrEnum):
    """Why a request was refused without having run."""

    QUEUE_FULL = "queue-full"
    DEADLINE_TOO_SHORT = "deadline-too-short"
    WAITED_TOO_LONG = "waited-too-long"
    SHEDDING = "shedding"
    BACKEND_UNREACHABLE = "backend-unreachable"
    DRAINING = "draining"
    NO_SERVICE = "no-service"
    BODY_BUDGET = "body-budget"
    TICKETS_FULL = "tickets-full"
    RELAY_UNREACHABLE = "relay-unreachable"
    SLOT_EXPIRED = "slot-expired"


class UnknownReason(enum.StrEnum):
    """Why it is unknown whether, or with which answer, a request ran."""

    DEADLINE = "deadline"
    BACKEND_FAILED = "backend-failed"
    RELAY_FAILED = "relay-failed"
    TICKET_EXPIRED = "ticket-expired"
    TICKET_HOME_GONE = "ticket-home-gone"
    OUTCOME_NOT_KEPT = "outcome-not-kept"


class Request(msgspec.Struct, frozen=True, array_like=True):
    """One request with its complete body.

    `deadline_ms` is the time left when the request was forwarded. It bounds the complete answer
    if the caller set it (`deadline_by_caller`). The service's default deadline bounds only the
    time to the head of the answer, because streams stay open for hours.
    """

    request_id: str
    method: str
    path: str
    authority: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline_ms: int
    deadline_by_caller: bool

    @property
    def ticket(self) -> str | None:
        """Return the ticket that the request carries, if any."""
        for name, value in self.headers:
            if name == TICKET_HEADER:
                return value
        return None


@dataclass(frozen=True, slots=True)
class Answered:
    """The backend's answer was forwarded completely."""

    status: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was refused and provably did not run."""

    reason: NotRunReason
    retry_after_ms: int = 1000


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run. `head_sent` tells whether part of an answer was sent."""

    reason: UnknownReason
    head_sent: bool = False


Outcome = Answered | NotRun | Unknown


@dataclass(slots=True)
class AnswerProgress:
    """Progress of an answer on its way to the receiver, for an outcome that is `Unknown`."""

    head_sent: bool = False


@dataclass(eq=False)
class CallerGone(JasperwalkError):
    """The receiver of a response is gone; the rest of the response is not needed."""

    kind: ClassVar[str] = "caller-gone"


class ResponseSink(Protocol):
    """Receives one response piece by piece; each call waits while the receiver is slow.

    Every method raises `CallerGone` once the response has no receiver.
    """

    async def head(self, status: int, headers: HeaderFields) -> None:
        """Send the status and the header fields."""

    async def data(self, data: bytes) -> None:
        """Send a piece of the body."""

    async def end(self) -> None:
        """Send the end of the body."""


def end_to_end_fields(headers: HeaderFields) -> HeaderFields:
    """Return the fields without hop-by-hop, `connection`-named and `jasperwalk-*` fields."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    kept: HeaderFields = []
    for name, value in headers:
        lower = name.lower()
        if lower in HOP_BY_HOP or lower in named or lower.startswith(JASPERWALK_HEADER_PREFIX):
            continue
        kept.append((lower, value))
    return kept


def caller_deadline_ms(headers: HeaderFields) -> int | None:
    """Return the deadline that the caller set, bounded; `None` without a valid one."""
    for name, value in headers:
        if name != DEADLINE_HEADER or not (value.isascii() and value.isdigit()):
            continue
        if len(value) > len(str(MAX_DEADLINE_MS)):
            return MAX_DEADLINE_MS
        return min(int(value), MAX_DEADLINE_MS)
    return None
