"""Queries that only the leader can answer, sent from any replica over its peer link."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from jasperwalk.control.control_runner import ControlRunner
from jasperwalk.control.peer_links import PeerNetwork
from jasperwalk.control.peer_messages import (
    AgentsAnswer,
    AgentsQuery,
    InForceAnswer,
    InForceQuery,
    LeaderAnswer,
    LeaderQuery,
)

QUERY_TIMEOUT_SECONDS = 1.0
"""Time-out of the leader's answer; without one the result is reported as unknown."""


class LeaderQueries:
    """Sends queries to the leader and matches its answers to the waiting callers."""

    def __init__(self, runner: ControlRunner, network: PeerNetwork) -> None:
        self._runner = runner
        self._network = network
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[LeaderAnswer]] = {}

    async def in_force(self, revision: int) -> InForceAnswer | None:
        """Query where a revision is in force; None without an answer."""
        answer = await self._ask(lambda number: InForceQuery(number, revision))
        return answer if isinstance(answer, InForceAnswer) else None

    async def agents(self) -> AgentsAnswer | None:
        """Query the state that agents report of themselves; None without an answer."""
        answer = await self._ask(AgentsQuery)
        return answer if isinstance(answer, AgentsAnswer) else None

    def handle_answer(self, answer: LeaderAnswer) -> None:
        """Deliver an answer to its caller, if that still waits."""
        waiting = self._waiting.get(answer.query_number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    async def _ask(self, query_of: Callable[[int], LeaderQuery]) -> LeaderAnswer | None:
        leader_id = self._runner.leader_id
        number = next(self._numbers)
        if leader_id is None or not self._network.send(leader_id, query_of(number)):
            return None
        waiting: asyncio.Future[LeaderAnswer] = asyncio.get_running_loop().create_future()
        self._waiting[number] = waiting
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_SECONDS):
                return await waiting
        except TimeoutError:
            return None
        finally:
            del self._waiting[number]
