"""Polls the load pages of the backends, whose values may be stale or wrong."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.backend_core import LoadReport

POLL_SECONDS = 1.0
"""One report per second and host fits into control's few kilobytes per second."""
REQUEST_TIMEOUT_SECONDS = 0.5


class LoadPages:
    """The busy slots that each member reported last, by the member's forwarding address."""

    def __init__(self, pages: dict[Endpoint, str]) -> None:
        self._pages = pages
        self.loads: dict[Endpoint, float] = {}

    async def poll_forever(self) -> None:
        """Poll until cancelled; the last report of a page that does not answer is kept."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                polls = [self._poll(session, *page) for page in self._pages.items()]
                await asyncio.gather(*polls)
                await asyncio.sleep(POLL_SECONDS)

    async def _poll(self, session: aiohttp.ClientSession, member: Endpoint, url: str) -> None:
        try:
            async with session.get(url) as response:
                report = msgspec.json.decode(await response.read(), type=LoadReport)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
            return
        self.loads[member] = float(report.busy)
