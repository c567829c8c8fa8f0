"""Result of a balancer's decision on a datagram: forward it, or drop it for a counted reason."""

from __future__ import annotations

import enum

import msgspec


class DropReason(enum.StrEnum):
    """Why a datagram was dropped; the value is the metric's label."""

    OVERSIZED = "oversized"
    BAD_PROXY_HEADER = "bad-proxy-header"
    UNKNOWN_LISTENER = "unknown-listener"
    MALFORMED_PACKET = "malformed-packet"
    SERVER_ONLY_PACKET = "server-only-packet"
    UNROUTABLE_SHORT = "unroutable-short"
    UNROUTABLE_ZERO_RTT = "unroutable-0-rtt"
    UNROUTABLE_HANDSHAKE = "unroutable-handshake"
    SERVICE_MISMATCH = "service-mismatch"
    BAD_AGENT_ADDRESS = "bad-agent-address"
    SHORT_CONNECTION_ID = "short-connection-id"
    SMALL_INITIAL = "small-initial"
    NO_FRESH_TABLE = "no-fresh-table"
    NEW_FLOW_LIMIT = "new-flow-limit"
    NO_MEMBER = "no-member"


SocketAddress = tuple[str, int]
"""Host and port as the socket API takes them."""


class Forward(msgspec.Struct, frozen=True, gc=False):
    """Send `data` to the agent at `destination`.

    `alternative` is another agent that may open the same flow.
    """

    destination: SocketAddress
    data: bytes
    alternative: SocketAddress | None = None


class Outcomes:
    """Results for several datagrams.

    `by_agent` holds the datagrams for each agent in their order. `others` holds those that an
    alternative agent may take as well, and the reasons for drops.
    """

    __slots__ = ("by_agent", "others")

    def __init__(self) -> None:
        self.by_agent: dict[SocketAddress, list[bytes]] = {}
        self.others: list[Forward | DropReason] = []

    def add(self, outcome: Forward | DropReason) -> None:
        """Add the result for one datagram."""
        if isinstance(outcome, Forward) and outcome.alternative is None:
            self.by_agent.setdefault(outcome.destination, []).append(outcome.data)
        else:
            self.others.append(outcome)


class DatagramCounters:
    """Datagrams by class since the start; plain integers, read at each scrape.

    `witnessed` counts datagrams of established flows that went to a substitute because the flow's
    agent is offline.
    """

    __slots__ = ("dropped", "established", "new_flows", "witnessed")

    def __init__(self) -> None:
        self.established = 0
        self.new_flows = 0
        self.witnessed = 0
        self.dropped = dict.fromkeys(DropReason, 0)
