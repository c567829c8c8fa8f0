"""Prevents a stale copy of an order from reversing a newer order.

Orders to drain or restore a zone carry no number, so only their arrival tells the newer from the
older. An operator without an answer sends an order again, to another replica. The first copy may
be held up in a socket of a suspended replica or behind a lossy link, and arrive after the opposite
order was acknowledged. Its sender has closed that connection by then, and the close arrives right
after the copy. Therefore:

- An order is accepted only while its sender's connection is open.
- An order that reverses a recent one pauses first, so that the close can arrive.
- An order that pauses is refused if its opposite is accepted meanwhile: that one was sent later,
  even where it changes nothing.

Sans-IO; times are in seconds.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

import msgspec

REVERSAL_PAUSE_SECONDS = 0.3
"""Pause of an order that reverses a recent one. Longer than the 0.2 s after which a lost packet is
retransmitted, and shorter than the second for which operators wait for an answer."""


class OrderRefusal(enum.StrEnum):
    """Why an order is not accepted now; the operator sends it again."""

    NOT_SETTLED = "not-settled"
    """Orders that an earlier leader acknowledged may not be applied here yet."""
    CALLER_LEFT = "caller-left"
    """The sender has disconnected: this is a copy of an order that was sent again elsewhere."""
    OVERTAKEN = "overtaken"
    """The opposite order was accepted while this one paused."""


class Leadership(msgspec.Struct, frozen=True):
    """A replica's leadership; `leads_since` is when it saw its term start."""

    term: int
    is_settled: bool
    leads_since: float


class ZoneOrder(msgspec.Struct, frozen=True):
    """An order, its arrival time, and the zone's committed state: None before any order for it."""

    zone: str
    drained: bool
    held: bool | None
    arrived_at: float


@dataclass(eq=False, repr=False)
class StaleOrderGuard:
    """Decides whether orders are accepted, from those that this replica accepted as leader.

    `repeat_seconds` is how long operators repeat an order: a copy may be delayed by as much.
    """

    repeat_seconds: float
    _term: int = 0
    _newest: dict[str, bool] = field(default_factory=dict)
    """Each zone's newest accepted order of this term, committed or not yet."""
    _accepted_at: dict[str, float] = field(default_factory=dict)
    """When that order, or a repetition of it, was last accepted."""

    def pause_seconds(self, order: ZoneOrder, leadership: Leadership, now: float) -> float:
        """Return how long the order pauses before `admit`; 0 where it reverses no recent one."""
        self._enter_term(leadership)
        newest = self._newest.get(order.zone, order.held)
        if newest is None or newest == order.drained:
            return 0.0
        age = now - self._accepted_at.get(order.zone, leadership.leads_since)
        return REVERSAL_PAUSE_SECONDS if age < self.repeat_seconds else 0.0

    def admit(
        self, order: ZoneOrder, leadership: Leadership, caller_waits: bool, now: float
    ) -> OrderRefusal | None:
        """Return why the order is refused, or None where it is accepted and is now the newest."""
        self._enter_term(leadership)
        if not leadership.is_settled:
            return OrderRefusal.NOT_SETTLED
        if not caller_waits:
            return OrderRefusal.CALLER_LEFT
        reverses = self._newest.get(order.zone, order.held) != order.drained
        if reverses and self._accepted_at.get(order.zone, order.arrived_at) > order.arrived_at:
            return OrderRefusal.OVERTAKEN
        self._newest[order.zone] = order.drained
        self._accepted_at[order.zone] = now
        return None

    def _enter_term(self, leadership: Leadership) -> None:
        """Reset in a new term: another leader may have accepted newer orders meanwhile."""
        if leadership.term != self._term:
            self._term = leadership.term
            self._newest.clear()
            self._accepted_at.clear()
