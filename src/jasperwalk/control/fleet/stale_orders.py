"""Keeps an order that arrives late from undoing a newer one.

Orders to drain or restore a zone carry no number, so the order in which they arrive is all that
tells the newer from the older. An operator without an answer sends an order again, to another
replica; the first copy may lie in a socket of a replica that stands still, or behind a link that
loses packets, and come after the opposite order was acknowledged. Its sender has closed that
connection long ago, and the close comes right behind it. So an order counts only while its caller
waits, and one that reverses a new order pauses first, for the close to come. One that pauses is
overtaken by its opposite, which came later, even where that one changes nothing.

Sans-IO; times are seconds.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

import msgspec

REVERSAL_PAUSE_SECONDS = 0.3
"""Pause of an order that reverses a new one: a lost packet comes again after 0.2 s, and operators
wait a second for an answer."""


class OrderRefusal(enum.StrEnum):
    """Why an order does not count now; the operator sends it again."""

    NOT_SETTLED = "not-settled"
    """What an earlier leader has acknowledged may not be applied here yet."""
    CALLER_LEFT = "caller-left"
    """Nobody waits for the answer: a copy that was sent again elsewhere."""
    OVERTAKEN = "overtaken"
    """The opposite order was taken while this one paused."""


class Leadership(msgspec.Struct, frozen=True):
    """A replica's leadership; `leads_since` is when the term began, as far as it knows."""

    term: int
    is_settled: bool
    leads_since: float


class ZoneOrder(msgspec.Struct, frozen=True):
    """An order, when it came, and the zone's committed state: None before any order for it."""

    zone: str
    drained: bool
    held: bool | None
    arrived_at: float


@dataclass(eq=False, repr=False)
class StaleOrderGuard:
    """What one replica knows of the orders that it has taken as a leader.

    `repeat_seconds` is how long operators repeat an order: a copy may be as late as that.
    """

    repeat_seconds: float
    _term: int = 0
    _newest: dict[str, bool] = field(default_factory=dict)
    """Each zone's newest order of this term, committed or not yet."""
    _accepted_at: dict[str, float] = field(default_factory=dict)
    """When that order, or a repetition of it, was taken last."""

    def pause_seconds(self, order: ZoneOrder, leadership: Leadership, now: float) -> float:
        """Return how long the order pauses before `admit`; 0 where it reverses no new one."""
        self._enter_term(leadership)
        newest = self._newest.get(order.zone, order.held)
        if newest is None or newest == order.drained:
            return 0.0
        age = now - self._accepted_at.get(order.zone, leadership.leads_since)
        return REVERSAL_PAUSE_SECONDS if age < self.repeat_seconds else 0.0

    def admit(
        self, order: ZoneOrder, leadership: Leadership, caller_waits: bool, now: float
    ) -> OrderRefusal | None:
        """Return why the order does not count; where it does, None, and it is the newest now."""
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
        """Forget the orders of an earlier term: another leader may have taken newer ones."""
        if leadership.term != self._term:
            self._term = leadership.term
            self._newest.clear()
            self._accepted_at.clear()
