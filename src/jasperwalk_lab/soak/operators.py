"""Stand-in operators: they send configurations and zone orders, also concurrently, and read back.

They record what replicas acknowledged and returned, for the checks.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.soak.history import (
    ConfigurationAcknowledged,
    ConfigurationRead,
    SoakHistory,
    ZoneOrdered,
)
from jasperwalk_lab.soak.http_calls import CallAnswer, HttpCaller
from jasperwalk_lab.soak.wire import CONFIG_PATH, SoakConfiguration, evacuation_path, version_of

ORDER_REPEAT_SECONDS = 6.0
"""How long an order for a zone is repeated without acknowledgement."""
RETRY_SECONDS = (0.05, 0.1, 0.2, 0.4)
MAX_REDIRECTS = 2
CHANGE_PAUSE_SECONDS = (0.5, 2.5)
READ_PAUSE_SECONDS = 0.7
READ_AT_END_SECONDS = 8.0
LOST_ANSWER_SHARE = 0.2
"""Share of acknowledgements that an operator treats as lost, so that it sends the order again."""
OK_STATUS = 200
REDIRECT_STATUS = 307


class Operators:
    """Sends orders to control replicas, each try to a random one, until one acknowledges."""

    def __init__(
        self,
        replicas: list[Endpoint],
        make: Callable[[int], SoakConfiguration],
        clock: Callable[[], float],
        history: SoakHistory,
        rng: random.Random,
    ) -> None:
        """`make` builds the configuration of a given version."""
        self._replicas = replicas
        self._make = make
        self._clock = clock
        self._history = history
        self._rng = rng
        self._version = 0
        self._caller = HttpCaller()

    async def configure(self) -> None:
        """Send the next configuration until it is acknowledged."""
        self._version += self._rng.randint(1, 3)
        version = self._version
        await self._order("PUT", CONFIG_PATH, self._make(version).body(), seconds=1e9)
        self._history.acknowledged.append(ConfigurationAcknowledged(self._clock(), version))

    async def change_configurations(self) -> None:
        """Send configurations until cancelled, sometimes two at once."""
        while True:
            await asyncio.sleep(self._rng.uniform(*CHANGE_PAUSE_SECONDS))
            racing = [self.configure() for _ in range(self._rng.choice((1, 1, 2)))]
            await asyncio.gather(*racing)

    async def read_repeatedly(self) -> None:
        """Read the configuration back from random replicas until cancelled."""
        while True:
            await asyncio.sleep(READ_PAUSE_SECONDS)
            await self._read(self._rng.choice(self._replicas))

    async def read_at_end(self) -> None:
        """Read until a replica answers; record an unanswered read where none does in time."""
        asked_at = self._clock()
        while self._clock() < asked_at + READ_AT_END_SECONDS:
            if await self._read(self._rng.choice(self._replicas)):
                return
            await asyncio.sleep(RETRY_SECONDS[-1])
        self._history.reads.append(ConfigurationRead(asked_at, 0, is_answered=False))

    async def _read(self, replica: Endpoint) -> bool:
        asked_at = self._clock()
        answer = await self._caller.call(replica, "GET", CONFIG_PATH)
        if answer.status == OK_STATUS:
            self._history.reads.append(ConfigurationRead(asked_at, version_of(answer.body)))
        return answer.status == OK_STATUS

    async def drain_zone(self, zone: str, drained: bool) -> None:
        """Order a zone drained or restored, repeated for a limited time until acknowledged."""
        sent_at = self._clock()
        method = "POST" if drained else "DELETE"
        is_acknowledged = await self._order(
            method, evacuation_path(zone), b"", ORDER_REPEAT_SECONDS
        )
        ended_at = self._clock()
        ended = (ended_at, None) if is_acknowledged else (None, ended_at)
        self._history.zones.append(ZoneOrdered(zone, drained, sent_at, *ended))

    async def _order(self, method: str, path: str, body: bytes, seconds: float) -> bool:
        began_at, tries = self._clock(), 0
        while self._clock() < began_at + seconds:
            replica = self._rng.choice(self._replicas)
            answer = await self._follow(replica, method, path, body)
            is_lost = self._rng.random() < LOST_ANSWER_SHARE
            if answer.status == OK_STATUS and not is_lost:
                return True
            await asyncio.sleep(RETRY_SECONDS[min(tries, len(RETRY_SECONDS) - 1)])
            tries += 1
        return False

    async def _follow(self, replica: Endpoint, method: str, path: str, body: bytes) -> CallAnswer:
        answer = await self._caller.call(replica, method, path, body)
        for _ in range(MAX_REDIRECTS):
            if answer.status != REDIRECT_STATUS:
                break
            host, _, rest = answer.location.removeprefix("http://").partition(":")
            port = rest.partition("/")[0]
            answer = await self._caller.call(Endpoint(host, int(port)), method, path, body)
        return answer
