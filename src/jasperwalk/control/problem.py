"""Maps failures on the operators' interface to problem+json bodies (RFC 9457).

Every failure has a stable `kind`; the table in this module gives its HTTP status. A kind that is
not in the table is an internal error and is answered with 500.
"""

from __future__ import annotations

from dataclasses import dataclass, fields, is_dataclass
from http import HTTPStatus
from typing import Any, ClassVar

import msgspec
from aiohttp import web

from jasperwalk.errors import JasperwalkError

PROBLEM_CONTENT_TYPE = "application/problem+json"
PROBLEM_TYPE_PREFIX = "urn:jasperwalk:problem:"
RETRY_AFTER_SECONDS = 1
"""Value of Retry-After with a 503; elections take one to three seconds."""

STATUS_BY_KIND: dict[str, HTTPStatus] = {
    "bad-request": HTTPStatus.BAD_REQUEST,
    "invalid-address": HTTPStatus.BAD_REQUEST,
    "invalid-identifier": HTTPStatus.BAD_REQUEST,
    "identity-mismatch": HTTPStatus.FORBIDDEN,
    "certificate-without-identity": HTTPStatus.FORBIDDEN,
    "unknown-template": HTTPStatus.NOT_FOUND,
    "unknown-tenant": HTTPStatus.NOT_FOUND,
    "unknown-host": HTTPStatus.NOT_FOUND,
    "unknown-change": HTTPStatus.NOT_FOUND,
    "unknown-path": HTTPStatus.NOT_FOUND,
    "method-not-allowed": HTTPStatus.METHOD_NOT_ALLOWED,
    "conflicting-listener": HTTPStatus.CONFLICT,
    "conflicting-address": HTTPStatus.CONFLICT,
    "change-id-reused": HTTPStatus.CONFLICT,
    "limit-reached": HTTPStatus.CONFLICT,
    "service-ids-exhausted": HTTPStatus.CONFLICT,
    "membership-refused": HTTPStatus.CONFLICT,
    "rotation-in-progress": HTTPStatus.CONFLICT,
    "revision-mismatch": HTTPStatus.PRECONDITION_FAILED,
    "body-too-large": HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    "invalid-template": HTTPStatus.UNPROCESSABLE_ENTITY,
    "invalid-values": HTTPStatus.UNPROCESSABLE_ENTITY,
    "tenant-rendering-failed": HTTPStatus.UNPROCESSABLE_ENTITY,
    "no-leader": HTTPStatus.SERVICE_UNAVAILABLE,
    "overloaded": HTTPStatus.SERVICE_UNAVAILABLE,
    "proposal-lost": HTTPStatus.SERVICE_UNAVAILABLE,
    "stale-replica": HTTPStatus.SERVICE_UNAVAILABLE,
    "outcome-unknown": HTTPStatus.GATEWAY_TIMEOUT,
}
"""HTTP status of each kind of failure."""


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """A problem+json body. `context` holds the failure's own typed fields."""

    type: str
    title: str
    status: int
    kind: str
    detail: str
    change_id: str | None = None
    context: dict[str, Any] | None = None


@dataclass(eq=False)
class BadRequest(JasperwalkError):
    """A request whose headers, query or body are not as documented."""

    kind: ClassVar[str] = "bad-request"
    reason: str

    def describe(self) -> str:
        """Give the reason."""
        return f"bad request: {self.reason}"


@dataclass(eq=False)
class UnknownPath(JasperwalkError):
    """A path that does not exist."""

    kind: ClassVar[str] = "unknown-path"
    path: str

    def describe(self) -> str:
        """Name the path and where all paths are documented."""
        return f"no such path: {self.path}; see /openapi.json"


@dataclass(eq=False)
class MethodNotAllowed(JasperwalkError):
    """A method that the path does not support."""

    kind: ClassVar[str] = "method-not-allowed"
    method: str
    allowed: list[str]

    def describe(self) -> str:
        """Name the methods that the path supports."""
        return f"method {self.method} not allowed; allowed: {', '.join(self.allowed)}"


@dataclass(eq=False)
class BodyTooLarge(JasperwalkError):
    """A body above the limit."""

    kind: ClassVar[str] = "body-too-large"
    limit_bytes: int

    def describe(self) -> str:
        """Name the limit."""
        return f"body is larger than {self.limit_bytes} bytes"


@dataclass(eq=False)
class UnknownChange(JasperwalkError):
    """A change ID without a known outcome."""

    kind: ClassVar[str] = "unknown-change"
    change_id: str

    def describe(self) -> str:
        """Name the change."""
        return f"no outcome is known for change {self.change_id!r}; resend it with the same ID"


@dataclass(eq=False)
class StaleReplica(JasperwalkError):
    """A replica without quorum contact for too long to answer reads."""

    kind: ClassVar[str] = "stale-replica"
    quorum_age_ms: int | None
    leader_id: int | None

    def describe(self) -> str:
        """Say what to do: ask the leader, or accept an old answer."""
        return "this replica may be behind; ask another replica, or add ?stale=true"


def kind_of(failure: object) -> str:
    """Return the stable kind of a failure (an exception or an outcome dataclass)."""
    return str(getattr(failure, "kind", "internal"))


def status_of(kind: str) -> HTTPStatus:
    """Return the HTTP status of a kind of failure."""
    return STATUS_BY_KIND.get(kind, HTTPStatus.INTERNAL_SERVER_ERROR)


def problem_of(failure: object, change_id: str | None = None) -> Problem:
    """Describe a failure as a problem body."""
    kind = kind_of(failure)
    status = status_of(kind)
    return Problem(
        type=PROBLEM_TYPE_PREFIX + kind,
        title=kind.replace("-", " "),
        status=status.value,
        kind=kind,
        detail=_detail_of(failure),
        change_id=change_id,
        context=_context_of(failure),
    )


def problem_response(failure: object, change_id: str | None = None) -> web.Response:
    """Answer a request with a failure; a 503 carries Retry-After."""
    problem = problem_of(failure, change_id)
    response = web.Response(
        body=msgspec.json.encode(problem),
        status=problem.status,
        content_type=PROBLEM_CONTENT_TYPE,
    )
    if problem.status == HTTPStatus.SERVICE_UNAVAILABLE:
        response.headers["Retry-After"] = str(RETRY_AFTER_SECONDS)
    if isinstance(failure, MethodNotAllowed):
        response.headers["Allow"] = ", ".join(failure.allowed)
    return response


def _detail_of(failure: object) -> str:
    describe = getattr(failure, "describe", None)
    if callable(describe):
        return str(describe())
    return kind_of(failure)


def _context_of(failure: object) -> dict[str, Any] | None:
    """Return the failure's own fields as JSON values, None where it has none."""
    if not is_dataclass(failure):
        return None
    context = {
        field.name: msgspec.to_builtins(getattr(failure, field.name), enc_hook=str)
        for field in fields(failure)
    }
    return context or None
