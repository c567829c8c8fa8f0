"""Free loopback ports below the ephemeral range, reserved until processes bind them."""

from __future__ import annotations

import contextlib
import random
import socket
from collections.abc import Sequence
from types import TracebackType
from typing import Self

from jasperwalk.addresses import Endpoint

ATTEMPTS = 50
"""Attempts to find a port that is free for both TCP and UDP."""

PORTS = range(15_000, 32_768)
"""Below the ephemeral ports (Linux: from 32768): between reservation and use, a wildcard socket of
any program may get one of those on every address."""


class PortReservations:
    """Binds ports so that no two reservations are equal; leaving the context frees them.

    Every process of a fleet has a loopback address of its own, so two fleets that draw the same
    port number rarely conflict.
    """

    def __init__(self) -> None:
        self._held: list[socket.socket] = []
        self._random = random.SystemRandom()

    def __enter__(self) -> Self:
        """Return the reservations, none yet."""
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
        """Free every port, just before the processes bind them."""
        for held in self._held:
            held.close()
        self._held.clear()

    def reserve(self, host: str) -> Endpoint:
        """Reserve a port of `host` that is free for TCP and for UDP."""
        for _ in range(ATTEMPTS - 1):
            try:
                return self._try_reserve(host)
            except OSError:  # the port is in use
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
    """Return a different port for each name, each free on all of these addresses."""
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
