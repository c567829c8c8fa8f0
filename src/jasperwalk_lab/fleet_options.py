"""Options of a fleet that are not part of its example."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class FlowPlacement(enum.StrEnum):
    """How balancers place flows; all but `RENDEZVOUS` are `jasperwalk_lab.baselines`."""

    RENDEZVOUS = "rendezvous"
    ROUND_ROBIN = "round-robin"
    LEAST_REPORTED = "least-reported"
    FLOW_TABLE = "flow-table"
    """Each balancer keeps a table of flows and does not read connection IDs."""


@dataclass(frozen=True)
class FleetOptions:
    """Service time of backends in milliseconds, and the variants of dispatching to compare.

    With `service_time_varies` the times are exponentially distributed with mean `service_time_ms`,
    derived from each request ID, so that runs with the same requests have the same work.
    `offline_ms` is the control replicas' setting of that name, None for its default.
    """

    service_time_ms: float = 10.0
    service_time_varies: bool = False
    placement: FlowPlacement = FlowPlacement.RENDEZVOUS
    lend_slots: bool = True
    hand_over_when_busy: bool = True
    offline_ms: int | None = None
    protect_links: bool = True
    """Mutual TLS on internal links; the operators' API stays plain HTTP."""


DEFAULT_OPTIONS = FleetOptions()
