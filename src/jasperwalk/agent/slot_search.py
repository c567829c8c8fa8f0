"""Decides when a waiting request asks a peer for a slot, and when it pauses (sans-IO).

A request asks one member after the other. After `MAX_CONSECUTIVE_REQUESTS` refusals it pauses,
longer each time, because asking is useless while the service has no free slots. All requests of
an agent share one budget, so that slot requests stay a bounded part of its work at overload.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.peer_slots import PeerSlots
from jasperwalk.config.table_entries import MemberEntry

MAX_CONSECUTIVE_REQUESTS = 3
INITIAL_PAUSE_SECONDS = 0.01
MAX_PAUSE_SECONDS = 0.02
SLOT_REQUESTS_PER_ARRIVAL = 2.0
"""Slot requests that each arrival at the agent adds to the shared budget."""
MAX_SAVED_REQUESTS = 40.0


class SlotRequestBudget:
    """Token bucket that is filled by arrivals, not by time."""

    def __init__(self) -> None:
        self._tokens = MAX_SAVED_REQUESTS

    def earn(self) -> None:
        """Add the tokens of an arrival."""
        self._tokens = min(MAX_SAVED_REQUESTS, self._tokens + SLOT_REQUESTS_PER_ARRIVAL)

    def spend(self) -> bool:
        """Spend a token on one slot request; False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass(frozen=True, slots=True)
class RequestSlot:
    """Request a slot from this member now."""

    member: Endpoint


@dataclass(frozen=True, slots=True)
class Pause:
    """Wait for this many seconds, then decide again."""

    seconds: float


class SlotSearch:
    """The search for a slot for one waiting request."""

    def __init__(self, peers: PeerSlots, budget: SlotRequestBudget) -> None:
        self._peers = peers
        self._budget = budget
        self._asked: set[Endpoint] = set()
        self._pause_seconds = INITIAL_PAUSE_SECONDS

    def next(self, members: Sequence[MemberEntry], now: float) -> RequestSlot | Pause:
        """Return the next step; `members` are those that accept new work."""
        if len(self._asked) < MAX_CONSECUTIVE_REQUESTS:
            member = self._peers.choose(members, self._asked, now)
            if member is not None and self._budget.spend():
                self._asked.add(member)
                return RequestSlot(member)
        self._asked.clear()
        pause = Pause(self._pause_seconds)
        self._pause_seconds = min(2 * self._pause_seconds, MAX_PAUSE_SECONDS)
        return pause
