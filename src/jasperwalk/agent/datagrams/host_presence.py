"""Whether any host runs beside an agent that has just started, or is about to stop.

After a loss of power the machine of a host that had left before comes back for a moment, without
its host. Its agent cannot tell that from a host that is merely silent, unless it looks: nobody
listens at the host's address, and the machine itself refuses the connection at once.
"""

from __future__ import annotations

import asyncio

import structlog

from jasperwalk.addresses import Endpoint

CONNECT_TIMEOUT_SECONDS = 0.2
"""Longest wait for the connection; on one machine it stands or is refused within a millisecond."""

logger = structlog.get_logger(__name__)


async def is_host_absent(host: Endpoint) -> bool:
    """Tell whether nothing listens at the host's address; False where that is not sure.

    Nothing is sent on the connection. The kernel connects for a host that stands still.
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
