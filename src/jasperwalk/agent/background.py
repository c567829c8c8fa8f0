"""Background loops of an agent; each runs until it is cancelled."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from jasperwalk.agent.backend import Backend
from jasperwalk.agent.current_view import CurrentView
from jasperwalk.agent.datagram_port import DatagramPort
from jasperwalk.agent.endpoint import AgentEndpoint
from jasperwalk.agent.graceful_close import GracefulClose
from jasperwalk.agent.health import BackendHealth
from jasperwalk.distribution.runner import FollowerRunner

STATE_REPORT_INTERVAL_SECONDS = 0.1
"""Interval at which the state is reported to the follower and the incarnation is read."""
MOVE_POLL_SECONDS = 0.1
RENEWAL_PAUSE_SECONDS = 0.02
KEY_REPORT_INTERVAL_SECONDS = 0.5
"""Interval at which the oldest keys in use are determined and reported."""
MONITOR_WITHOUT_SERVICE_SECONDS = 1.0


async def monitor_backend(backend: Backend, health: BackendHealth, current: CurrentView) -> None:
    """Request the backend's health path at the interval configured for the service."""
    while True:
        service = current.get().service
        if service is None:
            await asyncio.sleep(MONITOR_WITHOUT_SERVICE_SECONDS)
            continue
        monitor = service.health_monitor
        if await backend.check(monitor.path, monitor.timeout_ms / 1000):
            health.monitor_succeeded()
        else:
            health.monitor_failed()
        await asyncio.sleep(monitor.interval_ms / 1000)


async def exchange_state(
    follower: FollowerRunner,
    endpoint: AgentEndpoint,
    health: BackendHealth,
    current: CurrentView,
    clock: Callable[[], float],
) -> None:
    """Report health and open flows to the follower; read its incarnation and freshness."""
    while True:
        view = current.get()
        healthy = health.healthy(clock())
        follower.healthy = healthy and not view.stopping and not view.removed
        follower.open_flows = endpoint.open_flows
        endpoint.table_fresh = follower.fresh()
        # The incarnation arrives with a heartbeat, not with a change of the table.
        current.set_incarnation(follower.incarnation)
        await asyncio.sleep(STATE_REPORT_INTERVAL_SECONDS)


async def apply_moves(current: CurrentView, graceful_close: GracefulClose) -> None:
    """Switch to the service that this member was moved to, once its open requests have ended.

    The remaining flows are idle; they are closed, which notifies their callers at once.
    """
    while True:
        if current.move_pending:
            await graceful_close.wait_until_idle()
        # The member may have been moved back, or the agent stopped, in the meantime.
        if current.move_pending:
            graceful_close.close_flows()
            current.apply_move()
        await asyncio.sleep(MOVE_POLL_SECONDS)


async def renew_flows(
    follower: FollowerRunner, endpoint: AgentEndpoint, port: DatagramPort
) -> None:
    """Send GOAWAY on open flows, move them to the active keys, and report their oldest keys."""
    maintenance = endpoint.maintenance
    while True:
        while maintenance.renew_some_flows() | maintenance.send_some_go_aways():
            port.schedule()
            await asyncio.sleep(RENEWAL_PAUSE_SECONDS)
        oldest = endpoint.oldest_keys()
        follower.core.connection_id_generation = oldest.connection_id
        follower.core.stateless_reset_generation = oldest.stateless_reset
        await asyncio.sleep(KEY_REPORT_INTERVAL_SECONDS)
