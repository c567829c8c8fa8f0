"""The two kernel queues that hold the fabric's datagrams until they are read.

With a single queue a flood of new flows would displace packets of established flows: the kernel
drops whatever arrives at a full queue, before this process can choose. So two sockets share the
port, and a filter in the kernel (classic BPF on the port's sockets) puts datagrams that can only
open a flow into the second queue: packets with a long header whose connection ID does not have the
length of a routable one. The filter only selects the queue; forged packets of the established kind
are checked by the core as before.

If the kernel has no such filter, one queue holds all datagrams.
"""

from __future__ import annotations

import contextlib
import ctypes
import enum
import socket
import struct
from typing import Final

from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.agent_sockets import SOCKET_BUFFER_BYTES
from jasperwalk.messages.proxy_protocol import HEADER_LENGTH
from jasperwalk.routing.connection_ids import CONNECTION_ID_LENGTH
from jasperwalk.routing.quic_packets import LENGTH_START, LONG_HEADER_BIT

OPENING_BUFFER_BYTES: Final = 1024 * 1024
"""Size of the second queue: a longer one would keep Initials until their callers have given up."""

SO_ATTACH_REUSEPORT_CBPF: Final = 51
"""Linux: attach a filter that chooses among the sockets of a port (since 4.5)."""
SO_MEMINFO: Final = 55
"""Linux: nine counters of a socket, of which the last counts datagrams lost (since 4.12)."""
_MEMORY_COUNTERS: Final = struct.Struct("=9I")

# Classic BPF, linux/bpf_common.h: load an octet, jump if bits are set, jump if equal, return.
LOAD_OCTET: Final = 0x30
JUMP_IF_SET: Final = 0x45
JUMP_IF_EQUAL: Final = 0x15
RETURN: Final = 0x06
_INSTRUCTION: Final = struct.Struct("=HBBI")
"""Code, instructions to skip if true and if false, operand."""
_PROGRAM_REFERENCE: Final = struct.Struct("@HP")
"""Number of instructions and their address."""

_FILTER: Final = (
    (LOAD_OCTET, 0, 0, HEADER_LENGTH),
    (JUMP_IF_SET, 0, 2, LONG_HEADER_BIT),
    (LOAD_OCTET, 0, 0, HEADER_LENGTH + LENGTH_START),
    (JUMP_IF_EQUAL, 0, 1, CONNECTION_ID_LENGTH),
    (RETURN, 0, 0, 0),
    (RETURN, 0, 0, 1),
)
"""Returns the index of the socket; a load beyond the datagram's end returns 0."""


class QueueDrop(enum.StrEnum):
    """A queue that lost datagrams because it was full; the value is the metric's label."""

    ESTABLISHED = "queue-full"
    OPENING = "opening-queue-full"


class DatagramQueues:
    """The sockets: `established`, and `opening` unless there is only one queue."""

    def __init__(self, listen: Endpoint, *, separate_openings: bool = True) -> None:
        """Open and bind; raises `OSError` if the port cannot be bound."""
        self.established = _open_socket(SOCKET_BUFFER_BYTES)
        try:
            # Bound without SO_REUSEPORT, so that a port in use is refused.
            self.established.bind((listen.host, listen.port))
        except OSError:
            self.established.close()
            raise
        host, port = self.established.getsockname()
        self.endpoint = Endpoint(host=host, port=port)
        self.opening: socket.socket | None = None
        if separate_openings:
            with contextlib.suppress(OSError):
                self.opening = _open_second(self.established)

    def drops(self) -> dict[QueueDrop, int]:
        """Return how many datagrams each queue lost; a queue without a known count is left out."""
        counts: dict[QueueDrop, int] = {}
        queues = ((QueueDrop.ESTABLISHED, self.established), (QueueDrop.OPENING, self.opening))
        for drop, queue in queues:
            if queue is not None:
                with contextlib.suppress(OSError, struct.error):
                    counts[drop] = _lost_datagrams(queue)
        return counts

    def close(self) -> None:
        """Close the sockets."""
        self.established.close()
        if self.opening is not None:
            self.opening.close()


def _open_socket(receive_buffer_bytes: int) -> socket.socket:
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    return opened


def _open_second(first: socket.socket) -> socket.socket:
    """Open the second socket of the port; raises `OSError`, after which the first serves alone."""
    second = _open_socket(OPENING_BUFFER_BYTES)
    try:
        first.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        second.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        second.bind(first.getsockname())
        _attach_filter(second)
    except OSError:
        second.close()
        first.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 0)
        raise
    return second


def _attach_filter(opened: socket.socket) -> None:
    program = b"".join(_INSTRUCTION.pack(*instruction) for instruction in _FILTER)
    instructions = ctypes.create_string_buffer(program, len(program))
    reference = _PROGRAM_REFERENCE.pack(len(_FILTER), ctypes.addressof(instructions))
    opened.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, reference)


def _lost_datagrams(opened: socket.socket) -> int:
    counters = opened.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, _MEMORY_COUNTERS.size)
    lost: int = _MEMORY_COUNTERS.unpack(counters)[-1]
    return lost
