"""Response sinks: an HTTP/3 stream with back-pressure, and a recorder for tickets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from jasperwalk.agent.endpoint import AgentEndpoint
from jasperwalk.agent.http3 import StreamReference
from jasperwalk.agent.requests import CallerGone, HeaderFields, ResponseSink
from jasperwalk.agent.tickets import StoredAnswer

MAX_UNSENT_BYTES = 65_536
"""Response bytes that may wait for a slow caller before reading from the backend pauses."""


class StreamSink:
    """Writes a response to an HTTP/3 stream and waits while the caller is slow.

    `flush` sends the output of the endpoint. While the sink waits for buffer space it is a member
    of `blocked`, whose owner calls `resume_if_possible` after the caller acknowledged data.
    """

    def __init__(
        self,
        endpoint: AgentEndpoint,
        stream: StreamReference,
        flush: Callable[[], None],
        blocked: set[StreamSink],
    ) -> None:
        self._endpoint = endpoint
        self._stream = stream
        self._flush = flush
        self._blocked = blocked
        self._progress = asyncio.Event()
        self.gone = False
        self.head_sent = False

    async def head(self, status: int, headers: HeaderFields) -> None:
        """Send the head."""
        fields = [(b":status", str(status).encode())]
        fields += [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
        self.head_sent = True
        self._check(self._endpoint.send_headers(self._stream, fields, ended=False))

    async def data(self, data: bytes) -> None:
        """Send a piece of the body, then wait while too much is unacknowledged."""
        self._check(self._endpoint.send_data(self._stream, data, ended=False))
        while not self.gone and self._is_buffer_full():
            await self._wait_for_progress()
        self._check(accepted=True)

    async def end(self) -> None:
        """Send the end of the response."""
        self._check(self._endpoint.send_data(self._stream, b"", ended=True))

    def resume_if_possible(self) -> None:
        """Resume sending if there is buffer space again."""
        if not self._is_buffer_full():
            self._progress.set()

    def cancel(self) -> None:
        """Record that the caller is gone, and wake the response."""
        self.gone = True
        self._progress.set()

    def abort(self) -> None:
        """Reset a response that can't be completed."""
        self._endpoint.abort(self._stream)
        self._flush()

    def _is_buffer_full(self) -> bool:
        return self._endpoint.unsent_bytes(self._stream) > MAX_UNSENT_BYTES

    async def _wait_for_progress(self) -> None:
        self._progress.clear()
        self._blocked.add(self)
        try:
            await self._progress.wait()
        finally:
            self._blocked.discard(self)

    def _check(self, accepted: bool) -> None:
        if not accepted or self.gone:
            raise CallerGone
        self._flush()


class RecordingSink:
    """Records an answer for resends while forwarding it to the first caller.

    The first caller may leave at any time: the request continues and is only recorded.
    """

    def __init__(self, caller: ResponseSink) -> None:
        self._caller: ResponseSink | None = caller
        self.answer: StoredAnswer | None = None

    async def head(self, status: int, headers: HeaderFields) -> None:
        """Record and forward the head."""
        self.answer = StoredAnswer(status, headers)
        if self._caller is not None:
            try:
                await self._caller.head(status, headers)
            except CallerGone:
                self._caller = None

    async def data(self, data: bytes) -> None:
        """Record and forward a piece of the body."""
        if self.answer is not None:
            self.answer.append(data)
        if self._caller is not None:
            try:
                await self._caller.data(data)
            except CallerGone:
                self._caller = None

    async def end(self) -> None:
        """Forward the end."""
        if self._caller is not None:
            try:
                await self._caller.end()
            except CallerGone:
                self._caller = None
