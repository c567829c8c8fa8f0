"""Timer for searches and new flows: runs only while something is pending."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from jasperwalk.flows.sockets import DatagramSocket

TICK_SECONDS = 0.02


class SearchTimer:
    """Calls `tick` with the time while `has_pending`, after all arrived frames were read."""

    def __init__(
        self,
        frames: DatagramSocket,
        has_pending: Callable[[], bool],
        tick: Callable[[float], None],
    ) -> None:
        self._frames = frames
        self._has_pending = has_pending
        self._tick = tick
        self._is_scheduled = False

    def ensure_scheduled(self) -> None:
        """Schedule the next tick if anything is pending; call after each event."""
        if not self._is_scheduled and self._has_pending():
            self._is_scheduled = True
            asyncio.get_running_loop().call_later(TICK_SECONDS, self._on_timer)

    def _on_timer(self) -> None:
        self._is_scheduled = False
        # An answer that was not read yet must not count as missing.
        if self._frames.read_pending():
            self._tick(time.monotonic())
        self.ensure_scheduled()
