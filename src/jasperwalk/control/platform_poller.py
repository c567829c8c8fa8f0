"""Fetches the platform's list of machines at an interval; the newest good one is kept."""

from __future__ import annotations

import asyncio

import aiohttp
import structlog

from jasperwalk.errors import JasperwalkError
from jasperwalk.membership.platform import MAX_LIST_BYTES, PlatformList, parse_platform_list

FETCH_TIMEOUT_SECONDS = 2.0

logger = structlog.get_logger(__name__)


class PlatformPoller:
    """Polls while `enabled` is set; `take` returns each fetched list once.

    Lists fetched before a pause are never returned: a replica that leads again would take a
    host back into service that has been leaving since.
    """

    def __init__(self, url: str, interval_seconds: float) -> None:
        self._url = url
        self._interval_seconds = interval_seconds
        self._latest: PlatformList | None = None
        self._enabled = False
        self.failures = 0

    @property
    def enabled(self) -> bool:
        """Whether the list is wanted now, that is, while this replica leads."""
        return self._enabled

    @enabled.setter
    def enabled(self, enabled: bool) -> None:
        if not enabled:
            self._latest = None
        self._enabled = enabled

    def take(self) -> PlatformList | None:
        """Return the list fetched since the last call, None where there is none."""
        latest = self._latest
        self._latest = None
        return latest

    async def run(self) -> None:
        """Poll until cancelled."""
        timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                if self.enabled:
                    await self._fetch(session)
                await asyncio.sleep(self._interval_seconds)

    async def _fetch(self, session: aiohttp.ClientSession) -> None:
        try:
            async with session.get(self._url) as response:
                response.raise_for_status()
                body = await _read_bounded(response.content)
            fetched = parse_platform_list(body)
            if fetched.unreadable_entries:
                logger.warning(
                    "platform-list-entries-unreadable",
                    url=self._url,
                    entries=fetched.unreadable_entries,
                    of=fetched.unreadable_entries + len(fetched.machines),
                    reason=fetched.first_reason,
                )
            self._latest = fetched if self._enabled else None
        except (aiohttp.ClientError, TimeoutError, OSError, JasperwalkError) as error:
            # The list may be away for a while; what was set before stays in force.
            self.failures += 1
            logger.warning("platform-list-unavailable", url=self._url, detail=str(error))


async def _read_bounded(stream: aiohttp.StreamReader) -> bytes:
    """Read to the end, or to just over the limit, which the parser then refuses."""
    chunks = bytearray()
    async for chunk in stream.iter_any():
        chunks.extend(chunk)
        if len(chunks) > MAX_LIST_BYTES:
            break
    return bytes(chunks)
