"""Sends several datagrams to one agent in one system call (UDP segmentation offload).

The kernel gets concatenated datagrams of one length and splits them again, so that its network
stack, the most expensive part of a send, is passed once for all of them. An agent receives the same
datagrams as from single sends, in the same order.
"""

from __future__ import annotations

import itertools
import socket
import struct
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

UDP_SEGMENT: Final = 103
"""Linux: the length of the datagrams that one send carries (linux/udp.h, since 4.18)."""

MAX_SEGMENTS: Final = 64
"""Datagrams that the kernel takes at once (UDP_MAX_SEGMENTS; 128 in newer ones)."""

MAX_SEND_BYTES: Final = 65_507
"""Longest payload of one send: the largest IPv4 packet less its headers."""

_pack_length = struct.Struct("=H").pack


def split_runs(datagrams: Iterable[bytes]) -> Iterator[Sequence[bytes]]:
    """Split datagrams, in their order, into runs that one send may carry."""
    for length, group in itertools.groupby(datagrams, len):
        same_length = list(group)
        fitting = MAX_SEND_BYTES // length if length else 0
        count = max(1, min(MAX_SEGMENTS, fitting))
        for start in range(0, len(same_length), count):
            yield same_length[start : start + count]


def send_run(sender: socket.socket, run: Sequence[bytes]) -> None:
    """Send a run of two or more on a connected socket.

    Raises `OSError` if the kernel refuses all of it: it does not support segmentation, the path
    takes no datagrams of that length, or ICMP reported the loss of an earlier one.
    """
    length = (socket.IPPROTO_UDP, UDP_SEGMENT, _pack_length(len(run[0])))
    sender.sendmsg((b"".join(run),), (length,))
