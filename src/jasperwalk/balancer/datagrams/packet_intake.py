"""Load shedding of new flows at a busy balancer: the order in which callers' packets are handled.

Packets of open flows cost little and are handled at once. A new flow costs a balancer some ten
times as much, and on a small machine more may arrive than it can open. First in, first out would
then serve every caller late: each waits behind all others, has given up when it is served, and
sends another packet. So new flows are opened newest first, a few between two reads of the sockets,
and one that has waited too long is reset at once, so that its caller tries again elsewhere.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from jasperwalk.balancer.datagrams.arrived_packet import ArrivedPacket
from jasperwalk.balancer.datagrams.flow_balancer import FlowBalancer

OPENINGS_PER_BATCH = 8
"""New flows opened between two reads of the sockets."""
MAX_INTAKE_SECONDS = 0.4
"""A new flow that has waited longer is reset."""
MAX_WAITING_OPENINGS = 1024


@dataclass(eq=False, repr=False)
class PacketIntake:
    """Queue of new flows between the socket and the balancer's core; sans-IO."""

    core: FlowBalancer
    _openings: OrderedDict[bytes, ArrivedPacket] = field(default_factory=OrderedDict)

    def has_waiting(self) -> bool:
        """Tell whether `open_waiting` has work."""
        return bool(self._openings)

    def receive(self, packet: bytes, now: float) -> None:
        """Handle a packet; new flows wait for `open_waiting`."""
        core = self.core
        key = core.key_of(packet)
        if key is None:
            return
        if not core.codec.is_opening(packet) or core.knows(key):
            core.receive_with_key(key, packet, now)
            return
        if key in self._openings:
            return
        if len(self._openings) >= MAX_WAITING_OPENINGS:
            self._reject_oldest()
        self._openings[key] = ArrivedPacket(packet, now)

    def open_waiting(self, now: float) -> None:
        """Open some of the waiting flows, the newest first, and reset those that are too old."""
        self._reject_expired(now)
        for _ in range(OPENINGS_PER_BATCH):
            if not self._openings:
                return
            _, opening = self._openings.popitem(last=True)
            self.core.open(opening.packet, opening.arrived_at, now)

    def _reject_expired(self, now: float) -> None:
        while self._openings:
            oldest = next(iter(self._openings.values()))
            if now - oldest.arrived_at <= MAX_INTAKE_SECONDS:
                return
            self._reject_oldest()

    def _reject_oldest(self) -> None:
        key, opening = self._openings.popitem(last=False)
        self.core.reject(key, opening.packet, "balancer-busy")
