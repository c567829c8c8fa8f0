"""A request that waits at an agent for its host: a new flow, or the next request of an open one."""

from __future__ import annotations

import msgspec

from jasperwalk.flows.terms import NO_TERMS, CarriedTerms, carried_terms

NO_GROUP = 0
DEFAULT_TERMS = carried_terms(NO_TERMS, NO_GROUP)
"""Terms of a request whose route names none, or whose balancer sends none."""
MAX_PACKETS = 16
"""Packets that a caller may have in flight on one flow; further ones are copies."""


class WaitingRequest(msgspec.Struct, eq=False):
    """What waits, on whose terms, since when and until when; times are seconds.

    A new flow may be refused, because nothing of it has run. A request of an open flow is never
    refused, because no answer that a balancer or agent can give would tell its caller so.
    """

    key: bytes
    packets: list[bytes]
    """The opening packet, or the request's packets in the order of their numbers."""
    numbers: list[int]
    """Data number of each packet; a copy has the number of the original."""
    terms: CarriedTerms
    opens_flow: bool
    began_at: float
    """When its caller started, as far as its packet tells."""
    arrived_at: float
    expires_at: float

    def answer_deadline(self) -> float:
        """Return by when the caller wants its answer, infinity where no objective is named."""
        objective = self.terms.objective_seconds
        return self.began_at + objective if objective else float("inf")

    def add_packet(self, packet: bytes, number: int) -> bool:
        """Add a further packet of the request; return False for a copy or one beyond the bound."""
        if number in self.numbers or len(self.packets) >= MAX_PACKETS:
            return False
        self.packets.append(packet)
        self.numbers.append(number)
        return True
