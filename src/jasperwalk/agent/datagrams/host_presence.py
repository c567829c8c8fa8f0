"""Probes whether any host runs beside an agent that has just started or is about to stop.

After a loss of power the machine of a host that had deregistered starts again for a moment, without
its host. Its agent cannot distinguish that from a silent host by waiting, but by a connection
attempt: no process listens at the host's address, so the machine refuses the connection at once.
"""

from __future__ import annotations

import asyncio

import structlog

from jasperwalk.addresses import Endpoint

CONNECT_TIMEOUT_SECONDS = 0.2
"""Longest wait for the connection; on one machine it is made or refused within a millisecond."""

logger = structlog.get_logger(__name__)


async def is_host_absent(host: Endpoint) -> bool:
    """Tell whether no process listens at the host's address; False where that is uncertain.

    Nothing is sent on the connection. The kernel accepts it also for a host that hangs.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(host.host, host.port)
    except ConnectionRefusedError:
        return True
    except (TimeoutError, OSError) as error:
        logger.info("host-not-looked-at", host=str(host), detail=str(error))
        return False
    writer.transport.abort()
    return False
