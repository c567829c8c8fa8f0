"""Counters of an agent of the datagram plane."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from jasperwalk.flows.frames import RefusalReason


class PriorityCounters:
    """Counts requests by outcome and by the priority of their routes."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, int]] = Counter()

    def count(self, what: str, priority: int) -> None:
        """Count one request."""
        self._counts[what, priority] += 1

    def figures(self) -> dict[str, int]:
        """Return the counts by name."""
        return {
            f"requests_{what}_priority_{priority}": count
            for (what, priority), count in sorted(self._counts.items())
        }


@dataclass(eq=False, repr=False)
class AgentCounters:
    """Counts since the agent started."""

    by_priority: PriorityCounters = field(default_factory=PriorityCounters)
    requests_held: int = 0
    """Requests of open flows that were queued."""
    requests_expired: int = 0
    """Those of them whose limit passed."""
    requests_left: int = 0
    """Those of them that were cancelled because their callers reset the flows."""
    request_copies_absorbed: int = 0
    """Copies of packets of waiting requests."""
    packets_in: int = 0
    packets_out: int = 0
    frames_malformed: int = 0
    host_packets_malformed: int = 0
    flows_accepted: int = 0
    flows_refused: int = 0
    flows_refused_zone_drained: int = 0
    flows_refused_warming_up: int = 0
    flows_refused_slow: int = 0
    """Flows that a slow host would have served too late. Those of balancers that send no terms are
    refused with the reason of a full host and not counted here."""
    flows_waited: int = 0
    flows_waited_in_vain: int = 0
    flows_opened_elsewhere: int = 0
    """Flows that several hosts had answered and whose callers chose another host."""
    packets_returned: int = 0
    other_service_drops: int = 0

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count a refused flow."""
        self.flows_refused += 1
        self.flows_refused_zone_drained += reason is RefusalReason.ZONE_DRAINED
        self.flows_refused_warming_up += reason is RefusalReason.WARMING_UP
        self.flows_refused_slow += reason is RefusalReason.SLOW

    flows_abandoned: int = 0
    """Admitted flows whose callers had left before."""
    requests_answered: int = 0
    """Requests that the host started to answer."""
    requests_broken_off: int = 0
    """Requests whose flow the host reset before it started to answer."""
    requests_unanswered: int = 0
    """Requests that the host did not start to answer within a second."""

    def figures(self) -> dict[str, int]:
        """Return all counts by name."""
        plain = {name: value for name, value in vars(self).items() if isinstance(value, int)}
        return {**plain, **self.by_priority.figures()}
