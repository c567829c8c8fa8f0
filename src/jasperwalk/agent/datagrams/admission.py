"""Whether the host beside an agent takes a new flow now."""

from __future__ import annotations

import math

from jasperwalk.agent.datagrams.host import HostState
from jasperwalk.agent.datagrams.host_response import HostResponse
from jasperwalk.fleet.messages import HostPhase
from jasperwalk.flows.frames import FULL_LOAD_PER_SLOT, RefusalReason

COPIES_PASS = frozenset((RefusalReason.FULL, RefusalReason.RETURNED))
"""Refusals that keep new flows from a host, but not copies of the opening of one that it has."""


def most_requests(capacity: int) -> int:
    """Return how many requests may be under way at a host with this many slots."""
    return math.ceil(FULL_LOAD_PER_SLOT * capacity)


def refusal_of(
    host: HostState, response: HostResponse, busy: int, now: float
) -> RefusalReason | None:
    """Return why a host takes no new flow, None where it does; `busy` counts its requests."""
    if host.phase is HostPhase.DRAINING:
        return RefusalReason.DRAINING
    if host.phase is not HostPhase.READY:
        return RefusalReason.NOT_READY
    if response.refuses(host.announced_at, now):
        return RefusalReason.SILENT
    if response.refuses_after_returns(now):
        return RefusalReason.RETURNED
    if busy >= most_requests(host.capacity):
        return RefusalReason.FULL
    return None
