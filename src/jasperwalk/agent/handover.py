"""Decides whether this agent takes a new flow or hands it over to another one (sans-IO).

A balancer that has lost its link to control continues with its last table. So each agent
enforces the newest configuration that it knows, by comparing the revisions of the tables:

- the sender's table is newer than the agent's: the sender's candidates are used;
- the sender's table is older and the agent's is fresh: the agent decides again, as a balancer
  of its own revision would, and takes the flow only if it is a candidate;
- an agent without a free slot hands the flow over once to the other candidate, if that one is
  known to have a free slot;
- whatever the sender's table, an agent whose own table or state says that it accepts no new
  work hands the flow over as long as another member accepts it.

The choice is remembered by the Initial's connection ID, so that the rest of the caller's
first flight is forwarded to the same agent. A caller that still repeats its Initial after
`ANSWER_SECONDS` has received no answer from there: the agent then takes the flow itself or,
if it accepts no new work, tries the other candidate. If the silent target answers later, the
caller stays with whichever agent answered first (RFC 9000, section 7.2).

Loops are bounded: each hand-over increments `hops`, up to `MAX_HOPS`. The second hand-over is
made only by an agent whose table is newer than the first one's, or that remembers its choice.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.service_view import ServiceView
from jasperwalk.agent.slow_start import SlowStart
from jasperwalk.config.table_entries import accepts_new_work
from jasperwalk.errors import InvalidAddress
from jasperwalk.messages.datagrams import ForwardedDatagram
from jasperwalk.routing.candidates import CandidateIndex

REMEMBERED_SECONDS = 10.0
ANSWER_SECONDS = 1.2
"""Time after which a caller that repeats its Initial has had no answer: the target is silent.

