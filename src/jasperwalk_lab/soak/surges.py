"""Surges of callers: a bounded multiple of the normal load, for some seconds."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.soak.overload import Surge, SurgeScope
from jasperwalk_lab.soak.wire import SoakRoute

SURGE_FACTOR = 5.0
"""Load of a surge as a multiple of the normal load, in addition to it."""
MAX_REQUESTS_PER_SECOND = 400.0
"""Rate that no surge exceeds: the stand-ins share the machine with the processes under test."""
MAX_OUTSTANDING_REQUESTS = 600
"""Requests of a surge that are outstanding at once; further ones are not sent."""

RequestOnce = Callable[[Endpoint, str], Coroutine[Any, Any, None]]
"""Sends one request on a flow of its own, from callers in a zone (empty: anywhere)."""


class SurgeCallers:
    """Starts the requests of surges."""

    def __init__(
        self,
        request_once: RequestOnce,
        routes: Sequence[SoakRoute],
        zones: Sequence[str],
        normal_requests_per_second: float,
        rng: random.Random,
    ) -> None:
        self._request_once = request_once
        self._routes = routes
        self._zones = zones
        self._per_second = min(SURGE_FACTOR * normal_requests_per_second, MAX_REQUESTS_PER_SECOND)
        self._rng = rng

    async def surge(self, surge: Surge, seconds: float) -> None:
        """Send requests at the surge's rate for some seconds; return when all have ended."""
        loop = asyncio.get_running_loop()
        routes, ends_at = self.routes_of(surge), loop.time() + seconds
        running: set[asyncio.Task[None]] = set()
        while loop.time() < ends_at:
            if len(running) < MAX_OUTSTANDING_REQUESTS:
                listener = self._rng.choice(routes).listener
                task = asyncio.create_task(self._request_once(listener, self.zone_of(surge)))
                running.add(task)
                task.add_done_callback(running.discard)
            await asyncio.sleep(self._rng.expovariate(self._per_second))
        await asyncio.gather(*running)

    def routes_of(self, surge: Surge) -> list[SoakRoute]:
        """Return the routes that the requests of a surge use."""
        if surge.scope is not SurgeScope.KIND:
            return list(self._routes)
        return [each for each in self._routes if str(each.priority) == surge.value]

    def zone_of(self, surge: Surge) -> str:
        """Return the zone of a surge's next caller: the surge's zone, or a random one."""
        return surge.value if surge.scope is SurgeScope.ZONE else self._rng.choice(self._zones)
