"""A request that waits for its host: a new flow, or the next request of an open one."""

from __future__ import annotations

import msgspec

from jasperwalk.flows.terms import NO_TERMS, CarriedTerms, carried_terms

NO_GROUP = 0
DEFAULT_TERMS = carried_terms(NO_TERMS, NO_GROUP)
"""Terms of a request whose route names none, or is told none."""
MAX_PACKETS = 16
"""Packets that a caller may have under way on one flow; more are copies."""


class WaitingRequest(msgspec.Struct, eq=False):
    """What waits, for whom, since when and until when; times are seconds.

    A flow that is not open yet may be refused truly: nothing of it has run. A request of an open
    flow is never refused, because no answer that the product can give would tell its caller so.
    """

    key: bytes
    packets: list[bytes]
    """The opening packet, or the request's packets in the order of their numbers."""
    numbers: list[int]
    """Number of the data of each packet; a copy has its first's."""
    terms: CarriedTerms
    opens_flow: bool
    began_at: float
    """When its caller began, as far as its packet tells."""
    arrived_at: float
    expires_at: float

    def answer_deadline(self) -> float:
        """Return when its objective ends, infinity where none is named."""
        objective = self.terms.objective_seconds
        return self.began_at + objective if objective else float("inf")

    def add_packet(self, packet: bytes, number: int) -> bool:
        """Keep a further packet of the request in its place; False for a copy or one too many."""
        if number in self.numbers or len(self.packets) >= MAX_PACKETS:
            return False
        self.packets.append(packet)
        self.numbers.append(number)
        return True
