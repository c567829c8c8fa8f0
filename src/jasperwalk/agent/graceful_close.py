"""Planned closing of all flows of an agent: at a stop, or when it moves to another service."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from jasperwalk.agent.datagram_port import DatagramPort
from jasperwalk.agent.dispatcher import Dispatcher
from jasperwalk.agent.endpoint import AgentEndpoint
from jasperwalk.agent.lender import SlotLender
from jasperwalk.agent.runner import RequestRunner

MAX_DELIVERY_SECONDS = 5.0
"""Time for callers to acknowledge the last answers before their flows are closed."""
IDLE_POLL_SECONDS = 0.1
"""Interval at which the agent checks whether the last request has ended."""


class GracefulClose:
    """Waits until the work in progress is done, then closes the flows. `clock` is in seconds."""

    def __init__(
        self,
        endpoint: AgentEndpoint,
        dispatcher: Dispatcher,
        runner: RequestRunner,
        lender: SlotLender,
        port: DatagramPort,
        clock: Callable[[], float],
    ) -> None:
        self._endpoint = endpoint
        self._dispatcher = dispatcher
        self._runner = runner
        self._lender = lender
        self._port = port
        self._clock = clock

    async def wait_until_idle(self, grace_seconds: float = math.inf) -> bool:
        """Wait until no request is open, and callers have acknowledged the answers or are silent.

        Returns False if that does not happen within `grace_seconds`.
        """
        started_at = self._clock()
        deliver_until = started_at + MAX_DELIVERY_SECONDS
        while True:
            now = self._clock()
            if now - started_at >= grace_seconds:
                return False
            if self._dispatcher.open_requests + self._open_peer_requests():
                deliver_until = now + MAX_DELIVERY_SECONDS
            elif not self._endpoint.has_undelivered_answers or now >= deliver_until:
                return True
            await asyncio.sleep(IDLE_POLL_SECONDS)

    def cancel_requests(self) -> None:
        """Cancel the requests in progress, as the last step of a stop."""
        self._dispatcher.cancel_all()

    def close_flows(self) -> None:
        """Close every flow and notify its caller at once."""
        self._endpoint.close_all()
        self._port.flush()

    def _open_peer_requests(self) -> int:
        """Count the requests in progress that came from other agents."""
        return self._runner.open_relayed + self._lender.open_slots
