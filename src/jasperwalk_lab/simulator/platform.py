"""The simulated platform's list of machines, which lags behind their true state."""

from __future__ import annotations

import asyncio
from random import Random

from jasperwalk.membership.platform import MachineState, PlatformList, PlatformMachine

LAG_SECONDS = 2.0
"""Maximum age of a fetched list."""


class Platform:
    """All versions of the list with their times; a fetch may return an old one."""

    def __init__(self, machines: list[PlatformMachine], random: Random) -> None:
        self._versions: list[tuple[float, PlatformList]] = []
        self._machines = {machine.host: machine for machine in machines}
        self._random = random
        self._publish()

    def leave(self, host: str) -> None:
        """Report a machine as leaving."""
        self._set(host, MachineState.LEAVING)

    def stay(self, host: str) -> None:
        """Report a machine as live again."""
        self._set(host, MachineState.LIVE)

    def fetch(self) -> PlatformList:
        """Return the version of the list of a random time within the maximum lag."""
        until = asyncio.get_running_loop().time() - self._random.uniform(0.0, LAG_SECONDS)
        known = [each for at, each in self._versions if at <= until]
        return known[-1] if known else self._versions[0][1]

    def leaving(self) -> list[str]:
        """Return the leaving hosts of the newest version."""
        machines = self._versions[-1][1].machines
        return [each.host for each in machines if each.state is MachineState.LEAVING]

    def _set(self, host: str, state: MachineState) -> None:
        known = self._machines[host]
        self._machines[host] = PlatformMachine(host, known.address, known.zone, state)
        self._publish()

    def _publish(self) -> None:
        version = PlatformList(len(self._versions) + 1, list(self._machines.values()))
        self._versions.append((asyncio.get_running_loop().time(), version))
