"""A log output that never blocks the process.

A reader that stalls fills the pipe; lines that fit neither into it nor into the buffer are
dropped and counted.
"""

from __future__ import annotations

import os

PENDING_LIMIT_BYTES = 64 * 1024
"""Bytes buffered for a reader that is briefly slow."""


class NonBlockingOutput:
    """A text stream on a file descriptor, for structlog's write logger."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._pending = bytearray()
        self.dropped = 0
        """Number of writes dropped."""

    def write(self, text: str) -> int:
        """Write a line, or drop it when the buffer is full."""
        if len(self._pending) + len(text) > PENDING_LIMIT_BYTES:
            self.dropped += 1
            return len(text)
        self._pending += text.encode()
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write buffered bytes, as far as the reader accepts them."""
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone.
            self._pending.clear()
