"""Framed TCP: a four-byte big-endian length, then that many bytes of payload.

The first frame each way is a `Hello` (see `hello`). Both directions are bounded: the length of
a frame, and the bytes that wait to be sent to a slow reader.
"""

from __future__ import annotations

import asyncio
import contextlib
import ssl
import struct
from typing import TYPE_CHECKING

from jasperwalk.messages import codec
from jasperwalk.transport.errors import (
    CertificateRefused,
    ConnectionLost,
    HelloTimeout,
    OversizedFrame,
    RequestTimeout,
    SendBufferFull,
    TlsFailed,
    TruncatedFrame,
)
from jasperwalk.transport.hello import HELLO_DECODER, Hello, check_hello

if TYPE_CHECKING:
    from jasperwalk.transport.identity import Identity

LENGTH_PREFIX = struct.Struct("!I")

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Maximum payload of a frame, both ways."""

MAX_HELLO_BYTES = 1024
"""Maximum payload of a Hello; bounds the memory that an unidentified sender can claim."""

MAX_SEND_BUFFER_BYTES = 8 * 1024 * 1024
"""Bytes in the send buffer above which `write` refuses."""

HELLO_TIMEOUT_SECONDS = 2.0
"""Time within which each side has to send its Hello."""


ALERT_MARKER = "ALERT"
"""Part of OpenSSL's reasons where the other side sent an alert."""

CERTIFICATE_ALERTS = ("CERTIFICATE", "UNKNOWN_CA")


class FramedConnection:
    """One connection that carries frames; `peer` is the other side's Hello once exchanged.

    `identity` is the process that the other side's certificate names, None without TLS.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._max_frame_bytes = max_frame_bytes
        self._max_received_bytes = max_frame_bytes
        self.peer: Hello | None = None
        self.identity: Identity | None = None

    def limit_received_frames(self, max_frame_bytes: int) -> None:
        """Lower the limit of received frames, where the other side sends only short ones."""
        self._max_received_bytes = max_frame_bytes

    def write(self, payload: bytes) -> None:
        """Queue one frame without waiting.

        Raises `OversizedFrame`, `SendBufferFull` or `ConnectionLost`.
        """
        if len(payload) > self._max_frame_bytes:
            raise OversizedFrame(length=len(payload), limit=self._max_frame_bytes)
        if self._writer.is_closing():
            raise ConnectionLost(reason="closed on this side")
        buffered = self._writer.transport.get_write_buffer_size()
        if buffered > MAX_SEND_BUFFER_BYTES:
            raise SendBufferFull(buffered=buffered, limit=MAX_SEND_BUFFER_BYTES)
        self._writer.write(LENGTH_PREFIX.pack(len(payload)) + payload)

    async def send(self, payload: bytes) -> None:
        """Queue one frame and wait until the send buffer is low; raises as `write` does."""
        self.write(payload)
        try:
            await self._writer.drain()
        except OSError as error:
            raise ConnectionLost(reason=str(error)) from error

    async def receive(self) -> bytes:
        """Return the payload of the next frame.

        Raises `ConnectionLost` when the other side closed between frames, `TruncatedFrame`
        when within one, and `OversizedFrame`.
        """
        return await self._receive(self._max_received_bytes)

    async def receive_request(self, timeout_seconds: float) -> bytes:
        """Return the payload of the next frame; raises `RequestTimeout`, or as `receive` does."""
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self.receive()
        except TimeoutError as error:
            raise RequestTimeout(timeout_seconds=timeout_seconds) from error

    async def _receive(self, limit: int) -> bytes:
        prefix = await self._read_exactly(LENGTH_PREFIX.size, at_frame_start=True)
        (length,) = LENGTH_PREFIX.unpack(prefix)
        if length > limit:
            raise OversizedFrame(length=length, limit=limit)
        return await self._read_exactly(length, at_frame_start=False)

    async def _read_exactly(self, length: int, at_frame_start: bool) -> bytes:
        try:
            return await self._reader.readexactly(length)
        except asyncio.IncompleteReadError as error:
            if at_frame_start and not error.partial:
                raise ConnectionLost(reason="closed by the other side") from error
            raise TruncatedFrame(expected=length, received=len(error.partial)) from error
        except ssl.SSLError as error:
            raise convert_ssl_error(error) from error
        except OSError as error:
            raise ConnectionLost(reason=str(error)) from error

    async def exchange_hello(self, hello: Hello, timeout_seconds: float) -> Hello:
        """Send our Hello, receive and check the other side's, and return it.

        Ours is sent before theirs is checked, so that both sides learn of a mismatch.
        Raises `HelloTimeout`, `UnsupportedVersion`, `WrongCluster`, `MalformedMessage` and
        whatever `send` and `receive` raise.
        A certificate that the other side refuses shows here, as the end of the connection.
        """
        self.write(codec.encode(hello))
        try:
            async with asyncio.timeout(timeout_seconds):
                payload = await self._receive(MAX_HELLO_BYTES)
        except TimeoutError as error:
            raise HelloTimeout(timeout_seconds=timeout_seconds) from error
        self.peer = check_hello(HELLO_DECODER.decode(payload), hello.cluster_id)
        return self.peer

    def abort(self) -> None:
        """Drop the connection at once; unsent data is lost."""
        self._writer.transport.abort()

    async def close(self, timeout_seconds: float = 1.0) -> None:
        """Close after the send buffer is flushed; drop the connection if that takes too long."""
        self._writer.close()
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._writer.wait_closed()
        except (OSError, TimeoutError):
            with contextlib.suppress(OSError):
                self._writer.transport.abort()


def convert_ssl_error(error: ssl.SSLError) -> CertificateRefused | TlsFailed:
    """Convert a failure of OpenSSL into a typed one."""
    if isinstance(error, ssl.SSLCertVerificationError):
        return CertificateRefused(reason=error.verify_message)
    reason = error.reason or str(error)
    if ALERT_MARKER in reason and any(each in reason for each in CERTIFICATE_ALERTS):
        return CertificateRefused(reason=f"this process's own, by the other side ({reason})")
    return TlsFailed(reason=reason)
