"""Answers by the agent itself: problem+json for refusals and unknown outcomes, and tickets."""

from __future__ import annotations

import math
from dataclasses import dataclass
from http import HTTPStatus

import msgspec

from jasperwalk.agent.requests import (
    HOST_HEADER,
    OUTCOME_HEADER,
    HeaderFields,
    NotRun,
    OutcomeKind,
    ResponseSink,
    Unknown,
    UnknownReason,
)

PROBLEM_CONTENT_TYPE = "application/problem+json"


class Problem(msgspec.Struct, frozen=True):
    """Body of a problem+json answer (RFC 9457); `kind` is its stable name."""

    type: str
    title: str
    status: int
    kind: str


class IssuedTicket(msgspec.Struct, frozen=True):
    """Body of the answer with a new ticket; `expires_in` is in seconds."""

    ticket: str
    expires_in: int


@dataclass(frozen=True)
class LocalAnswer:
    """A short answer by the agent itself."""

    status: int
    headers: HeaderFields
    body: bytes

    async def send(self, sink: ResponseSink, host: str) -> None:
        """Send the complete answer to `sink`."""
        length = ("content-length", str(len(self.body)))
        await sink.head(self.status, [*self.headers, length, (HOST_HEADER, host)])
        await sink.data(self.body)
        await sink.end()


def not_run_answer(not_run: NotRun) -> LocalAnswer:
    """Return the answer that the request did not run, with the time of the next attempt."""
    seconds = max(1, math.ceil(not_run.retry_after_ms / 1000))
    title = "The request was not run."
    problem = _problem(HTTPStatus.SERVICE_UNAVAILABLE, not_run.reason, title, OutcomeKind.NOT_RUN)
    problem.headers.append(("retry-after", str(seconds)))
    return problem


def unknown_answer(unknown: Unknown) -> LocalAnswer:
    """Return the answer that the request may have run."""
    status = HTTPStatus.GATEWAY_TIMEOUT
    if unknown.reason is UnknownReason.BACKEND_FAILED:
        status = HTTPStatus.BAD_GATEWAY
    title = "It is unknown whether the request ran."
    return _problem(status, unknown.reason, title, OutcomeKind.UNKNOWN)


def rejected_answer(status: HTTPStatus, kind: str, title: str) -> LocalAnswer:
    """Return the answer that the request is not acceptable and did not run."""
    return _problem(status, kind, title, OutcomeKind.NOT_RUN)


def ticket_answer(ticket: str, expires_in: int) -> LocalAnswer:
    """Return the answer with a new ticket."""
    body = msgspec.json.encode(IssuedTicket(ticket=ticket, expires_in=expires_in))
    headers = [
        ("content-type", "application/json"),
        ("cache-control", "no-store"),
        (OUTCOME_HEADER, OutcomeKind.ANSWERED.value),
    ]
    return LocalAnswer(HTTPStatus.CREATED, headers, body)


def _problem(status: HTTPStatus, kind: str, title: str, outcome: OutcomeKind) -> LocalAnswer:
    problem = Problem(type=f"urn:jasperwalk:{kind}", title=title, status=status, kind=kind)
    headers = [
        ("content-type", PROBLEM_CONTENT_TYPE),
        ("cache-control", "no-store"),
        (OUTCOME_HEADER, outcome.value),
    ]
    return LocalAnswer(status, headers, msgspec.json.encode(problem))
