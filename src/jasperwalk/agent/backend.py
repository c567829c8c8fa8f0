"""The HTTP/1.1 client of the backend.

Every request has a TCP connection of its own, which is closed when the request ends, whatever
its outcome. So a late answer can never be mistaken for the answer to another request. A
loopback connection costs little, but a mixed-up answer can't be repaired.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.requests import (
    DEADLINE_HEADER,
    HOST_HEADER,
    NOT_RUN_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    Answered,
    AnswerProgress,
    HeaderFields,
    NotRun,
    NotRunReason,
    Outcome,
    OutcomeKind,
    Request,
    ResponseSink,
    Unknown,
    UnknownReason,
    end_to_end_fields,
)

CONNECT_TIMEOUT_SECONDS = 1.0
READ_BUFFER_BYTES = 32_768
"""Response bytes that are read ahead of a slow caller."""
MAX_HEADER_FIELD_BYTES = 16_384
MAX_RETRY_AFTER_DIGITS = 5
DEFAULT_RETRY_AFTER_MS = 1000
AUTOMATIC_CLIENT_FIELDS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
"""Fields that aiohttp would add by itself."""


class Backend:
    """Runs requests on one backend. `host` is the member's name, which is shown to callers."""

    def __init__(self, endpoint: Endpoint, host: str, clock: Callable[[], float]) -> None:
        self._endpoint = endpoint
        self._host = host
        self._clock = clock
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=AUTOMATIC_CLIENT_FIELDS,
            read_bufsize=READ_BUFFER_BYTES,
            max_field_size=MAX_HEADER_FIELD_BYTES,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS),
            middlewares=(_send_once,),
        )

    async def close(self) -> None:
        """Close the client."""
        await self._session.close()

    async def run(
        self,
        request: Request,
        deadline_at: float,
        sink: ResponseSink,
        on_head: Callable[[], None],
    ) -> Outcome:
        """Run one request and forward its answer to `sink`; call `on_head` when its head arrived.

        Cancelling the task closes the connection, which signals the backend to stop.
        """
        progress = AnswerProgress()
        try:
            async with asyncio.timeout(deadline_at - self._clock()) as timeout:
                return await self._exchange(request, deadline_at, sink, on_head, progress, timeout)
        except TimeoutError:
            return Unknown(UnknownReason.DEADLINE, head_sent=progress.head_sent)
        except (aiohttp.ClientError, OSError):
            return Unknown(UnknownReason.BACKEND_FAILED, head_sent=progress.head_sent)

    async def check(self, path: str, timeout_seconds: float) -> bool:
        """Request the health path; return whether the backend reports itself healthy."""
        url = URL.build(scheme="http", host=self._endpoint.host, port=self._endpoint.port)
        try:
            async with asyncio.timeout(timeout_seconds):
                async with self._session.get(url.with_path(path)) as response:
                    return response.status == HTTPStatus.OK
        except (TimeoutError, aiohttp.ClientError, OSError):
            return False

    async def _exchange(
        self,
        request: Request,
        deadline_at: float,
        sink: ResponseSink,
        on_head: Callable[[], None],
        progress: AnswerProgress,
        timeout: asyncio.Timeout,
    ) -> Outcome:
        try:
            response = await self._send(request, deadline_at)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            # No connection was established, so no byte of the request was sent.
            return NotRun(NotRunReason.BACKEND_UNREACHABLE)
        try:
            if _is_refusal(response):
                return NotRun(NotRunReason.SHEDDING, _retry_after_ms(response))
            if not request.deadline_by_caller:
                timeout.reschedule(None)
            on_head()
            return await self._forward_response(response, sink, progress)
        finally:
            response.close()

    async def _send(self, request: Request, deadline_at: float) -> aiohttp.ClientResponse:
        """Send a request; return the answer once its head has arrived."""
        return await self._session.request(
            request.method,
            self._url(request),
            headers=self._request_fields(request, deadline_at),
            data=request.body or None,
            allow_redirects=False,
        )

    async def _forward_response(
        self, response: aiohttp.ClientResponse, sink: ResponseSink, progress: AnswerProgress
    ) -> Outcome:
        progress.head_sent = True
        await sink.head(response.status, self._response_fields(response))
        async for chunk in response.content.iter_any():
            await sink.data(chunk)
        await sink.end()
        return Answered(response.status)

    def _url(self, request: Request) -> URL:
        origin = f"http://{self._endpoint}"
        return URL(origin + request.path, encoded=True)

    def _request_fields(self, request: Request, deadline_at: float) -> CIMultiDict[str]:
        fields = CIMultiDict(end_to_end_fields(request.headers))
        fields.popall("content-length", None)
        fields["host"] = request.authority or str(self._endpoint)
        fields[REQUEST_ID_HEADER] = request.request_id
        if request.deadline_by_caller:
            remaining_ms = max(1, int((deadline_at - self._clock()) * 1000))
            fields[DEADLINE_HEADER] = str(remaining_ms)
        return fields

    def _response_fields(self, response: aiohttp.ClientResponse) -> HeaderFields:
        fields = end_to_end_fields(list(response.headers.items()))
        if response.method == "HEAD" or response.status == HTTPStatus.NOT_MODIFIED:
            # The length is that of a body that is not sent; some callers take this for truncation.
            fields = [(name, value) for name, value in fields if name != "content-length"]
        fields.append((OUTCOME_HEADER, OutcomeKind.ANSWERED))
        fields.append((HOST_HEADER, self._host))
        return fields


class _ExchangeBroken(aiohttp.ClientError):
    """The connection to the backend ended before the head of the answer."""


async def _send_once(
    request: aiohttp.ClientRequest, send: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep aiohttp from repeating idempotent requests by itself (aiohttp middleware).

    It does so after a broken connection, when the backend may already have run the request;
    `tests/agent/test_process.py::test_outcomes` fails if it does.
    """
    try:
        return await send(request)
    except aiohttp.ClientConnectorError:  # no connection was established: nothing is repeated
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _ExchangeBroken from error


def _is_refusal(response: aiohttp.ClientResponse) -> bool:
    if response.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return False
    return response.headers.get(NOT_RUN_HEADER) == "1"


def _retry_after_ms(response: aiohttp.ClientResponse) -> int:
    text = response.headers.get("retry-after", "")
    valid = text.isascii() and text.isdigit() and len(text) <= MAX_RETRY_AFTER_DIGITS
    return int(text) * 1000 if valid else DEFAULT_RETRY_AFTER_MS
