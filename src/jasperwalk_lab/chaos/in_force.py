"""Waits until a change is in force, by asking all current replicas.

The first replica that reports the change as in force everywhere ends the wait. A replica that is
killed, frozen, cut off or behind does not answer so, and does not delay the others' answers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.control_client import InForceView

POLL_INTERVAL_SECONDS = 0.1
WAIT_STEP_MS = 300
"""Time that a replica may delay its answer while the change is not in force."""
ANSWER_TIMEOUT_SECONDS = 1.0
"""Time after which a replica counts as silent in this round of queries."""


class InForceApi(Protocol):
    """The part of the replicas' API that a wait needs."""

    async def in_force(self, replica: Endpoint, change_id: str, wait_ms: int) -> InForceView | str:
        """Ask one replica where a change is in force; a string says why it does not know."""
        ...


@dataclass
class InForceWait:
    """Outcome of a wait: `complete`, and each replica's last answer."""

    complete: bool = False
    last_words: dict[str, str] = field(default_factory=dict)

    def describe(self) -> tuple[str, ...]:
        """Return each replica's last answer."""
        return tuple(f"{replica}: {word}" for replica, word in sorted(self.last_words.items()))


async def wait_in_force(
    api: InForceApi, replicas: Callable[[], Iterable[Endpoint]], change_id: str, seconds: float
) -> InForceWait:
    """Wait at most `seconds` until any replica reports the change in force everywhere."""
    wait = InForceWait()
    try:
        async with asyncio.timeout(seconds):
            while not await _ask_all(api, list(replicas()), change_id, wait):
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
    except TimeoutError:
        return wait
    wait.complete = True
    return wait


async def _ask_all(
    api: InForceApi, replicas: list[Endpoint], change_id: str, wait: InForceWait
) -> bool:
    """Ask all replicas at once; return True as soon as one reports the change in force."""
    queries = [asyncio.create_task(_ask(api, each, change_id, wait)) for each in replicas]
    try:
        for answer in asyncio.as_completed(queries):
            if await answer:
                return True
        return False
    finally:
        for query in queries:
            query.cancel()
        await asyncio.gather(*queries, return_exceptions=True)


async def _ask(api: InForceApi, replica: Endpoint, change_id: str, wait: InForceWait) -> bool:
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            view = await api.in_force(replica, change_id, WAIT_STEP_MS)
    except TimeoutError:
        view = "silent"
    if isinstance(view, str):
        wait.last_words[str(replica)] = view
        return False
    wait.last_words[str(replica)] = f"not in force on {', '.join(view.laggards) or 'all, yet'}"
    return view.complete
