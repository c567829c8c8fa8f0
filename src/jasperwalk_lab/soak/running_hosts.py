"""Starts the stand-in hosts of a soak and finds them by the agents beside them."""

from __future__ import annotations

from collections.abc import Callable

from jasperwalk_lab.soak.history import HostAtEnd
from jasperwalk_lab.soak.hosts import SoakHost

MakeHost = Callable[[str, int, int, bool], SoakHost]
"""Builds the host beside an agent from its number (part of its ID), the count of starts beside this
agent, and whether it starts cold."""


class RunningHosts:
    """The latest host beside each agent; a new host has the next number."""

    def __init__(self, make: MakeHost) -> None:
        self._make = make
        self._numbers: dict[str, int] = {}
        self._generations: dict[str, int] = {}
        self._hosts: dict[str, SoakHost] = {}

    def all(self) -> list[SoakHost]:
        """Return the latest host of each agent."""
        return list(self._hosts.values())

    def descriptions(self) -> list[HostAtEnd]:
        """Return the hosts that are ready now, as the history records them."""
        return [
            HostAtEnd(each.start_id, each.place.service, each.started_at)
            for each in self._hosts.values()
            if each.is_alive and not each.is_draining
        ]

    def beside(self, agent: str) -> SoakHost:
        """Return the host beside an agent."""
        return self._hosts[agent]

    def in_zone(self, zone: str) -> list[SoakHost]:
        """Return the running hosts of a zone."""
        return [each for each in self._hosts.values() if each.is_alive and each.place.zone == zone]

    async def start(self, agent: str, is_cold: bool) -> None:
        """Start a new host there, unless one runs: faults may overlap."""
        self._numbers[agent] = self._numbers.get(agent, 0) + 1
        await self._start(agent, is_cold)

    async def start_again(self, agent: str) -> None:
        """Start the previous host again under its ID, unless one runs."""
        await self._start(agent, is_cold=True)

    async def _start(self, agent: str, is_cold: bool) -> None:
        if agent in self._hosts and self._hosts[agent].is_alive:
            return
        generation = self._generations[agent] = self._generations.get(agent, 0) + 1
        host = self._hosts[agent] = self._make(agent, self._numbers[agent], generation, is_cold)
        await host.start()
