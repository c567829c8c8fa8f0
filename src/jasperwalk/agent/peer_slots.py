"""Known free slots of the peer agents, and the choice of the peer to ask next (sans-IO).

Free slots are not published. An agent learns about the other members of its service only from
the answers to its own slot requests and from the requests that it receives. So the knowledge
costs nothing while slots are free, and it is as old as the last contact. The load pages of
backends are not used: they may lag or mislead.

Two members are drawn at random by weight (power of two choices; Mitzenmacher 2001), and of
these the one with more known free slots is asked. The random draw keeps agents from all asking
the same idle host.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace

from jasperwalk.addresses import Endpoint
from jasperwalk.config.table_entries import MemberEntry

KNOWLEDGE_TTL_SECONDS = 0.25
"""Time for which a reported number of free slots is used."""
FULL_BACKOFF_SECONDS = 0.02
"""Time for which a member that refused because it had no free slot is not asked again."""
UNREACHABLE_BACKOFF_SECONDS = 2.0
"""Time for which a member that gave no answer is not asked again."""
MEMBERS_DRAWN = 2
"""Members drawn for one slot request."""


@dataclass(frozen=True, slots=True)
class PeerState:
    """Last known state of a member: its free slots, when learned, and until when not to ask it."""

    free_slots: int
    learned_at: float
    avoid_until: float


class PeerSlots:
    """Known states of the other members, by address."""

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._known: dict[Endpoint, PeerState] = {}

    def record_free_slots(self, member: Endpoint, free_slots: int, now: float) -> None:
        """Record a member's free slots, from its answer or from its own slot request."""
        avoid_until = now if free_slots else now + FULL_BACKOFF_SECONDS
        self._known[member] = PeerState(free_slots, now, avoid_until)

    def record_unreachable(self, member: Endpoint, now: float) -> None:
        """Record that a member gave no answer."""
        self._known[member] = PeerState(0, now, now + UNREACHABLE_BACKOFF_SECONDS)

    def keep_only(self, members: Collection[Endpoint]) -> None:
        """Discard the states of all members but `members`."""
        self._known = {each: known for each, known in self._known.items() if each in members}

    def take_known_slot(self, member: Endpoint, now: float) -> bool:
        """Count one of a member's known free slots as used; False if none is known."""
        known = self._known.get(member)
        if known is None or now - known.learned_at >= KNOWLEDGE_TTL_SECONDS or not known.free_slots:
            return False
        self._known[member] = replace(known, free_slots=known.free_slots - 1)
        return True

    def choose(
        self, members: Sequence[MemberEntry], asked: Collection[Endpoint], now: float
    ) -> Endpoint | None:
        """Return the member to ask for a slot, None when no member may be asked now."""
        eligible = [
            each for each in members if each.address not in asked and self._may_ask(each, now)
        ]
        if not eligible:
            return None
        weights = [each.weight for each in eligible]
        drawn = self._random.choices(eligible, weights=weights, k=MEMBERS_DRAWN)
        return max(drawn, key=lambda each: self._expected_slots(each, now)).address

    def _may_ask(self, member: MemberEntry, now: float) -> bool:
        known = self._known.get(member.address)
        return known is None or now >= known.avoid_until

    def _expected_slots(self, member: MemberEntry, now: float) -> float:
        """Return the expected number of free slots: the known one, else half of all slots."""
        known = self._known.get(member.address)
        if known is None or now - known.learned_at >= KNOWLEDGE_TTL_SECONDS:
            return member.slots / 2
        return known.free_slots
