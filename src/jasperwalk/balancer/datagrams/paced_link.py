"""Runs a link's pacer on the event loop: a timer only while something waits for the link."""

from __future__ import annotations

import asyncio
import time

from jasperwalk.flows.codec import SocketAddress
from jasperwalk.scheduling.link_pacer import LinkPacer

MIN_PAUSE_SECONDS = 0.008
"""Shortest interval between two releases: each costs processor time on a small machine."""


class PacedLink:
    """Sends through a pacer and releases its backlog."""

    def __init__(self, pacer: LinkPacer) -> None:
        self._pacer = pacer
        self._scheduled = False

    def send(self, datagram: bytes, address: SocketAddress) -> None:
        """Send a small datagram ahead of those of bulk flows."""
        self._pacer.send(datagram, address, time.monotonic())
        self._schedule_release()

    def send_bulk(
        self, flow_key: bytes, number: int, datagram: bytes, address: SocketAddress
    ) -> None:
        """Send a datagram of a bulk flow, or queue it until the link has capacity."""
        self._pacer.send_bulk(flow_key, number, datagram, address, time.monotonic())
        self._schedule_release()

    def _schedule_release(self) -> None:
        pause_seconds = None if self._scheduled else self._pacer.pause()
        if pause_seconds is not None:
            self._scheduled = True
            delay_seconds = max(pause_seconds, MIN_PAUSE_SECONDS)
            asyncio.get_running_loop().call_later(delay_seconds, self._release)

    def _release(self) -> None:
        self._scheduled = False
        self._pacer.release(time.monotonic())
        self._schedule_release()
