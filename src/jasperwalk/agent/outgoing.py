"""What the agent's QUIC end point asks its adapter to do."""

from __future__ import annotations

from dataclasses import dataclass

from jasperwalk.addresses import Endpoint


@dataclass(frozen=True, slots=True)
class ToFabric:
    """A datagram for the fabric, PROXY v2 header included."""

    data: bytes


@dataclass(frozen=True, slots=True)
class ToAgent:
    """A datagram of the internal protocol for another agent's forwarding port."""

    address: Endpoint
    data: bytes


@dataclass(frozen=True, slots=True)
class ProbeAgent:
    """Ask whether the agent at `address` lives; `AgentEndpoint.probe_ended` takes the answer."""

    address: Endpoint


Outgoing = ToFabric | ToAgent | ProbeAgent
