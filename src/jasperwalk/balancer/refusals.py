"""Agents whose ports were closed a moment ago, as reported by ICMP.

Control marks an agent offline after seconds of silence, and later still while it elects a leader.
Until then every retransmission of a new flow would go to the same candidate, whether it is alive or
not. A refusal is only a hint: for `REFUSAL_SECONDS` new flows go to the other members, as if
control had marked the agent offline. Established flows are not affected.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from jasperwalk.balancer.outcomes import SocketAddress

REFUSAL_SECONDS: Final = 3.0
"""Time for which a refusal counts; then a flow that tries the agent shows whether it is back."""

MAX_REFUSALS: Final = 4_096
"""Refusals kept; a full set is cleared."""


class Refusals:
    """The refusals of the last `REFUSAL_SECONDS`."""

    def __init__(self) -> None:
        self._until: dict[SocketAddress, float] = {}

    def record(self, agent: SocketAddress, now: float) -> None:
        """Record that an agent's machine refused a datagram; `now` is in seconds."""
        if len(self._until) >= MAX_REFUSALS:
            self._until.clear()
        self._until[agent] = now + REFUSAL_SECONDS

    def current(self, now: float) -> Collection[SocketAddress]:
        """Return the agents that refused a datagram within the last `REFUSAL_SECONDS`."""
        if self._until:
            self._until = {agent: until for agent, until in self._until.items() if now < until}
        return self._until
