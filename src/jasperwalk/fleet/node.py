"""What balancers and agents have in common as nodes."""

from __future__ import annotations

import secrets
from collections.abc import Callable

from jasperwalk.transport.http_messages import HttpHandler

INCARNATION_BITS = 62

ReadinessInterface = Callable[[Callable[[], bool]], HttpHandler]
"""Makes the handler of the fabric's readiness calls from the node's own answer."""


def draw_incarnation() -> int:
    """Draw the number that names this process of a node."""
    return secrets.randbits(INCARNATION_BITS)
