"""Links to peers that come back while an attempt hangs, and whose connections go silent."""

import asyncio

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.control import peer_links
from jasperwalk.control.fleet.replica import PEER_LINK_TIMES
from jasperwalk.control.peer_links import LinkTimes, PeerLink, PeerNetwork
from jasperwalk.control.peer_messages import FullReportRequest, LinkAlive
from jasperwalk.transport.errors import ConnectFailed
from jasperwalk.transport.hello import ConnectionKind, make_hello
from jasperwalk.transport.server import FramedServer
from jasperwalk_lab.ports import common_ports
from jasperwalk_lab.soak.relays import TcpRelay

ANY_PORT = Endpoint("127.0.0.1", 0)
NEVER = 3600.0


class Dialer:
    """Stands for `connect`: the attempts before the peer's power is back do what `dial_unpowered` says."""

    def __init__(self, real, dial_unpowered):
        self.real, self.dial_unpowered = real, dial_unpowered
        self.has_power = False
        self.attempts = 0

    async def __call__(self, *arguments):
        self.attempts += 1
        if self.has_power:
            return await self.real(*arguments)
        return await self.dial_unpowered()


async def hang():
    await asyncio.sleep(NEVER)


async def refuse():
    raise ConnectFailed(endpoint="peer", reason="no route")


async def until(condition):
    async with asyncio.timeout(30.0):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("dark", [hang, refuse])
def test_a_peer_that_dials_is_dialled_back_at_once(monkeypatch, dial_unpowered):
    dialer = Dialer(peer_links.connect, dial_unpowered)
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


class Peers:
    """Two replicas; the first one reaches the second through a relay."""

    def __init__(self, times):
        self.received = []
        self.keepalives = 0
        self.networks = {
            each: PeerNetwork(f"c{each}", each, "zagreb", self.take, times=times) for each in (1, 2)
        }
        self.servers = {
            each: FramedServer(
                ANY_PORT,
                make_hello(ConnectionKind.PEER, f"c{each}", "zagreb", each),
                {ConnectionKind.PEER: network.serve},
            )
            for each, network in self.networks.items()
        }

    def take(self, sender, message):
        if isinstance(message, LinkAlive):
            self.keepalives += 1
        else:
            self.received.append((sender, message))

    async def __aenter__(self):
        for server in self.servers.values():
            await server.start()
        ports = common_ports(("relay",), ["127.0.0.1"])
        listen = Endpoint("127.0.0.1", ports["relay"])
        self.relay = TcpRelay(listen, self.servers[2].endpoint)
        await self.relay.start()
        self.networks[1].set_peers({2: listen})
        await until(lambda: self.networks[1].connected_ids() == [2])
        return self

    async def __aexit__(self, *_failure):
        for network in self.networks.values():
            await network.close()
        for server in self.servers.values():
            await server.close()
        await self.relay.close()

    def served(self):
        return set(self.networks[2]._accepted)


QUICK = LinkTimes(reconnect=0.01, keepalive_interval=0.02, silence_limit=0.2)


@pytest.mark.parametrize(
    ("forward", "backward"),
    [(True, True), (True, False), (False, True)],
    ids=["both ways", "to the peer", "from the peer"],
)
def test_a_link_that_goes_silent_without_a_reset_is_replaced_on_both_sides(forward, backward):
    async def scenario():
        async with Peers(QUICK) as peers:
            before = peers.served()
            peers.relay.silence_open_connections(forward, backward)
            await until(lambda: peers.served() and not peers.served() & before)
            await until(lambda: peers.networks[1].send(2, FullReportRequest()))
            await until(lambda: peers.received == [(1, FullReportRequest())])

    asyncio.run(scenario())


def test_an_idle_link_sends_keepalives():
    async def scenario():
        async with Peers(QUICK) as peers:
            await until(lambda: peers.keepalives)

    asyncio.run(scenario())
