"""Plain HTTP calls of the stand-ins, bounded in time."""

from __future__ import annotations

import asyncio

import msgspec

from jasperwalk.addresses import Endpoint

CALL_SECONDS = 1.0
"""A caller of the platform moves on after a second of silence."""
MOST_BYTES = 1 << 20


class CallAnswer(msgspec.Struct, frozen=True):
    """An answer; status 0 stands for none. `location` is where a redirect leads."""

    status: int
    body: bytes = b""
    location: str = ""


NO_ANSWER = CallAnswer(0)


async def call(
    endpoint: Endpoint, method: str, path: str, body: bytes = b"", seconds: float = CALL_SECONDS
) -> CallAnswer:
    """Make one call on a connection of its own; a failure is an answer without a status."""
    try:
        async with asyncio.timeout(seconds):
            return await _call(endpoint, method, path, body)
    except (TimeoutError, OSError, ValueError, asyncio.IncompleteReadError):
        return NO_ANSWER


async def _call(endpoint: Endpoint, method: str, path: str, body: bytes) -> CallAnswer:
    reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
        length = min(int(headers.get("content-length", "0")), MOST_BYTES)
        answer = await reader.readexactly(length)
        return CallAnswer(int(lines[0].split()[1]), answer, headers.get("location", ""))
    finally:
        writer.transport.abort()
