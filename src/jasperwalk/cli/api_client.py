"""Client of control's HTTP API: tries the replicas in turn until a deadline.

A request goes to the next replica when the connection fails, when no response comes, and on any
5xx status. A change carries its change ID, so that resending it is safe: control returns the
first outcome. A request that changes something without a change ID is not resent once it may
have arrived.
"""

from __future__ import annotations

import asyncio
import math
import ssl
from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar

import aiohttp
import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.cli.failures import ChangeOutcomeUnknown, ControlUnreachable, OperationRefused
from jasperwalk.control.problem import Problem
from jasperwalk.transport.certificates import CONTROL_HOST_NAME

ATTEMPT_TIMEOUT_SECONDS = 5.0
"""Time-out of one replica, on top of the wait that the request asks for."""

CONNECT_TIMEOUT_SECONDS = 2.0
INITIAL_PAUSE_SECONDS = 0.2
"""Pause after the first round over all replicas; it doubles with each further round."""

MAX_PAUSE_SECONDS = 2.0
RETRY_AFTER = "Retry-After"

AnswerType = TypeVar("AnswerType")


@dataclass(frozen=True)
class ApiRequest:
    """One request; `wait_seconds` is how long the replica is asked to hold it."""

    method: str
    path: str
    query: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None
    content_type: str = "application/json"
    change_id: str | None = None
    expected_revision: int | None = None
    wait_seconds: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Tell whether it may be resent once it may have arrived."""
        return self.method == "GET" or self.change_id is not None

    def headers(self) -> dict[str, str]:
        """Return the HTTP headers."""
        headers = {"Accept": "application/json, application/problem+json"}
        if self.body is not None:
            headers["Content-Type"] = self.content_type
        if self.change_id is not None:
            headers["Idempotency-Key"] = self.change_id
        if self.expected_revision is not None:
            headers["If-Match"] = f'"{self.expected_revision}"'
        return headers


@dataclass(frozen=True)
class DefiniteAnswer:
    """A response that settles the request: any status below 500."""

    status: int
    body: bytes


@dataclass(frozen=True)
class FailedAttempt:
    """An attempt that did not settle the request; `may_have_run` tells if it may have acted."""

    reason: str
    may_have_run: bool
    retry_after_seconds: float = 0.0


class ApiClient:
    """Talks to the replicas' API end points, in the order given.

    `timeout_seconds` bounds a request over all its attempts, on top of its own wait. With `tls`
    requests are sent over https, and only certificates of control replicas are accepted.
    """

    def __init__(
        self,
        endpoints: Sequence[Endpoint],
        timeout_seconds: float,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._endpoints = list(endpoints)
        self._timeout_seconds = timeout_seconds
        self._tls = tls

    async def call(self, request: ApiRequest, answer_type: type[AnswerType]) -> AnswerType:
        """Send a request and decode its answer.

        Raises `OperationRefused`, `ControlUnreachable` or `ChangeOutcomeUnknown`.
        """
        # Connections are not reused: aiohttp would itself resend on one that has gone stale.
        connector = aiohttp.TCPConnector(force_close=True, ssl=self._tls or True)
        async with aiohttp.ClientSession(connector=connector) as session:
            answer = await self._send_until_answered(session, request)
        if answer.status >= HTTPStatus.BAD_REQUEST:
            raise OperationRefused(problem=_decode_problem(answer))
        try:
            return msgspec.json.decode(answer.body, type=answer_type)
        except msgspec.DecodeError as error:
            failed = FailedAttempt(f"answer not understood: {error}", may_have_run=True)
            raise _unanswered_error(request, [failed], may_have_run=True) from error

    async def _send_until_answered(
        self, session: aiohttp.ClientSession, request: ApiRequest
    ) -> DefiniteAnswer:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._timeout_seconds + request.wait_seconds
        pause_seconds = INITIAL_PAUSE_SECONDS
        may_have_run = False
        while True:
            failures: list[FailedAttempt] = []
            for endpoint in self._endpoints:
                remaining = deadline - loop.time()
                if failures and remaining <= 0:
                    break
                attempt = await self._attempt(session, endpoint, request, remaining)
                if isinstance(attempt, DefiniteAnswer):
                    return attempt
                failures.append(attempt)
                may_have_run = may_have_run or attempt.may_have_run
                if may_have_run and not request.repeatable:
                    raise _unanswered_error(request, failures, may_have_run)
            requested_pause = min(failure.retry_after_seconds for failure in failures)
            pause = max(requested_pause, pause_seconds)
            if loop.time() + pause >= deadline:
                raise _unanswered_error(request, failures, may_have_run)
            await asyncio.sleep(pause)
            pause_seconds = min(2 * pause_seconds, MAX_PAUSE_SECONDS)

    async def _attempt(
        self,
        session: aiohttp.ClientSession,
        endpoint: Endpoint,
        request: ApiRequest,
        remaining: float,
    ) -> DefiniteAnswer | FailedAttempt:
        """Send the request to one replica, for at most `remaining` seconds."""
        total = min(ATTEMPT_TIMEOUT_SECONDS + request.wait_seconds, remaining)
        timeout = aiohttp.ClientTimeout(total=total, sock_connect=CONNECT_TIMEOUT_SECONDS)
        try:
            async with session.request(
                request.method,
                f"{'https' if self._tls else 'http'}://{endpoint}{request.path}",
                params=request.query,
                data=request.body,
                headers=request.headers(),
                timeout=timeout,
                allow_redirects=False,
                server_hostname=CONTROL_HOST_NAME if self._tls else None,
            ) as response:
                body = await response.read()
                return _classify(endpoint, response, body)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return FailedAttempt(
                f"{endpoint}: cannot connect ({_reason(error)})", may_have_run=False
            )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return FailedAttempt(f"{endpoint}: no answer ({_reason(error)})", may_have_run=True)


def _classify(
    endpoint: Endpoint, response: aiohttp.ClientResponse, body: bytes
) -> DefiniteAnswer | FailedAttempt:
    """Separate definite answers from those after which another replica is tried."""
    answer = DefiniteAnswer(status=response.status, body=body)
    if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return answer
    reason = f"{endpoint}: {_decode_problem(answer).detail}"
    if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
        retry_after = _parse_seconds(response.headers.get(RETRY_AFTER, "0"))
        return FailedAttempt(reason, may_have_run=False, retry_after_seconds=retry_after)
    return FailedAttempt(reason, may_have_run=True)


def _unanswered_error(
    request: ApiRequest, failures: Sequence[FailedAttempt], may_have_run: bool
) -> ControlUnreachable | ChangeOutcomeUnknown:
    attempts = tuple(failure.reason for failure in failures)
    if request.method == "GET" or not may_have_run:
        return ControlUnreachable(attempts=attempts)
    return ChangeOutcomeUnknown(change_id=request.change_id, attempts=attempts)


def _decode_problem(answer: DefiniteAnswer) -> Problem:
    try:
        return msgspec.json.decode(answer.body, type=Problem)
    except msgspec.DecodeError:
        detail = f"HTTP status {answer.status} without a problem body"
        return Problem("about:blank", "", answer.status, "unexpected-answer", detail)


def _parse_seconds(text: str) -> float:
    """Parse a Retry-After in seconds; a date or an invalid value counts as 0."""
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    if not math.isfinite(seconds):
        return 0.0
    return max(seconds, 0.0)


def _reason(error: BaseException) -> str:
    if isinstance(error, aiohttp.ClientConnectorError):
        return error.os_error.strerror or str(error.os_error)
    return str(error) or type(error).__name__
