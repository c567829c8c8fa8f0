"""Polls the back ends' load pages, which may lag or mislead."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.backend_core import LoadReport

POLL_SECONDS = 1.0
"""A report a second and host is what control's few kilobytes a second leave room for."""
REQUEST_TIMEOUT_SECONDS = 0.5


class LoadPages:
    """The busy slots that each member told last, by the member's forwarding address."""

    def __init__(self, pages: dict[Endpoint, str]) -> None:
        self._pages = pages
        self.loads: dict[Endpoint, float] = {}

    async def poll_forever(self) -> None:
        """Poll until cancelled; a page that does not answer keeps its last report."""
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
