"""UDP sockets of the datagram plane, bound before the rest of the process is loaded.

Most of a process's start-up time goes into loading modules: 0.7 s on a sixth of a processor. A
packet that arrives before the socket is bound is lost, and its sender sends it again after
hundreds of milliseconds or not at all; one that arrives later waits in the kernel. So a process
binds its sockets first, and this module imports almost nothing.
"""

from __future__ import annotations

import contextlib
import socket

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.fleet.settings import AgentNodeSettings, BalancerNodeSettings

RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
"""Requested receive buffer: the packets of one second at 30 Mbit/s."""


class BalancerSockets(msgspec.Struct, frozen=True):
    """A balancer's sockets: for callers' packets, and for frames to and from agents."""

    callers: socket.socket
    frames: socket.socket


class AgentSockets(msgspec.Struct, frozen=True):
    """An agent's sockets: for frames to and from balancers, and for its host's packets."""

    frames: socket.socket
    host_packets: socket.socket


def bind_datagrams(address: str) -> socket.socket:
    """Bind a non-blocking UDP socket to `IPV4:PORT`.

    Raises `InvalidAddress`, or `OSError` where the address is taken or not this machine's.
    """
    endpoint = Endpoint.parse(address)
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    # With a smaller buffer the kernel only drops packets earlier; senders send them again.
    with contextlib.suppress(OSError):
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    bound.bind((endpoint.host, endpoint.port))
    return bound


def bind_balancer(settings: BalancerNodeSettings) -> BalancerSockets:
    """Bind a balancer's sockets; raises as `bind_datagrams` does."""
    return BalancerSockets(
        callers=bind_datagrams(settings.callers_listen),
        frames=bind_datagrams(settings.frames_listen),
    )


def bind_agent(settings: AgentNodeSettings) -> AgentSockets:
    """Bind an agent's sockets; raises as `bind_datagrams` does."""
    return AgentSockets(
        frames=bind_datagrams(settings.frames_listen),
        host_packets=bind_datagrams(settings.host_packets_listen),
    )
