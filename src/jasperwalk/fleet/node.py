"""Definitions shared by the nodes of the datagram plane: balancers and agents."""

from __future__ import annotations

import secrets
from collections.abc import Callable

from jasperwalk.transport.http_messages import HttpHandler

INCARNATION_BITS = 62

ReadinessInterface = Callable[[Callable[[], bool]], HttpHandler]
"""Creates the handler of the fabric's readiness calls; its argument tells whether the node is
ready."""


def draw_incarnation() -> int:
    """Draw the random number that identifies this process of a node."""
    return secrets.randbits(INCARNATION_BITS)
