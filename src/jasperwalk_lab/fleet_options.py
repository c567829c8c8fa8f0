"""What an experiment may set in a fleet beyond its example."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class FlowPlacement(enum.StrEnum):
    """How balancers place new flows; all but `RENDEZVOUS` are baselines of the lab."""

    RENDEZVOUS = "rendezvous"
    ROUND_ROBIN = "round-robin"
    LEAST_REPORTED = "least-reported"


@dataclass(frozen=True)
class FleetOptions:
    """Back ends' service time in milliseconds, and the ways of dispatching to compare.

    With `service_time_varies` the times are exponential about `service_time_ms`, drawn from
    each request's identity, so that runs with the same requests have the same work.
    """

    service_time_ms: float = 10.0
    service_time_varies: bool = False
    placement: FlowPlacement = FlowPlacement.RENDEZVOUS
    lend_slots: bool = True
    hand_over_when_busy: bool = True


DEFAULT_OPTIONS = FleetOptions()
