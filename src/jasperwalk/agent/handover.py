"""Where a new flow goes that this agent doesn't take (sans-IO).

The choice is remembered by the Initial's connection ID, so that its retransmissions and the
rest of the caller's first flight follow it to the same agent.
"""

from __future__ import annotations

import random
from collections import OrderedDict

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.service_view import ServiceView
from jasperwalk.errors import InvalidAddress

REMEMBERED_SECONDS = 10.0
MOST_REMEMBERED = 20_000
MOST_HOPS = 1
"""Hand-overs between agents that one datagram may take."""


class Handover:
    """Chooses, and remembers for ten seconds, the agent to which a new flow is handed."""

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._targets: OrderedDict[bytes, tuple[float, Endpoint]] = OrderedDict()

    def remembered(self, connection_id: bytes, now: float) -> Endpoint | None:
        """Return the target chosen for this Initial within the last ten seconds."""
        self._forget(now)
        entry = self._targets.get(connection_id)
        return None if entry is None else entry[1]

    def choose(
        self,
        connection_id: bytes,
        candidates: list[bytes],
        view: ServiceView,
        now: float,
    ) -> Endpoint | None:
        """Choose the second candidate, else any eligible member, and remember it.

        `candidates` are packed end points from the balancer. Returns `None` with no other
        member to hand the flow to.
        """
        target = self._other_candidate(candidates, view) or self._any_member(view)
        if target is not None:
            self._targets[connection_id] = (now + REMEMBERED_SECONDS, target)
        return target

    def _other_candidate(self, candidates: list[bytes], view: ServiceView) -> Endpoint | None:
        eligible = {member.address for member in view.other_members()}
        for packed in candidates:
            try:
                candidate = Endpoint.unpack(packed)
            except InvalidAddress:
                continue
            # A stale balancer may name an agent that now serves another service, so only
            # members in this agent's own table are trusted.
            if candidate in eligible:
                return candidate
        return None

    def _any_member(self, view: ServiceView) -> Endpoint | None:
        members = view.other_members()
        return self._random.choice(members).address if members else None

    def _forget(self, now: float) -> None:
        while self._targets:
            connection_id, (expires_at, _) = next(iter(self._targets.items()))
            if expires_at > now and len(self._targets) <= MOST_REMEMBERED:
                return
            del self._targets[connection_id]
