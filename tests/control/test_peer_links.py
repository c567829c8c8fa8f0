"""A link to a peer that comes back while a connection attempt hangs."""

import asyncio

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.control import peer_links
from jasperwalk.control.fleet.replica import PEER_LINK_TIMES
from jasperwalk.control.peer_links import PeerLink, PeerNetwork
from jasperwalk.transport.errors import ConnectFailed
from jasperwalk.transport.hello import ConnectionKind, make_hello
from jasperwalk.transport.server import FramedServer

ANY_PORT = Endpoint("127.0.0.1", 0)
NEVER = 3600.0


class Dialer:
    """Stands for `connect`: the attempts before the peer's power is back do what `dark` says."""

    def __init__(self, real, dark):
        self.real, self.dark = real, dark
        self.has_power = False
        self.attempts = 0

    async def __call__(self, *arguments):
        self.attempts += 1
        if self.has_power:
            return await self.real(*arguments)
        return await self.dark()


async def hang():
    await asyncio.sleep(NEVER)


async def refuse():
    raise ConnectFailed(endpoint="peer", reason="no route")


async def until(condition):
    async with asyncio.timeout(30.0):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("dark", [hang, refuse])
def test_a_peer_that_dials_is_dialled_back_at_once(monkeypatch, dark):
    dialer = Dialer(peer_links.connect, dark)
    monkeypatch.setattr(peer_links, "connect", dialer)
    times = peer_links.LinkTimes(connect_timeout=NEVER, reconnect=NEVER)

    async def scenario():
        networks = {
            each: PeerNetwork(f"c{each}", each, "zagreb", lambda *_: None, times=times)
            for each in (1, 2)
        }
        servers = {}
        for each, network in networks.items():
            hello = make_hello(ConnectionKind.PEER, f"c{each}", "zagreb", each)
            servers[each] = FramedServer(ANY_PORT, hello, {ConnectionKind.PEER: network.serve})
            await servers[each].start()
        networks[1].set_peers({2: servers[2].endpoint})
        await until(lambda: dialer.attempts == 1)
        dialer.has_power = True
        assert networks[1].connected_ids() == []
        networks[2].set_peers({1: servers[1].endpoint})
        await until(lambda: networks[1].connected_ids() == [2])
        assert dialer.attempts == 3
        for each, network in networks.items():
            await network.close()
            await servers[each].close()

    asyncio.run(scenario())


def test_a_peer_that_is_linked_is_not_dialled_again(monkeypatch):
    dialer = Dialer(peer_links.connect, hang)
    dialer.has_power = True
    monkeypatch.setattr(peer_links, "connect", dialer)

    async def scenario():
        network = PeerNetwork("c2", 2, "zagreb", lambda *_: None)
        hello = make_hello(ConnectionKind.PEER, "c2", "zagreb", 2)
        server = FramedServer(ANY_PORT, hello, {ConnectionKind.PEER: network.serve})
        await server.start()
        link = PeerLink(server.endpoint, "c1", 1, "zagreb", times=PEER_LINK_TIMES)
        task = asyncio.create_task(link.run())
        await until(lambda: link.connected)
        link.peer_connected()
        await asyncio.sleep(0.05)
        assert link.connected
        assert dialer.attempts == 1
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await network.close()
        await server.close()

    asyncio.run(scenario())
