"""Delays the planned stop of an agent while its host still drains.

The host's flows pass through its agent, so an agent that stops first would cut them. It goes on
serving until the host has deregistered, within the grace period of the stop.
"""

from __future__ import annotations

import asyncio

import structlog

from jasperwalk.agent.datagrams.host import HostState

POLL_SECONDS = 0.05
DEREGISTRATION_MARGIN_SECONDS = 1.0
"""Part of the grace period that is reserved for the agent's own stop."""

logger = structlog.get_logger(__name__)


async def wait_for_deregistration(host: HostState, grace_seconds: float) -> None:
    """Return once the host has deregistered or grace runs out; at once if it does not drain."""
    if not host.is_leaving():
        return
    logger.info("stop-waits-for-host", host=host.host_id, grace_seconds=grace_seconds)
    polls = max(0, int((grace_seconds - DEREGISTRATION_MARGIN_SECONDS) / POLL_SECONDS))
    for _ in range(polls):
        if not host.is_leaving():
            break
        await asyncio.sleep(POLL_SECONDS)
    logger.info("stop-goes-on", host=host.host_id, host_left=host.has_left())
