"""New flows on their way to a host: who was asked, who refused, who may have taken them."""

from __future__ import annotations

import enum

import msgspec

from jasperwalk.fleet.target import Target
from jasperwalk.flows.routes import RouteEntry
from jasperwalk.flows.terms import CarriedTerms


class OpeningAnswer(enum.Enum):
    """What an agent has answered to a new flow."""

    MISSING = "missing"
    ACCEPTED = "accepted"
    REFUSED = "refused"


class Opening(msgspec.Struct, eq=False):
    """A new flow whose caller has not followed up yet. Times are seconds.

    An agent that did not answer in time may have taken the flow all the same: its answer may be
    late, or lost. `answers` remembers that, because the caller decides by its next packet whose
    host the flow is opened at.
    """

    packet: bytes
    route: RouteEntry
    service: str
    caller_started_at: float
    """When the caller began, as far as its packet tells."""
    arrived_at: float
    deadline: float
    answers: dict[Target, OpeningAnswer] = msgspec.field(default_factory=dict)
    waits: bool = False
    """True if the agent asked last may let the flow wait for room."""
    is_final_attempt: bool = False
    """True once no further agent is to be asked."""

    def possible_holders(self) -> list[Target]:
        """Return the agents that were asked and have not refused."""
        refused = OpeningAnswer.REFUSED
        return [target for target, answer in self.answers.items() if answer is not refused]

    def is_accepted(self) -> bool:
        """Tell whether an agent has said that it took the flow."""
        return OpeningAnswer.ACCEPTED in self.answers.values()


class Flow(msgspec.Struct, eq=False):
    """A cached flow; `opening` is None once its caller has followed the first packet up."""

    target: Target
    seen_at: float
    opening: Opening | None = None
    is_bulk: bool = False
    """True for an upload, whose packets load the link."""
    is_repeatable: bool = False
    """True where its requests may be repeated by their caller."""
    terms: CarriedTerms | None = None
    """What its agent is told of its route, None where that needs nothing."""
