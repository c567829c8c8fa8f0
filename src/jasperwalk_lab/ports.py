"""Free loopback ports below those that the system hands out, held until processes take them."""

from __future__ import annotations

import contextlib
import random
import socket
from collections.abc import Sequence
from types import TracebackType
from typing import Self

from jasperwalk.addresses import Endpoint

ATTEMPTS = 50
"""Tries to find a port that is free for both TCP and UDP."""

PORTS = range(15_000, 32_768)
"""Below the ports of outgoing sockets (Linux: from 32768), which a wildcard socket of any
program may get on every address in the moment between reservation and use."""


class PortReservations:
    """Holds ports open so that no two reservations are alike; leaving the context frees them.

    Every process of a fleet gets a loopback address of its own, so two fleets that draw the
    same number seldom meet.
    """

    def __init__(self) -> None:
        self._held: list[socket.socket] = []
        self._random = random.SystemRandom()

    def __enter__(self) -> Self:
        """Begin to hold ports."""
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        """Free every port."""
        self.release()

    def release(self) -> None:
        """Free every port, for the processes that are about to bind them."""
        for held in self._held:
            held.close()
        self._held.clear()

    def reserve(self, host: str) -> Endpoint:
        """Reserve a port of `host` that is free for TCP and for UDP."""
        for _ in range(ATTEMPTS - 1):
            try:
                return self._try_reserve(host)
            except OSError:  # the port is taken
                continue
        return self._try_reserve(host)

    def _try_reserve(self, host: str) -> Endpoint:
        stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._held.append(stream)
        port = self._random.choice(PORTS)
        stream.bind((host, port))
        datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._held.append(datagram)
        datagram.bind((host, port))
        return Endpoint(host=host, port=port)


def common_port(hosts: Sequence[str]) -> int:
    """Return a port that is free on each of these addresses, for TCP and UDP."""
    return common_ports(("only",), hosts)["only"]


def common_ports(names: Sequence[str], hosts: Sequence[str]) -> dict[str, int]:
    """Return a port for each name, all different, free on each of these addresses."""
    generator = random.SystemRandom()
    ports: dict[str, int] = {}
    for name in names:
        port = generator.choice(PORTS)
        while port in ports.values() or not _is_free(port, hosts):
            port = generator.choice(PORTS)
        ports[name] = port
    return ports


def _is_free(port: int, hosts: Sequence[str]) -> bool:
    with contextlib.ExitStack() as stack:
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probe = stack.enter_context(socket.socket(socket.AF_INET, kind))
                    probe.bind((host, port))
        except OSError:
            return False
    return True
