"""The balancer's UDP sockets: receives the fabric's datagrams and sends as the core decides.

The socket is read directly, many datagrams per wake-up of the event loop: a datagram protocol of
asyncio costs one more call, source address and task switch for each of them.
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
"""Datagrams read before the event loop runs other tasks, such as heartbeats and metrics."""

OPENINGS_PER_WAKE_UP: Final = 32
"""The same for datagrams that open flows, each of which costs as much as several others."""

RECEIVE_BYTES: Final = MAX_DATAGRAM_BYTES + 1
"""One byte more than the largest datagram, so that a longer one is detected."""

ERRORS_OF_EARLIER_SEND: Final = frozenset((errno.ECONNREFUSED, errno.EHOSTUNREACH))
"""Errors that ICMP reported for an earlier datagram; the one being sent was not sent at all."""


class DatagramHandler(Protocol):
    """Decides for datagrams."""

    def handle(self, datagram: bytes, now: float) -> Forward | DropReason:
        """Return where to send one datagram, or why it was dropped."""
        ...

    def handle_all(self, datagrams: Sequence[bytes], now: float) -> Outcomes:
        """Return which datagrams to send where, and why the others were dropped."""
        ...

    def agent_refused(self, agent: SocketAddress, now: float) -> None:
        """Record that nothing listened at an agent's address a moment ago."""
        ...


class DatagramReceiver:
    """The sockets; `start` and `stop` attach them to the running event loop and detach them."""

    def __init__(
        self,
        listen: Endpoint,
        clock: Callable[[], float] = time.monotonic,
        *,
        separate_openings: bool = True,
    ) -> None:
        """Open and bind the sockets; raises `OSError` if the port cannot be bound."""
        self.send_failures = 0
        self._clock = clock
        self._queues = DatagramQueues(listen, separate_openings=separate_openings)
        self._agents = AgentSockets(self._queues.established)
        self._established_waiting = False
        self.endpoint = self._queues.endpoint

    def start(self, handler: DatagramHandler) -> None:
        """Start passing datagrams to `handler`."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._queues.established.fileno(), self.drain, handler)
        if self._queues.opening is not None:
            loop.add_reader(self._queues.opening.fileno(), self.drain_openings, handler)

    def stop(self) -> None:
        """Stop receiving and close the sockets."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._queues.established.fileno())
        if self._queues.opening is not None:
            loop.remove_reader(self._queues.opening.fileno())
        self.close()

    def close(self) -> None:
        """Close the sockets of a receiver that is not attached to a loop."""
        self._agents.close()
        self._queues.close()

    def queue_drops(self) -> dict[QueueDrop, int]:
        """Return how many datagrams were lost because their queue was full."""
        return self._queues.drops()

    def drain(self, handler: DatagramHandler) -> None:
        """Handle waiting datagrams of established flows, at most `DATAGRAMS_PER_WAKE_UP`."""
        self._established_waiting = self._handle_batch(
            self._queues.established, DATAGRAMS_PER_WAKE_UP, handler
        )

    def drain_openings(self, handler: DatagramHandler) -> None:
        """Handle some datagrams that open flows, once none of an established flow waits.

        Even in a flood, datagrams of established flows wait for at most `OPENINGS_PER_WAKE_UP`.
        """
        self.drain(handler)
        if not self._established_waiting and self._queues.opening is not None:
            self._handle_batch(self._queues.opening, OPENINGS_PER_WAKE_UP, handler)

    def _handle_batch(self, queue: socket.socket, limit: int, handler: DatagramHandler) -> bool:
        """Handle at most `limit` datagrams of a queue; return whether more may be waiting.

        Packets of established flows are sent at the end, those to one agent together.
        """
        receive = queue.recv
        datagrams: list[bytes] = []
        try:
            while len(datagrams) < limit:
                datagrams.append(receive(RECEIVE_BYTES))
        except OSError:
            # The queue is empty, or there was a pending ICMP error, which recv has now cleared.
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
        """Send datagrams to one agent with as few system calls as possible."""
        sender = self._agents.connected.get(destination)
        for run in split_runs(datagrams):
            if sender is not None and len(run) > 1:
                try:
                    send_run(sender, run)
                    continue
                except OSError as error:
                    # None of the run was sent: they are sent one by one below.
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
            # A full buffer or a closed port: UDP may lose the datagram, QUIC sends it again.
            self.send_failures += 1
            if error.errno in ERRORS_OF_EARLIER_SEND:
                handler.agent_refused(destination, now)
                self._send_again(outcome, now)

    def _send_again(self, outcome: Forward, now: float) -> None:
        """Send again what a connected socket did not send because it reported an earlier error.

        The agent may be back by now; a new flow still goes to its other candidate.
        """
        destination = outcome.alternative or outcome.destination
        send = self._agents.senders.get(destination) or self._agents.open(destination, now)
        with contextlib.suppress(OSError):
            send(outcome.data)
