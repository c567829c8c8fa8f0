"""HTTP calls of the stand-ins, with a time-out, on connections that are reused.

A caller reuses an open connection until the other side closes it, so that a process that stops gets
further calls on it meanwhile.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import dataclass

import msgspec

from jasperwalk.addresses import Endpoint

CALL_TIMEOUT_SECONDS = 1.0
"""Time after which a caller of the platform gives up a call."""
MAX_BODY_BYTES = 1 << 20


class CallAnswer(msgspec.Struct, frozen=True):
    """An answer; status 0 means no answer. `location` is the target of a redirect."""

    status: int
    body: bytes = b""
    location: str = ""


NO_ANSWER = CallAnswer(0)


@dataclass(frozen=True)
class IdleConnection:
    """An open connection with no call on it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def is_usable(self) -> bool:
        """Tell whether neither side has closed it."""
        return not self.writer.is_closing() and not self.reader.at_eof()


class HttpCaller:
    """Makes the calls of one stand-in."""

    def __init__(self) -> None:
        self._idle: dict[Endpoint, list[IdleConnection]] = defaultdict(list)

    async def call(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        body: bytes = b"",
        seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> CallAnswer:
        """Make one call; a failure or time-out returns `NO_ANSWER`."""
        try:
            async with asyncio.timeout(seconds):
                return await self._call(endpoint, method, path, body)
        except (TimeoutError, OSError, ValueError, asyncio.IncompleteReadError):
            return NO_ANSWER

    def close(self) -> None:
        """Abort the idle connections."""
        for connections in self._idle.values():
            for each in connections:
                each.writer.transport.abort()
        self._idle.clear()

    async def _connection(self, endpoint: Endpoint) -> IdleConnection:
        idle = self._idle[endpoint]
        while idle:
            connection = idle.pop()
            if connection.is_usable():
                return connection
        reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        return IdleConnection(reader, writer)

    async def _call(self, endpoint: Endpoint, method: str, path: str, body: bytes) -> CallAnswer:
        connection = await self._connection(endpoint)
        try:
            head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
            connection.writer.write(head.encode() + body)
            answer = await _read_answer(connection.reader)
        except BaseException:
            connection.writer.transport.abort()
            raise
        self._idle[endpoint].append(connection)
        return answer


async def _read_answer(reader: asyncio.StreamReader) -> CallAnswer:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
    length = min(int(headers.get("content-length", "0")), MAX_BODY_BYTES)
    body = await reader.readexactly(length)
    return CallAnswer(int(lines[0].split()[1]), body, headers.get("location", ""))
