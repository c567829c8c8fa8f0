"""What a balancer of the datagram plane counts."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class FlowCounters:
    """What the balancer did since it started."""

    packets_carried: int = 0
    packets_malformed: int = 0
    replies_malformed: int = 0
    flows_opened: int = 0
    flows_not_opened: int = 0
    open_retries: int = 0
    searches: int = 0
    searches_confirming: int = 0
    """Searches that began by asking several agents which of them has the flow."""
    searches_found: int = 0
    searches_given_up: int = 0
    flows_reset: int = 0
    early_packets: int = 0
    """Packets that came before the first routes."""