Callers may repeat it earlier, and their first flight may be more than one datagram.
"""
MAX_REMEMBERED = 20_000
MAX_HOPS = 2
"""Hand-overs between agents allowed for one datagram."""


@dataclass(frozen=True, slots=True)
class TakeHere:
    """The agent that received the flow takes it."""


@dataclass(frozen=True, slots=True)
class HandOverTo:
    """The flow goes to `target`, with the revision and candidates on which the choice is based."""

    target: Endpoint
    revision: int
    candidates: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Refuse:
    """No agent that this one knows may take the flow."""


Placement = TakeHere | HandOverTo | Refuse


@dataclass(frozen=True, slots=True)
class _RememberedChoice:
    """A flow that was handed over at the time `at` (seconds)."""

    at: float
    chosen: HandOverTo


@dataclass(frozen=True, slots=True)
class PlacementContext:
    """Input of the decision beside the flow.

    `can_accept` tells whether the agent has what it needs to open a flow; `table_fresh`
    whether its table was recently the newest of a quorum; `prefers_peer` whether the load makes
    another member the better place for a flow.
    """

    view: ServiceView
    can_accept: bool
    table_fresh: bool
    prefers_peer: Callable[[Endpoint], bool]


class Handover:
    """Places new flows, and remembers for a limited time those that it handed over."""

    def __init__(self, slow_start: SlowStart) -> None:
        self._slow_start = slow_start
        self._index = CandidateIndex(ServiceView(address=Endpoint("0.0.0.0", 0)))
        self._remembered: OrderedDict[bytes, _RememberedChoice] = OrderedDict()

    def view_changed(self, view: ServiceView) -> None:
        """Apply a new revision of the service's members."""
        self._index.table_changed(view)

    def remembered(self, connection_id: bytes, now: float) -> HandOverTo | None:
        """Return the choice for this Initial; None if unknown, or without an answer in time."""
        self._discard_expired(now)
        handed = self._remembered.get(connection_id)
        if handed is None or now - handed.at >= ANSWER_SECONDS:
            return None
        return handed.chosen

    def place(
        self, connection_id: bytes, datagram: ForwardedDatagram, state: PlacementContext, now: float
    ) -> Placement:
        """Place the flow that `datagram`, whose first packet is an Initial, opens."""
        view = state.view
        earlier = self._remembered.pop(connection_id, None)
        silent = None if earlier is None else earlier.chosen.target
        acceptable = state.can_accept and self._accepts(connection_id, datagram, state)
        if acceptable and (silent or not self._prefers_other(connection_id, datagram, state, now)):
            return TakeHere()
        chosen = self._choose_other(connection_id, datagram, view, silent)
        if chosen is not None and _may_hand_over(datagram, view):
            self._remembered[connection_id] = _RememberedChoice(now, chosen)
            return chosen
        # The service of a removed member may be gone, or its listener may now belong to another.
        if not state.can_accept or (view.removed and not acceptable):
            return Refuse()
        return TakeHere()

    def _accepts(
        self, connection_id: bytes, datagram: ForwardedDatagram, state: PlacementContext
    ) -> bool:
        view = state.view
        if view.stopping:
            return False
        if datagram.revision > view.revision and view.address.pack() in datagram.candidates:
            return True
        if view.removed or view.member is None or not accepts_new_work(view.member):
            return False
        if datagram.revision < view.revision and state.table_fresh:
            return view.address in self._candidates(connection_id, view)
        return True

    def _prefers_other(
        self, connection_id: bytes, datagram: ForwardedDatagram, state: PlacementContext, now: float
    ) -> bool:
        # A flow that was handed over stays: two cold or busy agents would only exchange flows.
        if datagram.hops > 0 or state.view.service is None:
            return False
        seconds = state.view.service.limits.slow_start_ms / 1000
        if self._slow_start.diverts(connection_id, seconds, now):
            return True
        other = self._choose_other(connection_id, datagram, state.view)
        return other is not None and state.prefers_peer(other.target)

    def _choose_other(
        self,
        connection_id: bytes,
        datagram: ForwardedDatagram,
        view: ServiceView,
        silent: Endpoint | None = None,
    ) -> HandOverTo | None:
        if datagram.revision > view.revision:
            # A newer table may name members that this agent does not know, or no longer knows.
            target = _first_other(_unpack(datagram.candidates), view.address, silent)
            if target is not None:
                return HandOverTo(target, datagram.revision, tuple(datagram.candidates))
        candidates = self._candidates(connection_id, view)
        target = _first_other(candidates, view.address, silent)
        if target is None:
            return None
        packed = tuple(candidate.pack() for candidate in candidates)
        return HandOverTo(target, view.revision, packed)

    def _candidates(self, connection_id: bytes, view: ServiceView) -> list[Endpoint]:
        if view.service is None:
            return []
        pair = self._index.candidates(view.service.service_id, connection_id)
        if pair is None:
            return []
        prepared_members = (pair.first, pair.second)
        return [
            prepared_member.address
            for prepared_member in prepared_members
            if prepared_member is not None
        ]

    def _discard_expired(self, now: float) -> None:
        while self._remembered:
            connection_id, handed = next(iter(self._remembered.items()))
            expired = now - handed.at >= REMEMBERED_SECONDS
            if not expired and len(self._remembered) <= MAX_REMEMBERED:
                return
            del self._remembered[connection_id]


def _may_hand_over(datagram: ForwardedDatagram, view: ServiceView) -> bool:
    if datagram.hops == 0:
        return True
    return datagram.hops < MAX_HOPS and view.revision > datagram.revision


def _first_other(
    candidates: list[Endpoint], own: Endpoint, silent: Endpoint | None
) -> Endpoint | None:
    """Return the first candidate other than `own`; the silent one only if there is no other."""
    others = [candidate for candidate in candidates if candidate != own]
    return next((other for other in others if other != silent), others[0] if others else None)


def _unpack(candidates: list[bytes]) -> list[Endpoint]:
    try:
        return [Endpoint.unpack(packed) for packed in candidates]
    except InvalidAddress:
        return []
