"""Assembles requests from HTTP/3 events, and rejects malformed ones (sans-IO).

A request is run only once its body is complete: so a slow upload holds no slot of the backend,
and a ticket can be bound to the body. The size of each body and of all bodies together is
bounded.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from http import HTTPStatus

from jasperwalk.agent.answers import LocalAnswer, not_run_answer, rejected_answer
from jasperwalk.agent.http3 import (
    HeaderList,
    RequestCancelled,
    RequestData,
    RequestEvent,
    RequestHeaders,
    StreamReference,
)
from jasperwalk.agent.requests import (
    HeaderFields,
    NotRun,
    NotRunReason,
    Request,
    caller_deadline_ms,
)

MAX_BODY_BYTES = 2 * 1024 * 1024
"""Longest body of a request; it fits into one frame of a relay connection."""
MAX_BUFFERED_BYTES = 64 * 1024 * 1024
"""Bytes of all bodies that are being assembled."""
MAX_LENGTH_DIGITS = 20
"""Digits of a `content-length` that are read."""

FIELD_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9a-z]+")
FIELD_VALUE = re.compile(r"[^\x00\r\n]*")
TARGET = re.compile(r"/[!\"$-~]*")
AUTHORITY = re.compile(r"[A-Za-z0-9.\-_:\[\]]*")
METHOD = re.compile(r"[A-Z]{1,20}")


@dataclass(frozen=True, slots=True)
class RequestReady:
    """A request has arrived completely."""

    stream: StreamReference
    request: Request


@dataclass(frozen=True, slots=True)
class RequestRejected:
    """A request is not acceptable and did not run."""

    stream: StreamReference
    answer: LocalAnswer


Assembled = RequestReady | RequestRejected | RequestCancelled


@dataclass(slots=True)
class _PartialRequest:
    method: str
    path: str
    authority: str
    headers: HeaderFields
    body: bytearray = field(default_factory=bytearray)


class RequestAssembler:
    """Collects heads and bodies of requests until they are complete."""

    def __init__(self, name: str) -> None:
        """`name` is the prefix of request IDs, unique to this start of the agent."""
        self._name = name
        self._count = 0
        self._partial: dict[StreamReference, _PartialRequest] = {}
        self._buffered = 0

    def handle(self, event: RequestEvent, default_deadline_ms: int) -> list[Assembled]:
        """Handle one event; return the requests that it completes, rejects or cancels."""
        match event:
            case RequestHeaders(stream=stream, headers=headers, ended=ended):
                return self._start_request(stream, headers, ended, default_deadline_ms)
            case RequestData(stream=stream, data=data, ended=ended):
                return self._append_body(stream, data, ended, default_deadline_ms)
            case RequestCancelled(stream=stream):
                self._discard(stream)
                return [event]

    def _start_request(
        self, stream: StreamReference, headers: HeaderList, ended: bool, deadline_ms: int
    ) -> list[Assembled]:
        partial = _parse(headers)
        if partial is None:
            answer = rejected_answer(
                HTTPStatus.BAD_REQUEST, "malformed-request", "The request is malformed."
            )
            return [RequestRejected(stream, answer)]
        if _announced_length(partial.headers) > MAX_BODY_BYTES:
            return [RequestRejected(stream, _too_large_answer())]
        self._partial[stream] = partial
        return self._finish(stream, deadline_ms) if ended else []

    def _append_body(
        self, stream: StreamReference, data: bytes, ended: bool, deadline_ms: int
    ) -> list[Assembled]:
        partial = self._partial.get(stream)
        if partial is None:  # rejected before: the rest of the body is ignored
            return []
        if len(partial.body) + len(data) > MAX_BODY_BYTES:
            self._discard(stream)
            return [RequestRejected(stream, _too_large_answer())]
        if self._buffered + len(data) > MAX_BUFFERED_BYTES:
            self._discard(stream)
            return [RequestRejected(stream, not_run_answer(NotRun(NotRunReason.BODY_BUDGET)))]
        partial.body += data
        self._buffered += len(data)
        return self._finish(stream, deadline_ms) if ended else []

    def _finish(self, stream: StreamReference, default_deadline_ms: int) -> list[Assembled]:
        partial = self._partial[stream]
        self._discard(stream)
        self._count += 1
        deadline_ms = caller_deadline_ms(partial.headers)
        request = Request(
            request_id=f"{self._name}-{self._count}",
            method=partial.method,
            path=partial.path,
            authority=partial.authority,
            headers=partial.headers,
            body=bytes(partial.body),
            deadline_ms=default_deadline_ms if deadline_ms is None else deadline_ms,
            deadline_by_caller=deadline_ms is not None,
        )
        return [RequestReady(stream, request)]

    def _discard(self, stream: StreamReference) -> None:
        partial = self._partial.pop(stream, None)
        if partial is not None:
            self._buffered -= len(partial.body)


def _too_large_answer() -> LocalAnswer:
    title = f"The body is longer than {MAX_BODY_BYTES} bytes."
    return rejected_answer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body-too-large", title)


def _announced_length(headers: HeaderFields) -> int:
    """Return the length that `content-length` announces, 0 without a valid one."""
    value = next((value for name, value in headers if name == "content-length"), "")
    return int(value[:MAX_LENGTH_DIGITS]) if value.isascii() and value.isdigit() else 0


def _parse(headers: HeaderList) -> _PartialRequest | None:
    pseudo: dict[str, str] = {}
    fields: HeaderFields = []
    cookies: list[str] = []
    for raw_name, raw_value in headers:
        name, value = raw_name.decode("latin-1"), raw_value.decode("latin-1")
        if name.startswith(":"):
            pseudo[name] = value
            continue
        if not FIELD_NAME.fullmatch(name) or not FIELD_VALUE.fullmatch(value):
            return None
        if name == "cookie":
            cookies.append(value)
            continue
        fields.append((name, value))
    if cookies:  # HTTP/3 may split the field, HTTP/1.1 may not (RFC 9114, 4.2.1)
        fields.append(("cookie", "; ".join(cookies)))
    method, path = pseudo.get(":method", ""), pseudo.get(":path", "")
    authority = pseudo.get(":authority", "")
    well_formed = (
        METHOD.fullmatch(method) and TARGET.fullmatch(path) and AUTHORITY.fullmatch(authority)
    )
    if not well_formed or method == "CONNECT":
        return None
    return _PartialRequest(method, path, authority, fields)
