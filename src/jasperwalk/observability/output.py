"""Standard output that never makes the process wait.

A reader that stalls fills the pipe; what does not fit is dropped and counted, and the next
line that is written says how many were lost.
"""

from __future__ import annotations

import os

PENDING_LIMIT_BYTES = 64 * 1024
"""Bytes kept for a reader that is slow for a moment."""


class NonBlockingOutput:
    """A text stream on a file descriptor, for structlog's write logger."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._pending = bytearray()
        self.dropped = 0
        """Writes that were not kept."""

    def write(self, text: str) -> int:
        """Write a line, or drop it."""
        if len(self._pending) + len(text) > PENDING_LIMIT_BYTES:
            self.dropped += 1
            return len(text)
        self._pending += text.encode()
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write what is pending, as far as the reader takes it."""
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more.
            self._pending.clear()
