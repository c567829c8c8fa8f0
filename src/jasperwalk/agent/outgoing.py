"""Output of the agent's QUIC endpoint, to be performed by its adapter."""

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
    """Probe the agent at `address`; the result has to be passed to `AgentEndpoint.probe_ended`."""

    address: Endpoint


Outgoing = ToFabric | ToAgent | ProbeAgent
