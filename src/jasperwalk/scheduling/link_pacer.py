"""Paces datagrams to the rate of a thin link: decides what is sent now, queued or dropped.

Load pattern: a caller sends a whole window of an upload at once, 16 packets within a few
milliseconds, and a balancer that forwards them at once gives its link more than the link's buffer
holds. The rest is lost, the caller sends it again after 0.2 s, again in one burst, and loses some
of it again. On a link of 2 Mbit/s ten packets of such a burst arrived and six did not, and an
upload of 20 kB took 0.5 to 1.1 s instead of 0.1 s, while the link was idle for most of that time.

So datagrams leave at the link's rate. Datagrams of bulk flows wait in a queue per flow, and the
flows take turns, datagram by datagram (round robin): a short upload does not wait behind a long
one. All other datagrams are small and go before them. A copy of a datagram that still waits is
discarded, because callers cannot tell a queue from a loss and send again what only waits.

Sans-IO; times are seconds, rates bytes a second.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from jasperwalk.flows.codec import DatagramSender, SocketAddress

PACED_SHARE = 0.9
"""Part of the link's rate that is used: resets to callers and the connection to the control plane,
some 10 kB a second, share the link and are not paced."""
BURST_SECONDS = 0.02
"""Datagrams that the link carries in this time may leave at once. A link's own buffer holds 40 ms
of them (10 kB at 2 Mbit/s); half of it stays free for what is not paced."""
MIN_BURST_BYTES = 1500
"""However thin the link, one full datagram may leave at once."""
MAX_URGENT_SECONDS = 0.2
"""Datagrams outside bulk flows wait no longer than this: then their callers send again."""
MAX_BULK_SECONDS = 1.0
"""Bulk datagrams beyond what the link can send within this time are dropped, to bound memory."""
HEADER_BYTES = 28
"""IPv4 and UDP headers, which the link carries as well."""
BITS_PER_MEGABIT = 1e6
BITS_PER_BYTE = 8


def link_bytes_per_second(megabits: float) -> float:
    """Return a link's rate in bytes a second from megabits a second."""
    return megabits * BITS_PER_MEGABIT / BITS_PER_BYTE


@dataclass(eq=False, repr=False)
class PacerCounters:
    """What a pacer did since its process started."""

    datagrams_delayed: int = 0
    """Datagrams that waited for the link."""
    datagrams_copies: int = 0
    """Copies that were discarded, because the first still waited."""
    datagrams_dropped: int = 0
    """Datagrams that exceeded what may wait for the link."""


@dataclass(eq=False, repr=False)
class LinkPacer:
    """Owns the queues of one link; call `release` when `pause` has passed.

    `rate` is the part of the link's rate that may be used, see `PACED_SHARE`.
    """

    rate: float
    transmit: DatagramSender
    counters: PacerCounters = field(default_factory=PacerCounters)
    _credit: float = 0.0
    _credited_at: float = 0.0
    _urgent: deque[tuple[bytes, SocketAddress]] = field(default_factory=deque)
    _urgent_bytes: int = 0
    _bulk: OrderedDict[bytes, OrderedDict[int, tuple[bytes, SocketAddress]]] = field(
        default_factory=OrderedDict
    )
    """For each flow its datagrams by the number of their data; the next flow first."""
    _bulk_bytes: int = 0

    def __post_init__(self) -> None:
        """Start with the credit of a full burst."""
        self._burst = max(self.rate * BURST_SECONDS, MIN_BURST_BYTES)
        self._credit = self._burst

    def backlog_bytes(self) -> int:
        """Return how many bytes wait for the link."""
        return self._urgent_bytes + self._bulk_bytes

    def backlog_seconds(self) -> float:
        """Return how long the link needs for what waits, in seconds."""
        return self.backlog_bytes() / self.rate

    def waits(self, flow_key: bytes) -> bool:
        """Tell whether datagrams of a bulk flow wait."""
        return flow_key in self._bulk

    def send(self, datagram: bytes, address: SocketAddress, now: float) -> None:
        """Send a datagram as soon as the link can take it, before those of bulk flows."""
        self._refill(now)
        if self._credit > 0 and not self._urgent:
            self._transmit(datagram, address)
            return
        self.counters.datagrams_delayed += 1
        self._urgent.append((datagram, address))
        self._urgent_bytes += len(datagram) + HEADER_BYTES
        while self._urgent_bytes > self.rate * MAX_URGENT_SECONDS and len(self._urgent) > 1:
            self._take_urgent()
            self.counters.datagrams_dropped += 1

    def send_bulk(
        self, flow_key: bytes, number: int, datagram: bytes, address: SocketAddress, now: float
    ) -> None:
        """Send a datagram of a bulk flow in its turn; `number` is the same for its copies."""
        self._refill(now)
        if self._credit > 0 and not self._urgent and not self._bulk:
            self._transmit(datagram, address)
            return
        waiting = self._bulk.get(flow_key)
        if waiting is not None and number in waiting:
            self.counters.datagrams_copies += 1
            return
        if self._bulk_bytes > self.rate * MAX_BULK_SECONDS:
            self.counters.datagrams_dropped += 1
            return
        if waiting is None:
            waiting = self._bulk[flow_key] = OrderedDict()
        self.counters.datagrams_delayed += 1
        waiting[number] = (datagram, address)
        self._bulk_bytes += len(datagram) + HEADER_BYTES

    def release(self, now: float) -> None:
        """Send what the link can take by now."""
        self._refill(now)
        while self._credit > 0 and self._urgent:
            self._transmit(*self._take_urgent())
        while self._credit > 0 and self._bulk:
            self._transmit(*self._take_bulk())

    def pause(self) -> float | None:
        """Return how long after the last call there is something to release, None for never."""
        if not self._urgent and not self._bulk:
            return None
        return max(0.0, -self._credit) / self.rate

    def _refill(self, now: float) -> None:
        earned = max(0.0, now - self._credited_at) * self.rate
        self._credit = min(self._burst, self._credit + earned)
        self._credited_at = now

    def _transmit(self, datagram: bytes, address: SocketAddress) -> None:
        self._credit -= len(datagram) + HEADER_BYTES
        self.transmit(datagram, address)

    def _take_urgent(self) -> tuple[bytes, SocketAddress]:
        taken = self._urgent.popleft()
        self._urgent_bytes -= len(taken[0]) + HEADER_BYTES
        return taken

    def _take_bulk(self) -> tuple[bytes, SocketAddress]:
        """Take the oldest datagram of the next flow, which then goes to the end of the queue."""
        flow_key, waiting = self._bulk.popitem(last=False)
        _, taken = waiting.popitem(last=False)
        if waiting:
            self._bulk[flow_key] = waiting
        self._bulk_bytes -= len(taken[0]) + HEADER_BYTES
        return taken
