"""State of flows in the balancer: which agents were tried for a new flow and what they answered."""

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

    An agent that did not answer in time may still have taken the flow: its answer may be late or
    lost. `answers` keeps these agents, because the caller's next packet decides at which host the
    flow is open.
    """

    packet: bytes
    route: RouteEntry
    service: str
    caller_started_at: float
    """When the caller first tried, by the age that its packet states."""
    arrived_at: float
    deadline: float
    answers: dict[Target, OpeningAnswer] = msgspec.field(default_factory=dict)
    waits: bool = False
    """True if the agent tried last may queue the flow until its host has a free slot."""
    is_final_attempt: bool = False
    """True once no further agent is to be tried."""

    def possible_holders(self) -> list[Target]:
        """Return the agents that were tried and have not refused."""
        refused = OpeningAnswer.REFUSED
        return [target for target, answer in self.answers.items() if answer is not refused]

    def is_accepted(self) -> bool:
        """Tell whether an agent has accepted the flow."""
        return OpeningAnswer.ACCEPTED in self.answers.values()


class Flow(msgspec.Struct, eq=False):
    """An entry of the table of flows; `opening` is None once the caller has followed up."""

    target: Target
    seen_at: float
    opening: Opening | None = None
    is_bulk: bool = False
    """True for an upload, whose packets load the link."""
    is_repeatable: bool = False
    """True where the caller may repeat its requests."""
    terms: CarriedTerms | None = None
    """Terms of its route that its agent gets, None where none are needed."""
