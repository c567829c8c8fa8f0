"""A model of one balancer on a low-bandwidth link under uploads, on virtual time, from one seed.

Each upload's packets cross the link twice, in and out, first in, first out; on the way out the link
queues few of them and loses the others. A caller has a bounded number of packets in flight, and
sends a packet again that was not acknowledged in time, as callers do that cannot tell a queue from
a loss. The product's own admission and pacer decide.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from jasperwalk.addresses import Endpoint
from jasperwalk.scheduling.link_pacer import PACED_SHARE, LinkPacer, link_bytes_per_second
from jasperwalk.scheduling.upload_admission import UploadAdmission
from tests.flows.support import ENDING, PlainCodec, from_caller

PACKET_BYTES = 1232
PACKETS = 33
WINDOW = 16
FIRST_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.6
DELAY_SECONDS = 0.002
OBJECTIVE_SECONDS = 1.0
TRIES = 3
TICK_SECONDS = 0.02
RELEASE_SECONDS = 0.008
BUFFER_SECONDS = 0.04
"""Queue of the link for packets that are sent faster than its rate."""
AGENT = ("10.0.0.1", 7602)


@dataclass(eq=False)
class Upload:
    """One upload of a caller, which tries again after a reset."""

    number: int
    started_at: float
    tries: int = 1
    next_packet: int = 0
    acknowledged: set[int] = field(default_factory=set)
    ended_at: float | None = None

    def caller(self):
        return Endpoint("100.64.0.1", self.number * TRIES + self.tries)

    def key(self):
        return PlainCodec().flow_key(from_caller(caller=self.caller()))

    def packet(self, flags=0):
        return from_caller(flags, b"data", caller=self.caller())


class BottleneckLink:
    """Simulates uploads through one balancer; `limited` switches pacer and admission on."""

    def __init__(self, seed, megabits, limited):
        self.random = random.Random(seed)
        self.bytes_per_second = link_bytes_per_second(megabits)
        paced_rate = PACED_SHARE * self.bytes_per_second
        self.pacer = LinkPacer(paced_rate, self.transmit) if limited else None
        self.admission = UploadAdmission(
            PlainCodec(), self.pacer, WINDOW * PACKET_BYTES, FIRST_RETRY_SECONDS
        )
        self.in_flight = {}
        self.now, self.events, self.order = 0.0, [], 0
        self.free_at = {"in": 0.0, "out": 0.0}
        self.uploads = []
        self.open = {}

    def schedule(self, delay, action):
        self.order += 1
        heapq.heappush(self.events, (self.now + delay, self.order, action))

    def play(self, rate_at, seconds):
        """Let uploads arrive at `rate_at(second)` per second."""
        at = 0.0
        while at < seconds:
            at += self.random.expovariate(rate_at(at))
            self.schedule(at, self.arrive)
        self.schedule(TICK_SECONDS, self.tick)
        self.schedule(RELEASE_SECONDS, self.release)
        while self.events and self.events[0][0] < seconds + 8.0:
            self.now, _, action = heapq.heappop(self.events)
            action()

    def tick(self):
        for key, _ in self.admission.take_shed(self.now):
            self.reset(self.open.pop(key))
        for key, _ in self.admission.take_due(self.now):
            self.send_more(self.open[key])
        self.schedule(TICK_SECONDS, self.tick)

    def release(self):
        if self.pacer is not None:
            self.pacer.release(self.now)
        self.schedule(RELEASE_SECONDS, self.release)

    def arrive(self):
        upload = Upload(len(self.uploads), self.now)
        self.uploads.append(upload)
        self.start_upload(upload)

    def start_upload(self, upload):
        key = upload.key()
        self.open[key] = upload
        if self.admission.take(key, upload.packet(), None, self.now, self.now):
            self.send_more(upload)

    def reset(self, upload):
        if upload.tries < TRIES:
            upload.tries += 1
            self.schedule(DELAY_SECONDS, lambda: self.start_upload(upload))

    def send_more(self, upload):
        while upload.next_packet < min(PACKETS, len(upload.acknowledged) + WINDOW):
            self.send(upload, upload.next_packet, FIRST_RETRY_SECONDS)
            upload.next_packet += 1

    def send(self, upload, position, timeout):
        if position in upload.acknowledged:
            return
        self.transfer("in", lambda: self.receive_packet(upload, position))
        following = min(2 * timeout, MAX_RETRY_SECONDS)
        self.schedule(timeout, lambda: self.send(upload, position, following))

    def transfer(self, direction, arrived):
        start = max(self.now, self.free_at[direction])
        self.free_at[direction] = start + PACKET_BYTES / self.bytes_per_second
        self.schedule(self.free_at[direction] - self.now + DELAY_SECONDS, arrived)

    def receive_packet(self, upload, position):
        self.admission.record_packet(upload.key(), upload.packet(), self.now)
        frame = position.to_bytes(2, "big") + upload.key()
        self.in_flight[frame] = lambda: self.acknowledge(upload, position)
        frame = frame.ljust(PACKET_BYTES, b".")
        if self.pacer is None:
            self.transmit(frame, AGENT)
        else:
            self.pacer.send_bulk(upload.key(), position, frame, AGENT, self.now)

    def transmit(self, frame, _address):
        if self.free_at["out"] - self.now <= BUFFER_SECONDS:
            self.transfer("out", self.in_flight[frame.rstrip(b".")])

    def acknowledge(self, upload, position):
        upload.acknowledged.add(position)
        if len(upload.acknowledged) == PACKETS and upload.ended_at is None:
            upload.ended_at = self.now
            self.admission.record_packet(upload.key(), upload.packet(ENDING), self.now)
        self.send_more(upload)

    def in_time(self, since, until):
        """Return the share of uploads started in this span that met their objective."""
        begun = [each for each in self.uploads if since <= each.started_at < until]
        met = [
            each
            for each in begun
            if each.ended_at is not None and each.ended_at - each.started_at <= OBJECTIVE_SECONDS
        ]
        return len(met) / len(begun)
