"""Samples the agents' own metrics while a load runs."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import aiohttp
import msgspec

from jasperwalk_lab.layout import MemberPlace
from jasperwalk_lab.supervisor import health_url

SAMPLE_SECONDS = 0.25
PREFIX = "jasperwalk_agent_"
REQUEST_TIMEOUT_SECONDS = 1.0


class HostSample(msgspec.Struct, frozen=True):
    """One agent at one moment; `at` in seconds of the monotonic clock."""

    at: float
    host: str
    service: str
    slots_used: float
    queue_length: float
    open_flows: float


class AgentSampler:
    """Asks every agent's metrics four times a second; a silent one gives no sample."""

    def __init__(self, members: Iterable[MemberPlace]) -> None:
        self._members = list(members)
        self.samples: list[HostSample] = []

    async def run(self) -> None:
        """Sample until cancelled."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.gather(*(self._sample(session, each) for each in self._members))
                await asyncio.sleep(SAMPLE_SECONDS)

    async def totals(self) -> dict[str, float]:
        """Return the agents' counters, summed over the agents that answer."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        sums: dict[str, float] = {}
        async with aiohttp.ClientSession(timeout=timeout) as session:
            texts = await asyncio.gather(*(_fetch(session, each) for each in self._members))
        for text in texts:
            for name, value in parse_metrics(text).items():
                if name.endswith("_total"):
                    sums[name] = sums.get(name, 0.0) + value
        return sums

    async def _sample(self, session: aiohttp.ClientSession, place: MemberPlace) -> None:
        text = await _fetch(session, place)
        values = parse_metrics(text)
        if not values:
            return
        sample = HostSample(
            at=asyncio.get_running_loop().time(),
            host=place.host,
            service=place.service,
            slots_used=values.get("slots_used", 0.0),
            queue_length=values.get("queue_length", 0.0),
            open_flows=values.get("open_flows", 0.0),
        )
        self.samples.append(sample)


async def _fetch(session: aiohttp.ClientSession, place: MemberPlace) -> str:
    try:
        async with session.get(health_url(place.admin, "/metrics")) as response:
            return await response.text()
    except (aiohttp.ClientError, TimeoutError):
        return ""


def parse_metrics(text: str) -> dict[str, float]:
    """Return the agent's values by name and labels, without the common prefix."""
    values: dict[str, float] = {}
    for line in text.splitlines():
        if line.startswith(PREFIX):
            name, _, value = line.removeprefix(PREFIX).rpartition(" ")
            values[name] = float(value)
    return values
