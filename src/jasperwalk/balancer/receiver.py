"""The balancer's UDP sockets: takes the fabric's datagrams and sends what the core decides.

The socket is read directly, many datagrams for each wake-up of the event loop: a datagram
protocol of asyncio costs a call, a source address and a task switch more for each of them.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import time
from collections.abc import Callable, Sequence
from typing import Final, Protocol

from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.agent_sockets import AgentSockets
from jasperwalk.balancer.core import MAX_DATAGRAM_BYTES
from jasperwalk.balancer.outcomes import DropReason, Forward, Outcomes, SocketAddress
from jasperwalk.balancer.queues import DatagramQueues, QueueDrop
from jasperwalk.balancer.segments import send_run, split_runs

DATAGRAMS_PER_WAKE_UP: Final = 128
"""After so many datagrams the event loop gets a turn, for heartbeats and metrics."""

OPENINGS_PER_WAKE_UP: Final = 32
"""The same for datagrams that open flows, each of which costs several established ones."""

RECEIVE_BYTES: Final = MAX_DATAGRAM_BYTES + 1
"""One byte more than the largest datagram, so that a longer one is seen to be longer."""

ERRORS_OF_EARLIER_SEND: Final = frozenset((errno.ECONNREFUSED, errno.EHOSTUNREACH))
"""What ICMP said of an earlier datagram; the one that is refused was not sent at all."""


class DatagramHandler(Protocol):
    """Decides for datagrams."""

    def handle(self, datagram: bytes, now: float) -> Forward | DropReason:
        """Return where to send one datagram, or why it was dropped."""
        ...

    def handle_all(self, datagrams: Sequence[bytes], now: float) -> Outcomes:
        """Return what to send where, and why datagrams were dropped."""
        ...

    def agent_refused(self, agent: SocketAddress, now: float) -> None:
        """Take the hint that nothing listened at an agent's address a moment ago."""
        ...


class DatagramReceiver:
    """Owns the sockets; `start` and `stop` attach it to the running event loop."""

    def __init__(
        self,
        listen: Endpoint,
        clock: Callable[[], float] = time.monotonic,
        *,
        separate_openings: bool = True,
    ) -> None:
        """Open and bind the sockets; raises `OSError` when the port can't be had."""
        self.send_failures = 0
        self._clock = clock
        self._queues = DatagramQueues(listen, separate_openings=separate_openings)
        self._agents = AgentSockets(self._queues.established)
        self._established_waiting = False
        self.endpoint = self._queues.endpoint

    def start(self, handler: DatagramHandler) -> None:
        """Give datagrams to `handler` from now on."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._queues.established.fileno(), self.drain, handler)
        if self._queues.opening is not None:
            loop.add_reader(self._queues.opening.fileno(), self.drain_openings, handler)

    def stop(self) -> None:
        """Take no more datagrams and close the sockets."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._queues.established.fileno())
        if self._queues.opening is not None:
            loop.remove_reader(self._queues.opening.fileno())
        self.close()

    def close(self) -> None:
        """Close the sockets of a receiver that isn't attached to a loop."""
        self._agents.close()
        self._queues.close()

    def queue_drops(self) -> dict[QueueDrop, int]:
        """Count the datagrams that were lost because their queue was full."""
        return self._queues.drops()

    def drain(self, handler: DatagramHandler) -> None:
        """Handle the datagrams of established flows that wait, as many as a wake-up may."""
        self._established_waiting = self._handle_batch(
            self._queues.established, DATAGRAMS_PER_WAKE_UP, handler
        )

    def drain_openings(self, handler: DatagramHandler) -> None:
        """Handle some datagrams that open flows, once none of an established flow waits.

        Whatever a flood brings, established ones wait for `OPENINGS_PER_WAKE_UP` at most.
        """
        self.drain(handler)
        if not self._established_waiting and self._queues.opening is not None:
            self._handle_batch(self._queues.opening, OPENINGS_PER_WAKE_UP, handler)

    def _handle_batch(self, queue: socket.socket, limit: int, handler: DatagramHandler) -> bool:
        """Handle at most so many datagrams of a queue; return whether more may wait.

        Packets of established flows are sent at the end, those to one agent together.
        """
        receive = queue.recv
        datagrams: list[bytes] = []
        try:
            while len(datagrams) < limit:
                datagrams.append(receive(RECEIVE_BYTES))
        except OSError:
            # Nothing waits any more, or a pending ICMP error, which recv has now cleared.
            pass
        now = self._clock()
        outcomes = handler.handle_all(datagrams, now)
        for destination, forwarded in outcomes.by_agent.items():
            self._send_together(destination, forwarded, handler, now)
        for outcome in outcomes.others:
            if isinstance(outcome, Forward):
                self._send(outcome, handler, now)
        return len(datagrams) == limit

    def _send_together(
        self,
        destination: SocketAddress,
        datagrams: list[bytes],
        handler: DatagramHandler,
        now: float,
    ) -> None:
        """Send datagrams to one agent with as few calls as may be."""
        sender = self._agents.connected.get(destination)
        for run in split_runs(datagrams):
            if sender is not None and len(run) > 1:
                try:
                    send_run(sender, run)
                    continue
                except OSError as error:
                    # Nothing of the run was sent: what follows sends one by one.
                    if error.errno in ERRORS_OF_EARLIER_SEND:
                        handler.agent_refused(destination, now)
            for data in run:
                self._send(Forward(destination, data), handler, now)

    def _send(self, outcome: Forward, handler: DatagramHandler, now: float) -> None:
        destination = outcome.destination
        send = self._agents.senders.get(destination) or self._agents.open(destination, now)
        try:
            send(outcome.data)
        except OSError as error:
            # A full buffer or a port that is closed: UDP may lose it, QUIC sends it again.
            self.send_failures += 1
            if error.errno in ERRORS_OF_EARLIER_SEND:
                handler.agent_refused(destination, now)
                self._send_again(outcome, now)

    def _send_again(self, outcome: Forward, now: float) -> None:
        """Send what a connected socket left unsent to report that an earlier datagram failed.

        The agent may be back by now; a new flow goes to its other candidate all the same.
        """
        destination = outcome.alternative or outcome.destination
        send = self._agents.senders.get(destination) or self._agents.open(destination, now)
        with contextlib.suppress(OSError):
            send(outcome.data)
