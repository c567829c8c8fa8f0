"""Many connections at once, as when a region reconnects, wait in the backlog and aren't dropped."""

import asyncio
import contextlib
import itertools
import select
import socket

from jasperwalk.addresses import Endpoint
from jasperwalk.transport.hello import ConnectionKind, make_hello
from jasperwalk.transport.server import ACCEPTED_PER_TURN, FramedServer

SIMULTANEOUS_CONNECTIONS = 300


def count_established(endpoint: Endpoint) -> int:
    """Connect while the server's loop is blocked; loopback completes a handshake at once."""
    with contextlib.ExitStack() as stack:
        poll = select.poll()
        for _ in range(SIMULTANEOUS_CONNECTIONS):
            connecting = stack.enter_context(socket.socket())
            connecting.setblocking(False)
            connecting.connect_ex((endpoint.host, endpoint.port))
            poll.register(connecting, select.POLLOUT)
        return sum(1 for _, event in poll.poll(0) if event == select.POLLOUT)


def test_connections_that_come_at_once_wait_to_be_taken() -> None:
    async def run() -> int:
        hello = make_hello(ConnectionKind.PEER, "tester", "zagreb", sender_id=1)
        server = FramedServer(Endpoint(host="127.0.0.1", port=0), hello, {})
        await server.start()
        try:
            return count_established(server.endpoint)
        finally:
            await server.close()

    assert asyncio.run(run()) == SIMULTANEOUS_CONNECTIONS


def test_one_turn_of_the_loop_takes_few_of_the_connections_that_wait() -> None:
    async def run() -> list[int]:
        hello = make_hello(ConnectionKind.PEER, "tester", "zagreb", sender_id=1)
        server = FramedServer(Endpoint(host="127.0.0.1", port=0), hello, {})
        await server.start()
        with contextlib.ExitStack() as stack:
            for _ in range(SIMULTANEOUS_CONNECTIONS):
                connecting = stack.enter_context(socket.socket())
                connecting.setblocking(False)
                connecting.connect_ex((server.endpoint.host, server.endpoint.port))
            taken = [0]
            while taken[-1] < SIMULTANEOUS_CONNECTIONS:
                await asyncio.sleep(0)
                taken.append(len(server._tasks))
            await server.close()
        return taken

    taken = asyncio.run(run())
    steps = [after - before for before, after in itertools.pairwise(taken)]
    assert 0 < max(steps) <= ACCEPTED_PER_TURN
