"""Counters of a balancer of the datagram plane."""

from __future__ import annotations

from dataclasses import dataclass

from jasperwalk.fleet.flow_searches import SearchCounters


@dataclass(eq=False, repr=False)
class FlowCounters(SearchCounters):
    """Counts since the process started; exported as metrics under the fields' names."""

    packets_carried: int = 0
    packets_malformed: int = 0
    flows_opened: int = 0
    flows_not_opened: int = 0
    open_retries: int = 0
    openings_returned: int = 0
    """New flows that an agent accepted and its host then returned."""
    searches_delegated: int = 0
    searches_unanswered: int = 0
    """Delegated searches whose agent never answered."""
    flows_reset: int = 0
    uploads_waited: int = 0
    """Uploads that waited for capacity on the link."""
    early_packets: int = 0
    """Packets that arrived before the first routes."""
